"""Records of the members of a data centre and the messages about them."""

import dataclasses
import enum

from monsoonpass import codec
from monsoonpass.core import address as address_lib
from monsoonpass.core.membership import notice as notice_lib


class MemberState(enum.IntEnum):
    """What is believed of a node; a higher value wins at one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class UpstreamState(enum.IntEnum):
    """What a node's upstream announced."""

    NONE = 0
    STARTING = 1
    READY = 2
    DRAINING = 3

    @property
    def takes_work(self) -> bool:
        """Whether it may be given new work."""
        return self in (UpstreamState.READY, UpstreamState.STARTING)


@codec.register(50)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """One node and its upstream.

    Attributes:
        address: Where the node listens.
        data_centre: Its data centre.
        incarnation: Raised by the node itself with each change of its record.
        state: What is believed of the node.
        has_disk: Whether it can hold durable state.
        service: Service of its upstream, or empty.
        slots: Calls that the upstream runs at once.
        upstream: What the upstream announced.
        region: Region of its data centre.
        leaving: The last notice of leaving of an upstream of the node, or
            None.
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
    leaving: notice_lib.Notice | None = None

    @property
    def instance(self) -> str:
        """Name of the instance."""
        return self.address.instance

    @property
    def is_present(self) -> bool:
        """Whether the node is alive or merely suspected."""
        return self.state <= MemberState.SUSPECT

    @property
    def takes_work(self) -> bool:
        """Whether its upstream may be given new work."""
        return self.is_present and self.upstream.takes_work

    def supersedes(self, other: "Member") -> bool:
        """Return whether this record is newer than another of the node."""
        return (self.incarnation, self.state) > (
            other.incarnation,
            other.state,
        )


@codec.register(51)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ping:
    """Asks a member for an `Ack`.

    Attributes:
        number: Comes back in the answer.
        version: Configuration version in force at the sender.
        table_digest: Digest of the sender's table of present members.
        updates: News of members.
    """

    number: int
    version: int
    table_digest: int
    updates: tuple[Member, ...]


@codec.register(52)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ack:
    """Answers a `Ping`; the fields are the answerer's."""

    number: int
    version: int
    table_digest: int
    updates: tuple[Member, ...]


@codec.register(53)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PingRequest:
    """Asks a member to ping a third one and to pass the answer on."""

    number: int
    target: address_lib.Address


@codec.register(54)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rumour:
    """Carries news of members and asks for nothing."""

    updates: tuple[Member, ...]


@codec.register(55)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncRequest:
    """Asks for the members in the buckets that differ.

    Attributes:
        sender: The sender's own record.
        buckets: Digest of each bucket of the sender's table.
    """

    sender: Member
    buckets: tuple[int, ...]


@codec.register(56)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncReply:
    """Carries the members of some buckets.

    Attributes:
        buckets: Numbers of the buckets that differ.
        members: All records that the sender holds in them.
        wants_reply: Whether the receiver should send its records of the same
            buckets back.
        left: Notices of leaving of the receiver's upstreams, as far as the
            sender remembers. Its process may be new and not know.
        asked: Incarnation of the receiver when it asked; 0 if it did not.
    """

    buckets: tuple[int, ...]
    members: tuple[Member, ...]
    wants_reply: bool
    left: tuple[notice_lib.Notice, ...] = ()
    asked: int = 0
