"""Decides when an idempotent call gets a second attempt beside the first.

Load patterns: a few stragglers take many times the usual time; an upstream
never answers a call that it could not queue, nor any later one on the same
connection. A straggler is hedged at a free instance of the own data centre. An
attempt that stays silent for several times the usual time is taken for mute,
and the second attempt may go to any data centre. The first attempt goes on
until one of the two answers, since silence proves nothing.
"""

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core import timers
from monsoonpass.core.calls import admission
from monsoonpass.core.calls import call as call_lib
from monsoonpass.core.calls import placement
from monsoonpass.core.calls import retry_budget
from monsoonpass.core.calls import routing
from monsoonpass.core.rollouts import version_choice

HEDGE_MIN_S = 0.005  # Shortest hedge delay.
SILENCE_MIN_S = 0.05  # Shortest silence; a queue at the upstream takes longer.
SAMPLES_MIN = 50  # Latencies of a route needed before it is hedged.
HEDGE_FACTOR = 2.0  # Hedge delay, as a multiple of the median latency.
# A hedge cuts off the attempt that it overtakes. An attempt that measures a new
# version goes on until it is surely slow (`evidence.SLOW_BUCKETS`).
CANARY_HEDGE_FACTOR = 6.0


def arm(state: node.Node, call: call_lib.Call) -> list[effects.Effect]:
    """Set the hedge timer of a call, if the call may be hedged."""
    if not call.route.idempotent or call.route.bulk or call.hedged:
        return []
    median = state.routing.median(call.statistics_key)
    if median.count < SAMPLES_MIN or call.call_id not in state.calls:
        return []
    factor = HEDGE_FACTOR
    if any(
        version_choice.is_canary(state, call.service, attempt.instance)
        for attempt in call.attempts.values()
    ):
        factor = CANARY_HEDGE_FACTOR
    delay_s = max(median.value_s * factor, HEDGE_MIN_S)
    return [_timer(call, delay_s)]


def choose(
    state: node.Node, event: events.Event, call: call_lib.Call
) -> tuple[routing.Candidate | None, list[effects.Effect]]:
    """Choose the instance for the second attempt of a call that is due one.

    Returns:
        The instance, or None if there is to be no second attempt now, and the
        effects of waiting for one.
    """
    if call.answering_attempt or call.hedged or not call.attempts:
        return None, []
    if not call.may_try_another_upstream:
        return None, []
    silent_in_s = _silent_at_s(state, call) - event.now_s
    running = {attempt.instance for attempt in call.attempts.values()}
    choice = placement.choose(state, event, call.service, call.tried | running)
    # Without a free slot, the second attempt would delay another call's first.
    is_possible = choice is not None and choice.reroutable
    is_near = is_possible and not choice.rtt_s
    if not is_near and silent_in_s > 0:
        return None, [_timer(call, silent_in_s)]
    own = state.settings.address.instance
    if not is_possible or choice.instance == own:
        return None, []
    if not retry_budget.for_service(state, call.service).withdraw():
        return None, []
    call.hedged = True
    return choice, []


def _silent_at_s(state: node.Node, call: call_lib.Call) -> float:
    """Return when the silence of a call's attempts counts as mute."""
    median = state.routing.median(call.statistics_key)
    silence_s = max(median.value_s * admission.SILENCE_FACTOR, SILENCE_MIN_S)
    started_s = max(attempt.started_s for attempt in call.attempts.values())
    return started_s + silence_s


def _timer(call: call_lib.Call, delay_s: float) -> effects.SetTimer:
    return effects.SetTimer(
        timer=timers.HedgeDue(call_id=call.call_id), delay_s=delay_s
    )
