"""Member records and the messages of the membership protocol."""

import enum

from monsoonpass import codec
from monsoonpass import immutable
from monsoonpass.core import address as address_lib
from monsoonpass.core.membership import leave_notice as notice_lib


class MemberState(enum.IntEnum):
    """State of a node; within one incarnation, the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class UpstreamState(enum.IntEnum):
    """State of a node's upstream, as its node publishes it."""

    NONE = 0
    STARTING = 1
    READY = 2
    DRAINING = 3

    @property
    def accepts_calls(self) -> bool:
        """Whether the upstream may be sent new calls."""
        return self in (UpstreamState.READY, UpstreamState.STARTING)


@codec.register(50)
@immutable.dataclass
class Member:
    """Member record of a node and its upstream.

    Attributes:
        address: Where the node listens.
        data_centre: Data centre of the node.
        incarnation: Increased by the node itself with each change of its
            record.
        state: State of the node, as the other members see it.
        has_disk: Whether the node has a disk for durable state.
        service: Service of the node's upstream, or empty.
        slots: Number of calls that the upstream runs concurrently.
        upstream: State of the upstream.
        region: Region of the data centre.
        last_notice: Last notice of leaving from an upstream of the node, or
            None.
        version: Software version of the upstream; empty if not announced.
    """

    address: address_lib.Address
    data_centre: str
    incarnation: int
    state: MemberState
    has_disk: bool
    service: str
    slots: int
    upstream: UpstreamState
    region: str = ""
    last_notice: notice_lib.LeaveNotice | None = None
    version: str = codec.appended_field(default="")

    @property
    def instance(self) -> str:
        """Name of the instance."""
        return self.address.instance

    @property
    def is_present(self) -> bool:
        """Whether the node is alive or suspected."""
        return self.state <= MemberState.SUSPECT

    @property
    def accepts_calls(self) -> bool:
        """Whether the node's upstream may be sent new calls."""
        return self.is_present and self.upstream.accepts_calls

    def supersedes(self, other: "Member") -> bool:
        """Return whether this record is newer than another one of the node."""
        return (self.incarnation, self.state) > (
            other.incarnation,
            other.state,
        )


@codec.register(51)
@immutable.dataclass
class Ping:
    """Probes a member, which answers with an `Ack`.

    Attributes:
        number: Number of the probe, copied into the `Ack`.
        version: Configuration version in force at the sender.
        table_digest: Digest of the present members in the sender's table.
        updates: Piggybacked membership updates.
    """

    number: int
    version: int
    table_digest: int
    updates: tuple[Member, ...]


@codec.register(52)
@immutable.dataclass
class Ack:
    """Answers a `Ping`; its fields describe the answering node."""

    number: int
    version: int
    table_digest: int
    updates: tuple[Member, ...]


@codec.register(53)
@immutable.dataclass
class PingRequest:
    """Asks a member to ping another member and to relay its `Ack`."""

    number: int
    target: address_lib.Address


@codec.register(54)
@immutable.dataclass
class Rumour:
    """Carries membership updates; needs no answer."""

    updates: tuple[Member, ...]


@codec.register(55)
@immutable.dataclass
class SyncRequest:
    """Requests the records in the buckets whose digests differ.

    Attributes:
        sender: Member record of the sender.
        buckets: Digests of the buckets of the sender's table.
    """

    sender: Member
    buckets: tuple[int, ...]


@codec.register(56)
@immutable.dataclass
class SyncReply:
    """Carries the records in the buckets that differ.

    Attributes:
        buckets: Numbers of the buckets that differ.
        members: All records of the sender in these buckets.
        wants_reply: Whether the receiver should reply with its own records in
            the same buckets.
        notices: Stored notices of leaving from the receiver's upstreams, in
            case the receiver has restarted and lost its own copy.
        request_incarnation: Incarnation in the request that this message
            answers; 0 if it answers none.
    """

    buckets: tuple[int, ...]
    members: tuple[Member, ...]
    wants_reply: bool
    notices: tuple[notice_lib.LeaveNotice, ...] = ()
    request_incarnation: int = 0
