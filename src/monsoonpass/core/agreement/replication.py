"""Leader side of replication: proposals, commitment and reads.

A slow follower must not slow down the group (see the patterns in "A Fail-Slow
Tolerant Raft Implementation", chapter 3): the batches in flight to each
follower are bounded, a successful reply never causes a batch to be resent, a
follower that lacks compacted entries gets a snapshot, and the leader waits
only for a quorum.
"""

from typing import Any

from monsoonpass import codec
from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core import log_events
from monsoonpass.core import timers
from monsoonpass.core.agreement import consensus_records as records
from monsoonpass.core.agreement import progress as progress_lib
from monsoonpass.core.agreement import raft
from monsoonpass.core.agreement import replica as replica_lib

HEARTBEAT_S = 0.15
BATCH_MAX_BYTES = 64 * 1024
WINDOW_BATCHES = 8  # Batches in flight to a follower.
UNANSWERED_HEARTBEATS_MAX = 4  # With more, a member counts as unresponsive.
PENDING_READS_MAX = 4096


def become_leader(
    replica: replica_lib.Replica, now_s: float
) -> list[effects.Effect]:
    """Become the leader and propose a first entry of the new term.

    In an empty log the first entry carries the initial members, which the
    other voters do not know yet; otherwise it is an empty entry.

    Args:
        replica: The replica that won the election.
        now_s: Time of the event.

    Returns:
        Effects.
    """
    replica.role = replica_lib.Role.LEADER
    replica.leader_id = replica.replica_id
    replica.leader_since_s = now_s
    replica.progress = {}
    result: list[effects.Effect] = [
        effects.Log(
            code=log_events.Code.LEADER_ELECTED, fields={"term": replica.term}
        ),
        effects.CancelTimer(timer=timers.ElectionTimeout()),
        effects.SetTimer(timer=timers.HeartbeatDue(), delay_s=HEARTBEAT_S),
    ]
    is_first_entry = replica.log.last_index == 0
    return result + propose(
        replica,
        kind=records.EntryKind.MEMBERS
        if is_first_entry
        else records.EntryKind.NOOP,
        data=codec.encode(replica.members) if is_first_entry else b"",
        token=None,
        now_s=now_s,
    )


def propose(
    replica: replica_lib.Replica,
    *,
    kind: records.EntryKind,
    data: bytes,
    token: Any,
    now_s: float,
) -> list[effects.Effect]:
    """Append an entry as leader and send it to the followers.

    Args:
        replica: The leader.
        kind: Type of the entry.
        data: Content of the entry.
        token: Value to return in the `Applied` or `RequestDropped` notice of
            the proposal; None if the proposer needs no notice.
        now_s: Time of the event.

    Returns:
        Effects.

    Raises:
        RequestRejectedError: This replica is not the leader, or its disk
            failed.
    """
    if not replica.is_leader or replica.disk_failed:
        raise replica_lib.RequestRejectedError("this replica is not the leader")
    entry = records.Entry(
        index=replica.log.last_index + 1,
        term=replica.term,
        kind=kind,
        data=data,
    )
    if token is not None:
        replica.proposal_tokens[entry.index] = token
    result: list[effects.Effect] = [replica.append((entry,))]
    _update_tracked_members(replica)
    for member in replica.others:
        result += _replicate(replica, member, now_s)
    return result


def propose_members(
    replica: replica_lib.Replica, members: records.Members, *, now_s: float
) -> list[effects.Effect]:
    """Propose a change of members; see `Members.may_become`.

    Args:
        replica: The leader.
        members: All members after the change.
        now_s: Time of the event.

    Returns:
        Effects.

    Raises:
        MembershipChangeError: An earlier change or the first entry of the
            term is not committed, or the quorums before and after the change
            might not intersect.
    """
    last_change_index = (
        replica.membership_changes[-1][0] if replica.membership_changes else 0
    )
    if last_change_index > replica.commit_index or not replica.is_ready_leader:
        raise replica_lib.MembershipChangeError(
            "an earlier change of members is not committed yet"
        )
    if not replica.members.may_become(members):
        raise replica_lib.MembershipChangeError(
            "quorums before and after the change might not intersect"
        )
    return propose(
        replica,
        kind=records.EntryKind.MEMBERS,
        data=codec.encode(members),
        token=None,
        now_s=now_s,
    )


def start_read(
    replica: replica_lib.Replica, *, token: Any, now_s: float
) -> list[effects.Effect]:
    """Start a linearizable read by read index.

    Args:
        replica: The leader.
        token: Value to return in the `ReadReady` or `RequestDropped` notice.
        now_s: Time of the event.

    Returns:
        Effects: the heartbeats whose replies confirm the read. There are none
        if other reads are pending; reads that arrive during a round of
        heartbeats share the next round.

    Raises:
        RequestRejectedError: This replica is not a ready leader, its disk
            failed, or too many reads are pending.
    """
    is_full = len(replica.pending_reads) >= PENDING_READS_MAX
    if is_full or not replica.is_ready_leader or replica.disk_failed:
        raise replica_lib.RequestRejectedError(
            "this replica cannot serve reads now"
        )
    is_first = not replica.pending_reads
    read = replica_lib.PendingRead(
        requested_s=now_s, index=replica.commit_index, token=token
    )
    replica.pending_reads.append(read)
    _finish_reads(replica, now_s)
    return _send_heartbeats(replica, now_s) if is_first else []


def handle_synced(
    replica: replica_lib.Replica, *, sequence: int, now_s: float
) -> list[effects.Effect]:
    """Advance the synced index, and commit entries that this allows."""
    while replica.unsynced_writes and replica.unsynced_writes[0][0] <= sequence:
        index = replica.unsynced_writes.popleft()[1]
        replica.synced_index = min(index, replica.log.last_index)
    return _advance_commit(replica, now_s)


def handle_link_lost(replica: replica_lib.Replica, instance: str) -> None:
    """Discard the batches in flight to a member whose connection was lost."""
    member = replica.members.find_instance(instance)
    progress = replica.progress.get(member.replica_id) if member else None
    if progress:
        progress.restart_probe()
        progress.unanswered_heartbeats = 0


def handle_heartbeat_due(
    replica: replica_lib.Replica, *, now_s: float, random_bits: int
) -> list[effects.Effect]:
    """Send heartbeats, or step down if no quorum has answered in time."""
    if not replica.is_leader or replica.disk_failed:
        return []
    contact_s = max(
        replica_lib.quorum_contact_s(replica, now_s), replica.leader_since_s
    )
    if now_s - contact_s > replica_lib.ELECTION_MAX_S:
        return raft.become_follower(replica, replica.term, random_bits)
    result: list[effects.Effect] = []
    for member in replica.others:
        progress = replica.progress[member.replica_id]
        progress.unanswered_heartbeats += 1
        if progress.unanswered_heartbeats > UNANSWERED_HEARTBEATS_MAX:
            progress.restart_probe()
        result += _send_heartbeat(replica, member, now_s)
    result.append(
        effects.SetTimer(timer=timers.HeartbeatDue(), delay_s=HEARTBEAT_S)
    )
    return result


@raft.receive.register
def _(
    message: records.AppendReply,
    replica: replica_lib.Replica,
    sender: address_lib.Address,
    now_s: float,
    random_bits: int,
) -> list[effects.Effect]:
    if message.term > replica.term:
        return raft.become_follower(replica, message.term, random_bits)
    progress = replica.progress.get(message.replica)
    member = replica.members.find(message.replica)
    if not replica.is_leader or not progress or not member:
        return []
    if message.term < replica.term:
        return []
    progress.last_reply_s = now_s
    progress.last_acked_send_s = max(progress.last_acked_send_s, message.sent_s)
    progress.unanswered_heartbeats = 0
    if message.success:
        progress.record_success(message.match_index)
    else:
        progress.record_rejection(message.match_index, replica.log.last_index)
    result = _advance_commit(replica, now_s)
    if not replica.is_leader:
        return result
    result += _replicate(replica, member, now_s)
    return result + _finish_reads(replica, now_s)


def _update_tracked_members(replica: replica_lib.Replica) -> None:
    """Add progress for new members and remove it for former members."""
    ids = {member.replica_id for member in replica.others}
    for replica_id in set(replica.progress) - ids:
        del replica.progress[replica_id]
    for replica_id in ids - set(replica.progress):
        replica.progress[replica_id] = progress_lib.Progress(
            next_index=replica.log.last_index
        )


def _replicate(
    replica: replica_lib.Replica, member: records.Member, now_s: float
) -> list[effects.Effect]:
    """Send the batches not yet sent to a member, within its window."""
    progress = replica.progress[member.replica_id]
    result: list[effects.Effect] = []
    window = 1 if progress.probing else WINDOW_BATCHES
    while (
        progress.next_index <= replica.log.last_index
        and len(progress.in_flight) < window
    ):
        result.append(_next_batch(replica, member, progress, now_s))
    return result


def _next_batch(
    replica: replica_lib.Replica,
    member: records.Member,
    progress: progress_lib.Progress,
    now_s: float,
) -> effects.Send:
    if progress.next_index <= replica.log.base_index:
        snapshot = replica_lib.take_snapshot(replica)
        progress.next_index = snapshot.index + 1
        progress.in_flight.append(snapshot.index)
        message: Any = records.InstallSnapshot(
            group=replica.identity.group,
            term=replica.term,
            leader=replica.replica_id,
            snapshot=snapshot,
            sent_s=now_s,
        )
        return effects.Send(to=member.address, message=message)
    batch = replica.log.batch(progress.next_index, BATCH_MAX_BYTES)
    message = _append_message(replica, progress.next_index - 1, batch, now_s)
    progress.next_index += len(batch)
    progress.in_flight.append(batch[-1].index)
    return effects.Send(to=member.address, message=message)


def _append_message(
    replica: replica_lib.Replica,
    previous_index: int,
    entries: tuple[records.Entry, ...],
    now_s: float,
) -> records.Append:
    previous_term = replica.log.term_at(previous_index)
    return records.Append(
        group=replica.identity.group,
        term=replica.term,
        leader=replica.replica_id,
        previous_index=previous_index,
        previous_term=previous_term,
        entries=entries,
        commit_index=replica.commit_index,
        sent_s=now_s,
    )


def _send_heartbeats(
    replica: replica_lib.Replica, now_s: float
) -> list[effects.Effect]:
    result: list[effects.Effect] = []
    for member in replica.others:
        result += _send_heartbeat(replica, member, now_s)
    return result


def _send_heartbeat(
    replica: replica_lib.Replica, member: records.Member, now_s: float
) -> list[effects.Effect]:
    """Send a heartbeat, less often to a member that does not answer."""
    progress = replica.progress[member.replica_id]
    is_unresponsive = progress.unanswered_heartbeats > UNANSWERED_HEARTBEATS_MAX
    if is_unresponsive and progress.unanswered_heartbeats % (
        2 * UNANSWERED_HEARTBEATS_MAX
    ):
        return []
    previous_index = max(progress.next_index - 1, replica.log.base_index)
    previous_index = min(previous_index, replica.log.last_index)
    message = _append_message(replica, previous_index, (), now_s)
    return [effects.Send(to=member.address, message=message)]


def _advance_commit(
    replica: replica_lib.Replica, now_s: float
) -> list[effects.Effect]:
    """Commit entries that a quorum has synced.

    The newest of them must be of this leader's term: Raft does not commit
    entries of earlier terms by counting replicas.
    """
    if not replica.is_leader:
        return []
    synced_indexes = {
        replica_id: progress.match_index
        for replica_id, progress in replica.progress.items()
    }
    synced_indexes[replica.replica_id] = replica.synced_index
    index = replica.members.quorum_value(synced_indexes)
    index = _limit_to_copied(replica, index)
    if index <= replica.commit_index:
        return []
    if replica.log.term_at(index) != replica.term:
        return []
    result = raft.commit_to(replica, index)
    result += _finish_reads(replica, now_s)
    result += _send_heartbeats(replica, now_s)
    if not replica.is_voter:
        # The term replaces the random bits, which are not available here.
        result += raft.become_follower(replica, replica.term, replica.term)
    return result


def _limit_to_copied(replica: replica_lib.Replica, index: int) -> int:
    """Lower a commit index so that enough disks hold every new command.

    While a group is still growing, its majority is smaller than the number of
    copies that it needs to survive the expected disk losses. Learners' disks
    count as copies, too.
    """
    if replica.members.quorum_min >= replica.copies_min:
        return index
    copied_indexes = [replica.synced_index]
    copied_indexes += [
        progress.match_index for progress in replica.progress.values()
    ]
    copied_indexes.sort(reverse=True)
    copied_index = (
        copied_indexes[replica.copies_min - 1]
        if (len(copied_indexes) >= replica.copies_min)
        else 0
    )
    for new_index in range(
        max(replica.commit_index, copied_index) + 1, index + 1
    ):
        entry = replica.log.entry(new_index)
        if entry.kind is records.EntryKind.COMMAND:
            return new_index - 1
    return index


def _finish_reads(
    replica: replica_lib.Replica, now_s: float
) -> list[effects.Effect]:
    """Report reads as ready that a quorum confirmed after their request.

    Starts another round of heartbeats if some reads still wait.
    """
    if not replica.pending_reads or not replica.is_ready_leader:
        return []
    contact_s = replica_lib.quorum_contact_s(replica, now_s)
    waiting = []
    any_answered = False
    for read in replica.pending_reads:
        if (
            contact_s >= read.requested_s
            and replica.applied_index >= read.index
        ):
            replica.notices.append(replica_lib.ReadReady(token=read.token))
            any_answered = True
        else:
            waiting.append(read)
    replica.pending_reads = waiting
    return _send_heartbeats(replica, now_s) if waiting and any_answered else []
