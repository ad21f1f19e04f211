"""Synchronisation of member tables: joining and anti-entropy.

A starting node requests the table of a random seed until a seed has answered.
Later, tables whose digests keep differing are compared bucket by bucket, and
seeds that are missing from the table are contacted occasionally, so that the
two sides of a former partition find each other again.
"""

from monsoonpass.core import backoff
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core import seeded_random
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.membership import gossip
from monsoonpass.core.membership import member as member_lib
from monsoonpass.core.membership import own_upstream
from monsoonpass.core.membership import sync_request

JOIN_RETRY_S = 0.1  # Doubled with each attempt; seeds may be starting too.
JOIN_RETRY_MAX_S = 2.0  # Seeds may be gone permanently.
PROBE_PERIODS_PER_CONTACT = 20  # On average, between contacts.


@step.handle_timer.register
def _(
    timer: timers.JoinDue, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    return join(state, event)


@step.handle_message.register
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
    result = gossip.merge(state, event, [message.sender])
    stored = state.membership.notices.get(event.sender.instance)
    reply = member_lib.SyncReply(
        buckets=differing,
        members=tuple(table.in_buckets(differing)),
        wants_reply=True,
        notices=stored.all if stored is not None else (),
        request_incarnation=message.sender.incarnation,
    )
    return [*result, effects.Send(to=event.sender, message=reply)]


@step.handle_message.register
def _(
    message: member_lib.SyncReply, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    membership = state.membership
    seeds = [seed.address.instance for seed in state.settings.local_seeds]
    # Only a seed's answer counts as a join: if two groups of nodes start at the
    # same time, answers of other new nodes might make each group take itself
    # for the whole mesh. Nor does an answer to an earlier process of this node
    # count, since it lacks what that process published afterwards.
    is_for_this_process = (
        message.request_incarnation >= membership.first_incarnation
    )
    membership.joined |= is_for_this_process and event.sender.instance in seeds
    membership.digest_mismatches = 0
    own_records = membership.table.in_buckets(message.buckets)
    result = own_upstream.merge_stored_notices(state, event, message.notices)
    result += gossip.merge(state, event, message.members)
    if not message.wants_reply or not message.buckets:
        return result
    reply = member_lib.SyncReply(
        buckets=message.buckets, members=tuple(own_records), wants_reply=False
    )
    return [*result, effects.Send(to=event.sender, message=reply)]


def join(state: node.Node, event: events.Event) -> list[effects.Effect]:
    """Request synchronisation from a random seed until a seed has answered."""
    membership = state.membership
    if membership.joined or state.stopping:
        return []
    seeds = [seed.address for seed in state.settings.local_seeds]
    if not seeds:
        return []
    membership.join_attempts += 1
    backoff_s = backoff.doubled_s(
        JOIN_RETRY_S, membership.join_attempts, JOIN_RETRY_MAX_S
    )
    rng = seeded_random.SeededRandom(bits=event.random_bits)
    retry = effects.SetTimer(
        timer=timers.JoinDue(),
        delay_s=rng.uniform(0.5 * backoff_s, 1.5 * backoff_s),
    )
    return [sync_request.request_sync(state, rng.choice(seeds)), retry]


def contact_missing_seed(
    state: node.Node, event: events.Event
) -> list[effects.Effect]:
    """Occasionally contact a seed that is missing, to rejoin a split mesh."""
    # Independent of the random choice of the probe's target.
    rng = seeded_random.SeededRandom(bits=event.random_bits ^ 0x5EED)
    if rng.below(PROBE_PERIODS_PER_CONTACT):
        return []
    table = state.membership.table
    missing = []
    for seed in state.settings.local_seeds:
        member = table.get(seed.address.instance)
        if member is None or not member.is_present:
            missing.append(seed.address)
    return (
        [sync_request.request_sync(state, rng.choice(missing))]
        if missing
        else []
    )
