"""The own upstream: announced, draining, withdrawn and offered again."""

from monsoonpass.core import attempts
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import gossip
from monsoonpass.core import logbook
from monsoonpass.core import member as member_lib
from monsoonpass.core import node
from monsoonpass.core import outcome
from monsoonpass.core import step

UNREACHABLE_MAX = 3
RECHECK_S = 1.0
RECHECK_MAX_S = 30.0
Reason = outcome.Reason


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
        *gossip.change_own(
            state,
            event,
            service=event.service,
            slots=event.slots,
            upstream=member_lib.UpstreamState.READY,
        ),
    ]


@step.step.register
def _(event: events.UpstreamDraining, state: node.Node) -> list[effects.Effect]:
    return drain(state, event)


def drain(state: node.Node, event: events.Event) -> list[effects.Effect]:
    """Stop giving the own upstream new work and tell the others."""
    if not state.admission.accepts:
        return []
    state.admission.upstream = member_lib.UpstreamState.DRAINING
    refused = state.admission.refuse_all(Reason.DRAINING)
    return [
        effects.Log(code=logbook.Code.UPSTREAM_DRAINING),
        *gossip.change_own(
            state, event, upstream=member_lib.UpstreamState.DRAINING
        ),
        *gossip.spread_now(state, event),
        *attempts.perform(state, event, refused),
    ]


def judge(state: node.Node, event: events.WorkFinished) -> list[effects.Effect]:
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
        *gossip.change_own(state, event, upstream=own.upstream),
        *attempts.perform(state, event, refused),
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
    return gossip.change_own(state, event, upstream=own.upstream)
