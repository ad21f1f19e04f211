"""Records and messages of the replicated log."""

import dataclasses
import enum

from monsoonpass import codec
from monsoonpass.core import address


class EntryKind(enum.IntEnum):
    """What a log entry is for."""

    NOOP = 0
    MEMBERS = 1
    COMMAND = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """One replica of a group.

    Attributes:
        replica_id: Identity of the replica's disk.
        address: Where its node listens.
        voter: Whether it votes; otherwise it is a learner.
    """

    replica_id: int
    address: address.Address
    voter: bool


@codec.register(20)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Members:
    """The members of a group."""

    members: tuple[Member, ...]

    @property
    def voters(self) -> tuple[int, ...]:
        """Replica ids of the voters."""
        return tuple(m.replica_id for m in self.members if m.voter)

    @property
    def quorum(self) -> int:
        """Number of voters that make a majority."""
        return len(self.voters) // 2 + 1

    def find(self, replica_id: int) -> Member | None:
        """Return a member by its replica id, or None."""
        for member in self.members:
            if member.replica_id == replica_id:
                return member
        return None

    def find_instance(self, instance: str) -> Member | None:
        """Return a member by its instance name, or None."""
        for member in self.members:
            if member.address.instance == instance:
                return member
        return None


@codec.register(21)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """One entry of the log; also its disk record."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


@codec.register(22)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HardState:
    """Disk record of the term and the vote; 0 stands for no vote."""

    term: int
    voted_for: int


@codec.register(23)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogSnapshot:
    """The state machine after an entry, with the members at that point."""

    index: int
    term: int
    members: Members
    data: bytes


@codec.register(24)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Identity:
    """Disk record that names the replica; group 0 stands for none yet."""

    instance: str
    replica_id: int
    group: int


@codec.register(30)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VoteRequest:
    """Asks for a vote, or with `pre_vote` whether a vote would be granted."""

    group: int
    term: int
    candidate: int
    last_index: int
    last_term: int
    pre_vote: bool


@codec.register(31)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VoteReply:
    """Answers a `VoteRequest`."""

    group: int
    term: int
    voter: int
    granted: bool
    pre_vote: bool


@codec.register(32)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Append:
    """Carries entries, or none as a heartbeat.

    Attributes:
        group: The group's number.
        term: The leader's term.
        leader: The leader's replica id.
        previous_index: Index of the entry before the first one carried.
        previous_term: Term of that entry.
        entries: Entries in order.
        commit_index: Highest index known to be committed.
        sent_s: The leader's clock when it sent this.
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
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AppendReply:
    """Answers an `Append` or `InstallSnapshot` once synced.

    Attributes:
        group: The group's number.
        term: The follower's term.
        replica: The follower's replica id.
        success: Whether the log matched.
        match_index: Highest matching synced index; on failure, an index from
            which to try.
        sent_s: Copied from the request.
    """

    group: int
    term: int
    replica: int
    success: bool
    match_index: int
    sent_s: float


@codec.register(34)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InstallSnapshot:
    """Replaces the log of a follower that is too far behind."""

    group: int
    term: int
    leader: int
    snapshot: LogSnapshot
    sent_s: float
