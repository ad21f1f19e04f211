"""Messages that distribute the configuration and drive submissions."""

import dataclasses
import enum

from monsoonpass import codec
from monsoonpass.core import address as address_lib
from monsoonpass.core.distribution import catalog


class SubmitStatus(enum.StrEnum):
    """What became of a submission.

    ACCEPTED: A majority of voters has synced it, now or at an earlier try.
    SUPERSEDED: It was accepted, and a later version has been since.
    CONFLICT: The version number was accepted with other content.
    NOT_INCREASING: A later version is accepted already.
    INVALID: The content contradicts itself; it was not accepted.
    NOT_LEADER: The node asked does not lead; internal.
    BUSY: Too many submissions wait; this one was not accepted.
    OTHER_BASE: It builds on a version that is not the accepted one.
    UNAVAILABLE: No quorum could be reached; it was not accepted.
    UNCONFIRMED: No answer in time; resending the same text is safe.
    """

    ACCEPTED = "accepted"
    SUPERSEDED = "superseded"
    CONFLICT = "conflict"
    NOT_INCREASING = "not-increasing"
    INVALID = "invalid"
    NOT_LEADER = "not-leader"
    BUSY = "busy"
    OTHER_BASE = "other-base"
    UNAVAILABLE = "unavailable"
    UNCONFIRMED = "unconfirmed"


@codec.register(40)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SubmitForward:
    """Asks the leader to accept a configuration.

    Attributes:
        request_id: The request's number at the node that asks.
        snapshot: The configuration, packed.
        base_version: Version that it must replace; -1 for any older one.
    """

    request_id: int
    snapshot: bytes
    base_version: int = -1


@codec.register(41)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SubmitReply:
    """Answers a submission.

    Attributes:
        request_id: The request's number at the node that asked.
        status: What became of it.
        version: The version accepted last, as far as the answerer knows.
        leader: Where the leader is, if the answerer knows.
    """

    request_id: int
    status: SubmitStatus
    version: int
    leader: address_lib.Address | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DataCentreMembers:
    """Members of one data centre below the receiver of a push."""

    region: str
    data_centre: str
    members: tuple[address_lib.Address, ...]


@codec.register(42)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Push:
    """Spreads a version through a data centre along a tree.

    Attributes:
        version: The version.
        delta: The change from the version before, packed.
        root: Instance at which the tree begins.
        below: Members below the receiver, which passes it on to them. The
            root knows its own.
    """

    version: int
    delta: bytes
    root: str
    descendants: tuple[DataCentreMembers, ...] = ()


@codec.register(43)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PushAck:
    """Tells the node above in the tree that a version has come."""

    data_centre: str
    version: int


@codec.register(59)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionHint:
    """Tells some members of the version that came into force here."""

    version: int


@codec.register(44)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fetch:
    """Asks a peer for what is newer than the own version."""

    version: int
    digest: bytes


@codec.register(45)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FetchReply:
    """Carries what is newer: a chain of deltas or a snapshot, or neither.

    Attributes:
        version: The answerer's version.
        deltas: The changes from the asker's version on, each packed.
        snapshot: The whole content, packed, or empty.
    """

    version: int
    deltas: tuple[bytes, ...] = ()
    snapshot: bytes = b""


@codec.register(46)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ColdRead:
    """Asks the control group for the last accepted version.

    Attributes:
        number: Comes back in the answer; 0 for a cold start.
    """

    number: int = 0


@codec.register(47)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ColdReadReply:
    """Answers a `ColdRead`.

    Attributes:
        confirmed: Whether a quorum confirmed the version.
        version: The last accepted version; 0 when not confirmed.
        leader: Where the leader is, if known.
        voters: Where the voters are.
        number: Number of the question.
    """

    confirmed: bool
    version: int
    leader: address_lib.Address | None
    voters: tuple[address_lib.Address, ...]
    number: int = 0


@codec.register(48)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InForceRecord:
    """Disk record of the configuration in force at this node."""

    snapshot: catalog.Snapshot


@codec.register(49)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InForceDelta:
    """Disk record of a change of the configuration in force."""

    delta: catalog.Delta


@codec.register(60)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BootstrapProbe:
    """Asks another bootstrap voter whether it belongs to a group."""

    replica_id: int


@codec.register(61)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BootstrapStatus:
    """Answers a `BootstrapProbe`; group 0 stands for none."""

    replica_id: int
    group: int


@codec.register(63)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JoinGroup:
    """Offers a disk to the control group."""

    replica_id: int
    data_centre: str
