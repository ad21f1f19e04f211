"""Ends calls whose attempts may still run: at a deadline, at a stop's end."""

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core.calls import attempts
from monsoonpass.core.calls import call as call_lib
from monsoonpass.core.calls import outcome

Reason = outcome.Reason


def give_up_all(state: node.Node, event: events.Event) -> list[effects.Effect]:
    """End all calls at this node, at the end of a planned stop."""
    result: list[effects.Effect] = []
    for call in list(state.calls.values()):
        result += give_up(state, event, call, Reason.DRAINING)
    decision = state.admission.refuse_all(Reason.DRAINING)
    result += attempts.apply_decision(state, event, decision)
    result += [
        effects.AbortDispatch(owner_call_id=owner_call_id)
        for owner_call_id in state.admission.in_progress
    ]
    return result


def give_up(
    state: node.Node,
    event: events.Event,
    call: call_lib.Call,
    reason: outcome.Reason,
) -> list[effects.Effect]:
    """End a call whose attempts may still run, with a truthful failure."""
    for number in list(call.attempts):
        instance = call.attempts[number].instance
        call.tried.add(instance)
        is_own = instance == state.settings.address.instance
        if is_own and state.admission.withdraw(call.call_id):
            del call.attempts[number]
    may_have_run = call.may_have_run or bool(call.attempts)
    failure = outcome.Failure(
        outcome=outcome.Outcome.UNKNOWN if may_have_run else call_lib.NOT_RUN,
        reason=reason,
        retry_after_s=attempts.RETRY_AFTER_S,
    )
    cancels = attempts.cancel_others(state, event, call, 0)
    return [*cancels, *attempts.fail_call(state, event, call.call_id, failure)]
