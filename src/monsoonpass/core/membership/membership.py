"""Failure detection of members: probes and suspicion.

The protocol follows SWIM: in each period, every node probes one member. If the
member does not answer, the node asks other members to probe it, then suspects
it, and declares it dead if the suspicion is not refuted in time. Where one
table covers several data centres, only members of the same data centre suspect
each other; probes to other data centres compare tables and versions. `gossip`
spreads the resulting updates and detects partitions, during which no suspect
is declared dead.
"""

import dataclasses

from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core import node
from monsoonpass.core import seeded_random
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.distribution import catch_up
from monsoonpass.core.membership import gossip
from monsoonpass.core.membership import member as member_lib
from monsoonpass.core.membership import sync_request
from monsoonpass.core.membership import synchronisation

PROBE_PERIOD_S = 1.0
PROBE_TIMEOUT_S = 0.4
INDIRECT_PROBES = 3
SYNC_AFTER_MISMATCHES = 3
# Exclusive limit of the first probe number; these numbers are encoded in five
# bytes.
FIRST_PROBE_NUMBER_LIMIT = 1 << 30
LOCAL_PROBES_PER_REMOTE = 2  # Per probe to another data centre.


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingProbe:
    """A probe that is not answered yet.

    Attributes:
        target: The probed member.
        indirect: Whether other members were asked to probe the target.
        relay_for: The node that requested this probe and the number of its
            own probe; None for a probe of this node.
    """

    target: address_lib.Address
    indirect: bool = False
    relay_for: tuple[address_lib.Address, int] | None = None


def start(state: node.Node, event: events.Started) -> list[effects.Effect]:
    """Add this node's record to the table and start to join and to probe."""
    membership = state.membership
    settings = state.settings
    membership.own_record = member_lib.Member(
        address=settings.address,
        data_centre=settings.data_centre,
        incarnation=event.wall_ms,
        state=member_lib.MemberState.ALIVE,
        has_disk=settings.has_disk,
        service="",
        slots=0,
        upstream=member_lib.UpstreamState.NONE,
        region=settings.region,
    )
    membership.first_incarnation = event.wall_ms
    membership.table.put(membership.own_record, event.now_s)
    # Random, so that late answers to an earlier process of this node do not
    # match.
    numbers = seeded_random.SeededRandom(bits=~event.random_bits)
    membership.probe_number = numbers.below(FIRST_PROBE_NUMBER_LIMIT)
    jitter = seeded_random.SeededRandom(bits=event.random_bits)
    return [
        *synchronisation.join(state, event),
        effects.SetTimer(
            timer=timers.ProbeDue(), delay_s=jitter.uniform(0.2, PROBE_PERIOD_S)
        ),
    ]


@step.handle_timer.register
def _(
    timer: timers.ProbeDue, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    result: list[effects.Effect] = [
        effects.SetTimer(timer=timers.ProbeDue(), delay_s=PROBE_PERIOD_S)
    ]
    state.membership.table.purge(event.now_s)
    result += synchronisation.contact_missing_seed(state, event)
    target = _next_target(state, event)
    if target is None:
        return result
    return result + _probe(state, event, PendingProbe(target=target))


@step.handle_timer.register
def _(
    timer: timers.ProbeTimeout, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    membership = state.membership
    pending = membership.probes.get(timer.number)
    if pending is None:
        return []
    if pending.relay_for is not None or pending.indirect:
        del membership.probes[timer.number]
        if pending.relay_for is not None:
            return []
        gossip.record_probe_outcome(state, answered=False)
        return _suspect(state, event, pending.target)
    pending.indirect = True
    target = membership.table.get(pending.target.instance)
    helpers = [
        m.address
        for m in membership.alive_others
        if m.instance != pending.target.instance
        and (target is None or m.data_centre == target.data_centre)
    ]
    chosen = seeded_random.SeededRandom(bits=event.random_bits).sample(
        helpers, INDIRECT_PROBES
    )
    request = member_lib.PingRequest(number=timer.number, target=pending.target)
    return [
        *(effects.SendDatagram(to=to, message=request) for to in chosen),
        effects.SetTimer(timer=timer, delay_s=PROBE_PERIOD_S - PROBE_TIMEOUT_S),
    ]


@step.handle_timer.register
def _(
    timer: timers.SuspicionTimeout, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    membership = state.membership
    member = membership.table.get(timer.instance)
    if member is None or member.incarnation != timer.incarnation:
        return []
    if member.state is not member_lib.MemberState.SUSPECT:
        return []
    restart = effects.SetTimer(timer=timer, delay_s=gossip.SUSPICION_TIMEOUT_S)
    if gossip.is_partition_likely(state):
        membership.deferred_suspects.add(timer.instance)
        if membership.partitioned:
            return [restart]
        membership.partitioned = True
        return [restart, effects.Log(code=log_events.Code.PARTITION_SUSPECTED)]
    if timer.instance in membership.deferred_suspects:
        # The member was silent during the partition and has not been probed
        # since: probe it before declaring it dead.
        membership.deferred_suspects.discard(timer.instance)
        probe = PendingProbe(target=member.address)
        return [restart, *_probe(state, event, probe)]
    dead = dataclasses.replace(member, state=member_lib.MemberState.DEAD)
    return gossip.merge(state, event, [dead])


@step.handle_message.register
def _(
    message: member_lib.Ping, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    result = gossip.merge(state, event, message.updates)
    ack = member_lib.Ack(
        number=message.number,
        version=state.config.version,
        table_digest=state.membership.table.digest,
        updates=gossip.take_updates(
            state, _data_centre_of(state, event.sender)
        ),
    )
    result.append(effects.SendDatagram(to=event.sender, message=ack))
    if state.membership.table.get(event.sender.instance) is None:
        # After a restart of this node, a sender that is not in the table may
        # know more members than the seeds do.
        result.append(sync_request.request_sync(state, event.sender))
    return result + _compare_with_sender(
        state, event, message.version, message.table_digest
    )


@step.handle_message.register
def _(
    message: member_lib.Ack, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    result = gossip.merge(state, event, message.updates)
    pending = state.membership.probes.pop(message.number, None)
    if pending is not None:
        timer = timers.ProbeTimeout(number=message.number)
        result.append(effects.CancelTimer(timer=timer))
        if pending.relay_for is None:
            gossip.record_probe_outcome(state, answered=True)
        else:
            requester, number = pending.relay_for
            relayed = dataclasses.replace(message, number=number, updates=())
            result.append(effects.SendDatagram(to=requester, message=relayed))
    return result + _compare_with_sender(
        state, event, message.version, message.table_digest
    )


@step.handle_message.register
def _(
    message: member_lib.PingRequest, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    pending = PendingProbe(
        target=message.target, relay_for=(event.sender, message.number)
    )
    return _probe(state, event, pending)


def _next_target(
    state: node.Node, event: events.Event
) -> address_lib.Address | None:
    """Return the next member to probe.

    Members of the own data centre take turns in rounds of random order; every
    few periods, a random member of another data centre is probed.
    """
    membership = state.membership
    membership.probe_periods += 1
    rng = seeded_random.SeededRandom(bits=event.random_bits)
    has_remote = len(membership.table.present_by_data_centre) > 1
    if (
        has_remote
        and membership.probe_periods % (LOCAL_PROBES_PER_REMOTE + 1) == 0
    ):
        return rng.choice(membership.present_remote_members).address
    while True:
        if not membership.probe_order:
            names = [m.instance for m in membership.present_neighbours]
            membership.probe_order = rng.sample(names, len(names))
            if not names:
                remote = membership.present_remote_members
                return rng.choice(remote).address if remote else None
        member = membership.table.get(membership.probe_order.pop())
        if member is not None and member.is_present:
            return member.address


def _data_centre_of(state: node.Node, address: address_lib.Address) -> str:
    """Return the data centre of a node; the own one if the node is unknown."""
    member = state.membership.table.get(address.instance)
    return state.settings.data_centre if member is None else member.data_centre


def _probe(
    state: node.Node, event: events.Event, pending: PendingProbe
) -> list[effects.Effect]:
    membership = state.membership
    membership.probe_number += 1
    number = membership.probe_number
    membership.probes[number] = pending
    updates = gossip.take_updates(state, _data_centre_of(state, pending.target))
    target = membership.table.get(pending.target.instance)
    if target and target.state is member_lib.MemberState.SUSPECT:
        # A suspect can refute the suspicion only if it learns of it.
        updates = (target, *updates)
    ping = member_lib.Ping(
        number=number,
        version=state.config.version,
        table_digest=membership.table.digest,
        updates=updates,
    )
    return [
        effects.SendDatagram(to=pending.target, message=ping),
        effects.SetTimer(
            timer=timers.ProbeTimeout(number=number), delay_s=PROBE_TIMEOUT_S
        ),
    ]


def _suspect(
    state: node.Node, event: events.Event, target: address_lib.Address
) -> list[effects.Effect]:
    member = state.membership.table.get(target.instance)
    if member is None or member.state is not member_lib.MemberState.ALIVE:
        return []
    if not _may_suspect(state, member):
        return []
    suspect = dataclasses.replace(member, state=member_lib.MemberState.SUSPECT)
    return gossip.merge(state, event, [suspect])


def _may_suspect(state: node.Node, member: member_lib.Member) -> bool:
    """Return whether this node may suspect a member.

    Only members of the same data centre suspect each other, since a missing
    answer from another data centre more likely means a broken link than a
    failed member. A member that is alone in its data centre may be suspected
    by every node.
    """
    if member.data_centre == state.settings.data_centre:
        return True
    return all(
        other.instance == member.instance
        or other.data_centre != member.data_centre
        for other in state.membership.alive_others
    )


def _compare_with_sender(
    state: node.Node,
    event: events.PeerMessage,
    version: int,
    table_digest: int,
) -> list[effects.Effect]:
    """Compare the sender's version and table digest with this node's own.

    Requests the sender's records if the tables differ repeatedly although no
    updates are queued.
    """
    membership = state.membership
    result = catch_up.handle_peer_version(state, event, version)
    if table_digest == membership.table.digest:
        membership.digest_mismatches = 0
        return result
    membership.digest_mismatches += 1
    if (
        membership.digest_mismatches < SYNC_AFTER_MISMATCHES
        or membership.updates
    ):
        return result
    membership.digest_mismatches = 0
    return [*result, sync_request.request_sync(state, event.sender)]
