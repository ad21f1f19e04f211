"""The leader's upkeep of the group's members.

A voter that is silent for long is replaced by a learner that has caught up.
One member changes at a time, and only when the change before is committed.
"""

import dataclasses

from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core.agreement import consensus_records as records
from monsoonpass.core.agreement import replica as replica_lib
from monsoonpass.core.agreement import replication
from monsoonpass.core.agreement import report

CANDIDATE_FRESH_S = 10.0
LEARNER_FRESH_S = 2.0
LEARNER_LAG_ENTRIES = 16


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A disk that asked to join the group.

    Attributes:
        address: Where its node listens.
        data_centre: Its data centre.
        heard_s: When it asked last.
    """

    address: address_lib.Address
    data_centre: str
    heard_s: float


def check_members(
    state: node.Node, event: events.Event
) -> list[effects.Effect]:
    """Take the next step towards a full set of voters that answer.

    Args:
        state: The leader's node.
        event: The cause, for its time.

    Returns:
        Effects of the change proposed, if any.
    """
    replica = state.control.replica
    changed = next_members(state, event.now_s)
    if changed is None:
        return []
    try:
        return replication.propose_members(replica, changed, now_s=event.now_s)
    except replica_lib.ChangeInProgressError:
        return []


def next_members(state: node.Node, now_s: float) -> records.Members | None:
    """Return the members after the next change, or None."""
    replica = state.control.replica
    progress = {item.replica_id: item for item in report.report(replica, now_s)}
    limit_s = state.settings.voter_replace_s
    emptied = _emptied(state)
    lost = [
        p
        for p in progress.values()
        if p.voter and (p.quiet_s > limit_s or p.replica_id in emptied)
    ]
    target = state.settings.voters or len(state.settings.bootstrap_voters)
    target = max(target, 1)
    wanted = target - len(replica.members.voters) + len(lost)
    learners = [p for p in progress.values() if not p.voter]
    for learner in learners:
        is_gone = learner.quiet_s > limit_s or learner.replica_id in emptied
        if is_gone or wanted <= 0:
            return _without(replica.members, learner.replica_id)
        if _has_caught_up(replica, learner):
            if lost and len(replica.members.voters) >= target:
                return _without(replica.members, lost[0].replica_id)
            return _promoted(replica.members, learner.replica_id)
    if wanted > 0 and not learners:
        return _with_candidate(state, now_s)
    return None


def _emptied(state: node.Node) -> set[int]:
    """Return the members whose disk came back under another identity."""
    newer = {
        candidate.address: replica_id
        for replica_id, candidate in state.control.candidates.items()
    }
    return {
        member.replica_id
        for member in state.control.replica.members.members
        if newer.get(member.address, member.replica_id) != member.replica_id
    }


def _has_caught_up(
    replica: replica_lib.Replica, learner: report.MemberProgress
) -> bool:
    lag = replica.log.last_index - learner.match_index
    return learner.quiet_s < LEARNER_FRESH_S and lag <= LEARNER_LAG_ENTRIES


def _without(members: records.Members, replica_id: int) -> records.Members:
    return records.Members(
        members=tuple(m for m in members.members if m.replica_id != replica_id)
    )


def _promoted(members: records.Members, replica_id: int) -> records.Members:
    return records.Members(
        members=tuple(
            dataclasses.replace(m, voter=True)
            if m.replica_id == replica_id
            else m
            for m in members.members
        )
    )


def _with_candidate(state: node.Node, now_s: float) -> records.Members | None:
    """Add the best candidate as a learner.

    A disk in a data centre without a voter is best.
    """
    members = state.control.replica.members
    present = {m.replica_id for m in members.members}
    fresh = {
        replica_id: candidate
        for replica_id, candidate in state.control.candidates.items()
        if now_s - candidate.heard_s < CANDIDATE_FRESH_S
    }
    state.control.candidates = fresh
    addable = [key for key in sorted(fresh) if key not in present]
    if not addable:
        return None
    taken = {_data_centre(state, m) for m in members.members}
    addable.sort(key=lambda key: fresh[key].data_centre in taken)
    learner = records.Member(
        replica_id=addable[0], address=fresh[addable[0]].address, voter=False
    )
    return records.Members(members=(*members.members, learner))


def _data_centre(state: node.Node, member: records.Member) -> str:
    """Return the data centre of a member of the group, as far as known."""
    instance = member.address.instance
    known = state.membership.table.get(instance)
    if known is not None:
        return known.data_centre
    for seed in state.settings.seeds:
        if seed.address.instance == instance:
            return seed.data_centre
    return ""
