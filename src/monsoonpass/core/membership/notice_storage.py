"""Has the control group store notices of leaving before they are acknowledged.

The node beside the upstream sends the notice to the leader, again and again
until the leader confirms that it is durable. An upstream whose notice is not
stored in time gets no acknowledgement; the node honours the notice all the
same.
"""

from monsoonpass import immutable
from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core import node
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.agreement import proposals
from monsoonpass.core.agreement import replica as replica_lib
from monsoonpass.core.agreement import voter_lookup
from monsoonpass.core.membership import leave_notice as notice_lib
from monsoonpass.core.membership import own_upstream_state as upstream_lib
from monsoonpass.core.membership import stored_notices

RESEND_INTERVAL_S = 0.2
# Upstreams wait about a second for an acknowledgement.
STORE_TIMEOUT_S = 0.8
# Covers an outage of the control group of several seconds.
SENDS_MAX = 50
# Two nodes may each take the other for the leader.
LEADER_HINT_INTERVAL_S = 0.1


@immutable.dataclass
class NoticeToken:
    """Identifies the sender of a notice that the leader has proposed."""

    requester: address_lib.Address
    notice: notice_lib.LeaveNotice


def store(
    state: node.Node, event: events.Event, name: str, request_id: int
) -> list[effects.Effect]:
    """Have the notice under a name stored, and reply once it is durable.

    Args:
        state: The node.
        event: The event that carried the notice.
        name: Name of the upstream.
        request_id: Request to reply to; 0 for none.

    Returns:
        Effects that send the notice, or that reply if it is stored already.
    """
    upstream = state.upstream
    notice = upstream.notices.get(name)
    is_stored = upstream.stored_notices.get(name) == notice
    # Without a control group, no configuration is ever in force.
    if is_stored or not voter_lookup.known_voters(state):
        return reply([request_id], stored=True)
    result: list[effects.Effect] = []
    pending = upstream.pending_notices.pop(name, None)
    if pending is None:
        pending = upstream_lib.PendingNotice(notice=notice)
        if len(upstream.pending_notices) >= notice_lib.NOTICES_MAX:
            result += _give_up(state, next(iter(upstream.pending_notices)))
    upstream.pending_notices[name] = pending
    pending.notice = notice
    if request_id:
        pending.arrived_s[request_id] = event.now_s
    return result + _send(state, event, name)


def handle_applied(
    state: node.Node, notice: replica_lib.Applied
) -> list[effects.Effect]:
    """Confirm to its sender that a notice is durable."""
    token = notice.token
    if not isinstance(token, NoticeToken):
        return []
    return [_store_reply(state, token, stored=True)]


def reply(request_ids: list[int], *, stored: bool) -> list[effects.Effect]:
    """Return the replies to notices of leaving; request id 0 gets none."""
    result = upstream_lib.AnnouncementResult(accepted=True, stored=stored)
    return [
        effects.Reply(request_id=request_id, result=result)
        for request_id in request_ids
        if request_id
    ]


@step.handle_message.register
def _(
    message: stored_notices.StoreNotice,
    event: events.PeerMessage,
    state: node.Node,
) -> list[effects.Effect]:
    token = NoticeToken(requester=event.sender, notice=message.notice)
    command = stored_notices.RecordNotice(
        instance=event.sender.instance,
        notice=message.notice,
        now_ms=state.wall_ms(event.now_s),
    )
    proposed = proposals.propose_command(state, event, command, token)
    if proposed is None:
        return [_store_reply(state, token, stored=False)]
    return proposed


@step.handle_message.register
def _(
    message: stored_notices.StoreNoticeReply,
    event: events.PeerMessage,
    state: node.Node,
) -> list[effects.Effect]:
    name = message.notice.name
    upstream = state.upstream
    pending = upstream.pending_notices.get(name)
    if not message.stored:
        return _follow_hint(state, event, name, message.leader)
    upstream.stored_notices.add([message.notice])
    if pending is None or upstream.stored_notices.get(name) != pending.notice:
        return []
    del upstream.pending_notices[name]
    return [
        effects.CancelTimer(timer=timers.NoticeResend(name=name)),
        *reply(list(pending.arrived_s), stored=True),
    ]


@step.handle_timer.register
def _(
    timer: timers.NoticeResend, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    pending = state.upstream.pending_notices.get(timer.name)
    if pending is None:
        return []
    if pending.send_count >= SENDS_MAX:
        return _give_up(state, timer.name)
    late = [
        request_id
        for request_id, arrived_s in pending.arrived_s.items()
        if event.now_s - arrived_s >= STORE_TIMEOUT_S
    ]
    for request_id in late:
        del pending.arrived_s[request_id]
    logs = [_not_stored_log(pending)] if late else []
    return [
        *logs,
        *reply(late, stored=False),
        *_send(state, event, timer.name),
    ]


def _send(
    state: node.Node, event: events.Event, name: str
) -> list[effects.Effect]:
    """Send a pending notice to the leader, and set the resend timer."""
    pending = state.upstream.pending_notices[name]
    result: list[effects.Effect] = [
        effects.SetTimer(
            timer=timers.NoticeResend(name=name), delay_s=RESEND_INTERVAL_S
        )
    ]
    recipient = voter_lookup.pick_leader(state, event, pending.send_count)
    pending.send_count += 1
    if recipient is not None:
        message = stored_notices.StoreNotice(notice=pending.notice)
        result.append(effects.Send(to=recipient, message=message))
    return result


def _follow_hint(
    state: node.Node,
    event: events.PeerMessage,
    name: str,
    leader: address_lib.Address | None,
) -> list[effects.Effect]:
    """Send a pending notice to the leader that another node has named."""
    state.control.leader = leader
    pending = state.upstream.pending_notices.get(name)
    if pending is None or leader is None:
        return []
    if leader.instance == event.sender.instance:
        return []
    if event.now_s - pending.hint_followed_s < LEADER_HINT_INTERVAL_S:
        return []
    pending.hint_followed_s = event.now_s
    message = stored_notices.StoreNotice(notice=pending.notice)
    return [effects.Send(to=leader, message=message)]


def _give_up(state: node.Node, name: str) -> list[effects.Effect]:
    """Stop sending a notice."""
    pending = state.upstream.pending_notices.pop(name)
    return [
        effects.CancelTimer(timer=timers.NoticeResend(name=name)),
        _not_stored_log(pending),
        *reply(list(pending.arrived_s), stored=False),
    ]


def _not_stored_log(pending: upstream_lib.PendingNotice) -> effects.Log:
    return effects.Log(
        code=log_events.Code.NOTICE_NOT_STORED,
        fields={
            "upstream": pending.notice.name,
            "born": pending.notice.started_ms,
            "sent": pending.send_count,
        },
    )


def _store_reply(
    state: node.Node, token: NoticeToken, *, stored: bool
) -> effects.Send:
    message = stored_notices.StoreNoticeReply(
        notice=token.notice,
        stored=stored,
        leader=voter_lookup.known_leader(state),
    )
    return effects.Send(to=token.requester, message=message)
