"""Outcomes of calls that got no complete answer, and the load of upstreams."""

import enum

from monsoonpass import immutable


class Outcome(enum.StrEnum):
    """What is known about the effect of a failed call.

    NOT_RUN: No upstream has run the call, and none will.
    UNKNOWN: An upstream may have run the call.
    FAILED: An upstream ran the call, but its answer was lost or incomplete.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class Reason(enum.StrEnum):
    """Why a call failed."""

    NO_CONFIGURATION = "no-configuration"
    NO_ROUTE = "no-route"
    UNKNOWN_KEY = "unknown-key"
    NO_UPSTREAM = "no-upstream"
    OVERLOADED = "overloaded"
    BUSY = "busy"
    DEADLINE = "deadline"
    DRAINING = "draining"
    UPSTREAM_UNREACHABLE = "upstream-unreachable"
    UPSTREAM_BROKE_OFF = "upstream-broke-off"
    UPSTREAM_SHED = "upstream-shed"
    UPSTREAM_REPLACED = "upstream-replaced"
    LINK_LOST = "link-lost"
    CANCELLED = "cancelled"
    TOO_LARGE = "too-large"
    EMPTY_KEY = "empty-key"
    DUPLICATE_KEY = "duplicate-key"
    LEDGER_UNAVAILABLE = "ledger-unavailable"
    OVER_QUOTA = "over-quota"


@immutable.dataclass
class Failure:
    """The failure of a call, or of one of its attempts.

    Attributes:
        outcome: What is known about the call's effect.
        reason: Why the call failed.
        retry_after_s: Time after which a retry may succeed, or None.
    """

    outcome: Outcome
    reason: Reason
    retry_after_s: float | None = None


@immutable.dataclass
class Load:
    """The load of an upstream, as counted by its owner node.

    Attributes:
        slots: Calls that the upstream runs at once.
        in_progress: Calls that the upstream is running.
        queued: Calls that are queued for a slot.
        service_time_s: Smoothed service time of a call, or the mean time for
            which the calls in progress have run if that is longer.
    """

    slots: int
    in_progress: int
    queued: int
    service_time_s: float
