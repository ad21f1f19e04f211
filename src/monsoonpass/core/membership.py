"""Membership of one data centre: probes, suspicion and the spread of news.

The protocol follows SWIM: every node probes one member a period, asks others
to probe it when it does not answer, and suspects it before it declares it
dead. News rides on probes and is also passed on at once to a few members.
When many members fall silent together, a partition is likelier than their
death, and their records are kept.
"""

import dataclasses

from monsoonpass.core import address as address_lib
from monsoonpass.core import distribution
from monsoonpass.core import effects
from monsoonpass.core import entropy as entropy_lib
from monsoonpass.core import events
from monsoonpass.core import logbook
from monsoonpass.core import member as member_lib
from monsoonpass.core import node
from monsoonpass.core import step

PROBE_PERIOD_S = 1.0
PROBE_TIMEOUT_S = 0.4
SUSPICION_S = 3.0
GOSSIP_DELAY_S = 0.05
GOSSIP_FAN_OUT = 3
INDIRECT_PROBES = 3
UPDATES_PER_DATAGRAM = 8
TRANSMISSIONS_PER_DOUBLING = 3
JOIN_RETRY_S = 1.0
SYNC_AFTER_MISMATCHES = 3
PROBES_PER_RECONTACT = 20
PARTITION_SHARE = 0.3
PARTITION_MIN = 3


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingProbe:
    """A probe that is not answered yet.

    Attributes:
        target: The member probed.
        indirect: Whether others were already asked to probe it.
        relay_for: Who asked for this probe, with its number, or None.
    """

    target: address_lib.Address
    indirect: bool = False
    relay_for: tuple[address_lib.Address, int] | None = None


def start(state: node.Node, event: events.Started) -> list[effects.Effect]:
    """Enter the own record and begin to join and probe."""
    membership = state.membership
    settings = state.settings
    membership.own = member_lib.Member(
        address=settings.address,
        data_centre=settings.data_centre,
        incarnation=event.wall_ms,
        state=member_lib.MemberState.ALIVE,
        has_disk=settings.has_disk,
        service="",
        slots=0,
        upstream=member_lib.UpstreamState.NONE,
    )
    membership.table.put(membership.own, event.now_s)
    jitter = entropy_lib.Entropy(bits=event.entropy)
    return [
        *_join(state, event),
        effects.SetTimer(
            timer=events.Probe(), delay_s=jitter.uniform(0.2, PROBE_PERIOD_S)
        ),
    ]


def change_own(
    state: node.Node, event: events.Event, /, **changes: object
) -> list[effects.Effect]:
    """Change the own record and spread it.

    Args:
        state: The node.
        event: The cause, for its time and random bits.
        **changes: New values of fields of the record.

    Returns:
        Effects.
    """
    own = state.membership.own
    changed = dataclasses.replace(
        own, incarnation=own.incarnation + 1, **changes
    )
    return _set_own(state, event, changed)


def spread_now(state: node.Node, event: events.Event) -> list[effects.Effect]:
    """Send queued news at once instead of after the gossip delay."""
    return _gossip(state, event)


@step.expire.register
def _(
    timer: events.Join, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    return _join(state, event)


@step.expire.register
def _(
    timer: events.Gossip, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    state.membership.gossip_set = False
    return _gossip(state, event)


@step.expire.register
def _(
    timer: events.Probe, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    result: list[effects.Effect] = [
        effects.SetTimer(timer=events.Probe(), delay_s=PROBE_PERIOD_S)
    ]
    state.membership.table.purge(event.now_s)
    result += _contact_lost(state, event)
    target = _next_target(state, event)
    if target is None:
        return result
    return result + _probe(state, event, PendingProbe(target=target))


@step.expire.register
def _(
    timer: events.ProbeTimeout, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    membership = state.membership
    pending = membership.probes.get(timer.number)
    if pending is None:
        return []
    if pending.relay_for is not None or pending.indirect:
        del membership.probes[timer.number]
        if pending.relay_for is not None:
            return []
        return _suspect(state, event, pending.target)
    pending.indirect = True
    helpers = [
        m.address
        for m in membership.table.alive()
        if m.instance
        not in (pending.target.instance, state.settings.address.instance)
    ]
    chosen = entropy_lib.Entropy(bits=event.entropy).sample(
        helpers, INDIRECT_PROBES
    )
    request = member_lib.PingRequest(number=timer.number, target=pending.target)
    return [
        *(effects.SendDatagram(to=to, message=request) for to in chosen),
        effects.SetTimer(timer=timer, delay_s=PROBE_PERIOD_S - PROBE_TIMEOUT_S),
    ]


@step.expire.register
def _(
    timer: events.Suspicion, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    membership = state.membership
    member = membership.table.get(timer.instance)
    if member is None or member.incarnation != timer.incarnation:
        return []
    if member.state is not member_lib.MemberState.SUSPECT:
        return []
    if _looks_partitioned(state):
        again = effects.SetTimer(timer=timer, delay_s=SUSPICION_S)
        if membership.partitioned:
            return [again]
        membership.partitioned = True
        return [again, effects.Log(code=logbook.Code.PARTITION_SUSPECTED)]
    dead = dataclasses.replace(member, state=member_lib.MemberState.DEAD)
    return _merge(state, event, [dead])


@step.receive.register
def _(
    message: member_lib.Ping, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    result = _merge(state, event, message.updates)
    ack = member_lib.Ack(
        number=message.number,
        version=state.config.version,
        table_digest=state.membership.table.digest,
        updates=_take_updates(state),
    )
    result.append(effects.SendDatagram(to=event.sender, message=ack))
    return result + _heard(state, event, message.version, message.table_digest)


@step.receive.register
def _(
    message: member_lib.Ack, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    result = _merge(state, event, message.updates)
    pending = state.membership.probes.pop(message.number, None)
    if pending is not None:
        timer = events.ProbeTimeout(number=message.number)
        result.append(effects.CancelTimer(timer=timer))
        if pending.relay_for is not None:
            asker, number = pending.relay_for
            relayed = dataclasses.replace(message, number=number, updates=())
            result.append(effects.SendDatagram(to=asker, message=relayed))
    return result + _heard(state, event, message.version, message.table_digest)


@step.receive.register
def _(
    message: member_lib.PingRequest, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    pending = PendingProbe(
        target=message.target, relay_for=(event.sender, message.number)
    )
    return _probe(state, event, pending)


@step.receive.register
def _(
    message: member_lib.Rumour, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    return _merge(state, event, message.updates)


@step.receive.register
def _(
    message: member_lib.SyncRequest, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    table = state.membership.table
    differing = tuple(
        number
        for number, (ours, theirs) in enumerate(
            zip(table.buckets, message.buckets, strict=False)
        )
        if ours != theirs
    )
    result = _merge(state, event, [message.sender])
    reply = member_lib.SyncReply(
        buckets=differing,
        members=tuple(table.in_buckets(differing)),
        wants_reply=True,
    )
    return [*result, effects.Send(to=event.sender, message=reply)]


@step.receive.register
def _(
    message: member_lib.SyncReply, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    membership = state.membership
    membership.joined = True
    membership.mismatches = 0
    mine = membership.table.in_buckets(message.buckets)
    result = _merge(state, event, message.members)
    if not message.wants_reply or not message.buckets:
        return result
    reply = member_lib.SyncReply(
        buckets=message.buckets, members=tuple(mine), wants_reply=False
    )
    return [*result, effects.Send(to=event.sender, message=reply)]


def _join(state: node.Node, event: events.Event) -> list[effects.Effect]:
    """Synchronise the table with a seed until one has answered."""
    membership = state.membership
    if membership.joined or state.stopping:
        return []
    seeds = [seed.address for seed in state.settings.local_seeds]
    if not seeds:
        return []
    random = entropy_lib.Entropy(bits=event.entropy)
    retry = effects.SetTimer(
        timer=events.Join(),
        delay_s=random.uniform(0.5 * JOIN_RETRY_S, 1.5 * JOIN_RETRY_S),
    )
    return [_sync_request(state, random.choice(seeds)), retry]


def _contact_lost(
    state: node.Node, event: events.Event
) -> list[effects.Effect]:
    """Sometimes try a seed that is not present, to mend a split table."""
    random = entropy_lib.Entropy(bits=event.entropy ^ 0x5EED)
    if random.below(PROBES_PER_RECONTACT):
        return []
    table = state.membership.table
    lost = []
    for seed in state.settings.local_seeds:
        member = table.get(seed.address.instance)
        if member is None or not member.is_present:
            lost.append(seed.address)
    return [_sync_request(state, random.choice(lost))] if lost else []


def _sync_request(state: node.Node, to: address_lib.Address) -> effects.Send:
    request = member_lib.SyncRequest(
        sender=state.membership.own, buckets=state.membership.table.buckets
    )
    return effects.Send(to=to, message=request)


def _next_target(
    state: node.Node, event: events.Event
) -> address_lib.Address | None:
    """Return the next member to probe, in rounds of random order."""
    membership = state.membership
    own = state.settings.address.instance
    while True:
        if not membership.probe_order:
            names = [
                m.instance
                for m in membership.table.present()
                if m.instance != own
            ]
            random = entropy_lib.Entropy(bits=event.entropy)
            membership.probe_order = random.sample(names, len(names))
            if not names:
                return None
        member = membership.table.get(membership.probe_order.pop())
        if member is not None and member.is_present:
            return member.address


def _probe(
    state: node.Node, event: events.Event, pending: PendingProbe
) -> list[effects.Effect]:
    membership = state.membership
    membership.probe_number += 1
    number = membership.probe_number
    membership.probes[number] = pending
    updates = _take_updates(state)
    target = membership.table.get(pending.target.instance)
    if target and target.state is member_lib.MemberState.SUSPECT:
        # A suspect must learn of the suspicion to be able to refute it.
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
            timer=events.ProbeTimeout(number=number), delay_s=PROBE_TIMEOUT_S
        ),
    ]


def _suspect(
    state: node.Node, event: events.Event, target: address_lib.Address
) -> list[effects.Effect]:
    member = state.membership.table.get(target.instance)
    if member is None or member.state is not member_lib.MemberState.ALIVE:
        return []
    suspect = dataclasses.replace(member, state=member_lib.MemberState.SUSPECT)
    return _merge(state, event, [suspect])


def _merge(
    state: node.Node,
    event: events.Event,
    updates: list[member_lib.Member] | tuple[member_lib.Member, ...],
) -> list[effects.Effect]:
    """Take newer records into the table and queue them to be spread."""
    result: list[effects.Effect] = []
    table = state.membership.table
    for update in updates:
        if update.data_centre != state.settings.data_centre:
            continue
        if update.instance == state.settings.address.instance:
            result += _refute(state, event, update)
            continue
        known = table.get(update.instance)
        if known is not None and not update.supersedes(known):
            continue
        table.put(update, event.now_s)
        result += _spread(state, update)
        result += _log_change(known, update)
        if update.state is member_lib.MemberState.SUSPECT:
            timer = events.Suspicion(
                instance=update.instance, incarnation=update.incarnation
            )
            result.append(effects.SetTimer(timer=timer, delay_s=SUSPICION_S))
    return result + _check_healed(state)


def _log_change(
    known: member_lib.Member | None, update: member_lib.Member
) -> list[effects.Effect]:
    codes = {
        member_lib.MemberState.SUSPECT: logbook.Code.MEMBER_SUSPECTED,
        member_lib.MemberState.DEAD: logbook.Code.MEMBER_FAILED,
        member_lib.MemberState.LEFT: logbook.Code.MEMBER_LEFT,
    }
    code = codes.get(update.state)
    if code is None and (known is None or not known.is_present):
        code = logbook.Code.MEMBER_JOINED
    if code is None:
        return []
    return [effects.Log(code=code, fields={"member": update.instance})]


def _refute(
    state: node.Node, event: events.Event, update: member_lib.Member
) -> list[effects.Effect]:
    """Outbid a record about this node that is not its own."""
    own = state.membership.own
    if not update.supersedes(own) or update == own:
        return []
    changed = dataclasses.replace(own, incarnation=update.incarnation + 1)
    return _set_own(state, event, changed)


def _set_own(
    state: node.Node, event: events.Event, changed: member_lib.Member
) -> list[effects.Effect]:
    state.membership.own = changed
    state.membership.table.put(changed, event.now_s)
    return _spread(state, changed)


def _spread(
    state: node.Node, update: member_lib.Member
) -> list[effects.Effect]:
    """Queue a record for the next datagrams."""
    membership = state.membership
    size = membership.table.present_count
    count = TRANSMISSIONS_PER_DOUBLING * max(size.bit_length(), 1)
    membership.updates[update.instance] = [update, count]
    if membership.gossip_set:
        return []
    membership.gossip_set = True
    return [effects.SetTimer(timer=events.Gossip(), delay_s=GOSSIP_DELAY_S)]


def _gossip(state: node.Node, event: events.Event) -> list[effects.Effect]:
    own = state.settings.address.instance
    others = [
        m.address for m in state.membership.table.alive() if m.instance != own
    ]
    random = entropy_lib.Entropy(bits=event.entropy)
    result: list[effects.Effect] = []
    for to in random.sample(others, GOSSIP_FAN_OUT):
        updates = _take_updates(state)
        if not updates:
            break
        rumour = member_lib.Rumour(updates=updates)
        result.append(effects.SendDatagram(to=to, message=rumour))
    return result


def _take_updates(state: node.Node) -> tuple[member_lib.Member, ...]:
    """Return the least spread news and count this transmission."""
    updates = state.membership.updates
    if not updates:
        return ()
    freshest = sorted(updates.values(), key=lambda item: -item[1])
    taken = []
    for item in freshest[:UPDATES_PER_DATAGRAM]:
        taken.append(item[0])
        item[1] -= 1
        if item[1] <= 0:
            del updates[item[0].instance]
    return tuple(taken)


def _heard(
    state: node.Node,
    event: events.PeerMessage,
    version: int,
    table_digest: int,
) -> list[effects.Effect]:
    """Compare the sender's version and table with the own ones."""
    membership = state.membership
    result = distribution.heard_version(state, event, version)
    if table_digest == membership.table.digest:
        membership.mismatches = 0
        return result
    membership.mismatches += 1
    if membership.mismatches < SYNC_AFTER_MISMATCHES or membership.updates:
        return result
    membership.mismatches = 0
    return [*result, _sync_request(state, event.sender)]


def _looks_partitioned(state: node.Node) -> bool:
    table = state.membership.table
    threshold = max(PARTITION_MIN, PARTITION_SHARE * table.present_count)
    return table.suspect_count > threshold


def _check_healed(state: node.Node) -> list[effects.Effect]:
    membership = state.membership
    if not membership.partitioned or _looks_partitioned(state):
        return []
    membership.partitioned = False
    return [effects.Log(code=logbook.Code.PARTITION_HEALED)]
