"""Attempts of calls: dispatch, retries and final failures.

A call whose attempt was refused as "not run" may be sent to another instance.
A call that may have run is sent again only if its route is idempotent.
"""

import dataclasses
import math

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.calls import call as call_lib
from monsoonpass.core.calls import hedging
from monsoonpass.core.calls import outcome
from monsoonpass.core.calls import owner_call as owner_call_lib
from monsoonpass.core.calls import placement
from monsoonpass.core.calls import retry_after
from monsoonpass.core.calls import retry_budget
from monsoonpass.core.calls import routing
from monsoonpass.core.calls import stop_fit
from monsoonpass.core.keys import keyed_calls
from monsoonpass.core.membership import directory
from monsoonpass.core.rollouts import version_choice

# Limit per call. Unlike the limit of the route, it includes attempts that were
# refused before they reached an upstream, which are most of them.
ATTEMPTS_MAX = 6
RETRY_AFTER_S = 1.0  # Used for failures without an estimated wait.
HOP_MARGIN_S = 0.005  # Time reserved for the answer's way back.
ENDPOINT_WAIT_TIMEOUT_S = 0.5  # A call's wait for remote endpoints.
Reason = outcome.Reason


@step.handle_timer.register
def _(
    timer: timers.QueueDeadline, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    decision = state.admission.expire(event.now_s)
    return apply_decision(state, event, decision)


def apply_decision(
    state: node.Node,
    event: events.Event,
    decision: owner_call_lib.AdmissionDecision,
) -> list[effects.Effect]:
    """Turn a decision of admission into effects.

    Refused calls that entered at this node are tried on other instances.
    """
    result: list[effects.Effect] = []
    for owner_call in decision.dispatched:
        timeout_s = max(owner_call.deadline_s - event.now_s, 0.001)
        owner_call.process_number = state.upstream.process_number
        result.append(
            effects.Dispatch(
                owner_call_id=owner_call.owner_call_id,
                timeout_s=timeout_s,
                process_number=owner_call.process_number,
                idempotent=owner_call.idempotent,
            )
        )
    for refused in decision.refused:
        owner_call_id = refused.call.owner_call_id
        call = state.calls.get(owner_call_id)
        if call is None:
            result.append(refuse_peer_call(owner_call_id, refused.failure))
            continue
        number = own_attempt(state, call)
        attempt = call.attempts.pop(number)
        result += attempt_failed(state, event, call, attempt, refused.failure)
    return result + _arm_queue_deadline(state, event)


def handle_link_lost(
    state: node.Node, event: events.LinkLost
) -> list[effects.Effect]:
    """Eject an instance whose node is unreachable."""
    state.routing.mark_unreachable(event.instance, event.now_s)
    return []


def try_next(
    state: node.Node,
    event: events.Event,
    call: call_lib.Call,
    failure: outcome.Failure,
    *,
    may_await_endpoints: bool = True,
    busy_instance: str = "",
) -> list[effects.Effect]:
    """Send a call to the next instance, or end it with its final failure.

    Args:
        state: The node.
        event: The event being handled.
        call: The call.
        failure: Final failure of the call if no instance is left.
        may_await_endpoints: Whether the call may wait for remote endpoints.
        busy_instance: Instance that refused the call as busy because another
            seemed able to serve it sooner, or empty. The call is sent there
            again, to be queued, if no other instance is left and the wait fits
            the objective.

    Returns:
        Effects.
    """
    if not fits_before_stop(state, event, call):
        refusal = call_lib.not_run_failure(Reason.DRAINING, None)
        return fail_call(
            state, event, call.call_id, final_failure(call, refusal)
        )
    objective_s = call.objective_deadline_s - event.now_s
    choice = placement.choose(
        state,
        event,
        call.service,
        call.tried,
        objective_s,
        state.routing.median(call.statistics_key).value_s or math.inf,
    )
    if (
        choice is None
        and busy_instance
        and failure.retry_after_s <= objective_s
    ):
        choice = routing.find_candidate(
            state, event, call.service, busy_instance
        )
    if choice is not None:
        return send(state, event, call, choice)
    has_endpoints = directory.has_recent_endpoints(state, event, call.service)
    if not may_await_endpoints or call.tried or has_endpoints:
        return fail_call(state, event, call.call_id, failure)
    state.routing.awaiting_endpoints.setdefault(call.service, []).append(
        call.call_id
    )
    timer = timers.EndpointWaitTimeout(service=call.service)
    return [
        effects.SetTimer(timer=timer, delay_s=ENDPOINT_WAIT_TIMEOUT_S),
        *directory.query_endpoints(state, event, call.service),
    ]


def send(
    state: node.Node,
    event: events.Event,
    call: call_lib.Call,
    choice: routing.Candidate,
) -> list[effects.Effect]:
    """Start an attempt of a call at an instance."""
    call.attempt_count += 1
    number = call.attempt_count
    call.attempts[number] = call_lib.Attempt(
        instance=choice.instance, started_s=event.now_s
    )
    if choice.instance == state.settings.address.instance:
        owner_call = owner_call_lib.OwnerCall(
            owner_call_id=call.call_id,
            priority=call.priority,
            deadline_s=call.deadline_s,
            bulk=call.route.bulk,
            route=call.statistics_key,
            arrived_s=event.now_s,
            reroutable=choice.reroutable and number == 1,
            idempotent=call.route.idempotent,
            objective_deadline_s=call.objective_deadline_s,
            route_priority=call.route_priority,
        )
        decision = state.admission.offer(owner_call, event.now_s)
        return [
            *apply_decision(state, event, decision),
            *hedging.arm(state, call),
        ]
    state.routing.record_sent(choice.instance)
    remaining_s = call.deadline_s - event.now_s - choice.rtt_s - HOP_MARGIN_S
    forward = effects.Forward(
        call_id=call.call_id,
        attempt=number,
        to=choice.address,
        service=call.service,
        timeout_s=max(remaining_s, 0.001),
        route=call.statistics_key,
        bulk=call.route.bulk,
        idempotent=call.route.idempotent,
        priority=call.priority,
        reroutable=choice.reroutable and number == 1,
        objective_s=call.objective_deadline_s - event.now_s - choice.rtt_s,
        route_priority=call.route_priority,
    )
    return [forward, *hedging.arm(state, call)]


def attempt_failed(
    state: node.Node,
    event: events.Event,
    call: call_lib.Call,
    attempt: call_lib.Attempt,
    failure: outcome.Failure,
) -> list[effects.Effect]:
    """Retry a call if that is safe and useful, else end it with a failure."""
    call.tried.add(attempt.instance)
    version_choice.record_refusal(state, call, attempt, failure)
    may_have_run = failure.outcome is not call_lib.NOT_RUN
    call.may_have_run = call.may_have_run or may_have_run
    reached_upstream = may_have_run or failure.reason is Reason.UPSTREAM_SHED
    call.upstreams_reached += reached_upstream
    if call.attempts:
        # Another attempt, the hedge or the hedged one, is still in progress.
        return []
    may_repeat = call.route.idempotent or not call.may_have_run
    has_time = event.now_s < call.deadline_s
    is_answer_started = call.answering_attempt != 0
    if (
        not is_answer_started
        and may_repeat
        and has_time
        and call.attempt_count < ATTEMPTS_MAX
        and call.may_try_another_upstream
        and (
            not reached_upstream
            or retry_budget.for_service(state, call.service).withdraw()
        )
    ):
        is_busy = failure.reason is Reason.BUSY
        return try_next(
            state,
            event,
            call,
            final_failure(call, failure),
            may_await_endpoints=False,
            busy_instance=attempt.instance if is_busy else "",
        )
    return fail_call(state, event, call.call_id, final_failure(call, failure))


def final_failure(
    call: call_lib.Call, failure: outcome.Failure
) -> outcome.Failure:
    """Return a failure whose outcome holds for all attempts of a call."""
    if call.may_have_run and failure.outcome is call_lib.NOT_RUN:
        return dataclasses.replace(failure, outcome=outcome.Outcome.UNKNOWN)
    return failure


def record_attempt(
    state: node.Node,
    event: events.AttemptEnded,
    call: call_lib.Call,
    attempt: call_lib.Attempt,
) -> None:
    """Record the result of an ended attempt in the routing table."""
    table = state.routing
    table.record_load(attempt.instance, event.load, event.now_s)
    latency_s = event.now_s - attempt.started_s
    if event.failure is None:
        table.record_answer(attempt.instance, latency_s)
        table.median(call.statistics_key).add(latency_s)
    elif event.failure.reason in (
        Reason.LINK_LOST,
        Reason.UPSTREAM_UNREACHABLE,
    ):
        table.record_failure(attempt.instance, event.now_s)
        table.mark_unreachable(attempt.instance, event.now_s)
    elif event.failure.outcome is call_lib.NOT_RUN:
        table.record_end_without_failure(attempt.instance)
    else:
        table.record_failure(attempt.instance, event.now_s)


def complete(
    state: node.Node, event: events.Event, call: call_lib.Call, number: int
) -> list[effects.Effect]:
    """Remove an answered call and cancel its other attempts."""
    del state.calls[call.call_id]
    version_choice.record_answer(state, event, call.service)
    return [
        *cancel_others(state, event, call, number),
        *cancel_timers(call),
    ]


def cancel_others(
    state: node.Node, event: events.Event, call: call_lib.Call, winner: int
) -> list[effects.Effect]:
    """Cancel all attempts of a call except `winner`; 0 cancels all."""
    result: list[effects.Effect] = []
    own = state.settings.address.instance
    for number, attempt in list(call.attempts.items()):
        if number == winner:
            continue
        if attempt.instance == own:
            if state.admission.withdraw(call.call_id):
                result += _arm_queue_deadline(state, event)
            else:
                result.append(effects.AbortDispatch(owner_call_id=call.call_id))
        else:
            state.routing.record_end_without_failure(attempt.instance)
            result.append(
                effects.CancelForward(call_id=call.call_id, attempt=number)
            )
        del call.attempts[number]
    return result


def own_attempt(state: node.Node, call: call_lib.Call | None) -> int:
    """Return the number of the attempt on this node's upstream, or 0."""
    if call is None:
        return 0
    own = state.settings.address.instance
    for number, attempt in call.attempts.items():
        if attempt.instance == own:
            return number
    return 0


def refuse_peer_call(
    owner_call_id: int, failure: outcome.Failure
) -> effects.FailCall:
    """Refuse a call that a peer forwarded.

    The time to come back stays exact: the entry node compares it with the
    objective of the call, and spreads it once if it reaches the caller.
    """
    return effects.FailCall(call_id=owner_call_id, failure=failure, context={})


def fail_call(
    state: node.Node,
    event: events.Event,
    call_id: int,
    failure: outcome.Failure,
    **context: object,
) -> list[effects.Effect]:
    """End a call with its final failure and settle its idempotency key.

    Args:
        state: The node.
        event: The event being handled.
        call_id: The call.
        failure: Its final failure.
        **context: Log fields of a call that ended before it had a record.
    """
    call = state.calls.pop(call_id, None)
    failure = retry_after.with_retry_after(failure, event.random_bits)
    if call is not None and failure.outcome is call_lib.NOT_RUN:
        return_token(state, event, call)
    cancels = cancel_timers(call) if call else []
    return [
        *cancels,
        *keyed_calls.settle_failed(
            state, event, call_id=call_id, failure=failure
        ),
        effects.FailCall(
            call_id=call_id,
            failure=failure,
            context=_failure_context(state, event, call) if call else context,
        ),
    ]


def return_token(
    state: node.Node, event: events.Event, call: call_lib.Call
) -> None:
    """Return the token of a call that has not run and never will."""
    if call.holds_token:
        call.holds_token = False
        state.quotas.holder.give_back(call.workspace, event.now_s)


def _failure_context(
    state: node.Node, event: events.Event, call: call_lib.Call
) -> dict[str, object]:
    """Return the log fields that explain a failure."""
    result: dict[str, object] = {
        "route": call.statistics_key,
        "service": call.service,
        "after_ms": round((event.now_s - call.arrived_s) * 1000),
        "tried": sorted(call.tried),
        "arrivals": call.upstreams_reached,
        "version": state.config.version,
        "known": len(state.membership.table.by_service.get(call.service, {})),
    }
    if call.workspace:
        result["workspace"] = call.workspace
    return result


def cancel_timers(call: call_lib.Call) -> list[effects.Effect]:
    """Return the effects that cancel the timers of a call."""
    result: list[effects.Effect] = [
        effects.CancelTimer(timer=timers.CallDeadline(call_id=call.call_id))
    ]
    if call.route.idempotent and not call.route.bulk:
        timer = timers.HedgeDue(call_id=call.call_id)
        result.append(effects.CancelTimer(timer=timer))
    return result


def fits_before_stop(
    state: node.Node, event: events.Event, call: call_lib.Call
) -> bool:
    """Return whether a new attempt of a call can end before a planned stop."""
    if not state.stopping:
        return True
    median = state.routing.median(call.statistics_key)
    latest_start_s = stop_fit.latest_start_s(
        state.stop_deadline_s,
        deadline_s=call.deadline_s,
        usual_s=median.value_s,
        longest_s=median.longest.value_s,
        certain_from_s=(
            math.inf if call.route.idempotent else state.earliest_stop_s
        ),
        body_bytes=call.body_rest_bytes,
    )
    return event.now_s <= latest_start_s


def _arm_queue_deadline(
    state: node.Node, event: events.Event
) -> list[effects.Effect]:
    """Set the timer for the first queued call that becomes too late."""
    if not state.admission.queued:
        return []
    delay_s = max(state.admission.next_expiry_at_s() - event.now_s, 0.001)
    return [effects.SetTimer(timer=timers.QueueDeadline(), delay_s=delay_s)]
