"""The own upstream: announced, draining, withdrawn and offered again.

An upstream may tell its name and the time of its start with each of its
announcements. What an earlier process at the same address said, and arrives
late, then changes nothing.
"""

import dataclasses

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import logbook
from monsoonpass.core import node
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.calls import attempts
from monsoonpass.core.calls import outcome
from monsoonpass.core.membership import gossip
from monsoonpass.core.membership import member as member_lib
from monsoonpass.core.membership import notice as notice_lib

UNREACHABLE_MAX = 3
JOIN_WAIT_S = 1.0  # Several tries to join; a seed may be starting too.
RECHECK_S = 1.0
RECHECK_MAX_S = 30.0
Reason = outcome.Reason


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Announced:
    """Result: whether an announcement was taken."""

    taken: bool


@step.step.register
def _(
    event: events.UpstreamAnnounced, state: node.Node
) -> list[effects.Effect]:
    taken = _is_newer(state, event)
    taken = taken and (event.draining or not state.stopping)
    result: list[effects.Effect] = []
    if taken and _must_wait(state, event):
        if state.upstream.waiting is None:
            timer = timers.OfferDue()
            result.append(effects.SetTimer(timer=timer, delay_s=JOIN_WAIT_S))
            result.append(_log(logbook.Code.ANNOUNCEMENT_WAITS, event))
        state.upstream.waiting = event
    elif taken:
        result += _take(state, event)
    else:
        result.append(_log(logbook.Code.ANNOUNCEMENT_IGNORED, event))
    if event.request_id:
        reply = effects.Reply(
            request_id=event.request_id, result=Announced(taken=taken)
        )
        result.append(reply)
    return result


@step.step.register
def _(event: events.UpstreamDraining, state: node.Node) -> list[effects.Effect]:
    log = _log_notice(state, event)
    if not event.upstream_id:
        return [log, *drain(state, event)]
    notice = _notice(state, event)
    known = state.upstream
    if event.born_ms is None and event.upstream_id == known.upstream_id:
        # Its sender is the known start, or one that took its place.
        notice = dataclasses.replace(notice, born_ms=known.born_ms)
    return [log, *_take_notice(state, event, notice)]


def _notice(
    state: node.Node, event: events.UpstreamDraining | events.UpstreamAnnounced
) -> notice_lib.Notice:
    """Return the notice of leaving that a message is."""
    taken_ms = state.wall_ms(event.now_s)
    return notice_lib.Notice(
        name=event.upstream_id,
        taken_ms=taken_ms,
        born_ms=event.born_ms,
        open_ms=taken_ms if event.born_ms is None else None,
    )


def _take_notice(
    state: node.Node, event: events.Event, notice: notice_lib.Notice
) -> list[effects.Effect]:
    """Keep a notice, tell the members and drain the upstream if it binds it."""
    known = state.upstream
    known.notices.add([notice])
    notice = known.notices.get(notice.name)
    drained = []
    if known.upstream_id == notice.name and _leaves(
        state, event, known.upstream_id, known.born_ms
    ):
        drained = drain(state, event, leaving=notice)
    return drained or _tell_notice(state, event, notice)


def _tell_notice(
    state: node.Node, event: events.Event, notice: notice_lib.Notice
) -> list[effects.Effect]:
    """Let the members remember a notice for the next process."""
    return [
        *gossip.change_own(state, event, leaving=notice),
        *gossip.spread_now(state, event),
    ]


def _leaves(
    state: node.Node, event: events.Event, name: str, born_ms: int | None
) -> bool:
    """Return whether a start of an upstream is bound by a notice."""
    now_ms = state.wall_ms(event.now_s)
    return state.upstream.notices.binds(name, born_ms, now_ms)


def _must_wait(state: node.Node, event: events.UpstreamAnnounced) -> bool:
    """Return whether members may still tell that this upstream leaves.

    A late announcement may reach a process that has just started, after the
    one before it has acknowledged that the upstream leaves.
    """
    is_alone = not state.settings.local_seeds
    if event.draining or is_alone or state.membership.joined:
        return False
    return event.now_s - state.started_s < JOIN_WAIT_S


def remind(
    state: node.Node,
    event: events.Event,
    notices: tuple[notice_lib.Notice, ...],
) -> list[effects.Effect]:
    """Take what members remember of upstreams that leave, and offer the own.

    Args:
        state: The node.
        event: The cause.
        notices: Notices of leaving of this instance's upstreams.

    Returns:
        Effects.
    """
    result: list[effects.Effect] = []
    for notice in notices:
        if state.upstream.notices.get(notice.name) != notice:
            result += _take_notice(state, event, notice)
    if state.membership.joined:
        result += _offer_waiting(state)
    return result


@step.expire.register
def _(
    timer: timers.OfferDue, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    return _offer_waiting(state)


def _offer_waiting(state: node.Node) -> list[effects.Effect]:
    """Take the announcement that waited, unless its upstream leaves."""
    event, state.upstream.waiting = state.upstream.waiting, None
    if event is None or state.stopping or not _is_newer(state, event):
        return []
    return _take(state, event)


@step.expire.register
def _(
    timer: timers.UpstreamSilence, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    """Withdraw an upstream that neither announces itself nor answers."""
    limit_s = state.settings.silence_s
    quiet_s = event.now_s - state.upstream.heard_s
    if quiet_s < limit_s:
        return [effects.SetTimer(timer=timer, delay_s=limit_s - quiet_s)]
    if not state.admission.accepts:
        return []
    log = effects.Log(
        code=logbook.Code.UPSTREAM_SILENT, fields={"quiet_s": round(quiet_s, 2)}
    )
    return [log, *_withdraw(state, event, Reason.UPSTREAM_UNREACHABLE)]


def _is_newer(state: node.Node, event: events.UpstreamAnnounced) -> bool:
    """Return whether an announcement is news.

    One that was delayed may arrive after its sender has ended and another
    process has taken its place.
    """
    known = state.upstream
    if _leaves(state, event, event.upstream_id, event.born_ms):
        return event.draining
    if event.born_ms is None or known.born_ms is None:
        if event.born_ms is not known.born_ms:
            # An upstream that tells its start does so each time.
            return known.born_ms is None
    elif event.born_ms != known.born_ms:
        return event.born_ms > known.born_ms
    if event.upstream_id != known.upstream_id:
        return True
    if event.sequence is None or known.sequence is None:
        return True
    return event.sequence > known.sequence


def _take(
    state: node.Node, event: events.UpstreamAnnounced
) -> list[effects.Effect]:
    known = state.upstream
    is_same = (event.upstream_id, event.born_ms) == (
        known.upstream_id,
        known.born_ms,
    ) and state.admission.service == event.service
    result: list[effects.Effect] = []
    if not is_same or event.port != known.port:
        result.append(
            effects.UseUpstream(port=event.port, upstream_id=event.upstream_id)
        )
    known.upstream_id = event.upstream_id
    known.born_ms = event.born_ms
    known.sequence = event.sequence
    known.port = event.port
    known.heard_s = event.now_s
    if state.settings.silence_s:
        timer = timers.UpstreamSilence()
        delay_s = state.settings.silence_s
        result.append(effects.SetTimer(timer=timer, delay_s=delay_s))
    if event.draining:
        state.admission.service = event.service
        return result + _take_notice(state, event, _notice(state, event))
    state.admission.announce(
        service=event.service,
        slots=event.slots,
        cold=event.cold,
        cold_s=event.cold_s,
        fresh=not is_same,
        now_s=event.now_s,
    )
    own = state.membership.own
    told = (own.service, own.slots, own.upstream)
    if told == (event.service, event.slots, member_lib.UpstreamState.READY):
        return result
    has_notice = known.notices.get(event.upstream_id) is not None
    return [
        *result,
        _log(
            logbook.Code.UPSTREAM_ANNOUNCED,
            event,
            service=event.service,
            slots=event.slots,
            has_notice=has_notice,
        ),
        *gossip.change_own(
            state,
            event,
            service=event.service,
            slots=event.slots,
            upstream=member_lib.UpstreamState.READY,
        ),
        *gossip.spread_now(state, event),
    ]


def _log(
    code: logbook.Code, event: events.UpstreamAnnounced, **fields: object
) -> effects.Log:
    """Return a line on an announcement, with which start it is of."""
    start = {
        "upstream": event.upstream_id,
        "born": event.born_ms,
        "sequence": event.sequence,
    }
    return effects.Log(code=code, fields={**start, **fields})


def _log_notice(
    state: node.Node, event: events.UpstreamDraining
) -> effects.Log:
    """Return a line on a notice, with what was known when it came."""
    known = state.upstream
    waiting = known.waiting.upstream_id if known.waiting else None
    return effects.Log(
        code=logbook.Code.UPSTREAM_NOTICE,
        fields={
            "upstream": event.upstream_id,
            "born": event.born_ms,
            "known": known.upstream_id,
            "known_born": known.born_ms,
            "known_state": state.admission.upstream.name.lower(),
            "waiting": waiting,
        },
    )


def drain(
    state: node.Node,
    event: events.Event,
    *,
    leaving: notice_lib.Notice | None = None,
) -> list[effects.Effect]:
    """Stop giving the own upstream new work and tell the others.

    One that is withdrawn for a while leaves too, and must not be offered again
    when that time is over.

    Args:
        state: The node.
        event: The cause.
        leaving: Its notice, or None if it gave none or only its node stops.

    Returns:
        Effects.
    """
    is_draining = state.admission.upstream is member_lib.UpstreamState.DRAINING
    if is_draining or not state.admission.service:
        return []
    state.admission.upstream = member_lib.UpstreamState.DRAINING
    known = state.upstream
    refused = state.admission.refuse_all(Reason.DRAINING)
    return [
        effects.Log(
            code=logbook.Code.UPSTREAM_DRAINING,
            fields={"upstream": known.upstream_id, "born": known.born_ms},
        ),
        *gossip.change_own(
            state,
            event,
            upstream=member_lib.UpstreamState.DRAINING,
            leaving=leaving or state.membership.own.leaving,
        ),
        *gossip.spread_now(state, event),
        *attempts.perform(state, event, refused),
    ]


def judge(state: node.Node, event: events.WorkFinished) -> list[effects.Effect]:
    """Withdraw an upstream that cannot be reached, for a growing while."""
    own = state.admission
    failure = event.failure
    if failure is None:
        state.upstream.heard_s = event.now_s
        own.unreachable_count = 0
        own.withdrawals = 0
        return []
    if failure.reason is Reason.UPSTREAM_REPLACED:
        # Another process has the address; only an announcement ends this.
        own.unreachable_count = 0
        return _withdraw(state, event, failure.reason) if own.accepts else []
    if failure.reason is not Reason.UPSTREAM_UNREACHABLE:
        return []
    own.unreachable_count += 1
    if own.unreachable_count < UNREACHABLE_MAX or not own.accepts:
        return []
    own.unreachable_count = 0
    own.withdrawals += 1
    delay_s = min(RECHECK_S * 2**own.withdrawals, RECHECK_MAX_S)
    result = _withdraw(state, event, Reason.UPSTREAM_UNREACHABLE)
    state.upstream.may_return = True
    timer = timers.UpstreamRecheck()
    return [effects.SetTimer(timer=timer, delay_s=delay_s), *result]


def _withdraw(
    state: node.Node, event: events.Event, reason: outcome.Reason
) -> list[effects.Effect]:
    own = state.admission
    own.upstream = member_lib.UpstreamState.NONE
    state.upstream.may_return = False
    refused = own.refuse_all(reason)
    return [
        effects.Log(
            code=logbook.Code.UPSTREAM_WITHDRAWN, fields={"reason": str(reason)}
        ),
        *gossip.change_own(state, event, upstream=own.upstream),
        *gossip.spread_now(state, event),
        *attempts.perform(state, event, refused),
    ]


@step.expire.register
def _(
    timer: timers.UpstreamRecheck, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    """Offer an upstream again that could not be reached for a while."""
    own = state.admission
    is_withdrawn = own.upstream is member_lib.UpstreamState.NONE
    if not is_withdrawn or not state.upstream.may_return or state.stopping:
        return []
    own.upstream = member_lib.UpstreamState.READY
    return gossip.change_own(state, event, upstream=own.upstream)
