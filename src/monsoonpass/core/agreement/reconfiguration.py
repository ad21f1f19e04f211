"""Reconfiguration of the group's members by the leader.

A voter that has been silent for too long is replaced by a learner that has
caught up. The replacement is one change, by joint consensus: a group that first
removed the silent voter would meanwhile bear fewer losses. Each change waits
until the previous one is committed.
"""

import dataclasses

from monsoonpass import immutable
from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core.agreement import consensus_records as records
from monsoonpass.core.agreement import member_status
from monsoonpass.core.agreement import replica as replica_lib
from monsoonpass.core.agreement import replication

JOIN_REQUEST_MAX_AGE_S = 10.0
LEARNER_MAX_SILENCE_S = 2.0
LEARNER_MAX_LAG_ENTRIES = 16


@immutable.dataclass
class JoinRequest:
    """Request of a node to join the group.

    Attributes:
        address: Address of the node.
        data_centre: Data centre of the node.
        requested_s: Time of the node's last request.
    """

    address: address_lib.Address
    data_centre: str
    requested_s: float


def propose_next_change(
    state: node.Node, event: events.Event
) -> list[effects.Effect]:
    """Propose the next change towards a full set of responsive voters.

    Args:
        state: The node, which is the leader.
        event: The event being handled; its time is used.

    Returns:
        Effects of the proposed change, if any.
    """
    replica = state.control.replica
    changed_members = next_membership(state, event.now_s)
    if changed_members is None:
        return []
    try:
        return replication.propose_members(
            replica, changed_members, now_s=event.now_s
        )
    except replica_lib.MembershipChangeError:
        return []


def next_membership(state: node.Node, now_s: float) -> records.Members | None:
    """Return the members after the next change, or None for no change.

    In this order: end a replacement in progress; remove a learner that is
    lost or not needed; let a learner that has caught up replace a lost voter,
    or promote it if none is lost; add a learner if voters are missing.

    Args:
        state: The node, which is the leader.
        now_s: Time of the event.

    Returns:
        The members to propose, or None.
    """
    replica = state.control.replica
    statuses = member_status.member_statuses(replica, now_s)
    reidentified = _members_with_new_identity(state)
    lost_ids = {
        status.replica_id
        for status in statuses
        if status.silent_s > state.settings.voter_replace_s
        or status.replica_id in reidentified
    }
    if replica.members.outgoing:
        return _after_replacement(replica.members, lost_ids)
    lost_voters = [
        status
        for status in statuses
        if status.voter and status.replica_id in lost_ids
    ]
    target = state.settings.voters or len(state.settings.bootstrap_voters)
    target = max(target, 1)
    missing_count = target - len(replica.members.voters) + len(lost_voters)
    learners = [status for status in statuses if not status.voter]
    for learner in learners:
        if learner.replica_id in lost_ids or missing_count <= 0:
            return _without(replica.members, learner.replica_id)
        if _has_caught_up(replica, learner):
            promoted = _promoted(replica.members, learner.replica_id)
            if not lost_voters:
                return promoted
            return dataclasses.replace(
                promoted,
                incoming=learner.replica_id,
                outgoing=lost_voters[0].replica_id,
            )
    if missing_count > 0 and not learners:
        return _with_new_learner(state, now_s)
    return None


def _members_with_new_identity(state: node.Node) -> set[int]:
    """Return ids of members whose node requested to join under another id.

    Such a node has lost its disk and with it the old identity.
    """
    newest_ids = {
        request.address: replica_id
        for replica_id, request in state.control.join_requests.items()
    }
    return {
        member.replica_id
        for member in state.control.replica.members.members
        if newest_ids.get(member.address, member.replica_id)
        != member.replica_id
    }


def _has_caught_up(
    replica: replica_lib.Replica, learner: member_status.MemberStatus
) -> bool:
    lag = replica.log.last_index - learner.match_index
    return (
        learner.silent_s < LEARNER_MAX_SILENCE_S
        and lag <= LEARNER_MAX_LAG_ENTRIES
    )


def _after_replacement(
    members: records.Members, lost_ids: set[int]
) -> records.Members:
    """Return the members after a replacement, without the voter that leaves it.

    The replacement is taken back if its new voter is lost and the old one has
    returned.
    """
    is_taken_back = (
        members.incoming in lost_ids and members.outgoing not in lost_ids
    )
    return _without(
        members, members.incoming if is_taken_back else members.outgoing
    )


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


def _with_new_learner(state: node.Node, now_s: float) -> records.Members | None:
    """Return the members with a new learner, or None without a join request.

    Prefers a node in a data centre that has no member yet. Discards outdated
    join requests.
    """
    members = state.control.replica.members
    present = {m.replica_id for m in members.members}
    recent = {
        replica_id: request
        for replica_id, request in state.control.join_requests.items()
        if now_s - request.requested_s < JOIN_REQUEST_MAX_AGE_S
    }
    state.control.join_requests = recent
    eligible_ids = [
        replica_id for replica_id in sorted(recent) if replica_id not in present
    ]
    if not eligible_ids:
        return None
    covered = {_data_centre(state, m) for m in members.members}
    eligible_ids.sort(
        key=lambda replica_id: recent[replica_id].data_centre in covered
    )
    learner = records.Member(
        replica_id=eligible_ids[0],
        address=recent[eligible_ids[0]].address,
        voter=False,
    )
    return records.Members(members=(*members.members, learner))


def _data_centre(state: node.Node, member: records.Member) -> str:
    """Return the data centre of a group member, or "" if unknown."""
    instance = member.address.instance
    known = state.membership.table.get(instance)
    if known is not None:
        return known.data_centre
    for seed in state.settings.seeds:
        if seed.address.instance == instance:
            return seed.data_centre
    return ""
