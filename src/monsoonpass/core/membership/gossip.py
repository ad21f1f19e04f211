"""Merges membership updates into the member table and gossips them.

Updates are piggybacked on probes and also sent to a few members shortly after
a change. Where one table covers several data centres, only members of a data
centre send its updates to other data centres, so that the traffic between data
centres does not grow with the whole fleet. When many members fall silent at
the same time, a partition is more likely than their failure, so no suspect is
declared dead.
"""

import dataclasses

from monsoonpass.core import bounded_mapping
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core import node
from monsoonpass.core import seeded_random
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.membership import leave_notice as notice_lib
from monsoonpass.core.membership import member as member_lib

GOSSIP_DELAY_S = 0.05
GOSSIP_FAN_OUT = 3
# Expected copies of an update that all members of a data centre together send
# to each other data centre in one gossip round.
REMOTE_COPIES = 4
UPDATES_PER_DATAGRAM = 8
# Per doubling of the data centre's size. If each member receives c copies of an
# update on average, gossip misses a fraction e**-c of the members; the digests
# on probes reveal these misses.
TRANSMISSIONS_PER_DOUBLING = 2
SUSPICION_TIMEOUT_S = 3.0
# Share of suspects among the present members above which a partition is likely.
PARTITION_SUSPECT_RATIO = 0.3
PARTITION_SUSPECTS_MIN = 3  # Threshold in a small table.
NOTICE_INSTANCES_MAX = 4096  # More than a data centre has.
PARTITION_PROBES = 3  # Number of probes that end within SUSPICION_TIMEOUT_S.


def update_own_record(
    state: node.Node, event: events.Event, /, **changes: object
) -> list[effects.Effect]:
    """Change this node's member record and queue it for gossip.

    Args:
        state: The node.
        event: The event that caused the change.
        **changes: New values for fields of the record.

    Returns:
        Effects that start the gossip timer if it is not running.
    """
    own = state.membership.own_record
    changed = dataclasses.replace(
        own, incarnation=own.incarnation + 1, **changes
    )
    return _store_own_record(state, event, changed)


def send_updates_now(
    state: node.Node, event: events.Event
) -> list[effects.Effect]:
    """Send queued updates now instead of after the gossip delay."""
    return _send_updates(state, event)


@step.handle_timer.register
def _(
    timer: timers.GossipDue, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    state.membership.gossip_timer_set = False
    return _send_updates(state, event)


@step.handle_message.register
def _(
    message: member_lib.Rumour, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    return merge(state, event, message.updates)


def merge(
    state: node.Node,
    event: events.Event,
    updates: list[member_lib.Member] | tuple[member_lib.Member, ...],
) -> list[effects.Effect]:
    """Merge newer records into the table and queue them for gossip."""
    result: list[effects.Effect] = []
    table = state.membership.table
    for update in updates:
        if not state.settings.covers(update.data_centre):
            continue
        if update.instance == state.settings.address.instance:
            result += _refute(state, event, update)
            continue
        _store_notice(state, update)
        previous = table.get(update.instance)
        if previous is not None and not update.supersedes(previous):
            continue
        table.put(update, event.now_s)
        if update.accepts_calls and not (previous and previous.accepts_calls):
            state.routing.reset_observations(update.instance)
        result += _queue_update(state, update)
        result += _log_change(previous, update)
        if update.state is member_lib.MemberState.SUSPECT:
            timer = timers.SuspicionTimeout(
                instance=update.instance, incarnation=update.incarnation
            )
            result.append(
                effects.SetTimer(timer=timer, delay_s=SUSPICION_TIMEOUT_S)
            )
    return result + _check_partition_over(state)


def _store_notice(state: node.Node, update: member_lib.Member) -> None:
    """Store a notice of leaving, for when the node of the upstream restarts."""
    if update.last_notice is None:
        return
    by_instance = state.membership.notices
    if update.instance not in by_instance:
        bounded_mapping.evict_oldest_if_full(by_instance, NOTICE_INSTANCES_MAX)
    notices = by_instance.setdefault(update.instance, notice_lib.LeaveNotices())
    notices.add([update.last_notice])


def _log_change(
    previous: member_lib.Member | None, update: member_lib.Member
) -> list[effects.Effect]:
    codes = {
        member_lib.MemberState.SUSPECT: log_events.Code.MEMBER_SUSPECTED,
        member_lib.MemberState.DEAD: log_events.Code.MEMBER_FAILED,
        member_lib.MemberState.LEFT: log_events.Code.MEMBER_LEFT,
    }
    code = codes.get(update.state)
    if code is None and (previous is None or not previous.is_present):
        code = log_events.Code.MEMBER_JOINED
    if code is None:
        return []
    return [effects.Log(code=code, fields={"member": update.instance})]


def _refute(
    state: node.Node, event: events.Event, update: member_lib.Member
) -> list[effects.Effect]:
    """Refute a record about this node that this node did not issue.

    The refutation is the node's own record with a higher incarnation.
    """
    own = state.membership.own_record
    if not update.supersedes(own) or update == own:
        return []
    changed = dataclasses.replace(own, incarnation=update.incarnation + 1)
    return _store_own_record(state, event, changed)


def _store_own_record(
    state: node.Node, event: events.Event, changed: member_lib.Member
) -> list[effects.Effect]:
    state.membership.own_record = changed
    state.membership.table.put(changed, event.now_s)
    return _queue_update(state, changed)


def _queue_update(
    state: node.Node, update: member_lib.Member
) -> list[effects.Effect]:
    """Queue a record for gossip and make sure that the gossip timer runs."""
    membership = state.membership
    own = state.settings.data_centre
    by_data_centre = membership.table.present_by_data_centre
    size = max(by_data_centre.get(own, 0) - 1, 1)
    count = TRANSMISSIONS_PER_DOUBLING * size.bit_length()
    if update.data_centre == own:
        count += len(by_data_centre) - 1
    membership.updates[update.instance] = [update, count]
    if membership.gossip_timer_set:
        return []
    membership.gossip_timer_set = True
    return [effects.SetTimer(timer=timers.GossipDue(), delay_s=GOSSIP_DELAY_S)]


def _send_updates(
    state: node.Node, event: events.Event
) -> list[effects.Effect]:
    rng = seeded_random.SeededRandom(bits=event.random_bits)
    neighbours = state.membership.alive_neighbours
    targets = rng.sample(neighbours, GOSSIP_FAN_OUT)
    for members in _remote_by_data_centre(state).values():
        if rng.below(len(neighbours) + 1) < REMOTE_COPIES:
            targets.append(rng.choice(members))
    result: list[effects.Effect] = []
    for to in targets:
        updates = take_updates(state, to.data_centre)
        if updates:
            rumour = member_lib.Rumour(updates=updates)
            result.append(effects.SendDatagram(to=to.address, message=rumour))
    return result


def _remote_by_data_centre(
    state: node.Node,
) -> dict[str, list[member_lib.Member]]:
    by_data_centre: dict[str, list[member_lib.Member]] = {}
    for member in state.membership.alive_remote_members:
        by_data_centre.setdefault(member.data_centre, []).append(member)
    return by_data_centre


def take_updates(
    state: node.Node, data_centre: str
) -> tuple[member_lib.Member, ...]:
    """Return the least-sent updates and decrement their transmissions left.

    Args:
        state: The node.
        data_centre: Data centre of the receiver. Only updates about the own
            data centre are sent to other data centres.

    Returns:
        At most `UPDATES_PER_DATAGRAM` records.
    """
    updates = state.membership.updates
    if not updates:
        return ()
    own = state.settings.data_centre
    sendable = [
        item
        for item in updates.values()
        if own in (data_centre, item[0].data_centre)
    ]
    least_sent = sorted(sendable, key=lambda item: -item[1])
    taken = []
    for item in least_sent[:UPDATES_PER_DATAGRAM]:
        taken.append(item[0])
        item[1] -= 1
        if item[1] <= 0:
            del updates[item[0].instance]
    return tuple(taken)


def is_partition_likely(state: node.Node) -> bool:
    """Return whether a network partition is more likely than failed members.

    A partition is likely if too many members are suspected at the same time,
    or if none of the last probes was answered. The second rule is for small
    data centres, where all the members together may be too few for the first.
    """
    membership = state.membership
    probe_outcomes = membership.probe_outcomes
    if len(probe_outcomes) == PARTITION_PROBES and not any(probe_outcomes):
        return True
    table = membership.table
    threshold = max(
        PARTITION_SUSPECTS_MIN, PARTITION_SUSPECT_RATIO * table.present_count
    )
    return table.suspect_count > threshold


def record_probe_outcome(state: node.Node, *, answered: bool) -> None:
    """Record whether a member answered a probe of this node."""
    probe_outcomes = state.membership.probe_outcomes
    probe_outcomes.append(answered)
    if len(probe_outcomes) > PARTITION_PROBES:
        probe_outcomes.popleft()


def _check_partition_over(state: node.Node) -> list[effects.Effect]:
    membership = state.membership
    if not membership.partitioned or is_partition_likely(state):
        return []
    membership.partitioned = False
    return [effects.Log(code=log_events.Code.PARTITION_HEALED)]
