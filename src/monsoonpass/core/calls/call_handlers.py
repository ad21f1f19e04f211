"""Event handlers of calls: arrival, keys, answers, deadlines, cancellation.

The entry node of a call keeps a record of it until the caller has a complete
answer or an explicit failure. A call whose attempt was refused as "not run" may
be sent to another instance. A call that may have run is sent again only if its
route is idempotent.
"""

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.calls import attempts
from monsoonpass.core.calls import call as call_lib
from monsoonpass.core.calls import giving_up
from monsoonpass.core.calls import hedging
from monsoonpass.core.calls import outcome
from monsoonpass.core.calls import owner_call as owner_call_lib
from monsoonpass.core.calls import retry_budget
from monsoonpass.core.calls import weighted_round_robin
from monsoonpass.core.distribution import catalog as catalog_lib
from monsoonpass.core.distribution import host_route
from monsoonpass.core.keys import keyed_calls
from monsoonpass.core.keys import ledger
from monsoonpass.core.membership import directory
from monsoonpass.core.membership import own_upstream
from monsoonpass.core.quotas import quota_handlers
from monsoonpass.core.quotas import quota_messages
from monsoonpass.core.rollouts import knowledge as rollout_knowledge
from monsoonpass.core.rollouts import owner as rollout_owner

Reason = outcome.Reason


@step.step.register
def _(event: events.CallArrived, state: node.Node) -> list[effects.Effect]:
    reason = _refusal_at_arrival(state)
    if reason is not None:
        return attempts.fail_call(
            state,
            event,
            event.call_id,
            call_lib.not_run_failure(reason, attempts.RETRY_AFTER_S),
        )
    match = state.config.catalog.match(event.host, event.method, event.path)
    if match is None:
        return attempts.fail_call(
            state,
            event,
            event.call_id,
            call_lib.not_run_failure(Reason.NO_ROUTE, None),
        )
    route = match.route
    if not _is_permitted(state, event, route):
        return attempts.fail_call(
            state,
            event,
            event.call_id,
            call_lib.not_run_failure(Reason.UNKNOWN_KEY, None),
            route=match.statistics_key,
        )
    workspace = event.workspace
    timeout_s = route.deadline_s
    if event.timeout_s is not None:
        timeout_s = min(timeout_s, event.timeout_s)
    service = weighted_round_robin.pick_service(
        state.routing.round_robin, match, event.random_bits
    )
    used_s = state.routing.caller_timeouts.used_s(
        match.statistics_key, event.timeout_s
    )
    call = call_lib.Call(
        call_id=event.call_id,
        service=service,
        route=route,
        statistics_key=match.statistics_key,
        arrived_s=event.now_s,
        deadline_s=event.now_s + timeout_s,
        objective_deadline_s=event.now_s + route.objective_s - used_s,
        body_rest_bytes=event.body_rest_bytes,
        workspace=workspace.name if workspace else "",
        workspace_priority=workspace.priority if workspace else None,
    )
    if not attempts.fits_before_stop(state, event, call):
        refusal = call_lib.not_run_failure(Reason.DRAINING, None)
        return attempts.fail_call(state, event, event.call_id, refusal)
    state.calls[event.call_id] = call
    keyed = (event.key, event.fingerprint)
    decision, quota_effects = quota_handlers.Decision.ADMITTED, []
    if call.workspace:
        decision, quota_effects = quota_handlers.acquire(
            state, event, call, keyed
        )
    if decision is quota_handlers.Decision.REFUSED:
        retry_after_s = state.quotas.holder.retry_after_s(
            call.workspace, event.now_s
        )
        failure = call_lib.not_run_failure(Reason.OVER_QUOTA, retry_after_s)
        return attempts.fail_call(state, event, event.call_id, failure)
    retry_budget.for_service(state, service).deposit()
    timer = timers.CallDeadline(call_id=event.call_id)
    result: list[effects.Effect] = [
        effects.SetTimer(timer=timer, delay_s=timeout_s),
        *directory.refresh_endpoints(state, event, service),
        *quota_effects,
        *rollout_knowledge.refresh(state, event, service),
    ]
    if decision is quota_handlers.Decision.WAITING:
        return result
    return result + _claim_or_start(state, event, call, *keyed)


def _claim_or_start(
    state: node.Node,
    event: events.Event,
    call: call_lib.Call,
    key: str | None,
    fingerprint: bytes,
) -> list[effects.Effect]:
    """Claim a call's idempotency key if necessary, else start the call."""
    if key is None or call.route.idempotent:
        return _start_call(state, event, call)
    if not 0 < len(key) <= ledger.KEY_MAX_CHARS:
        reason = Reason.TOO_LARGE if key else Reason.EMPTY_KEY
        failure = call_lib.not_run_failure(reason, None)
        return attempts.fail_call(state, event, call.call_id, failure)
    return keyed_calls.claim(
        state,
        event,
        call_id=call.call_id,
        service=call.service,
        key=_ledger_key(key, call.workspace),
        fingerprint=fingerprint,
    )


@step.handle_message.register
def _(
    message: quota_messages.TokenReply,
    event: events.PeerMessage,
    state: node.Node,
) -> list[effects.Effect]:
    result = quota_handlers.handle_reply(state, event, message)
    return result + _serve_waiting_for_tokens(state, event)


@step.handle_timer.register
def _(
    timer: timers.QuotaDue, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    state.quotas.timer_due_s = float("inf")
    return _serve_waiting_for_tokens(state, event)


def _serve_waiting_for_tokens(
    state: node.Node, event: events.Event
) -> list[effects.Effect]:
    """Start or refuse calls that waited for tokens, and ask for more."""
    decided, result = quota_handlers.serve_waiting(state, event)
    for item in decided:
        call = state.calls.get(item.waiter.call_id)
        if call is None:
            # The caller has disconnected, or the deadline has passed.
            if item.admitted:
                state.quotas.holder.give_back(item.workspace, event.now_s)
        elif item.admitted:
            call.holds_token = True
            key, fingerprint = item.waiter.context
            result += _claim_or_start(state, event, call, key, fingerprint)
        else:
            failure = call_lib.not_run_failure(
                Reason.OVER_QUOTA, item.retry_after_s
            )
            result += attempts.fail_call(state, event, call.call_id, failure)
    return result + quota_handlers.pump(state, event)


def _start_call(
    state: node.Node, event: events.Event, call: call_lib.Call
) -> list[effects.Effect]:
    """Send the first attempt of a call."""
    failure = call_lib.not_run_failure(
        Reason.NO_UPSTREAM, attempts.RETRY_AFTER_S
    )
    return attempts.try_next(state, event, call, failure)


@step.handle_timer.register
def _(
    timer: timers.EndpointWaitTimeout,
    event: events.TimerFired,
    state: node.Node,
) -> list[effects.Effect]:
    return _resume_awaiting_endpoints(state, event, timer.service)


@step.handle_message.register
def _(
    message: directory.EndpointReply,
    event: events.PeerMessage,
    state: node.Node,
) -> list[effects.Effect]:
    result, is_complete = directory.store_endpoints(state, event, message)
    if is_complete:
        result += _resume_awaiting_endpoints(state, event, message.service)
    return result


def _resume_awaiting_endpoints(
    state: node.Node, event: events.Event, service: str
) -> list[effects.Effect]:
    """Send the calls that waited for the remote endpoints of a service."""
    call_ids = state.routing.awaiting_endpoints.pop(service, [])
    if not call_ids:
        return []
    result: list[effects.Effect] = [
        effects.CancelTimer(timer=timers.EndpointWaitTimeout(service=service))
    ]
    for call_id in call_ids:
        call = state.calls.get(call_id)
        if call is not None and not call.attempts:
            failure = call_lib.not_run_failure(
                Reason.NO_UPSTREAM, attempts.RETRY_AFTER_S
            )
            result += attempts.try_next(
                state, event, call, failure, may_await_endpoints=False
            )
    return result


@step.handle_message.register
def _(
    message: ledger.ClaimReply, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    decision = keyed_calls.decide_claim(state, event, message)
    if decision is None:
        return keyed_calls.release_abandoned_claim(state, event, message)
    if isinstance(decision, keyed_calls.Denied):
        return _finish_denied(state, event, message.call_id, decision)
    return _start_call(state, event, state.calls[message.call_id])


@step.handle_timer.register
def _(
    timer: timers.KeyedCallResend, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    result = keyed_calls.resend(state, event, timer.call_id)
    if isinstance(result, keyed_calls.Denied):
        return _finish_denied(state, event, timer.call_id, result)
    return result


@step.handle_timer.register
def _(
    timer: timers.HedgeDue, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    call = state.calls.get(timer.call_id)
    if call is None:
        return []
    choice, result = hedging.choose(state, event, call)
    if choice is not None:
        result += attempts.send(state, event, call, choice)
    return result


@step.step.register
def _(
    event: events.KeyedCallAnswered, state: node.Node
) -> list[effects.Effect]:
    return keyed_calls.settle_answered(
        state,
        event,
        call_id=event.call_id,
        status=event.status,
        headers=event.headers,
        body=event.body,
    )


def _finish_denied(
    state: node.Node,
    event: events.Event,
    call_id: int,
    denied: keyed_calls.Denied,
) -> list[effects.Effect]:
    """End a call with the answer stored for its key, or with a failure."""
    record = denied.record
    if record is None or call_id not in state.calls:
        return attempts.fail_call(state, event, call_id, denied.failure)
    call = state.calls.pop(call_id)
    attempts.return_token(state, event, call)
    return [
        *attempts.cancel_timers(call),
        effects.ReplayAnswer(
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
    attempts.record_attempt(state, event, call, attempt)
    if event.failure is None:
        return attempts.complete(state, event, call, event.attempt)
    return attempts.attempt_failed(state, event, call, attempt, event.failure)


@step.step.register
def _(
    event: events.AttemptHeadReceived, state: node.Node
) -> list[effects.Effect]:
    call = state.calls.get(event.call_id)
    number = event.attempt or attempts.own_attempt(state, call)
    attempt = call.attempts.get(number) if call else None
    if call is None or attempt is None:
        return []
    state.routing.record_load(attempt.instance, event.load, event.now_s)
    if call.answering_attempt:
        return []
    call.answering_attempt = number
    return attempts.cancel_others(state, event, call, number)


@step.step.register
def _(
    event: events.OwnerCallFinished, state: node.Node
) -> list[effects.Effect]:
    owner_call = state.admission.in_progress.get(event.owner_call_id)
    rollout_owner.record_finished(state, event, owner_call)
    decision = state.admission.finish(
        event.owner_call_id,
        service_time_s=event.service_time_s,
        ok=event.failure is None,
        now_s=event.now_s,
        shed=event.shed,
        silent=event.silent,
    )
    result = attempts.apply_decision(state, event, decision)
    if (
        owner_call is not None
        and owner_call.process_number == state.upstream.process_number
    ):
        result += own_upstream.handle_call_result(state, event)
    call = state.calls.get(event.owner_call_id)
    attempt_number = attempts.own_attempt(state, call)
    if call is None or not attempt_number:
        return result
    attempt = call.attempts.pop(attempt_number)
    if event.failure is None:
        latency_s = event.now_s - attempt.started_s
        state.routing.median(call.statistics_key).add(latency_s)
        return result + attempts.complete(state, event, call, attempt_number)
    return result + attempts.attempt_failed(
        state, event, call, attempt, event.failure
    )


@step.step.register
def _(
    event: events.CallerDisconnected, state: node.Node
) -> list[effects.Effect]:
    call = state.calls.pop(event.call_id, None)
    if call is None:
        return []
    call.may_have_run = call.may_have_run or bool(call.attempts)
    if not call.may_have_run:
        attempts.return_token(state, event, call)
    failure = call_lib.not_run_failure(Reason.CANCELLED, None)
    return [
        *attempts.cancel_others(state, event, call, 0),
        *attempts.cancel_timers(call),
        *keyed_calls.settle_failed(
            state,
            event,
            call_id=event.call_id,
            failure=attempts.final_failure(call, failure),
        ),
    ]


@step.step.register
def _(event: events.PeerCallArrived, state: node.Node) -> list[effects.Effect]:
    call = owner_call_lib.OwnerCall(
        owner_call_id=event.owner_call_id,
        priority=event.priority,
        deadline_s=event.now_s + event.timeout_s,
        bulk=event.bulk,
        route=event.route,
        arrived_s=event.now_s,
        reroutable=event.reroutable,
        idempotent=event.idempotent,
        objective_deadline_s=event.now_s + event.objective_s,
        route_priority=event.route_priority,
    )
    if event.service != state.admission.service:
        refusal = call_lib.not_run_failure(Reason.NO_UPSTREAM, None)
        return [attempts.refuse_peer_call(event.owner_call_id, refusal)]
    if rollout_owner.refuses_calls(state, event.now_s):
        refusal = call_lib.not_run_failure(Reason.DRAINING, None)
        return [attempts.refuse_peer_call(event.owner_call_id, refusal)]
    decision = state.admission.offer(call, event.now_s)
    return attempts.apply_decision(state, event, decision)


@step.step.register
def _(
    event: events.PeerCallCancelled, state: node.Node
) -> list[effects.Effect]:
    if state.admission.withdraw(event.owner_call_id):
        refusal = call_lib.not_run_failure(Reason.CANCELLED, None)
        return [attempts.refuse_peer_call(event.owner_call_id, refusal)]
    if event.owner_call_id in state.admission.in_progress:
        return [effects.AbortDispatch(owner_call_id=event.owner_call_id)]
    return []


@step.handle_timer.register
def _(
    timer: timers.CallDeadline, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    call = state.calls.get(timer.call_id)
    if call is None:
        return []
    own = state.settings.address.instance
    for attempt in call.attempts.values():
        if attempt.instance != own:
            state.routing.record_timeout(attempt.instance, event.now_s)
    return giving_up.give_up(state, event, call, Reason.DEADLINE)


def _is_permitted(
    state: node.Node,
    event: events.CallArrived,
    route: catalog_lib.Route | host_route.HostRoute,
) -> bool:
    """Return whether the key of a call, or its absence, permits the route."""
    if not state.config.catalog.workspaces:
        return True
    if event.has_unknown_key:
        return False
    return event.workspace is not None or route.public


def _ledger_key(key: str, workspace: str) -> str:
    """Return the idempotency key under which the ledger keeps a call.

    Callers of two workspaces may choose the same key, and must not receive each
    other's answers. No header contains the separator.
    """
    return f"{workspace}\n{key}" if workspace else key


def _refusal_at_arrival(state: node.Node) -> outcome.Reason | None:
    if state.stopping and not state.settings.stop_after_s:
        return Reason.DRAINING
    if not state.config.can_route:
        return Reason.NO_CONFIGURATION
    if len(state.calls) >= state.settings.calls_limit:
        return Reason.OVERLOADED
    return None
