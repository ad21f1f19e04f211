"""The owner node's part in a rollout: counts, reports and refusals.

The owner node is the only way to its upstream. It therefore refuses calls that
an entry node without news sends to a version that must not get them.
"""

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.agreement import voter_lookup
from monsoonpass.core.calls import attempts
from monsoonpass.core.calls import outcome
from monsoonpass.core.calls import owner_call as owner_call_lib
from monsoonpass.core.rollouts import rollout as rollout_lib
from monsoonpass.core.rollouts import rollout_messages as messages
from monsoonpass.core.rollouts import rollout_state

# Entry nodes hear of the promotion meanwhile, from two announcements.
CLOSE_DELAY_S = 0.6
# A deadline is recorded by the runtime's clock, slightly early or late.
DEADLINE_MARGIN_S = 0.02
SERVER_ERROR = 500

Phase = rollout_lib.Phase
Reason = outcome.Reason


def refuses_calls(state: node.Node, now_s: float) -> bool:
    """Return whether a rollout forbids calls to this node's own upstream."""
    known = state.rollouts.known.get(state.admission.service)
    if known is None:
        return False
    rollout = known.rollout
    version = own_version(state)
    is_target = version == rollout.target_version
    if rollout.shuts_out(version):
        return True
    if rollout.phase is Phase.RUNNING:
        own = state.settings.address.instance
        return is_target and own not in rollout.canaries
    if is_target or not rollout.serves_all or now_s < known.closes_at_s:
        return False
    # Later, the target's upstreams may be replaced without a rollout.
    versions = state.membership.table.versions.get(rollout.service, {})
    is_replaced = rollout.target_version not in versions
    return rollout.phase is Phase.PROMOTED or not is_replaced


def own_version(state: node.Node) -> str:
    """Return the version of this node's own upstream."""
    announced = state.upstream.last_announcement
    return announced.version if announced is not None else ""


def handle_known(
    state: node.Node, event: events.Event, known: rollout_state.KnownRollout
) -> list[effects.Effect]:
    """Apply the newest record of a rollout to the own upstream."""
    rollout = known.rollout
    if rollout.service != state.admission.service:
        return []
    result: list[effects.Effect] = []
    if rollout.serves_all and known.closes_at_s == float("inf"):
        # Only a node that has heard of the rollout before has entry nodes
        # that may have missed the news.
        known.closes_at_s = event.now_s + CLOSE_DELAY_S
    if refuses_calls(state, event.now_s):
        result += _refuse_queued(state, event)
    if not rollout.phase.is_ended and not state.rollouts.report_timer_set:
        state.rollouts.report_timer_set = True
        result.append(_report_timer(0.0))
    return result


def record_finished(
    state: node.Node,
    event: events.OwnerCallFinished,
    call: owner_call_lib.OwnerCall | None,
) -> None:
    """Count an ended call of the own upstream while a rollout is running.

    Calls that the upstream shed, or whose connection broke, are not counted:
    overload and killed processes affect all versions.
    """
    known = state.rollouts.known.get(state.admission.service)
    if known is None or known.rollout.phase.is_ended or call is None:
        return
    if call.process_number != state.upstream.process_number or event.shed:
        return
    counts = state.rollouts.counts
    counts.reset(own_version(state), known.rollout.number)
    if event.status >= SERVER_ERROR:
        counts.add_answer(call.route, event.service_time_s, failed=True)
    elif event.failure is None:
        counts.add_answer(call.route, event.service_time_s, failed=False)
    elif event.silent and event.now_s >= call.deadline_s - DEADLINE_MARGIN_S:
        counts.add_timeout(call.route)
    elif event.silent:
        counts.add_cancelled(call.route, event.service_time_s)


@step.handle_timer.register
def _(
    timer: timers.RolloutReportDue, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    known = state.rollouts.known.get(state.admission.service)
    if known is None or known.rollout.phase.is_ended:
        state.rollouts.report_timer_set = False
        return []
    result: list[effects.Effect] = [
        _report_timer(_report_delay_s(state, known))
    ]
    if refuses_calls(state, event.now_s):
        result += _refuse_queued(state, event)
    to = known.leader or voter_lookup.pick_leader(state, event, 0)
    if to is not None:
        report = _make_report(state, event, known)
        result.append(effects.Send(to=to, message=report))
    return result


def _report_delay_s(
    state: node.Node, known: rollout_state.KnownRollout
) -> float:
    """Return the time to the next report; short if a decision waits for it."""
    own = state.settings.address.instance
    if own in known.rollout.canaries:
        return known.report_interval_s / 2
    if known.rollout.serves_all:
        return min(known.report_interval_s, CLOSE_DELAY_S / 3)
    return known.report_interval_s


def _report_timer(delay_s: float) -> effects.SetTimer:
    return effects.SetTimer(timer=timers.RolloutReportDue(), delay_s=delay_s)


def _make_report(
    state: node.Node, event: events.Event, known: rollout_state.KnownRollout
) -> messages.UpstreamReport:
    admission = state.admission
    version = own_version(state)
    counts = state.rollouts.counts
    counts.reset(version, known.rollout.number)
    is_closed = known.rollout.serves_all and refuses_calls(state, event.now_s)
    return messages.UpstreamReport(
        service=admission.service,
        number=known.rollout.number,
        version=version,
        epoch=state.membership.first_incarnation,
        slots=admission.slots,
        ready=admission.accepts_calls and not admission.is_cold(event.now_s),
        closed=is_closed and admission.is_idle,
        routes=counts.report(
            (call.route, event.now_s - call.dispatched_s)
            for call in admission.in_progress.values()
            if call.process_number == state.upstream.process_number
        ),
    )


def _refuse_queued(
    state: node.Node, event: events.Event
) -> list[effects.Effect]:
    """Send queued calls back to their entry nodes, which choose again."""
    refused = state.admission.refuse_all(Reason.DRAINING)
    return attempts.apply_decision(state, event, refused)
