"""Announcements, notices of leaving and failures of the own upstream.

Announcements may carry the name of the upstream and the time of its start, by
which late messages of an earlier process at the same address are recognised
and ignored. `phase` holds the state machine and `offer` applies its changes.
"""

import dataclasses

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import logbook
from monsoonpass.core import node
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.calls import outcome
from monsoonpass.core.membership import contact
from monsoonpass.core.membership import gossip
from monsoonpass.core.membership import notice as notice_lib
from monsoonpass.core.membership import offer
from monsoonpass.core.membership import phase as phase_lib
from monsoonpass.core.membership import upstream as upstream_lib

UNREACHABLE_MAX = 3
Cause = phase_lib.Cause
Phase = phase_lib.Phase
Reason = outcome.Reason


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Announced:
    """Result of an announcement.

    Attributes:
        taken: Whether the announcement was accepted.
    """

    taken: bool


@step.step.register
def _(
    event: events.UpstreamAnnounced, state: node.Node
) -> list[effects.Effect]:
    order = state.upstream.order(event)
    taken = event.draining or _is_news(state, event, order)
    if event.draining:
        result = _take_draining(state, event, order)
    elif not taken:
        result = [offer.log(logbook.Code.ANNOUNCEMENT_IGNORED, event)]
    elif state.stopping:
        # Acknowledged but not offered: the upstream will announce itself to
        # the next process of this node.
        result = _adopt(state, event, order)
    else:
        cause = Cause.ANNOUNCED
        if _must_wait(state, event):
            cause = Cause.ANNOUNCED_EARLY
        result = _adopt(state, event, order)
        result += offer.change(state, event, cause)
    if event.request_id:
        reply = effects.Reply(
            request_id=event.request_id, result=Announced(taken=taken)
        )
        result.append(reply)
    return result


@step.step.register
def _(event: events.UpstreamDraining, state: node.Node) -> list[effects.Effect]:
    log = _log_notice(state, event)
    known = state.upstream
    name = event.upstream_id or known.name
    if not name:
        return [log, *drain(state, event)]
    born_ms = event.born_ms
    if born_ms is None and name == known.name:
        # The sender is the current process, or one that has replaced it.
        born_ms = known.born_ms
    notice = _notice(state, event)
    notice = dataclasses.replace(notice, name=name, born_ms=born_ms)
    return [log, *_take_notice(state, event, notice)]


def _take_draining(
    state: node.Node,
    event: events.UpstreamAnnounced,
    order: upstream_lib.Order,
) -> list[effects.Effect]:
    """Handle an announcement that is a notice of leaving.

    The notice applies to its start even if that process has ended or has sent
    other announcements since: a process that leaves never becomes ready again.
    """
    result: list[effects.Effect] = []
    if not _is_bound(state, event):
        result.append(_log_notice(state, event))
    if order is not upstream_lib.Order.OLD:
        result += _adopt(state, event, order)
    if not event.upstream_id:
        return result + offer.change(state, event, Cause.LEAVES)
    return result + _take_notice(state, event, _notice(state, event))


def _notice(
    state: node.Node, event: events.UpstreamDraining | events.UpstreamAnnounced
) -> notice_lib.Notice:
    """Return the notice of leaving in a message."""
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
    """Store and publish a notice; drain the upstream if the notice applies."""
    known = state.upstream
    before = known.notices.get(notice.name)
    known.notices.add([notice])
    notice = known.notices.get(notice.name)
    leaves = known.name == notice.name and known.leaves(
        state.wall_ms(event.now_s)
    )
    told = offer.change(state, event, Cause.LEAVES, notice) if leaves else []
    if not told and notice == before:
        return []
    if not told:
        told = [
            *gossip.change_own(state, event, leaving=notice),
            *gossip.spread_now(state, event),
        ]
    # A process that has not joined yet knows no members to gossip to.
    return told + contact.meet_seeds(state)


def remind(
    state: node.Node,
    event: events.Event,
    notices: tuple[notice_lib.Notice, ...],
) -> list[effects.Effect]:
    """Merge notices that members stored and offer a waiting upstream.

    Args:
        state: The node.
        event: The event that carried the notices.
        notices: Notices of leaving of this instance's upstreams.

    Returns:
        Effects.
    """
    result: list[effects.Effect] = []
    for notice in notices:
        if state.upstream.notices.get(notice.name) != notice:
            result += _take_notice(state, event, notice)
    if state.membership.joined:
        result += _confirm(state, event)
    return result


@step.expire.register
def _(
    timer: timers.OfferDue, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    return _confirm(state, event)


def _confirm(state: node.Node, event: events.Event) -> list[effects.Effect]:
    """Offer a waiting upstream, unless the node is stopping."""
    if state.stopping:
        return []
    return offer.change(state, event, Cause.CONFIRMED)


def drain(state: node.Node, event: events.Event) -> list[effects.Effect]:
    """Drain the own upstream, if there is one."""
    if state.upstream.phase is Phase.ABSENT:
        return []
    return offer.change(state, event, Cause.LEAVES)


def judge(state: node.Node, event: events.WorkFinished) -> list[effects.Effect]:
    """Update the own upstream from the result of a call that it ran.

    Repeated connection failures withdraw the upstream, each time for longer;
    a replaced process withdraws it until the next announcement.
    """
    known = state.upstream
    failure = event.failure
    if failure is None:
        known.heard_s = event.now_s
        known.failures = 0
        known.withdrawals = 0
        return []
    if failure.reason is Reason.UPSTREAM_REPLACED:
        return offer.change(state, event, Cause.REPLACED)
    if failure.reason is not Reason.UPSTREAM_UNREACHABLE:
        return []
    known.failures += 1
    if known.failures < UNREACHABLE_MAX:
        return []
    known.failures = 0
    return offer.change(state, event, Cause.UNREACHABLE)


@step.expire.register
def _(
    timer: timers.UpstreamRecheck, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    """Offer an upstream that was withdrawn as unreachable again."""
    if state.stopping:
        return []
    return offer.change(state, event, Cause.RECHECKED)


@step.expire.register
def _(
    timer: timers.UpstreamSilence, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    """Withdraw an upstream that has neither announced itself nor answered."""
    limit_s = state.settings.silence_s
    quiet_s = event.now_s - state.upstream.heard_s
    if quiet_s < limit_s:
        return [effects.SetTimer(timer=timer, delay_s=limit_s - quiet_s)]
    withdrawn = offer.change(state, event, Cause.SILENT)
    if not withdrawn:
        return []
    log = effects.Log(
        code=logbook.Code.UPSTREAM_SILENT, fields={"quiet_s": round(quiet_s, 2)}
    )
    return [log, *withdrawn]


def _must_wait(state: node.Node, event: events.Event) -> bool:
    """Return whether members may still report a notice of leaving.

    A late announcement may reach a node that has just restarted and whose
    earlier process acknowledged the upstream's notice of leaving.
    """
    if not state.settings.local_seeds or state.membership.joined:
        return False
    return event.now_s - state.started_s < offer.JOIN_WAIT_S


def _is_news(
    state: node.Node,
    event: events.UpstreamAnnounced,
    order: upstream_lib.Order,
) -> bool:
    """Return whether to accept an announcement that an upstream is ready.

    A stopping node accepts only announcements of the current process.
    """
    if _is_bound(state, event):
        return False
    if state.stopping:
        return order is upstream_lib.Order.NEWS
    return order is not upstream_lib.Order.OLD


def _is_bound(state: node.Node, event: events.UpstreamAnnounced) -> bool:
    """Return whether the announcing process has given notice of leaving."""
    now_ms = state.wall_ms(event.now_s)
    notices = state.upstream.notices
    return notices.binds(event.upstream_id, event.born_ms, now_ms)


def _adopt(
    state: node.Node,
    event: events.UpstreamAnnounced,
    order: upstream_lib.Order,
) -> list[effects.Effect]:
    """Store an accepted announcement; switch to a new process or port."""
    known = state.upstream
    result: list[effects.Effect] = []
    is_next = order is upstream_lib.Order.NEXT
    if is_next or event.port != known.announced.port:
        known.number += 1
        used = effects.UseUpstream(
            port=event.port,
            upstream_id=event.upstream_id,
            number=known.number,
        )
        result.append(used)
    if is_next:
        known.fresh = True
        known.failures = 0
        known.withdrawals = 0
    known.announced = event
    known.heard_s = event.now_s
    if state.settings.silence_s:
        timer = timers.UpstreamSilence()
        delay_s = state.settings.silence_s
        result.append(effects.SetTimer(timer=timer, delay_s=delay_s))
    return result


def _log_notice(
    state: node.Node, event: events.UpstreamDraining | events.UpstreamAnnounced
) -> effects.Log:
    """Return a log event on a notice, with the upstream known until then."""
    known = state.upstream
    return effects.Log(
        code=logbook.Code.UPSTREAM_NOTICE,
        fields={
            "upstream": event.upstream_id,
            "born": event.born_ms,
            "known": known.name,
            "known_born": known.born_ms,
            "known_phase": known.phase.value,
        },
    )
