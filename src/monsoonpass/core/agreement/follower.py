"""Follower side of replication: entries and snapshots from the leader."""

from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core.agreement import consensus_records as records
from monsoonpass.core.agreement import raft
from monsoonpass.core.agreement import replica as replica_lib


@raft.receive.register
def _(
    message: records.Append,
    replica: replica_lib.Replica,
    sender: address_lib.Address,
    now_s: float,
    random_bits: int,
) -> list[effects.Effect]:
    if message.term < replica.term:
        return [_reply(replica, sender, message.sent_s, success=False)]
    result = _accept_leader(replica, message, now_s, random_bits)
    local_term = replica.log.term_at(message.previous_index)
    if local_term is None or local_term != message.previous_term:
        hint_index = _match_hint(replica, message.previous_index)
        reply = _reply(
            replica,
            sender,
            message.sent_s,
            success=False,
            match_index=hint_index,
        )
        return [*result, reply]
    new_entries = _select_new_entries(replica, message.entries)
    if new_entries:
        result.append(replica.append(new_entries))
    match_index = message.previous_index + len(message.entries)
    reply = _reply(
        replica, sender, message.sent_s, success=True, match_index=match_index
    )
    result += replica.disk.after_sync([reply])
    return result + raft.commit_to(
        replica, min(message.commit_index, match_index)
    )


@raft.receive.register
def _(
    message: records.InstallSnapshot,
    replica: replica_lib.Replica,
    sender: address_lib.Address,
    now_s: float,
    random_bits: int,
) -> list[effects.Effect]:
    if message.term < replica.term:
        return [_reply(replica, sender, message.sent_s, success=False)]
    result = _accept_leader(replica, message, now_s, random_bits)
    if message.snapshot.index > replica.commit_index:
        replica.load_snapshot(message.snapshot)
        replica.notices.append(replica_lib.Restored())
        result.append(replica.disk.write([message.snapshot]))
    match_index = replica.commit_index
    reply = _reply(
        replica, sender, message.sent_s, success=True, match_index=match_index
    )
    return result + replica.disk.after_sync([reply])


def _accept_leader(
    replica: replica_lib.Replica,
    message: records.Append | records.InstallSnapshot,
    now_s: float,
    random_bits: int,
) -> list[effects.Effect]:
    """Become a follower of the sender, the leader of the message's term."""
    result: list[effects.Effect] = []
    is_follower = replica.role is replica_lib.Role.FOLLOWER
    if message.term > replica.term or not is_follower:
        result += raft.become_follower(replica, message.term, random_bits)
    replica.leader_id = message.leader
    replica.leader_contact_s = now_s
    return result


def _match_hint(replica: replica_lib.Replica, previous_index: int) -> int:
    """Return the index at which the leader should look for a match next.

    It is below the index that did not match and never below the commit index,
    up to which the logs are known to be equal.
    """
    hint_index = min(previous_index - 1, replica.log.last_index)
    return max(hint_index, replica.commit_index)


def _select_new_entries(
    replica: replica_lib.Replica, entries: tuple[records.Entry, ...]
) -> tuple[records.Entry, ...]:
    """Return the entries from the first one that the log lacks.

    If the log has another entry at the same index, truncates the log there.
    """
    for position, entry in enumerate(entries):
        if entry.index <= replica.log.base_index:
            continue
        local_term = replica.log.term_at(entry.index)
        if local_term == entry.term:
            continue
        if local_term is not None:
            replica.truncate_from(entry.index)
        return entries[position:]
    return ()


def _reply(
    replica: replica_lib.Replica,
    to: address_lib.Address,
    sent_s: float,
    *,
    success: bool,
    match_index: int = 0,
) -> effects.Send:
    reply = records.AppendReply(
        group=replica.identity.group,
        term=replica.term,
        replica=replica.replica_id,
        success=success,
        match_index=match_index,
        sent_s=sent_s,
    )
    return effects.Send(to=to, message=reply)
