"""Messages and disk records of submission and distribution."""

import enum

from monsoonpass import codec
from monsoonpass import immutable
from monsoonpass.core import address as address_lib
from monsoonpass.core.agreement import consensus_records
from monsoonpass.core.distribution import catalog
from monsoonpass.core.membership import leave_notice as notice_lib
from monsoonpass.core.rollouts import rollout as rollout_lib


class SubmitStatus(enum.StrEnum):
    """Outcome of a submission.

    ACCEPTED: A majority of voters has synced the submission to disk, now or
        at an earlier attempt.
    SUPERSEDED: The submission was accepted, and so was a later version.
    CONFLICT: The version number was accepted with different content.
    NOT_INCREASING: A later version has already been accepted.
    INVALID: The content is inconsistent; the submission was not accepted.
    NOT_LEADER: The receiving node is not the leader; never returned to the
        operator.
    BUSY: Too many submissions are pending; this one was not accepted.
    BASE_MISMATCH: The base version is not the last accepted version.
    UNAVAILABLE: No quorum could be reached; the submission was not accepted.
    UNCONFIRMED: The outcome is unknown after a timeout; submitting the same
        content again is safe.
    """

    ACCEPTED = "accepted"
    SUPERSEDED = "superseded"
    CONFLICT = "conflict"
    NOT_INCREASING = "not-increasing"
    INVALID = "invalid"
    NOT_LEADER = "not-leader"
    BUSY = "busy"
    BASE_MISMATCH = "other-base"
    UNAVAILABLE = "unavailable"
    UNCONFIRMED = "unconfirmed"


@codec.register(40)
@immutable.dataclass
class SubmitForward:
    """Forwards a submission to the leader.

    Attributes:
        request_id: Number of the request at the forwarding node.
        snapshot: The submitted configuration, packed.
        base_version: Version that must be the last accepted one; -1 for no
            condition.
    """

    request_id: int
    snapshot: bytes
    base_version: int = -1


@codec.register(41)
@immutable.dataclass
class SubmitReply:
    """Reports the outcome of a submission.

    Attributes:
        request_id: Number of the request at the forwarding node.
        status: Outcome of the submission.
        version: Last accepted version known to the replying node.
        leader: Address of the leader, if known to the replying node.
    """

    request_id: int
    status: SubmitStatus
    version: int
    leader: address_lib.Address | None = None


@immutable.dataclass
class DataCentreMembers:
    """The descendants of a push's receiver in one data centre."""

    region: str
    data_centre: str
    members: tuple[address_lib.Address, ...]


@codec.register(42)
@immutable.dataclass
class Push:
    """Pushes a version down the distribution tree.

    Attributes:
        version: Version after the change.
        delta: The change from the previous version, packed.
        root_instance: Instance at the root of the tree.
        descendants: Members to which the receiver must forward the push.
            Empty for the root, which computes them from its member table.
    """

    version: int
    delta: bytes
    root_instance: str
    descendants: tuple[DataCentreMembers, ...] = ()


@codec.register(43)
@immutable.dataclass
class PushAck:
    """Acknowledges a push to the parent in the distribution tree."""

    data_centre: str
    version: int


@codec.register(59)
@immutable.dataclass
class VersionHint:
    """Announces the sender's version in force to a member."""

    version: int


@codec.register(44)
@immutable.dataclass
class Fetch:
    """Requests the changes after a version.

    Attributes:
        version: Newest version that the requester has.
        digest: Digest of the content of that version.
    """

    version: int
    digest: bytes


@codec.register(45)
@immutable.dataclass
class FetchReply:
    """Replies to a `Fetch` with deltas, a snapshot or neither.

    Attributes:
        version: Version in force at the replying node.
        deltas: Consecutive changes from the requester's version on, each
            packed.
        snapshot: The full content, packed, or empty.
    """

    version: int
    deltas: tuple[bytes, ...] = ()
    snapshot: bytes = b""


@codec.register(46)
@immutable.dataclass
class ColdRead:
    """Requests a quorum read of the last accepted version.

    Attributes:
        read_id: Correlates the reply with the request; 0 for a cold start.
    """

    read_id: int = 0


@codec.register(47)
@immutable.dataclass
class ColdReadReply:
    """Replies to a `ColdRead`.

    Attributes:
        confirmed: Whether a quorum confirmed the version.
        version: The last accepted version; 0 if not confirmed.
        leader: Address of the leader, if known.
        voters: Addresses of the voters.
        read_id: Copied from the request.
        notices: If confirmed, the stored notices of leaving from the
            receiver's upstreams.
        rollouts: If confirmed, the rollouts that are running or ended lately.
    """

    confirmed: bool
    version: int
    leader: address_lib.Address | None
    voters: tuple[address_lib.Address, ...]
    read_id: int = 0
    notices: tuple[notice_lib.LeaveNotice, ...] = ()
    rollouts: tuple[rollout_lib.Rollout, ...] = codec.appended_field(default=())


@codec.register(48)
@immutable.dataclass
class InForceRecord:
    """Disk record of the full configuration in force at this node."""

    snapshot: catalog.Snapshot


@codec.register(49)
@immutable.dataclass
class InForceDelta:
    """Disk record of a change to the configuration in force."""

    delta: catalog.Delta


@codec.register(60)
@immutable.dataclass
class BootstrapProbe:
    """Asks another bootstrap voter whether it belongs to a control group."""

    replica_id: int


@codec.register(61)
@immutable.dataclass
class BootstrapStatus:
    """Replies to a `BootstrapProbe`.

    Attributes:
        replica_id: Replica id of the replying node.
        group: Id of its control group, or 0 if it belongs to none.
    """

    replica_id: int
    group: int


@codec.register(63)
@immutable.dataclass
class JoinGroup:
    """Offers the sender's disk as a replica to the control group."""

    replica_id: int
    data_centre: str


@codec.register(64)
@immutable.dataclass
class FormGroup:
    """Tells the members of a new control group to each of them."""

    group: int
    members: consensus_records.Members
