"""The leader of the control group leads the rollouts too.

It collects the reports of owner nodes, has each decision recorded, and then
announces the record to all nodes, again and again while the rollout runs. All
that a new leader needs is in the record and in the next reports, which carry
all counts since the order.
"""

import dataclasses

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core import node
from monsoonpass.core import seeded_random
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.agreement import proposals
from monsoonpass.core.agreement import replica as replica_lib
from monsoonpass.core.rollouts import knowledge
from monsoonpass.core.rollouts import plan
from monsoonpass.core.rollouts import rollout as rollout_lib
from monsoonpass.core.rollouts import rollout_messages as messages

PLAN_INTERVAL_S = 0.25
ANNOUNCE_EVERY = 2  # Planning intervals from one announcement to the next.
# Announced for so long after the end, for nodes that were frozen or cut off.
ANNOUNCE_AFTER_END_S = 10.0
REPORT_INTERVAL_S = 0.5
# Reports to the leader, over all owner nodes of a service. Decoding one takes
# about 0.1 ms.
REPORTS_PER_S = 200.0
PROPOSE_AGAIN_S = 1.0

Phase = rollout_lib.Phase

_CODES = {
    Phase.RUNNING: log_events.Code.ROLLOUT_STEP,
    Phase.PROMOTED: log_events.Code.ROLLOUT_PROMOTED,
    Phase.COMPLETED: log_events.Code.ROLLOUT_COMPLETED,
    Phase.ROLLED_BACK: log_events.Code.ROLLOUT_ROLLED_BACK,
}


def arm(state: node.Node, event: events.Event) -> list[effects.Effect]:
    """Start planning if this node leads and a rollout needs it."""
    replica = state.control.replica
    if state.rollouts.plan_timer_set or replica is None:
        return []
    if not replica.is_ready_leader or not _has_active(state, event):
        return []
    state.rollouts.plan_timer_set = True
    state.rollouts.trackers = {}
    return [effects.SetTimer(timer=timers.RolloutPlanDue(), delay_s=0.0)]


def handle_applied(
    state: node.Node, event: events.Event, notice: replica_lib.Applied
) -> list[effects.Effect]:
    """Take over and announce a record that a command has changed."""
    if not isinstance(notice.result, rollout_lib.RolloutChanged):
        return []
    rollout = notice.result.rollout
    result = knowledge.learn(state, event, rollout)
    replica = state.control.replica
    if replica is None or not replica.is_ready_leader:
        return result
    return [
        *result,
        _log(rollout),
        *_announce(state, event, rollout),
    ]


def learn_stored(state: node.Node, event: events.Event) -> list[effects.Effect]:
    """Take over the records of a restored state machine."""
    result: list[effects.Effect] = []
    for rollout in state.control.state_machine.rollouts.records():
        result += knowledge.learn(state, event, rollout)
    return result


@step.handle_timer.register
def _(
    timer: timers.RolloutPlanDue, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    replica = state.control.replica
    rollouts = state.rollouts
    active = _active(state, event) if replica.is_ready_leader else []
    if not active:
        rollouts.plan_timer_set = False
        rollouts.trackers = {}
        return []
    rollouts.plan_count += 1
    result: list[effects.Effect] = [
        effects.SetTimer(timer=timer, delay_s=PLAN_INTERVAL_S)
    ]
    for rollout in active:
        result += knowledge.learn(state, event, rollout)
        if not rollout.phase.is_ended:
            result += _plan(state, event, rollout)
        if rollouts.plan_count % ANNOUNCE_EVERY == 0:
            result += _announce(state, event, rollout)
    return result


@step.handle_message.register
def _(
    message: messages.UpstreamReport,
    event: events.PeerMessage,
    state: node.Node,
) -> list[effects.Effect]:
    rollout = state.control.state_machine.rollouts.find(message.service)
    if rollout is None or message.number != rollout.number:
        return []
    if not state.rollouts.plan_timer_set or rollout.phase.is_ended:
        return []
    tracker = _tracker(state, event, rollout)
    tracker.add_report(rollout, event.sender.instance, message, event.now_s)
    return []


def _has_active(state: node.Node, event: events.Event) -> bool:
    """Return whether there are active rollouts, without a look at each."""
    stored = state.control.state_machine.rollouts
    since_ms = state.wall_ms(event.now_s) - stored.last_changed_ms
    return bool(stored.unfinished) or since_ms < ANNOUNCE_AFTER_END_S * 1000


def _active(state: node.Node, event: events.Event) -> list[rollout_lib.Rollout]:
    """Return the rollouts that are running or have just ended."""
    now_ms = state.wall_ms(event.now_s)
    return [
        rollout
        for rollout in state.control.state_machine.rollouts.records()
        if not rollout.phase.is_ended
        or now_ms - rollout.changed_ms < ANNOUNCE_AFTER_END_S * 1000
    ]


def _tracker(
    state: node.Node, event: events.Event, rollout: rollout_lib.Rollout
) -> plan.Tracker:
    trackers = state.rollouts.trackers
    tracker = trackers.get(rollout.service)
    if tracker is None or tracker.number != rollout.number:
        tracker = plan.Tracker(rollout, event.now_s)
        trackers[rollout.service] = tracker
    tracker.note_step(rollout, event.now_s)
    return tracker


def _plan(
    state: node.Node, event: events.Event, rollout: rollout_lib.Rollout
) -> list[effects.Effect]:
    """Propose the next step of a rollout if one is due."""
    tracker = _tracker(state, event, rollout)
    planned = plan.next_step(state, rollout, tracker, event.now_s)
    if planned is None or event.now_s - tracker.proposed_s < PROPOSE_AGAIN_S:
        return []
    command = rollout_lib.AdvanceRollout(rollout=planned)
    proposed = proposals.propose_command(state, event, command, None)
    if proposed is None:
        return []
    tracker.proposed_s = event.now_s
    return proposed


def _announce(
    state: node.Node, event: events.Event, rollout: rollout_lib.Rollout
) -> list[effects.Effect]:
    tracker = state.rollouts.trackers.get(rollout.service)
    owners = len(tracker.owners) if tracker else 0
    announcement = messages.Announcement(
        rollout=rollout,
        leader=state.settings.address,
        report_interval_s=max(REPORT_INTERVAL_S, owners / REPORTS_PER_S),
    )
    known = state.rollouts.known.get(rollout.service)
    if known is not None:
        known.leader = state.settings.address
    members = [member.address for member in state.membership.present_others]
    result = knowledge.spread(state, event, announcement, members)
    rng = seeded_random.SeededRandom(bits=event.random_bits)
    passed_on = dataclasses.replace(
        announcement, reach=messages.Reach.DATA_CENTRE
    )
    for contacts in state.directory.contacts.values():
        result.append(effects.Send(to=rng.choice(contacts), message=passed_on))
    return result


def _log(rollout: rollout_lib.Rollout) -> effects.Log:
    code = _CODES[rollout.phase]
    if rollout.step == 0:
        code = log_events.Code.ROLLOUT_ORDERED
    return effects.Log(
        code=code,
        fields={
            "service": rollout.service,
            "target": rollout.target_version,
            "number": rollout.number,
            "step": rollout.step,
            "share": round(rollout.share, 4),
            "canaries": list(rollout.canaries),
        },
    )
