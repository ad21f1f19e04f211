"""Leader election: pre-votes, votes and the election timer."""

from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core.agreement import consensus_records as records
from monsoonpass.core.agreement import raft
from monsoonpass.core.agreement import replica as replica_lib
from monsoonpass.core.agreement import replication


def start_replica(
    replica: replica_lib.Replica,
    *,
    now_s: float,
    random_bits: int,
) -> list[effects.Effect]:
    """Start a replica; a voter begins a pre-vote immediately.

    Voters in contact with a leader ignore the pre-vote, so a single restart
    does not disturb the group. If all voters restart at once, no time is lost
    waiting for a leader that does not exist. Skipping the wait is safe: reads
    and acknowledgements need a round trip to a quorum anyway.

    Args:
        replica: The replica, with its term, vote and log recovered.
        now_s: Time of the event.
        random_bits: Random bits.

    Returns:
        Effects, including the first election timer.
    """
    replica.started_s = now_s
    if replica.members.voters == (replica.replica_id,):
        return _campaign(
            replica, pre_vote=False, now_s=now_s, random_bits=random_bits
        )
    if replica.is_voter:
        return _campaign(
            replica, pre_vote=True, now_s=now_s, random_bits=random_bits
        )
    return [raft.election_timer(replica, random_bits)]


def handle_timeout(
    replica: replica_lib.Replica, *, now_s: float, random_bits: int
) -> list[effects.Effect]:
    """Start a pre-vote unless the leader was in contact recently."""
    if replica.is_leader:
        return []
    if replica.disk_failed:
        return [raft.election_timer(replica, random_bits)]
    since_contact_s = now_s - replica.leader_contact_s
    if not replica.is_voter or since_contact_s < replica_lib.ELECTION_MIN_S:
        # The cap keeps a learner that lost its leader from timing out
        # continuously.
        return [
            raft.election_timer(replica, random_bits, min(since_contact_s, 0.5))
        ]
    return _campaign(
        replica, pre_vote=True, now_s=now_s, random_bits=random_bits
    )


def handle_synced(
    replica: replica_lib.Replica,
    *,
    sequence: int,
    now_s: float,
    random_bits: int,
) -> list[effects.Effect]:
    """Count a candidate's vote for itself once the vote is durable."""
    is_candidate = replica.role is replica_lib.Role.CANDIDATE
    if not is_candidate or sequence < replica.self_vote_sequence:
        return []
    replica.votes.add(replica.replica_id)
    return _count_votes(
        replica, pre_vote=False, now_s=now_s, random_bits=random_bits
    )


@raft.receive.register
def _(
    message: records.VoteRequest,
    replica: replica_lib.Replica,
    sender: address_lib.Address,
    now_s: float,
    random_bits: int,
) -> list[effects.Effect]:
    since_contact_s = now_s - replica.leader_contact_s
    if replica.is_leader or since_contact_s < replica_lib.ELECTION_MIN_S:
        return []
    up_to_date = (message.last_term, message.last_index) >= (
        replica.log.last_term,
        replica.log.last_index,
    )
    if message.pre_vote:
        granted = up_to_date and message.term > replica.term
        return [_reply(replica, sender, granted=granted, pre_vote=True)]
    result: list[effects.Effect] = []
    if message.term > replica.term:
        result += raft.become_follower(replica, message.term, random_bits)
    may_vote = replica.voted_for in (0, message.candidate)
    if message.term != replica.term or not may_vote or not up_to_date:
        return [*result, _reply(replica, sender, granted=False, pre_vote=False)]
    replica.voted_for = message.candidate
    contact_age_s = 0.0
    if replica.reports_contact:
        contact_age_s = max(now_s - replica.last_contact_s, 0.0)
    replica.leader_contact_s = now_s
    result.append(replica.write_hard_state())
    reply = _reply(
        replica,
        sender,
        granted=True,
        pre_vote=False,
        contact_age_s=contact_age_s,
    )
    return result + replica.disk.after_sync([reply])


@raft.receive.register
def _(
    message: records.VoteReply,
    replica: replica_lib.Replica,
    sender: address_lib.Address,
    now_s: float,
    random_bits: int,
) -> list[effects.Effect]:
    if message.term > replica.term and not (
        message.pre_vote and message.granted
    ):
        return raft.become_follower(replica, message.term, random_bits)
    if not message.granted:
        return []
    if message.pre_vote and replica.role is not replica_lib.Role.PRE_CANDIDATE:
        return []
    if not message.pre_vote and (
        replica.role is not replica_lib.Role.CANDIDATE
        or message.term != replica.term
    ):
        return []
    if not message.pre_vote:
        replica.predecessor_contact_s = max(
            replica.predecessor_contact_s, now_s - message.contact_age_s
        )
    replica.votes.add(message.voter)
    return _count_votes(
        replica, pre_vote=message.pre_vote, now_s=now_s, random_bits=random_bits
    )


def _campaign(
    replica: replica_lib.Replica,
    *,
    pre_vote: bool,
    now_s: float,
    random_bits: int,
) -> list[effects.Effect]:
    """Request pre-votes, or start a new term and request votes."""
    result: list[effects.Effect] = [raft.election_timer(replica, random_bits)]
    replica.leader_id = 0
    replica.votes = set()
    if pre_vote:
        replica.role = replica_lib.Role.PRE_CANDIDATE
        replica.votes.add(replica.replica_id)
    else:
        replica.role = replica_lib.Role.CANDIDATE
        replica.predecessor_contact_s = replica.last_contact_s
        replica.term += 1
        replica.voted_for = replica.replica_id
        write = replica.write_hard_state()
        replica.self_vote_sequence = write.sequence
        result.append(write)
    request = records.VoteRequest(
        group=replica.identity.group,
        term=replica.term + 1 if pre_vote else replica.term,
        candidate=replica.replica_id,
        last_index=replica.log.last_index,
        last_term=replica.log.last_term,
        pre_vote=pre_vote,
    )
    for member in replica.others:
        if member.voter:
            result.append(effects.Send(to=member.address, message=request))
    if pre_vote:
        result += _count_votes(
            replica, pre_vote=True, now_s=now_s, random_bits=random_bits
        )
    return result


def _count_votes(
    replica: replica_lib.Replica,
    *,
    pre_vote: bool,
    now_s: float,
    random_bits: int,
) -> list[effects.Effect]:
    if not replica.members.has_quorum(replica.votes):
        return []
    if pre_vote:
        return _campaign(
            replica, pre_vote=False, now_s=now_s, random_bits=random_bits
        )
    return replication.become_leader(replica, now_s)


def _reply(
    replica: replica_lib.Replica,
    to: address_lib.Address,
    *,
    granted: bool,
    pre_vote: bool,
    contact_age_s: float = 0.0,
) -> effects.Send:
    reply = records.VoteReply(
        group=replica.identity.group,
        term=replica.term,
        voter=replica.replica_id,
        granted=granted,
        pre_vote=pre_vote,
        contact_age_s=contact_age_s,
    )
    return effects.Send(to=to, message=reply)
