"""What a node knows of rollouts, and how it spreads and asks for it."""

import dataclasses
import math

from monsoonpass.core import address as address_lib
from monsoonpass.core import bounded_mapping
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core import seeded_random
from monsoonpass.core import step
from monsoonpass.core.agreement import voter_lookup
from monsoonpass.core.rollouts import owner
from monsoonpass.core.rollouts import rollout as rollout_lib
from monsoonpass.core.rollouts import rollout_messages as messages
from monsoonpass.core.rollouts import rollout_state
from monsoonpass.core.rollouts import version_choice

QUERY_INTERVAL_S = 0.25
# Three announcements of the leader.
SILENCE_MAX_S = 1.5
# Members to which one node sends an announcement itself; more get it through
# one level of others.
DIRECT_MAX = 128
SERVICES_MAX = rollout_lib.SERVICES_MAX

Reach = messages.Reach


def learn(
    state: node.Node,
    event: events.Event,
    rollout: rollout_lib.Rollout,
    *,
    leader: address_lib.Address | None = None,
    report_interval_s: float | None = None,
) -> list[effects.Effect]:
    """Take over the record of a rollout if it is not older than the known one.

    Args:
        state: The node.
        event: The event that carried the record.
        rollout: The record.
        leader: The leader, if it announced the record.
        report_interval_s: Interval of reports that it asks for.

    Returns:
        Effects of a change on the own upstream.
    """
    by_service = state.rollouts.known
    known = by_service.get(rollout.service)
    if known is not None and known.rollout.supersedes(rollout):
        return []
    if known is None:
        bounded_mapping.evict_oldest_if_full(by_service, SERVICES_MAX)
        known = rollout_state.KnownRollout(rollout=rollout, heard_s=event.now_s)
        by_service[rollout.service] = known
    known.heard_s = event.now_s
    known.leader = leader or known.leader
    known.report_interval_s = report_interval_s or known.report_interval_s
    if rollout.phase is not rollout_lib.Phase.RUNNING:
        known.credit = 0
    if rollout.number != known.rollout.number:
        known.credit = 0
        known.closes_at_s = math.inf
    known.rollout = rollout
    _establish(state, rollout)
    return owner.handle_known(state, event, known)


def learn_at_start(
    state: node.Node,
    event: events.Event,
    rollouts: tuple[rollout_lib.Rollout, ...],
) -> list[effects.Effect]:
    """Take over the records that a cold read returned.

    An upstream that was closed before its node restarted stays closed: its
    earlier process may have reported so.
    """
    result: list[effects.Effect] = []
    for rollout in rollouts:
        known = state.rollouts.known.get(rollout.service)
        result += learn(state, event, rollout)
        if known is None and rollout.serves_all:
            state.rollouts.known[rollout.service].closes_at_s = event.now_s
    return result


def _establish(state: node.Node, rollout: rollout_lib.Rollout) -> None:
    """Update the versions that may be served without a rollout."""
    established = state.rollouts.established.setdefault(rollout.service, set())
    if rollout.phase is rollout_lib.Phase.COMPLETED:
        established.clear()
        established.add(rollout.target_version)
    else:
        established.discard(rollout.target_version)


def spread(
    state: node.Node,
    event: events.Event,
    announcement: messages.Announcement,
    instances: list[address_lib.Address],
) -> list[effects.Effect]:
    """Send an announcement to members, to many of them through others."""
    if len(instances) <= DIRECT_MAX:
        return [
            effects.Send(to=address, message=announcement)
            for address in instances
        ]
    rng = seeded_random.SeededRandom(bits=event.random_bits)
    ordered = sorted(instances, key=lambda address: address.instance)
    size = math.ceil(math.sqrt(len(ordered)))
    result: list[effects.Effect] = []
    for start in range(0, len(ordered), size):
        part = ordered[start : start + size]
        forwarded = dataclasses.replace(
            announcement,
            reach=Reach.RANGE,
            first=part[0].instance,
            last=part[-1].instance,
        )
        # Another one each time, since one that is down serves its range badly.
        result.append(effects.Send(to=rng.choice(part), message=forwarded))
    return result


@step.handle_message.register
def _(
    message: messages.Announcement, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    result = learn(
        state,
        event,
        message.rollout,
        leader=message.leader,
        report_interval_s=message.report_interval_s,
    )
    if message.reach is Reach.RECEIVER:
        return result
    own_copy = dataclasses.replace(message, reach=Reach.RECEIVER)
    neighbours = [m.address for m in state.membership.present_others]
    if message.reach is Reach.RANGE:
        neighbours = [
            address
            for address in neighbours
            if message.first <= address.instance <= message.last
        ]
        return result + [
            effects.Send(to=address, message=own_copy) for address in neighbours
        ]
    return result + spread(state, event, own_copy, neighbours)


def refresh(
    state: node.Node, event: events.Event, service: str
) -> list[effects.Effect]:
    """Ask about a service before a call if this node may not know enough.

    That is the case if a version appeared that it has not seen carry traffic,
    or if a rollout is running and the leader has been silent.
    """
    rollouts = state.rollouts
    known = rollouts.known.get(service)
    is_silent = (
        known is not None
        and not known.rollout.phase.is_ended
        and event.now_s - known.heard_s > SILENCE_MAX_S
    )
    if not is_silent and not version_choice.unestablished_versions(
        state, service
    ):
        return []
    previous = rollouts.queries.get(service)
    if previous and event.now_s - previous.sent_s < QUERY_INTERVAL_S:
        return []
    count = previous.count if previous else 0
    bounded_mapping.evict_oldest_if_full(rollouts.queries, SERVICES_MAX)
    rollouts.queries[service] = rollout_state.VersionQuery(
        versions=frozenset(version_choice.visible_versions(state, service)),
        sent_s=event.now_s,
        count=count + 1,
    )
    to = voter_lookup.pick_leader(state, event, count % 2)
    if to is None:
        return []
    query = messages.RolloutRead(read_id=0, service=service)
    return [effects.Send(to=to, message=query)]


def handle_query_reply(
    state: node.Node,
    event: events.PeerMessage,
    message: messages.RolloutReadReply,
) -> list[effects.Effect]:
    """Handle the reply to a query of `refresh`.

    An upstream of a rollout's target starts after the order. A version that was
    visible before a quorum confirmed the newest rollout is therefore either the
    target of a recorded rollout, or none at all.
    """
    result: list[effects.Effect] = []
    if message.rollout is not None:
        result = learn(state, event, message.rollout)
    if message.leader is not None:
        state.control.leader = message.leader
    query = state.rollouts.queries.get(message.service)
    if not message.confirmed or query is None:
        return result
    del state.rollouts.queries[message.service]
    versions = set(query.versions)
    if message.rollout is not None:
        versions.discard(message.rollout.target_version)
        versions.difference_update(message.rollout.rejected)
    established = state.rollouts.established.setdefault(message.service, set())
    established.update(versions)
    return result
