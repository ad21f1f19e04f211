"""Quotas at a node: calls that need tokens, requests, replies and the timer."""

from collections.abc import Mapping
from typing import Any

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core import node
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.agreement import voter_lookup
from monsoonpass.core.calls import call as call_lib
from monsoonpass.core.quotas import authority
from monsoonpass.core.quotas import limits as limits_lib
from monsoonpass.core.quotas import quota_messages as messages
from monsoonpass.core.quotas import token_holder

Decision = token_holder.Decision

# A call may wait for this part of the time until its deadline, so that the
# other part is left to run it.
WAIT_PART = 0.5
# Time after which to ask again if there is no allocator.
NO_ALLOCATOR_RETRY_S = 0.15
# As above, if another node is known as the leader. Two nodes may name each
# other for a moment, so requests must not follow each other without a pause.
LEADER_HINT_RETRY_S = 0.03
TIMER_MIN_S = 0.002


def start(state: node.Node, event: events.Started) -> None:
    """Prepare the holder of a process that has started."""
    state.quotas.holder.incarnation = event.wall_ms


def acquire(
    state: node.Node,
    event: events.CallArrived,
    call: call_lib.Call,
    context: Any,
) -> tuple[Decision, list[effects.Effect]]:
    """Take a token for a call that arrived, or let it wait for one.

    Args:
        state: The node.
        event: The arrival of the call.
        call: The call, of a workspace.
        context: Returned with the decision on a call that waits.

    Returns:
        The decision, and effects.
    """
    limit = _limits(state).get(call.workspace)
    if limit is None:
        return Decision.ADMITTED, []
    holder = state.quotas.holder
    was_on_own_share = holder.is_on_own_share
    wait_s = min(
        state.settings.quota_wait_s,
        WAIT_PART * (call.deadline_s - event.now_s),
    )
    waiter = token_holder.Waiter(
        call_id=call.call_id, until_s=event.now_s + wait_s, context=context
    )
    decision = holder.acquire(call.workspace, limit, waiter, event.now_s)
    if decision is Decision.ADMITTED:
        call.holds_token = True
        return decision, _log_own_share(state, was_on_own_share)
    if decision is Decision.REFUSED:
        return decision, []
    return decision, pump(state, event)


def serve_waiting(
    state: node.Node, event: events.Event
) -> tuple[list[token_holder.Decided], list[effects.Effect]]:
    """Decide on the calls that wait for tokens.

    Returns:
        The decisions, and effects.
    """
    holder = state.quotas.holder
    was_on_own_share = holder.is_on_own_share
    decided = holder.serve_waiting(_limits(state), event.now_s)
    return decided, _log_own_share(state, was_on_own_share)


def pump(state: node.Node, event: events.Event) -> list[effects.Effect]:
    """Send a request if one is due, and set the timer for what is due next."""
    quotas = state.quotas
    holder = quotas.holder
    limits = _limits(state)
    now_s = event.now_s
    result: list[effects.Effect] = []
    if holder.next_request_s(now_s) <= now_s:
        result += _send_request(state, event, limits)
    due_s = min(
        holder.next_request_s(now_s),
        holder.next_expiry_s(),
        holder.next_own_token_s(limits, now_s),
    )
    if due_s < quotas.timer_due_s:
        quotas.timer_due_s = due_s
        delay_s = max(due_s - now_s, TIMER_MIN_S)
        result.append(
            effects.SetTimer(timer=timers.QuotaDue(), delay_s=delay_s)
        )
    return result


def handle_reply(
    state: node.Node, event: events.PeerMessage, reply: messages.TokenReply
) -> list[effects.Effect]:
    """Handle the reply of the allocator, or of a node that does not allocate.

    The caller then decides on the calls that wait, and pumps.
    """
    holder = state.quotas.holder
    was_on_own_share = holder.is_on_own_share
    is_current = holder.in_flight and reply.number == holder.number
    is_from_allocator = holder.handle_reply(reply, event.now_s)
    if is_current and not is_from_allocator and reply.leader is not None:
        state.control.leader = reply.leader
        holder.unanswered = 0
    if is_from_allocator and was_on_own_share:
        return [effects.Log(code=log_events.Code.QUOTA_CONTACT_RESTORED)]
    return []


@step.handle_message.register
def _(
    message: messages.TokenRequest, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    allocator, result = authority.find_allocator(state, event.now_s)
    if allocator is None:
        reply = _no_allocator_reply(state, event, message)
    else:
        reply = allocator.handle(
            message,
            instance=event.sender.instance,
            now_s=event.now_s,
            limits=_limits(state),
        )
    if reply is None:
        return result
    return [*result, effects.Send(to=event.sender, message=reply)]


def _no_allocator_reply(
    state: node.Node, event: events.Event, request: messages.TokenRequest
) -> messages.TokenReply:
    replica = state.control.replica
    retry_s = NO_ALLOCATOR_RETRY_S
    leader = voter_lookup.known_leader(state)
    if replica is not None and replica.is_leader:
        leader = state.settings.address
        until_start_s = authority.start_s(replica) - event.now_s
        if 0.0 < until_start_s < retry_s:
            retry_s = until_start_s
    elif leader is not None:
        retry_s = LEADER_HINT_RETRY_S
    return messages.TokenReply(
        number=request.number,
        session=0,
        sent_s=event.now_s,
        share=0.0,
        retry_s=retry_s,
        leader=leader,
    )


def _send_request(
    state: node.Node, event: events.Event, limits: Mapping[str, Any]
) -> list[effects.Effect]:
    holder = state.quotas.holder
    to = voter_lookup.pick_leader(state, event, holder.unanswered)
    if to is None:
        holder.ask_at_s = event.now_s + token_holder.RESEND_INTERVAL_S
        return []
    request = holder.make_request(limits, event.now_s)
    return [effects.Send(to=to, message=request)]


def _log_own_share(
    state: node.Node, was_on_own_share: bool
) -> list[effects.Effect]:
    holder = state.quotas.holder
    if was_on_own_share or not holder.is_on_own_share:
        return []
    return [
        effects.Log(
            code=log_events.Code.QUOTA_OWN_SHARE_USED,
            fields={"share": round(holder.share, 4)},
        )
    ]


def _limits(state: node.Node) -> dict[str, limits_lib.Limit]:
    """Return the limits in force, by workspace."""
    quotas = state.quotas
    catalog = state.config.catalog
    if quotas.catalog is not catalog:
        quotas.catalog = catalog
        limits = limits_lib.make_limits(
            catalog.workspaces.values(), state.settings.quota_slack
        )
        if limits != quotas.limits:
            quotas.limits = limits
            quotas.holder.drop_unlimited(limits)
    return quotas.limits
