"""Announcements, notices of leaving and failures of the own upstream.

Announcements may carry the name of the upstream and the time of its start, by
which late messages of an earlier process at the same address are recognised
and ignored. `upstream_phase` holds the state machine of the phases and
`upstream_transition` applies its changes.
"""

import dataclasses

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core import node
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.calls import outcome
from monsoonpass.core.membership import gossip
from monsoonpass.core.membership import leave_notice as notice_lib
from monsoonpass.core.membership import notice_storage
from monsoonpass.core.membership import own_upstream_state as upstream_lib
from monsoonpass.core.membership import sync_request
from monsoonpass.core.membership import upstream_phase as phase_lib
from monsoonpass.core.membership import upstream_transition

CONNECTION_FAILURES_MAX = 3  # Consecutive; the last one withdraws the upstream.
Cause = phase_lib.Cause
Phase = phase_lib.Phase
Reason = outcome.Reason


@step.step.register
def _(
    event: events.UpstreamAnnounced, state: node.Node
) -> list[effects.Effect]:
    order = state.upstream.order(event)
    if event.draining:
        return _handle_draining(state, event, order)
    accepted = _accepts_ready(state, event, order)
    if not accepted:
        result = [
            upstream_transition.announcement_log(
                log_events.Code.ANNOUNCEMENT_IGNORED, event
            )
        ]
    elif state.stopping:
        # Acknowledged but not offered: the upstream will announce itself to
        # the next process of this node.
        result = _store_announcement(state, event, order)
    else:
        cause = Cause.ANNOUNCED
        if upstream_transition.offer_wait_s(state, event.now_s) > 0.0:
            cause = Cause.ANNOUNCED_EARLY
        result = _store_announcement(state, event, order)
        result += upstream_transition.apply_cause(state, event, cause)
    if event.request_id:
        reply = effects.Reply(
            request_id=event.request_id,
            result=upstream_lib.AnnouncementResult(accepted=accepted),
        )
        result.append(reply)
    return result


@step.step.register
def _(event: events.UpstreamDraining, state: node.Node) -> list[effects.Effect]:
    log = _log_notice(state, event)
    upstream = state.upstream
    name = event.upstream_id or upstream.name
    if not name:
        replies = notice_storage.reply([event.request_id], stored=True)
        return [log, *drain(state, event), *replies]
    started_ms = event.started_ms
    if started_ms is None and name == upstream.name:
        # The sender is the current process, or one that has replaced it.
        started_ms = upstream.started_ms
    notice = _make_notice(state, event)
    notice = dataclasses.replace(notice, name=name, started_ms=started_ms)
    return [
        log,
        *_record_notice(state, event, notice),
        *notice_storage.store(state, event, name, event.request_id),
    ]


def _handle_draining(
    state: node.Node,
    event: events.UpstreamAnnounced,
    order: upstream_lib.AnnouncementOrder,
) -> list[effects.Effect]:
    """Handle an announcement that is a notice of leaving.

    The notice applies to the process that sent it, even if that process has
    ended or has sent other announcements since: a process that leaves never
    becomes ready again.
    """
    result: list[effects.Effect] = []
    if not _has_given_notice(state, event):
        result.append(_log_notice(state, event))
    if order is not upstream_lib.AnnouncementOrder.STALE:
        result += _store_announcement(state, event, order)
    name = event.upstream_id
    if not name:
        return [
            *result,
            *upstream_transition.apply_cause(state, event, Cause.LEAVES),
            *notice_storage.reply([event.request_id], stored=True),
        ]
    return [
        *result,
        *_record_notice(state, event, _make_notice(state, event)),
        *notice_storage.store(state, event, name, event.request_id),
    ]


def _make_notice(
    state: node.Node, event: events.UpstreamDraining | events.UpstreamAnnounced
) -> notice_lib.LeaveNotice:
    """Return the notice of leaving in a message."""
    received_ms = state.wall_ms(event.now_s)
    return notice_lib.LeaveNotice(
        name=event.upstream_id,
        received_ms=received_ms,
        started_ms=event.started_ms,
        startless_received_ms=received_ms if event.started_ms is None else None,
    )


def _record_notice(
    state: node.Node, event: events.Event, notice: notice_lib.LeaveNotice
) -> list[effects.Effect]:
    """Store and publish a notice; drain the upstream if the notice applies."""
    upstream = state.upstream
    previous = upstream.notices.get(notice.name)
    upstream.notices.add([notice])
    notice = upstream.notices.get(notice.name)
    is_leaving = upstream.name == notice.name and upstream.is_leaving(
        state.wall_ms(event.now_s)
    )
    changes = (
        upstream_transition.apply_cause(state, event, Cause.LEAVES, notice)
        if is_leaving
        else []
    )
    if not changes and notice == previous:
        return []
    if not changes:
        changes = [
            *gossip.update_own_record(state, event, last_notice=notice),
            *gossip.send_updates_now(state, event),
        ]
    # A node that has not joined yet knows no members to gossip to.
    return changes + sync_request.request_sync_from_missing_seeds(state)


def merge_stored_notices(
    state: node.Node,
    event: events.Event,
    notices: tuple[notice_lib.LeaveNotice, ...],
) -> list[effects.Effect]:
    """Merge notices that members stored and offer a waiting upstream.

    Args:
        state: The node.
        event: The event that carried the notices.
        notices: Notices of leaving of this instance's upstreams.

    Returns:
        Effects that publish new notices and the changed upstream.
    """
    result: list[effects.Effect] = []
    for notice in notices:
        if state.upstream.notices.get(notice.name) != notice:
            result += _record_notice(state, event, notice)
    return result + _offer_waiting(state, event)


def merge_durable_notices(
    state: node.Node,
    event: events.Event,
    notices: tuple[notice_lib.LeaveNotice, ...],
) -> list[effects.Effect]:
    """Merge notices that the control group has stored, as for members'."""
    state.upstream.stored_notices.add(notices)
    return merge_stored_notices(state, event, notices)


@step.handle_timer.register
def _(
    timer: timers.OfferDue, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    return _offer_waiting(state, event)


def _offer_waiting(
    state: node.Node, event: events.Event
) -> list[effects.Effect]:
    """Offer a waiting upstream once no unknown notice is to be expected."""
    if state.stopping or state.upstream.phase is not Phase.WAITING:
        return []
    if upstream_transition.offer_wait_s(state, event.now_s) > 0.0:
        return [upstream_transition.offer_timer(state, event)]
    return upstream_transition.apply_cause(state, event, Cause.CONFIRMED)


def drain(state: node.Node, event: events.Event) -> list[effects.Effect]:
    """Drain the own upstream, if there is one."""
    if state.upstream.phase is Phase.ABSENT:
        return []
    return upstream_transition.apply_cause(state, event, Cause.LEAVES)


def handle_call_result(
    state: node.Node, event: events.OwnerCallFinished
) -> list[effects.Effect]:
    """Update the own upstream from the result of a call that it ran.

    Repeated connection failures withdraw the upstream, each time for longer;
    a replaced process withdraws it until the next announcement.
    """
    upstream = state.upstream
    failure = event.failure
    if failure is None:
        upstream.heard_s = event.now_s
        upstream.failures = 0
        upstream.withdrawals = 0
        return []
    if failure.reason is Reason.UPSTREAM_REPLACED:
        return upstream_transition.apply_cause(state, event, Cause.REPLACED)
    if failure.reason is not Reason.UPSTREAM_UNREACHABLE:
        return []
    upstream.failures += 1
    if upstream.failures < CONNECTION_FAILURES_MAX:
        return []
    upstream.failures = 0
    return upstream_transition.apply_cause(state, event, Cause.UNREACHABLE)


@step.handle_timer.register
def _(
    timer: timers.UpstreamRecheck, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    """Offer an upstream that was withdrawn as unreachable again."""
    if state.stopping:
        return []
    return upstream_transition.apply_cause(state, event, Cause.RECHECKED)


@step.handle_timer.register
def _(
    timer: timers.UpstreamSilenceTimeout,
    event: events.TimerFired,
    state: node.Node,
) -> list[effects.Effect]:
    """Withdraw an upstream that has neither announced itself nor answered."""
    limit_s = state.settings.silence_s
    quiet_s = event.now_s - state.upstream.heard_s
    if quiet_s < limit_s:
        return [effects.SetTimer(timer=timer, delay_s=limit_s - quiet_s)]
    withdrawn = upstream_transition.apply_cause(state, event, Cause.SILENT)
    if not withdrawn:
        return []
    log = effects.Log(
        code=log_events.Code.UPSTREAM_SILENT,
        fields={"quiet_s": round(quiet_s, 2)},
    )
    return [log, *withdrawn]


def _accepts_ready(
    state: node.Node,
    event: events.UpstreamAnnounced,
    order: upstream_lib.AnnouncementOrder,
) -> bool:
    """Return whether to accept an announcement that an upstream is ready.

    A stopping node accepts only announcements of the current process.
    """
    if _has_given_notice(state, event):
        return False
    if state.stopping:
        return order is upstream_lib.AnnouncementOrder.CURRENT
    return order is not upstream_lib.AnnouncementOrder.STALE


def _has_given_notice(
    state: node.Node, event: events.UpstreamAnnounced
) -> bool:
    """Return whether the announcing process has given notice of leaving."""
    now_ms = state.wall_ms(event.now_s)
    notices = state.upstream.notices
    return notices.applies_to(event.upstream_id, event.started_ms, now_ms)


def _store_announcement(
    state: node.Node,
    event: events.UpstreamAnnounced,
    order: upstream_lib.AnnouncementOrder,
) -> list[effects.Effect]:
    """Store an accepted announcement; switch to a new process or port."""
    upstream = state.upstream
    result: list[effects.Effect] = []
    is_new = order is upstream_lib.AnnouncementOrder.SUCCESSOR
    if is_new or event.port != upstream.last_announcement.port:
        upstream.process_number += 1
        switch_upstream = effects.SwitchUpstream(
            port=event.port,
            upstream_id=event.upstream_id,
            process_number=upstream.process_number,
        )
        result.append(switch_upstream)
    if is_new:
        upstream.is_new_process = True
        upstream.failures = 0
        upstream.withdrawals = 0
    upstream.last_announcement = event
    upstream.heard_s = event.now_s
    if state.settings.silence_s:
        timer = timers.UpstreamSilenceTimeout()
        delay_s = state.settings.silence_s
        result.append(effects.SetTimer(timer=timer, delay_s=delay_s))
    return result


def _log_notice(
    state: node.Node, event: events.UpstreamDraining | events.UpstreamAnnounced
) -> effects.Log:
    """Return the log event of a notice, with the upstream known before it."""
    upstream = state.upstream
    return effects.Log(
        code=log_events.Code.UPSTREAM_NOTICE,
        fields={
            "upstream": event.upstream_id,
            "born": event.started_ms,
            "known": upstream.name,
            "known_born": upstream.started_ms,
            "known_phase": upstream.phase.value,
        },
    )
