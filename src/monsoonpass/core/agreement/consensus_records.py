"""Disk records and messages of the replicated log."""

import enum

from monsoonpass import codec
from monsoonpass import immutable
from monsoonpass.core import address


class EntryKind(enum.IntEnum):
    """Type of a log entry."""

    NOOP = 0
    MEMBERS = 1
    COMMAND = 2


@immutable.dataclass
class Member:
    """A replica that belongs to a group.

    Attributes:
        replica_id: Identifier of the replica, bound to its disk.
        address: Address of the replica's node.
        voter: True for a voter, False for a learner.
    """

    replica_id: int
    address: address.Address
    voter: bool


@codec.register(20)
@immutable.dataclass
class Members:
    """The members of a group."""

    members: tuple[Member, ...]

    @property
    def voters(self) -> tuple[int, ...]:
        """Replica ids of all voters."""
        return tuple(m.replica_id for m in self.members if m.voter)

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def find(self, replica_id: int) -> Member | None:
        """Return the member with a replica id, or None."""
        for member in self.members:
            if member.replica_id == replica_id:
                return member
        return None

    def find_instance(self, instance: str) -> Member | None:
        """Return the member with an instance name, or None."""
        for member in self.members:
            if member.address.instance == instance:
                return member
        return None


@codec.register(21)
@immutable.dataclass
class Entry:
    """Log entry, in messages and as a disk record."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


@codec.register(22)
@immutable.dataclass
class HardState:
    """Disk record of the current term and vote.

    `voted_for` is a replica id, or 0 if the replica has not voted in the term.
    """

    term: int
    voted_for: int


@codec.register(23)
@immutable.dataclass
class LogSnapshot:
    """State of the state machine, and the members, as of a log index.

    `index` and `term` are those of the last entry that the state includes.
    """

    index: int
    term: int
    members: Members
    data: bytes


@codec.register(24)
@immutable.dataclass
class Identity:
    """Disk record that identifies the replica.

    `group` is 0 until the replica belongs to a group.
    """

    instance: str
    replica_id: int
    group: int


@codec.register(30)
@immutable.dataclass
class VoteRequest:
    """Request for a vote.

    With `pre_vote`, the receiver only tells whether it would grant the vote.
    """

    group: int
    term: int
    candidate: int
    last_index: int
    last_term: int
    pre_vote: bool


@codec.register(31)
@immutable.dataclass
class VoteReply:
    """Reply to a `VoteRequest`.

    Attributes:
        group: Group id.
        term: Term of the voter.
        voter: Replica id of the voter.
        granted: Whether the vote is granted.
        pre_vote: Whether this answers a pre-vote.
        contact_age_s: Time for which the voter has certainly not acknowledged
            a message of another leader; 0 if it does not tell.
    """

    group: int
    term: int
    voter: int
    granted: bool
    pre_vote: bool
    contact_age_s: float = codec.appended_field(default=0.0)


@codec.register(32)
@immutable.dataclass
class Append:
    """Log entries from the leader; without entries, a heartbeat.

    Attributes:
        group: Group id.
        term: Term of the leader.
        leader: Replica id of the leader.
        previous_index: Index of the entry before `entries`.
        previous_term: Term of the entry at `previous_index`.
        entries: Entries in index order.
        commit_index: Highest index that the leader knows to be committed.
        sent_s: Send time in seconds, on the leader's clock.
    """

    group: int
    term: int
    leader: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    sent_s: float


@codec.register(33)
@immutable.dataclass
class AppendReply:
    """Reply to an `Append` or `InstallSnapshot`, sent once the log is synced.

    Attributes:
        group: Group id.
        term: Term of the follower.
        replica: Replica id of the follower.
        success: Whether the follower's log matched at `previous_index`.
        match_index: Highest synced index at which the logs match; if
            `success` is False, the index at which the leader should try next.
        sent_s: `sent_s` of the request.
    """

    group: int
    term: int
    replica: int
    success: bool
    match_index: int
    sent_s: float


@codec.register(34)
@immutable.dataclass
class InstallSnapshot:
    """Snapshot for a follower that lacks entries the leader has compacted."""

    group: int
    term: int
    leader: int
    snapshot: LogSnapshot
    sent_s: float
