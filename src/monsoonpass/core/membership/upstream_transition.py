"""Applies changes of the own upstream's phase.

Each change updates admission, the node's member record and the queued calls in
one step, so that they are always consistent with each other.
"""

from monsoonpass.core import backoff
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core import node
from monsoonpass.core import timers
from monsoonpass.core.agreement import voter_lookup
from monsoonpass.core.calls import attempts
from monsoonpass.core.calls import outcome
from monsoonpass.core.calls import owner_call as owner_call_lib
from monsoonpass.core.membership import gossip
from monsoonpass.core.membership import leave_notice as notice_lib
from monsoonpass.core.membership import member as member_lib
from monsoonpass.core.membership import upstream_phase as phase_lib

JOIN_WAIT_S = 1.0  # Allows several join attempts, since seeds may be starting.
# Longer than an election after all voters restart. A data centre that is cut
# off from the control group uses its upstreams after that.
CONTROL_GROUP_WAIT_S = 4.0
RECHECK_BASE_S = 1.0  # Doubled with each withdrawal, including the first.
RECHECK_MAX_S = 30.0
Cause = phase_lib.Cause
Phase = phase_lib.Phase
Reason = outcome.Reason


def apply_cause(
    state: node.Node,
    event: events.Event,
    cause: Cause,
    notice: notice_lib.LeaveNotice | None = None,
) -> list[effects.Effect]:
    """Change the phase of the own upstream and apply the new phase.

    Args:
        state: The node.
        event: The event being handled, for its time and random bits.
        cause: Cause of the change.
        notice: Notice of leaving, if one is the cause.

    Returns:
        Effects; none if nothing changes.
    """
    upstream = state.upstream
    previous = upstream.phase
    upstream.phase = phase_lib.next_phase(previous, cause)
    # A repeated announcement may change the service or the slots.
    if upstream.phase is previous and cause is not Cause.ANNOUNCED:
        return []
    if upstream.phase is Phase.OFFERED:
        return _offer(state, event)
    if upstream.phase is Phase.WAITING:
        return _defer_offer(state, event)
    if upstream.phase is Phase.LEAVING:
        draining = member_lib.UpstreamState.DRAINING
        return _stop_offering(state, event, draining, Reason.DRAINING, notice)
    return _withdraw(state, event, cause)


def offer_wait_s(state: node.Node, now_s: float) -> float:
    """Return for how long an unknown notice of leaving is to be expected.

    A late announcement may reach a node that has just restarted and whose
    earlier process acknowledged the upstream's notice of leaving. Members and
    the control group return the notice to the new process.

    Returns:
        The longest time until the upstream is offered; 0 if all notices are
        known.
    """
    waits_s = [0.0]
    elapsed_s = now_s - state.started_s
    if state.settings.local_seeds and not state.membership.joined:
        waits_s.append(JOIN_WAIT_S - elapsed_s)
    is_confirmed = state.config.confirmed_version is not None
    if voter_lookup.known_voters(state) and not is_confirmed:
        waits_s.append(CONTROL_GROUP_WAIT_S - elapsed_s)
    return max(waits_s)


def offer_timer(state: node.Node, event: events.Event) -> effects.SetTimer:
    """Return the timer that ends the wait of an upstream."""
    return effects.SetTimer(
        timer=timers.OfferDue(), delay_s=offer_wait_s(state, event.now_s)
    )


def _defer_offer(state: node.Node, event: events.Event) -> list[effects.Effect]:
    """Defer offering the upstream until members had time to answer."""
    return [
        offer_timer(state, event),
        announcement_log(
            log_events.Code.ANNOUNCEMENT_WAITS, state.upstream.last_announcement
        ),
    ]


def _withdraw(
    state: node.Node, event: events.Event, cause: Cause
) -> list[effects.Effect]:
    """Withdraw an upstream that is gone; recheck it later if unreachable."""
    upstream = state.upstream
    reason = Reason.UPSTREAM_UNREACHABLE
    if cause is Cause.REPLACED:
        reason = Reason.UPSTREAM_REPLACED
    none = member_lib.UpstreamState.NONE
    result = _stop_offering(state, event, none, reason)
    if upstream.phase is not Phase.UNREACHABLE:
        return result
    upstream.withdrawals += 1
    delay_s = backoff.doubled_s(
        RECHECK_BASE_S, upstream.withdrawals, RECHECK_MAX_S
    )
    timer = timers.UpstreamRecheck()
    return [effects.SetTimer(timer=timer, delay_s=delay_s), *result]


def _offer(state: node.Node, event: events.Event) -> list[effects.Effect]:
    """Admit calls to the upstream; publish the member record if it changes."""
    upstream = state.upstream
    announced = upstream.last_announcement
    refused = owner_call_lib.AdmissionDecision()
    if announced.service != state.admission.service:
        # Queued calls are for the service of the previous process.
        refused = state.admission.refuse_all(Reason.NO_UPSTREAM)
    state.admission.announce(
        service=announced.service,
        slots=announced.slots,
        cold=announced.cold,
        cold_s=announced.cold_s,
        is_new_process=upstream.is_new_process,
        now_s=event.now_s,
    )
    upstream.is_new_process = False
    own = state.membership.own_record
    ready = member_lib.UpstreamState.READY
    current = (own.service, own.slots, own.upstream, own.version)
    wanted = (announced.service, announced.slots, ready, announced.version)
    if current == wanted:
        return []
    log = announcement_log(
        log_events.Code.UPSTREAM_ANNOUNCED,
        announced,
        service=announced.service,
        slots=announced.slots,
        has_notice=upstream.notices.get(upstream.name) is not None,
    )
    return [
        log,
        *gossip.update_own_record(
            state,
            event,
            service=announced.service,
            slots=announced.slots,
            upstream=ready,
            version=announced.version,
        ),
        *gossip.send_updates_now(state, event),
        *attempts.apply_decision(state, event, refused),
    ]


def _stop_offering(
    state: node.Node,
    event: events.Event,
    published: member_lib.UpstreamState,
    reason: Reason,
    notice: notice_lib.LeaveNotice | None = None,
) -> list[effects.Effect]:
    """Stop admitting calls, refuse queued ones and publish the new state.

    Args:
        state: The node.
        event: The event being handled, for its time and random bits.
        published: State of the upstream to publish to the members.
        reason: Reason for which queued calls are refused.
        notice: Notice of leaving, if one is the cause.

    Returns:
        Effects that log the change, publish the state and refuse the calls.
    """
    upstream = state.upstream
    admission = state.admission
    admission.upstream = published
    fields = {"upstream": upstream.name, "born": upstream.started_ms}
    log = effects.Log(code=log_events.Code.UPSTREAM_DRAINING, fields=fields)
    if reason is not Reason.DRAINING:
        log = effects.Log(
            code=log_events.Code.UPSTREAM_WITHDRAWN,
            fields={**fields, "reason": str(reason)},
        )
    refused = admission.refuse_all(reason)
    last_notice = notice or state.membership.own_record.last_notice
    return [
        log,
        *gossip.update_own_record(
            state, event, upstream=published, last_notice=last_notice
        ),
        *gossip.send_updates_now(state, event),
        *attempts.apply_decision(state, event, refused),
    ]


def announcement_log(
    code: log_events.Code, event: events.UpstreamAnnounced, **fields: object
) -> effects.Log:
    """Return the log event of an announcement, with its process."""
    start = {
        "upstream": event.upstream_id,
        "born": event.started_ms,
        "sequence": event.sequence,
    }
    return effects.Log(code=code, fields={**start, **fields})
