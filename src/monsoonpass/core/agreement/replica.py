"""The state of one replica of a replicated log.

The protocol is Raft with pre-vote, check-quorum, linearizable reads by read
index, learners, and membership changes that add or remove one voter, or replace
one by joint consensus. The modules
`election`, `replication`, `follower` and `raft` implement it; their functions
take a replica and return effects. A reply that acknowledges durable state is
deferred until the disk has confirmed the write.
"""

import collections
from collections.abc import Sequence
import dataclasses
import enum
from typing import Any
from typing import Protocol

from monsoonpass import codec
from monsoonpass import errors
from monsoonpass import immutable
from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core.agreement import consensus_records as records
from monsoonpass.core.agreement import progress as progress_lib
from monsoonpass.core.agreement import replica_log
from monsoonpass.core.agreement import write_barrier

ELECTION_MIN_S = 0.75
ELECTION_MAX_S = 1.5
# Time for which a leader's quorum contact counts as recent.
QUORUM_CONTACT_MAX_AGE_S = 0.5
FIRST_ELECTION_MIN_S = 0.1  # A few round trips between regions and disk syncs.
FIRST_ELECTION_MAX_S = 0.4
COMPACT_AFTER_ENTRIES = 1000
COMPACT_AFTER_BYTES = 1024 * 1024


class Role(enum.Enum):
    """Raft role of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class StateMachine(Protocol):
    """State machine to which committed commands are applied."""

    def apply(self, command: bytes) -> Any:
        """Apply a committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""


@immutable.dataclass
class Applied:
    """Notice that a committed command was applied to this replica.

    `token` is that of the proposal if this replica proposed the command, else
    None.
    """

    index: int
    result: Any
    token: Any


@immutable.dataclass
class Restored:
    """Notice that a snapshot replaced the state machine's state."""


@immutable.dataclass
class ReadReady:
    """Notice that a read may be answered from the state machine."""

    token: Any


@immutable.dataclass
class RequestDropped:
    """Notice that a proposal or read was abandoned.

    A dropped proposal may still be committed.
    """

    token: Any


class RequestRejectedError(errors.MonsoonpassError):
    """Raised if a replica cannot take a proposal or linearizable read.

    It is not the leader (for reads, not a ready leader), its disk failed, or
    too many reads are pending.
    """


class MembershipChangeError(errors.MonsoonpassError):
    """Raised if a change of members is not allowed, at least not yet."""


@immutable.dataclass
class PendingRead:
    """A read that waits until a quorum confirms the leader.

    Attributes:
        requested_s: Time of the request.
        index: Index that must be applied before the read is answered.
        token: Value to return in the notice of the read.
    """

    requested_s: float
    index: int
    token: Any


@dataclasses.dataclass(kw_only=True, slots=True)
class Replica:
    """State of one replica.

    Attributes:
        identity: Durable identity of the replica.
        state_machine: The state machine.
        disk: Numbers the writes of the journal, which the replica shares.
        base_members: Members as of the log's base.
        log: Entries after the last snapshot.
        term: Current term; durable.
        voted_for: Replica id voted for in the current term, or 0; durable.
        role: Current role.
        leader_id: Replica id of the leader, or 0 if unknown.
        leader_contact_s: Time of the last message from a leader or of the last
            granted vote; minus infinity if there was none since the start.
        started_s: Time at which this replica started.
        leader_since_s: Time at which this replica last became the leader.
        commit_index: Highest index known to be committed.
        applied_index: Highest index applied to the state machine.
        synced_index: Highest index that is durable on this replica's disk.
        unsynced_writes: Sequence number and last index of each log write in
            progress.
        self_vote_sequence: Sequence number of the write of the candidate's
            vote for itself.
        votes: Replica ids that granted a vote or pre-vote.
        progress: At the leader: replication state of the other members, by
            replica id.
        membership_changes: Index and members of each membership entry after
            the base.
        proposal_tokens: Tokens of this replica's own proposals, by log index.
        pending_reads: Reads that wait for a quorum.
        log_bytes: Size of the data of all entries in the log.
        notices: Notices that the replica's owner has not taken yet.
        disk_failed: Whether the disk failed; a failed replica neither starts
            elections nor leads.
        copies_min: Number of disks that must hold a command before it is
            committed.
        predecessor_contact_s: At a leader or candidate, the latest time at
            which a voter that elected it may have acknowledged a message of an
            earlier leader.
        reports_contact: Whether votes tell the time since the last contact.
    """

    identity: records.Identity
    state_machine: StateMachine
    disk: write_barrier.WriteBarrier
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
    proposal_tokens: dict[int, Any] = dataclasses.field(default_factory=dict)
    pending_reads: list[PendingRead] = dataclasses.field(default_factory=list)
    log_bytes: int = 0
    notices: list[Any] = dataclasses.field(default_factory=list)
    disk_failed: bool = False
    copies_min: int = 1
    predecessor_contact_s: float = float("-inf")
    reports_contact: bool = False

    @property
    def replica_id(self) -> int:
        """This replica's id."""
        return self.identity.replica_id

    @property
    def members(self) -> records.Members:
        """The latest members in the log, committed or not."""
        if self.membership_changes:
            return self.membership_changes[-1][1]
        return self.base_members

    @property
    def others(self) -> list[records.Member]:
        """All members except this replica."""
        return [
            member
            for member in self.members.members
            if member.replica_id != self.replica_id
        ]

    @property
    def last_contact_s(self) -> float:
        """Latest time at which this replica may have acknowledged a leader.

        A process that has started does not know the contacts of the one before.
        """
        return max(self.leader_contact_s, self.started_s)

    @property
    def is_leader(self) -> bool:
        """Whether this replica has the role of leader."""
        return self.role is Role.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter among the latest members."""
        return self.replica_id in self.members.voters

    @property
    def is_ready_leader(self) -> bool:
        """Whether this leader may serve reads and change members.

        A leader may do so once it has committed an entry of its own term and
        applied all committed entries.
        """
        return (
            self.is_leader
            and self.log.term_at(self.commit_index) == self.term
            and self.applied_index == self.commit_index
        )

    @property
    def leader_address(self) -> address_lib.Address | None:
        """Address of the leader, or None if unknown."""
        member = self.members.find(self.leader_id)
        return member.address if member else None

    def members_at(self, index: int) -> records.Members:
        """Return the members as of a log index."""
        members = self.base_members
        for change_index, membership in self.membership_changes:
            if change_index <= index:
                members = membership
        return members

    def append(self, entries: Sequence[records.Entry]) -> effects.WriteDisk:
        """Append entries to the log and return the write that persists them."""
        self.append_in_memory(entries)
        write = self.disk.write(entries)
        self.unsynced_writes.append((write.sequence, entries[-1].index))
        return write

    def append_in_memory(self, entries: Sequence[records.Entry]) -> None:
        """Append entries to the in-memory log without writing them to disk."""
        self.log.append(entries)
        for entry in entries:
            self.log_bytes += len(entry.data)
            if entry.kind is records.EntryKind.MEMBERS:
                members = codec.decode(entry.data)
                self.membership_changes.append((entry.index, members))

    def truncate_from(self, index: int) -> None:
        """Remove the entry at an index and all later entries."""
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
        """Return the write that persists the term and the vote."""
        return self.disk.write(
            [records.HardState(term=self.term, voted_for=self.voted_for)]
        )

    def load_snapshot(self, snapshot: records.LogSnapshot) -> None:
        """Replace the state machine, and the log up to the snapshot's index."""
        self.log.compact_to(snapshot.index, snapshot.term)
        self.base_members = snapshot.members
        self.membership_changes = [
            item
            for item in self.membership_changes
            if snapshot.index < item[0] <= self.log.last_index
        ]
        self.log_bytes = sum(len(e.data) for e in self.log.entries)
        self.state_machine.restore(snapshot.data)
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index

    def take_notices(self) -> list[Any]:
        """Return and clear the pending notices."""
        taken = self.notices
        self.notices = []
        return taken


def recover(replica: Replica, journal: Sequence[Any]) -> None:
    """Rebuild term, vote and log from the journal's records, in order.

    Args:
        replica: A newly constructed replica.
        journal: All records of the journal; records of other subsystems are
            ignored.

    Raises:
        JournalDamagedError: The journal lacks a log entry.
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
            f"log entry {entry.index} follows entry {replica.log.last_index}"
        )
    if entry.index <= replica.log.last_index:
        replica.truncate_from(entry.index)
    replica.append_in_memory((entry,))


def needs_compaction(replica: Replica) -> bool:
    """Return whether enough applied entries or bytes have accumulated."""
    applied_count = replica.applied_index - replica.log.base_index
    return applied_count > 0 and (
        applied_count >= COMPACT_AFTER_ENTRIES
        or replica.log_bytes >= COMPACT_AFTER_BYTES
    )


def take_snapshot(replica: Replica) -> records.LogSnapshot:
    """Return a snapshot of the state machine at the applied index."""
    index = replica.applied_index
    return records.LogSnapshot(
        index=index,
        term=replica.log.term_at(index),
        members=replica.members_at(index),
        data=replica.state_machine.snapshot(),
    )


def compact(replica: Replica) -> list[Any]:
    """Replace all applied entries by a snapshot.

    Args:
        replica: The replica; its in-memory log is compacted.

    Returns:
        Records of the replica's whole durable state. They must atomically
        replace the replica's earlier records on disk.
    """
    snapshot = take_snapshot(replica)
    replica.base_members = snapshot.members
    replica.membership_changes = [
        m for m in replica.membership_changes if m[0] > snapshot.index
    ]
    replica.log.compact_to(snapshot.index, snapshot.term)
    replica.log_bytes = sum(len(e.data) for e in replica.log.entries)
    return [
        replica.identity,
        records.HardState(term=replica.term, voted_for=replica.voted_for),
        snapshot,
        *replica.log.entries,
    ]


def has_recent_quorum_contact(replica: Replica, now_s: float) -> bool:
    """Return whether the replica had recent contact with a quorum or leader.

    The result does not prove leadership. It serves to reject requests early
    that are unlikely to succeed.
    """
    if replica.is_leader:
        return (
            now_s - quorum_contact_s(replica, now_s) < QUORUM_CONTACT_MAX_AGE_S
        )
    heard_recently = now_s - replica.leader_contact_s < ELECTION_MAX_S
    return bool(replica.leader_id) and heard_recently


def quorum_contact_s(replica: Replica, now_s: float) -> float:
    """Return the latest send time that a quorum has acknowledged.

    Each voter counts with the send time of the newest request that it
    answered, not with the time of its reply, which may be delayed. Returns
    minus infinity if no quorum has answered yet.
    """
    sent_s = {
        replica_id: progress.last_acked_send_s
        for replica_id, progress in replica.progress.items()
    }
    sent_s[replica.replica_id] = now_s
    return replica.members.quorum_value(
        {v: sent_s.get(v, float("-inf")) for v in replica.members.voters}
    )
