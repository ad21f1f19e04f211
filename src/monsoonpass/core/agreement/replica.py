"""The state of one replica of a replicated log.

The rules are Raft's, with pre-vote, check-quorum, reads by read index,
learners and membership changes of one replica at a time. `election`,
`replication` and `follower` hold the rules; each function there takes a
replica and returns effects. A reply that promises something durable is held
back until the disk has confirmed it.
"""

import collections
from collections.abc import Sequence
import dataclasses
import enum
from typing import Any
from typing import Protocol

from monsoonpass import codec
from monsoonpass import errors
from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core.agreement import consensus_records as records
from monsoonpass.core.agreement import disk_queue
from monsoonpass.core.agreement import progress as progress_lib
from monsoonpass.core.agreement import replica_log

ELECTION_MIN_S = 0.75
ELECTION_MAX_S = 1.5
LEASE_S = 0.5
FIRST_ELECTION_MIN_S = 0.1  # Some round trips between regions, and syncs.
FIRST_ELECTION_MAX_S = 0.4
COMPACT_AFTER_ENTRIES = 1000
COMPACT_AFTER_BYTES = 1024 * 1024


class Role(enum.Enum):
    """What a replica currently does."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class StateMachine(Protocol):
    """The state machine that committed commands drive."""

    def apply(self, command: bytes) -> Any:
        """Apply a committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Applied:
    """Notice that a committed command was applied here."""

    index: int
    result: Any
    token: Any


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Restored:
    """Notice that a snapshot replaced the state machine's state."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadReady:
    """Notice that a read may be answered from the state machine."""

    token: Any


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Dropped:
    """Notice that a proposal or read was given up; its fate is unknown."""

    token: Any


class NotLeaderError(errors.MonsoonpassError):
    """Only the leader may propose entries or start reads."""


class ChangeInProgressError(errors.MonsoonpassError):
    """An earlier change of members is not yet committed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PendingRead:
    """A read that waits for a quorum's word.

    Attributes:
        asked_s: When it was asked.
        index: Index that must be applied before it is answered.
        token: Comes back in its notice.
    """

    requested_s: float
    index: int
    token: Any


@dataclasses.dataclass(kw_only=True, slots=True)
class Replica:
    """One replica.

    Attributes:
        identity: Who this replica is; durable.
        machine: The state machine.
        disk: Numbers the writes of the shared journal.
        base_members: Members at the log's base.
        log: Entries after the last snapshot.
        term: Current term; durable.
        voted_for: Replica voted for in this term, or 0; durable.
        role: What the replica does now.
        leader_id: Replica id of the leader, or 0.
        leader_heard_s: When a leader was last heard, or a vote given; minus
            infinity from a start until then.
        started_s: When this replica started.
        leading_since_s: When this replica became the leader.
        commit_index: Highest index known to be committed.
        applied_index: Highest index applied to the machine.
        synced_index: Highest index durable here.
        unsynced: Write numbers and last indexes of writes under way.
        vote_sequence: Write number of the replica's vote for itself.
        votes: Replica ids that granted a vote.
        progress: The leader's view of the other members.
        members_log: Changes of members after the base, with their index.
        tokens: What to give back when an own proposal is applied, by index.
        reads: Reads that wait.
        log_bytes: Size of the entries held.
        notices: What happened, for the owner of the replica to take.
        failed: Whether the disk failed; a failed replica does nothing.
        copies_min: Disks that must hold a command before it commits.
    """

    identity: records.Identity
    machine: StateMachine
    disk: disk_queue.DiskQueue
    base_members: records.Members
    log: replica_log.ReplicaLog = dataclasses.field(
        default_factory=replica_log.ReplicaLog
    )
    term: int = 0
    voted_for: int = 0
    role: Role = Role.FOLLOWER
    leader_id: int = 0
    leader_contact_s: float = float("-inf")
    started_s: float = float("-inf")
    leader_since_s: float = float("-inf")
    commit_index: int = 0
    applied_index: int = 0
    synced_index: int = 0
    unsynced_writes: collections.deque[tuple[int, int]] = dataclasses.field(
        default_factory=collections.deque
    )
    self_vote_sequence: int = 0
    votes: set[int] = dataclasses.field(default_factory=set)
    progress: dict[int, progress_lib.Progress] = dataclasses.field(
        default_factory=dict
    )
    membership_changes: list[tuple[int, records.Members]] = dataclasses.field(
        default_factory=list
    )
    tokens: dict[int, Any] = dataclasses.field(default_factory=dict)
    pending_reads: list[PendingRead] = dataclasses.field(default_factory=list)
    log_bytes: int = 0
    notices: list[Any] = dataclasses.field(default_factory=list)
    failed: bool = False
    copies_min: int = 1

    @property
    def replica_id(self) -> int:
        """This replica's id."""
        return self.identity.replica_id

    @property
    def members(self) -> records.Members:
        """The newest members in the log, committed or not."""
        if self.membership_changes:
            return self.membership_changes[-1][1]
        return self.base_members

    @property
    def others(self) -> list[records.Member]:
        """All members but this replica."""
        return [
            member
            for member in self.members.members
            if member.replica_id != self.replica_id
        ]

    @property
    def is_leader(self) -> bool:
        """Whether this replica believes that it leads."""
        return self.role is Role.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter in its newest members."""
        return self.replica_id in self.members.voters

    @property
    def is_ready_leader(self) -> bool:
        """Whether it leads and has applied an entry of its own term."""
        return (
            self.is_leader
            and self.log.term_at(self.commit_index) == self.term
            and self.applied_index == self.commit_index
        )

    @property
    def leader_address(self) -> address_lib.Address | None:
        """Address of the leader, as far as known."""
        member = self.members.find(self.leader_id)
        return member.address if member else None

    def members_at(self, index: int) -> records.Members:
        """Return the members as of an entry."""
        members = self.base_members
        for change_index, membership in self.membership_changes:
            if change_index <= index:
                members = membership
        return members

    def append(self, entries: Sequence[records.Entry]) -> effects.WriteDisk:
        """Append entries to the log and return the write that keeps them."""
        self.append_in_memory(entries)
        write = self.disk.write(entries)
        self.unsynced_writes.append((write.sequence, entries[-1].index))
        return write

    def append_in_memory(self, entries: Sequence[records.Entry]) -> None:
        """Append entries that are already on the disk."""
        self.log.append(entries)
        for entry in entries:
            self.log_bytes += len(entry.data)
            if entry.kind is records.EntryKind.MEMBERS:
                members = codec.decode(entry.data)
                self.membership_changes.append((entry.index, members))

    def truncate_from(self, index: int) -> None:
        """Remove the entry at an index and all after it."""
        self.log.truncate_from(index)
        self.synced_index = min(self.synced_index, index - 1)
        self.unsynced_writes = collections.deque(
            (sequence, min(last, index - 1))
            for sequence, last in self.unsynced_writes
        )
        self.membership_changes = [
            m for m in self.membership_changes if m[0] < index
        ]

    def write_hard_state(self) -> effects.WriteDisk:
        """Return the write that keeps the term and the vote."""
        return self.disk.write(
            [records.HardState(term=self.term, voted_for=self.voted_for)]
        )

    def load_snapshot(self, snapshot: records.LogSnapshot) -> None:
        """Replace the state machine and the log up to a snapshot."""
        self.log.compact_to(snapshot.index, snapshot.term)
        self.base_members = snapshot.members
        self.membership_changes = [
            item
            for item in self.membership_changes
            if snapshot.index < item[0] <= self.log.last_index
        ]
        self.log_bytes = sum(len(e.data) for e in self.log.entries)
        self.machine.restore(snapshot.data)
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index

    def take_notices(self) -> list[Any]:
        """Return the notices so far and forget them."""
        taken = self.notices
        self.notices = []
        return taken


def recover(replica: Replica, journal: Sequence[Any]) -> None:
    """Rebuild term, vote and log from the journal's records, in order.

    Args:
        replica: A replica as constructed.
        journal: All records of the journal; others' records are ignored.

    Raises:
        JournalDamagedError: An entry is missing.
    """
    for record in journal:
        if isinstance(record, records.HardState):
            replica.term = record.term
            replica.voted_for = record.voted_for
        elif isinstance(record, records.LogSnapshot):
            replica.load_snapshot(record)
        elif isinstance(record, records.Entry):
            _recover_entry(replica, record)
    replica.synced_index = replica.log.last_index


def _recover_entry(replica: Replica, entry: records.Entry) -> None:
    if entry.index <= replica.log.base_index:
        return
    if entry.index > replica.log.last_index + 1:
        raise errors.JournalDamagedError(
            f"entry {entry.index} follows entry {replica.log.last_index}"
        )
    if entry.index <= replica.log.last_index:
        replica.truncate_from(entry.index)
    replica.append_in_memory((entry,))


def needs_compaction(replica: Replica) -> bool:
    """Return whether the log has grown past its bounds."""
    covered = replica.applied_index - replica.log.base_index
    return covered > 0 and (
        covered >= COMPACT_AFTER_ENTRIES
        or replica.log_bytes >= COMPACT_AFTER_BYTES
    )


def take_snapshot(replica: Replica) -> records.LogSnapshot:
    """Return the state machine's state at the applied index."""
    index = replica.applied_index
    return records.LogSnapshot(
        index=index,
        term=replica.log.term_at(index),
        members=replica.members_at(index),
        data=replica.machine.snapshot(),
    )


def compact(replica: Replica) -> list[Any]:
    """Fold all applied entries into a snapshot.

    Args:
        replica: The replica; its log is cut.

    Returns:
        Records that stand for the replica's whole durable state. They must
        replace its earlier records on the disk at once.
    """
    taken = take_snapshot(replica)
    replica.base_members = taken.members
    replica.membership_changes = [
        m for m in replica.membership_changes if m[0] > taken.index
    ]
    replica.log.compact_to(taken.index, taken.term)
    replica.log_bytes = sum(len(e.data) for e in replica.log.entries)
    return [
        replica.identity,
        records.HardState(term=replica.term, voted_for=replica.voted_for),
        taken,
        *replica.log.entries,
    ]


def is_in_touch(replica: Replica, now_s: float) -> bool:
    """Return whether the replica was in touch with a quorum recently.

    No proof that it still leads; it spares hopeless work.
    """
    if replica.is_leader:
        return now_s - quorum_contact_s(replica, now_s) < LEASE_S
    heard_recently = now_s - replica.leader_contact_s < ELECTION_MAX_S
    return bool(replica.leader_id) and heard_recently


def quorum_contact_s(replica: Replica, now_s: float) -> float:
    """Return the latest time at which a quorum acknowledged this leader."""
    times = sorted(
        now_s
        if replica_id == replica.replica_id
        else replica.progress[replica_id].last_acked_send_s
        for replica_id in replica.members.voters
        if replica_id == replica.replica_id or replica_id in replica.progress
    )
    if len(times) < replica.members.quorum:
        return float("-inf")
    return times[len(times) - replica.members.quorum]
