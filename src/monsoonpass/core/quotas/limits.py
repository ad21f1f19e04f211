"""Limits of workspaces, and the constants that nodes and allocator share.

The promise to operators: in any `WINDOW_S`, a workspace runs at most
(rate x WINDOW_S + burst) x (1 + ratio) + tokens requests, with `ratio` and
`tokens` from the settings.
"""

from collections.abc import Iterable

from monsoonpass import immutable
from monsoonpass.core.distribution import catalog as catalog_lib

WINDOW_S = 5.0
# Part of the slack that is used. The rest covers calls that took their token
# shortly before a window and reach an upstream within it.
SLACK_USED = 0.9
# Tokens that may exist at once beyond what may when a workspace uses its whole
# rate, as seconds of the rate. They spare requests to the allocator. A new
# allocator does not mint for this time, since it does not know the tokens of
# its predecessor.
HELD_EXTRA_S = 1.5
# Time for which tokens stay valid, and a node's share stays lent, without
# contact. It covers the election of a leader (0.75 to 1.5 s).
LOAN_S = 2.0
# A share counts as lent from the reply before the last request, so two
# intervals must fit into `LOAN_S`.
RENEW_INTERVAL_S = 0.8
# Time without contact after which a node loses its share.
SHARE_VALIDITY_S = 30.0
# Part of the rate that nodes without an allocator may mint, all together. The
# allocator keeps the rest, so that it can mint at once after all nodes have
# lost power, when nobody knows which nodes still hold shares.
SHARES_TOTAL = 0.3
# Time for which a leader may allocate after it last sent a message that a
# quorum acknowledged.
ALLOCATOR_LEASE_S = 0.5
CLOCK_MARGIN_S = 0.05  # Difference of two clocks over the longest time above.


@immutable.dataclass
class Slack:
    """How far the requests of a window may exceed the limit.

    Attributes:
        ratio: Part of the limit.
        tokens: Requests in addition.
    """

    ratio: float = 0.1
    tokens: float = 20.0


@immutable.dataclass
class Limit:
    """The limit of one workspace.

    Attributes:
        rate_per_s: Tokens minted per second.
        window_max: Tokens that may exist, plus tokens spent in the last
            `WINDOW_S`.
        held_max: Tokens that may exist at once.
    """

    rate_per_s: float
    window_max: float
    held_max: float


def make_limit(rate_per_s: float, burst: float, slack: Slack) -> Limit:
    """Return the limit of a workspace."""
    nominal = rate_per_s * WINDOW_S + burst
    promised = admitted_max(rate_per_s, burst, slack)
    window_max = nominal + SLACK_USED * (promised - nominal)
    return Limit(
        rate_per_s=rate_per_s,
        window_max=window_max,
        held_max=window_max - rate_per_s * (WINDOW_S - HELD_EXTRA_S),
    )


def make_limits(
    workspaces: Iterable[catalog_lib.Workspace], slack: Slack
) -> dict[str, Limit]:
    """Return the limits of all limited workspaces, by name."""
    return {
        workspace.name: make_limit(workspace.rate_per_s, workspace.burst, slack)
        for workspace in workspaces
        if workspace.rate_per_s
    }


def admitted_max(
    rate_per_s: float, burst: float, slack: Slack, window_s: float = WINDOW_S
) -> float:
    """Return the requests that may run in a window."""
    return (rate_per_s * window_s + burst) * (1.0 + slack.ratio) + slack.tokens
