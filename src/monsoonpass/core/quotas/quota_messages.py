"""Messages between the nodes that take calls and the allocator of tokens."""

from monsoonpass import codec
from monsoonpass import immutable
from monsoonpass.core import address as address_lib


@immutable.dataclass
class TokenReport:
    """What a node reports of one workspace.

    Attributes:
        workspace: Name of the workspace.
        held: Unspent tokens at the node.
        waiting: Calls that wait for a token.
        wanted: Tokens that the node would like to hold in addition.
        calls: Calls that arrived since the report before.
        spent: In a handover, tokens spent in the last seconds, by their age in
            units of `spent_window.SLOT_S`.
        unreported: In a handover, those of them that the allocator before took
            for tokens that exist.
    """

    workspace: str
    held: int
    waiting: int
    wanted: int
    calls: int
    spent: tuple[int, ...] = ()
    unreported: int = 0


@codec.register(125)
@immutable.dataclass
class TokenRequest:
    """Reports a node's tokens and asks for more.

    Attributes:
        incarnation: Incarnation of the node's process.
        number: Number of the request; only a reply to the latest request
            counts, so a later request revokes what earlier replies grant.
        session: Session of the last reply, or 0.
        echo_s: Time of the last reply, on the allocator's clock.
        share: Share of the limits that belongs to the node.
        wants_share: Whether the node has enough calls to keep a share.
        handover: Whether the tokens in the reports are handed over, since
            they come from another allocator, or the node used its own share.
        used_own_share: Whether the spent tokens of a handover are those of the
            node's own share.
        released: Whether the node gives up its tokens and its share.
        reports: Workspaces whose tokens have changed.
    """

    incarnation: int
    number: int
    session: int
    echo_s: float
    share: float
    wants_share: bool
    handover: bool
    used_own_share: bool
    released: bool
    reports: tuple[TokenReport, ...]


@immutable.dataclass
class TokenGrant:
    """Tokens of one workspace for a node.

    Attributes:
        workspace: Name of the workspace.
        tokens: Number of tokens granted.
        wait_s: Time until a token may be expected; 0 if all calls that waited
            got one.
        rate_per_s: Rate at which the node may then expect tokens.
        held_max: Number of tokens beyond which the node must drop those it
            held before; -1 to keep all.
    """

    workspace: str
    tokens: int
    wait_s: float = 0.0
    rate_per_s: float = 0.0
    held_max: int = -1


@codec.register(126)
@immutable.dataclass
class TokenReply:
    """Answers a `TokenRequest`.

    Attributes:
        number: Number of the request.
        session: Term in which the sender allocates; 0 if it does not.
        sent_s: Time of the reply, on the allocator's clock.
        share: Share of the limits that belongs to the node from now on.
        retry_s: Time after which to ask again; 0 if there is no need.
        leader: Where to ask instead, or None.
        grants: Tokens granted.
    """

    number: int
    session: int
    sent_s: float
    share: float
    retry_s: float
    leader: address_lib.Address | None
    grants: tuple[TokenGrant, ...] = ()
