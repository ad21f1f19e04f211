"""Calls through this node: routing, retries, deadlines and final answers.

The entry node of a call keeps its record until the caller has a whole answer
or an explicit failure. An attempt that was refused as "not run" may go
elsewhere; one whose fate is unknown is tried again only if the route is
idempotent.
"""

import dataclasses

from monsoonpass.core import admission
from monsoonpass.core import catalog
from monsoonpass.core import directory
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import keyed_calls
from monsoonpass.core import ledger
from monsoonpass.core import logbook
from monsoonpass.core import member as member_lib
from monsoonpass.core import membership
from monsoonpass.core import node
from monsoonpass.core import outcome
from monsoonpass.core import routing
from monsoonpass.core import step

ATTEMPTS_MAX = 4
RETRY_AFTER_S = 1.0
HOP_MARGIN_S = 0.005
PARK_S = 0.5
HEDGE_MIN_S = 0.005
HEDGE_MIN_SAMPLES = 50
HEDGE_FACTOR = 2.0
UNREACHABLE_MAX = 3
RECHECK_S = 1.0
RECHECK_MAX_S = 30.0

NOT_RUN = outcome.Outcome.NOT_RUN
Reason = outcome.Reason


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """One try of a call on one upstream instance.

    Attributes:
        instance: The instance.
        started_s: When it was sent there.
    """

    instance: str
    started_s: float


@dataclasses.dataclass(kw_only=True, slots=True)
class Call:
    """A call in progress through this node.

    Attributes:
        call_id: Its number.
        service: Service called.
        route: Its route in the version in force when it began.
        route_name: Names the route for what is learned of it.
        arrived_s: When it arrived.
        deadline_s: When its answer must be complete.
        tried: Instances that refused or failed it.
        attempts: Attempts under way, by number.
        attempt_count: Number of the last attempt.
        answering: Attempt whose answer is being passed on, or 0.
        touched: Whether an upstream may have run it.
        hedged: Whether a second attempt runs beside a slow one.
    """

    call_id: int
    service: str
    route: catalog.Route
    route_name: str
    arrived_s: float
    deadline_s: float
    tried: set[str] = dataclasses.field(default_factory=set)
    attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    attempt_count: int = 0
    answering: int = 0
    touched: bool = False
    hedged: bool = False


@step.step.register
def _(event: events.CallArrived, state: node.Node) -> list[effects.Effect]:
    reason = _refusal_at_arrival(state)
    if reason is not None:
        return _refuse(
            state, event, event.call_id, _not_run(reason, RETRY_AFTER_S)
        )
    catalog_in_force = state.config.catalog
    route = catalog_in_force.find_route(event.service, event.method, event.path)
    if route is None:
        return _refuse(
            state, event, event.call_id, _not_run(Reason.NO_ROUTE, None)
        )
    limit_s = route.deadline_s
    if event.timeout_s is not None:
        limit_s = min(limit_s, event.timeout_s)
    call = Call(
        call_id=event.call_id,
        service=event.service,
        route=route,
        route_name=f"{event.service}{route.path}",
        arrived_s=event.now_s,
        deadline_s=event.now_s + limit_s,
    )
    state.calls[event.call_id] = call
    state.routing.budget(event.service).deposit()
    timer = events.CallDeadline(call_id=event.call_id)
    result: list[effects.Effect] = [
        effects.SetTimer(timer=timer, delay_s=limit_s),
        *directory.want(state, event, event.service),
    ]
    if event.key is None or route.idempotent:
        return result + _begin(state, event, call)
    if not 0 < len(event.key) <= ledger.KEY_MAX_CHARS:
        failure = _not_run(Reason.TOO_LARGE, None)
        return result + _refuse(state, event, event.call_id, failure)
    return result + keyed_calls.claim(
        state,
        event,
        call_id=event.call_id,
        service=event.service,
        key=event.key,
        fingerprint=event.fingerprint,
    )


def _begin(
    state: node.Node, event: events.Event, call: Call
) -> list[effects.Effect]:
    """Send a call to its first instance."""
    failure = _not_run(Reason.NO_UPSTREAM, None)
    return _try_next(state, event, call, failure)


@step.receive.register
def _(
    message: ledger.ClaimReply, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    decision = keyed_calls.judge(state, event, message)
    if decision is None:
        return keyed_calls.release_late(state, event, message)
    if isinstance(decision, keyed_calls.Denied):
        return _deny(state, event, message.call_id, decision)
    return _begin(state, event, state.calls[message.call_id])


@step.expire.register
def _(
    timer: events.ClaimRetry, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    result = keyed_calls.retry(state, event, timer.call_id)
    if isinstance(result, keyed_calls.Denied):
        return _deny(state, event, timer.call_id, result)
    return result


@step.step.register
def _(event: events.KeyedAnswer, state: node.Node) -> list[effects.Effect]:
    return keyed_calls.finished(
        state,
        event,
        call_id=event.call_id,
        status=event.status,
        headers=event.headers,
        body=event.body,
    )


def _deny(
    state: node.Node,
    event: events.Event,
    call_id: int,
    denied: keyed_calls.Denied,
) -> list[effects.Effect]:
    """Give a call the stored answer, or the failure, of its key."""
    record = denied.record
    if record is None or call_id not in state.calls:
        return _refuse(state, event, call_id, denied.failure)
    call = state.calls.pop(call_id)
    return [
        *_forget_timers(call),
        effects.Replay(
            call_id=call_id,
            status=record.status,
            headers=record.headers,
            body=record.body,
        ),
    ]


@step.step.register
def _(event: events.AttemptEnded, state: node.Node) -> list[effects.Effect]:
    call = state.calls.get(event.call_id)
    attempt = call.attempts.pop(event.attempt, None) if call else None
    if call is None or attempt is None:
        return []
    _learn(state, event, call, attempt)
    if event.failure is None:
        return _complete(state, event, call, event.attempt)
    return _attempt_failed(state, event, call, attempt, event.failure)


@step.step.register
def _(
    event: events.AttemptHeadReceived, state: node.Node
) -> list[effects.Effect]:
    call = state.calls.get(event.call_id)
    number = event.attempt or _own_attempt(state, call)
    attempt = call.attempts.get(number) if call else None
    if call is None or attempt is None:
        return []
    state.routing.reported(attempt.instance, event.load, event.now_s)
    if call.answering:
        return []
    call.answering = number
    return _cancel_others(state, event, call, number)


@step.step.register
def _(event: events.WorkFinished, state: node.Node) -> list[effects.Effect]:
    decision = state.admission.finish(
        event.work_id,
        service_time_s=event.service_time_s,
        ok=event.failure is None,
        now_s=event.now_s,
    )
    state.peer_works.pop(event.work_id, None)
    result = perform(state, event, decision)
    result += _judge_upstream(state, event)
    call = state.calls.get(event.work_id)
    attempt_number = _own_attempt(state, call)
    if call is None or not attempt_number:
        return result
    attempt = call.attempts.pop(attempt_number)
    if event.failure is None:
        latency_s = event.now_s - attempt.started_s
        state.routing.median(call.route_name).add(latency_s)
        return result + _complete(state, event, call, attempt_number)
    return result + _attempt_failed(state, event, call, attempt, event.failure)


@step.step.register
def _(event: events.CallerGone, state: node.Node) -> list[effects.Effect]:
    call = state.calls.pop(event.call_id, None)
    if call is None:
        return []
    call.touched = call.touched or bool(call.attempts)
    gone = _not_run(Reason.CANCELLED, None)
    return [
        *_cancel_others(state, event, call, 0),
        *_forget_timers(call),
        *keyed_calls.failed(
            state, event, call_id=event.call_id, failure=_final(call, gone)
        ),
    ]


@step.step.register
def _(event: events.PeerCallArrived, state: node.Node) -> list[effects.Effect]:
    work = admission.Work(
        work_id=event.work_id,
        priority=event.priority,
        deadline_s=event.now_s + event.timeout_s,
        bulk=event.bulk,
        route=event.route,
        arrived_s=event.now_s,
        reroutable=event.reroutable,
    )
    if event.service != state.admission.service:
        return _refuse(
            state, event, event.work_id, _not_run(Reason.NO_UPSTREAM, None)
        )
    state.peer_works[event.work_id] = event.sender
    decision = state.admission.offer(work, event.now_s)
    return perform(state, event, decision)


@step.step.register
def _(
    event: events.PeerCallCancelled, state: node.Node
) -> list[effects.Effect]:
    if state.admission.withdraw(event.work_id):
        state.peer_works.pop(event.work_id, None)
        return _refuse(
            state, event, event.work_id, _not_run(Reason.CANCELLED, None)
        )
    if event.work_id in state.admission.in_progress:
        return [effects.AbortDispatch(work_id=event.work_id)]
    return []


@step.step.register
def _(
    event: events.UpstreamAnnounced, state: node.Node
) -> list[effects.Effect]:
    if state.stopping:
        return []
    state.admission.announce(
        service=event.service,
        slots=event.slots,
        cold=event.cold,
        now_s=event.now_s,
    )
    log = effects.Log(
        code=logbook.Code.UPSTREAM_ANNOUNCED,
        fields={"service": event.service, "slots": event.slots},
    )
    own = state.membership.own
    told = (own.service, own.slots, own.upstream)
    if told == (event.service, event.slots, member_lib.UpstreamState.READY):
        return []
    return [
        log,
        *membership.change_own(
            state,
            event,
            service=event.service,
            slots=event.slots,
            upstream=member_lib.UpstreamState.READY,
        ),
    ]


@step.step.register
def _(event: events.UpstreamDraining, state: node.Node) -> list[effects.Effect]:
    return drain_upstream(state, event)


def drain_upstream(
    state: node.Node, event: events.Event
) -> list[effects.Effect]:
    """Stop giving the own upstream new work and tell the others."""
    if not state.admission.accepts:
        return []
    state.admission.upstream = member_lib.UpstreamState.DRAINING
    refused = state.admission.refuse_all(Reason.DRAINING)
    return [
        effects.Log(code=logbook.Code.UPSTREAM_DRAINING),
        *membership.change_own(
            state, event, upstream=member_lib.UpstreamState.DRAINING
        ),
        *membership.spread_now(state, event),
        *perform(state, event, refused),
    ]


@step.expire.register
def _(
    timer: events.CallDeadline, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    call = state.calls.get(timer.call_id)
    if call is None:
        return []
    for number in list(call.attempts):
        instance = call.attempts[number].instance
        if instance == state.settings.address.instance:
            if state.admission.withdraw(call.call_id):
                del call.attempts[number]
        else:
            state.routing.failed(instance, event.now_s)
    ran = call.touched or bool(call.attempts)
    failure = outcome.Failure(
        outcome=outcome.Outcome.UNKNOWN if ran else NOT_RUN,
        reason=Reason.DEADLINE,
        retry_after_s=RETRY_AFTER_S,
    )
    cancels = _cancel_others(state, event, call, 0)
    return [*cancels, *_refuse(state, event, call.call_id, failure)]


@step.expire.register
def _(
    timer: events.QueueDeadline, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    decision = state.admission.expire(event.now_s)
    return perform(state, event, decision)


@step.expire.register
def _(
    timer: events.Hedge, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    """Send a slow idempotent call to a second instance as well."""
    call = state.calls.get(timer.call_id)
    if call is None or call.answering or call.hedged or not call.attempts:
        return []
    if not state.routing.budget(call.service).withdraw():
        return []
    running = {attempt.instance for attempt in call.attempts.values()}
    choice = routing.choose(state, event, call.service, call.tried | running)
    own = state.settings.address.instance
    if choice is None or choice.link_s or choice.instance == own:
        return []
    call.hedged = True
    return _send(state, event, call, choice)


def _judge_upstream(
    state: node.Node, event: events.WorkFinished
) -> list[effects.Effect]:
    """Withdraw an upstream that cannot be reached, for a growing while."""
    own = state.admission
    failure = event.failure
    if failure is None or failure.reason is not Reason.UPSTREAM_UNREACHABLE:
        if failure is None:
            own.unreachable_count = 0
            own.withdrawals = 0
        return []
    own.unreachable_count += 1
    if own.unreachable_count < UNREACHABLE_MAX or not own.accepts:
        return []
    own.unreachable_count = 0
    own.withdrawals += 1
    own.upstream = member_lib.UpstreamState.NONE
    refused = own.refuse_all(Reason.UPSTREAM_UNREACHABLE)
    delay_s = min(RECHECK_S * 2**own.withdrawals, RECHECK_MAX_S)
    return [
        effects.Log(code=logbook.Code.UPSTREAM_WITHDRAWN),
        effects.SetTimer(timer=events.UpstreamRecheck(), delay_s=delay_s),
        *membership.change_own(state, event, upstream=own.upstream),
        *perform(state, event, refused),
    ]


@step.expire.register
def _(
    timer: events.UpstreamRecheck, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    """Offer a withdrawn upstream again."""
    own = state.admission
    if own.upstream is not member_lib.UpstreamState.NONE or state.stopping:
        return []
    own.upstream = member_lib.UpstreamState.READY
    return membership.change_own(state, event, upstream=own.upstream)


def perform(
    state: node.Node, event: events.Event, decision: admission.Decision
) -> list[effects.Effect]:
    """Turn a decision of admission into effects.

    Refused work of this node's own calls is tried elsewhere.
    """
    result: list[effects.Effect] = []
    for work in decision.dispatch:
        call = state.calls.get(work.work_id)
        if call is not None:
            call.touched = True
        timeout_s = max(work.deadline_s - event.now_s, 0.001)
        result.append(
            effects.Dispatch(work_id=work.work_id, timeout_s=timeout_s)
        )
    for refused in decision.refused:
        work_id = refused.work.work_id
        call = state.calls.get(work_id)
        if call is None:
            state.peer_works.pop(work_id, None)
            result += _refuse(state, event, work_id, refused.failure)
            continue
        number = _own_attempt(state, call)
        attempt = call.attempts.pop(number)
        result += _attempt_failed(state, event, call, attempt, refused.failure)
    return result + _watch_queue(state, event)


@step.expire.register
def _(
    timer: events.ParkTimeout, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    return unparked(state, event, timer.service)


def unparked(
    state: node.Node, event: events.Event, service: str
) -> list[effects.Effect]:
    """Try the calls that waited for a service's remote endpoints."""
    parked = state.routing.parked.pop(service, [])
    if not parked:
        return []
    result: list[effects.Effect] = [
        effects.CancelTimer(timer=events.ParkTimeout(service=service))
    ]
    for call_id in parked:
        call = state.calls.get(call_id)
        if call is not None and not call.attempts:
            failure = _not_run(Reason.NO_UPSTREAM, RETRY_AFTER_S)
            result += _try_next(state, event, call, failure, may_park=False)
    return result


def link_lost(state: node.Node, event: events.LinkLost) -> list[effects.Effect]:
    """Stop choosing an instance whose node cannot be reached."""
    state.routing.unreachable(event.instance, event.now_s)
    return []


def _refusal_at_arrival(state: node.Node) -> outcome.Reason | None:
    if state.stopping:
        return Reason.DRAINING
    if not state.config.ready:
        return Reason.NO_CONFIGURATION
    if len(state.calls) >= state.settings.calls_limit:
        return Reason.OVERLOADED
    return None


def _try_next(
    state: node.Node,
    event: events.Event,
    call: Call,
    failure: outcome.Failure,
    *,
    may_park: bool = True,
) -> list[effects.Effect]:
    """Send a call to the next instance, or give it its final failure."""
    choice = routing.choose(state, event, call.service, call.tried)
    if choice is not None:
        return _send(state, event, call, choice)
    informed = directory.is_informed(state, event, call.service)
    if not may_park or call.tried or informed:
        return _refuse(state, event, call.call_id, failure)
    state.routing.parked.setdefault(call.service, []).append(call.call_id)
    timer = events.ParkTimeout(service=call.service)
    return [
        effects.SetTimer(timer=timer, delay_s=PARK_S),
        *directory.ask(state, event, call.service),
    ]


def _send(
    state: node.Node,
    event: events.Event,
    call: Call,
    choice: routing.Candidate,
) -> list[effects.Effect]:
    call.attempt_count += 1
    number = call.attempt_count
    call.attempts[number] = Attempt(
        instance=choice.instance, started_s=event.now_s
    )
    if choice.instance == state.settings.address.instance:
        work = admission.Work(
            work_id=call.call_id,
            priority=call.route.priority,
            deadline_s=call.deadline_s,
            bulk=call.route.bulk,
            route=call.route_name,
            arrived_s=event.now_s,
            reroutable=choice.reroutable and number == 1,
        )
        decision = state.admission.offer(work, event.now_s)
        return [*perform(state, event, decision), *_arm_hedge(state, call)]
    state.routing.sent(choice.instance, event.now_s)
    left_s = call.deadline_s - event.now_s - choice.link_s - HOP_MARGIN_S
    forward = effects.Forward(
        call_id=call.call_id,
        attempt=number,
        to=choice.address,
        timeout_s=max(left_s, 0.001),
        route=call.route_name,
        bulk=call.route.bulk,
        idempotent=call.route.idempotent,
        priority=call.route.priority,
        reroutable=choice.reroutable and number == 1,
    )
    return [forward, *_arm_hedge(state, call)]


def _arm_hedge(state: node.Node, call: Call) -> list[effects.Effect]:
    if not call.route.idempotent or call.route.bulk or call.hedged:
        return []
    median = state.routing.median(call.route_name)
    if median.count < HEDGE_MIN_SAMPLES or call.call_id not in state.calls:
        return []
    delay_s = max(median.value_s * HEDGE_FACTOR, HEDGE_MIN_S)
    timer = events.Hedge(call_id=call.call_id)
    return [effects.SetTimer(timer=timer, delay_s=delay_s)]


def _attempt_failed(
    state: node.Node,
    event: events.Event,
    call: Call,
    attempt: Attempt,
    failure: outcome.Failure,
) -> list[effects.Effect]:
    """Try again where that is safe and useful, else tell the caller."""
    call.tried.add(attempt.instance)
    ran = failure.outcome is not NOT_RUN
    call.touched = call.touched or ran
    if call.attempts:
        # The hedge, or the attempt that it was meant for, still runs.
        return []
    may_repeat = call.route.idempotent or not call.touched
    has_time = event.now_s < call.deadline_s
    started = call.answering != 0
    if (
        not started
        and may_repeat
        and has_time
        and call.attempt_count < ATTEMPTS_MAX
        and (
            failure.reason is Reason.BUSY
            or state.routing.budget(call.service).withdraw()
        )
    ):
        return _try_next(
            state, event, call, _final(call, failure), may_park=False
        )
    return _refuse(state, event, call.call_id, _final(call, failure))


def _final(call: Call, failure: outcome.Failure) -> outcome.Failure:
    """Return the failure to tell, true for all attempts together."""
    if call.touched and failure.outcome is NOT_RUN:
        return dataclasses.replace(failure, outcome=outcome.Outcome.UNKNOWN)
    return failure


def _learn(
    state: node.Node,
    event: events.AttemptEnded,
    call: Call,
    attempt: Attempt,
) -> None:
    table = state.routing
    table.reported(attempt.instance, event.load, event.now_s)
    latency_s = event.now_s - attempt.started_s
    if event.failure is None:
        table.answered(attempt.instance, latency_s, event.now_s)
        table.median(call.route_name).add(latency_s)
    elif event.failure.reason in (
        Reason.LINK_LOST,
        Reason.UPSTREAM_UNREACHABLE,
    ):
        table.failed(attempt.instance, event.now_s)
        table.unreachable(attempt.instance, event.now_s)
    elif event.failure.outcome is NOT_RUN:
        table.refused(attempt.instance, event.now_s)
    else:
        table.failed(attempt.instance, event.now_s)


def _complete(
    state: node.Node, event: events.Event, call: Call, number: int
) -> list[effects.Effect]:
    """Forget an answered call and cancel its other attempts."""
    del state.calls[call.call_id]
    return [
        *_cancel_others(state, event, call, number),
        *_forget_timers(call),
    ]


def _cancel_others(
    state: node.Node, event: events.Event, call: Call, winner: int
) -> list[effects.Effect]:
    """Cancel every attempt but one; 0 cancels all."""
    result: list[effects.Effect] = []
    own = state.settings.address.instance
    for number, attempt in list(call.attempts.items()):
        if number == winner:
            continue
        if attempt.instance == own:
            if state.admission.withdraw(call.call_id):
                result += _watch_queue(state, event)
            else:
                result.append(effects.AbortDispatch(work_id=call.call_id))
        else:
            state.routing.refused(attempt.instance, event.now_s)
            result.append(
                effects.CancelForward(call_id=call.call_id, attempt=number)
            )
        del call.attempts[number]
    return result


def _own_attempt(state: node.Node, call: Call | None) -> int:
    """Return the number of the attempt on the own upstream, or 0."""
    if call is None:
        return 0
    own = state.settings.address.instance
    for number, attempt in call.attempts.items():
        if attempt.instance == own:
            return number
    return 0


def _refuse(
    state: node.Node,
    event: events.Event,
    call_id: int,
    failure: outcome.Failure,
) -> list[effects.Effect]:
    call = state.calls.pop(call_id, None)
    timers = _forget_timers(call) if call else []
    return [
        *timers,
        *keyed_calls.failed(state, event, call_id=call_id, failure=failure),
        effects.Refuse(call_id=call_id, failure=failure),
    ]


def _forget_timers(call: Call) -> list[effects.Effect]:
    result: list[effects.Effect] = [
        effects.CancelTimer(timer=events.CallDeadline(call_id=call.call_id))
    ]
    if call.route.idempotent and not call.route.bulk:
        timer = events.Hedge(call_id=call.call_id)
        result.append(effects.CancelTimer(timer=timer))
    return result


def _watch_queue(state: node.Node, event: events.Event) -> list[effects.Effect]:
    """Set the timer for the next waiting call that becomes too late."""
    if not state.admission.queued:
        return []
    delay_s = max(state.admission.next_expiry_s() - event.now_s, 0.001)
    return [effects.SetTimer(timer=events.QueueDeadline(), delay_s=delay_s)]


def _not_run(
    reason: outcome.Reason, retry_after_s: float | None
) -> outcome.Failure:
    return outcome.Failure(
        outcome=NOT_RUN, reason=reason, retry_after_s=retry_after_s
    )
