"""Disk records and messages of the replicated log."""

from collections.abc import Mapping
import enum
from typing import TypeVar

from monsoonpass import codec
from monsoonpass import immutable
from monsoonpass.core import address

Ordered = TypeVar("Ordered", int, float)


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
    """The members of a group.

    While one voter replaces another, both have a vote (joint consensus). A
    quorum then needs a majority of the voters before the replacement and a
    majority of the voters after it, so that the group bears at each moment as
    many losses as before and after.

    Attributes:
        members: The members.
        incoming: Replica id of the voter that replaces another one; 0 if no
            replacement is in progress.
        outgoing: Replica id of the voter that is being replaced, or 0.
    """

    members: tuple[Member, ...]
    incoming: int = codec.appended_field(default=0)
    outgoing: int = codec.appended_field(default=0)

    @property
    def voters(self) -> tuple[int, ...]:
        """Replica ids of all voters, both of a replacement included."""
        return tuple(m.replica_id for m in self.members if m.voter)

    @property
    def voter_sets(self) -> tuple[tuple[int, ...], ...]:
        """Sets of voters each of which must give a majority to a quorum.

        During a replacement these are the voters before it and the voters after
        it; otherwise there is one set.
        """
        if not self.outgoing:
            return (self.voters,)
        return (
            tuple(v for v in self.voters if v != self.incoming),
            tuple(v for v in self.voters if v != self.outgoing),
        )

    @property
    def quorum_min(self) -> int:
        """Smallest number of voters that can be a quorum."""
        return min(len(voters) // 2 + 1 for voters in self.voter_sets)

    def has_quorum(self, replica_ids: set[int]) -> bool:
        """Return whether a majority of each set of voters is among some ids."""
        return all(
            len(replica_ids.intersection(voters)) > len(voters) // 2
            for voters in self.voter_sets
        )

    def quorum_value(self, values: Mapping[int, Ordered]) -> Ordered:
        """Return the highest value that a quorum has reached.

        Args:
            values: Value of each voter, by replica id.
        """
        return min(
            sorted(values[v] for v in voters)[(len(voters) - 1) // 2]
            for voters in self.voter_sets
        )

    def may_become(self, changed: "Members") -> bool:
        """Return whether some members may follow these in one change.

        They may if each quorum of the one has a voter in common with each
        quorum of the other: if one voter is added or removed, or a replacement
        begins or ends.
        """
        if self.outgoing:
            return not changed.outgoing and any(
                set(voters) == set(changed.voters) for voters in self.voter_sets
            )
        if changed.outgoing:
            return set(changed.voter_sets[0]) == set(self.voters)
        return len(set(changed.voters) ^ set(self.voters)) <= 1

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
