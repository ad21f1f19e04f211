"""Whether this node is the allocator, and since when it may be.

At most one node allocates at a time. A leader allocates while a quorum has
acknowledged a message that it sent within `ALLOCATOR_LEASE_S`. Each voter of
its successor tells how long ago it last heard from a leader, and the successor
starts when a lease based on that contact has ended. One of these voters
belongs to the quorum on which the predecessor's lease was based, since two
quorums share a voter.
"""

from monsoonpass.core import effects
from monsoonpass.core import log_events
from monsoonpass.core import node
from monsoonpass.core.agreement import replica as replica_lib
from monsoonpass.core.quotas import allocator as allocator_lib
from monsoonpass.core.quotas import limits as limits_lib


def observe(state: node.Node) -> None:
    """Have votes tell the last contact once there are workspaces."""
    replica = state.control.replica
    replica.reports_contact = bool(state.config.catalog.workspaces)


def predecessor_end_s(replica: replica_lib.Replica) -> float | None:
    """Return the time from which no predecessor of a leader allocates.

    Returns:
        The time, or None if there never was a predecessor.
    """
    if _is_first_leader(replica):
        return None
    return (
        replica.predecessor_contact_s
        + limits_lib.ALLOCATOR_LEASE_S
        + limits_lib.CLOCK_MARGIN_S
    )


def start_s(replica: replica_lib.Replica) -> float:
    """Return the time from which a leader may allocate."""
    end_s = predecessor_end_s(replica)
    if end_s is None:
        return replica.leader_since_s
    return max(end_s, replica.leader_since_s)


def find_allocator(
    state: node.Node, now_s: float
) -> tuple[allocator_lib.Allocator | None, list[effects.Effect]]:
    """Return the allocator if this node may allocate now, and effects."""
    replica = state.control.replica
    quotas = state.quotas
    if replica is None or not replica.is_leader:
        quotas.allocator = None
        return None, []
    if quotas.allocator and quotas.allocator.session != replica.term:
        quotas.allocator = None
    contact_s = replica_lib.quorum_contact_s(replica, now_s)
    is_leased = now_s < contact_s + limits_lib.ALLOCATOR_LEASE_S
    if state.disk_failed or not replica.is_ready_leader or not is_leased:
        return None, []
    if quotas.allocator is not None:
        return quotas.allocator, []
    begin_s = start_s(replica)
    if now_s < begin_s:
        return None, []
    end_s = predecessor_end_s(replica)
    quotas.allocator = allocator_lib.Allocator(
        session=replica.term,
        start_s=begin_s,
        predecessor_end_s=end_s,
    )
    log = effects.Log(
        code=log_events.Code.QUOTA_ALLOCATOR_STARTED,
        fields={"term": replica.term, "first": end_s is None},
    )
    return quotas.allocator, [log]


def _is_first_leader(replica: replica_lib.Replica) -> bool:
    """Return whether no leader of an earlier term can have allocated.

    An allocator has committed an entry of its term, which stays in the log.
    """
    log = replica.log
    return log.base_index == 0 and log.term_at(1) == replica.term
