"""Orders of rollouts and reads of their state, for operators and nodes.

Any node takes them and sends them to the leader, again and again until there
is an answer. An order may be repeated without effect, so that is safe.
"""

import dataclasses

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
from monsoonpass.core.agreement import replication
from monsoonpass.core.agreement import voter_lookup
from monsoonpass.core.rollouts import knowledge
from monsoonpass.core.rollouts import rollout as rollout_lib
from monsoonpass.core.rollouts import rollout_messages as messages

RETRY_INTERVAL_S = 0.25
ORDER_TIMEOUT_S = 2.5  # Covers an election.
READ_TIMEOUT_S = 1.5  # As for reads of configurations.
REQUESTS_MAX = 64
# Two nodes may each take the other for the leader.
LEADER_HINT_INTERVAL_S = 0.1

Status = rollout_lib.OrderStatus


@immutable.dataclass
class RolloutUnavailable:
    """Result of a read that no quorum confirmed in time."""


@immutable.dataclass
class RolloutFound:
    """Result of a read: the newest rollout of the service, or None."""

    rollout: rollout_lib.Rollout | None


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingRequest:
    """An order or a read of an operator at this node.

    Attributes:
        message: Message to the leader.
        expires_s: When it fails.
        sent_count: How often it was sent.
        hint_followed_s: When a hint to the leader was last followed.
    """

    message: messages.RolloutOrder | messages.RolloutRead
    expires_s: float
    sent_count: int = 0
    hint_followed_s: float = float("-inf")


@immutable.dataclass
class OrderToken:
    """Token of a proposed order."""

    requester: address_lib.Address
    request_id: int


@immutable.dataclass
class ReadToken:
    """Token of a read that waits for a quorum."""

    requester: address_lib.Address
    read_id: int
    service: str


@step.step.register
def _(event: events.RolloutRequested, state: node.Node) -> list[effects.Effect]:
    order = messages.RolloutOrder(
        request_id=event.request_id,
        service=event.service,
        target_version=event.target_version,
        duration_s=event.duration_s,
    )
    return _start(state, event, event.request_id, order, ORDER_TIMEOUT_S)


@step.step.register
def _(
    event: events.RolloutReadRequested, state: node.Node
) -> list[effects.Effect]:
    read = messages.RolloutRead(read_id=event.request_id, service=event.service)
    return _start(state, event, event.request_id, read, READ_TIMEOUT_S)


@step.handle_timer.register
def _(
    timer: timers.RolloutRequestRetry,
    event: events.TimerFired,
    state: node.Node,
) -> list[effects.Effect]:
    pending = state.rollouts.requests.get(timer.request_id)
    if pending is None:
        return []
    if event.now_s >= pending.expires_s:
        return _finish(state, timer.request_id, _unavailable(pending))
    return _send(state, event, timer.request_id)


@step.handle_message.register
def _(
    message: messages.RolloutOrder, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    token = OrderToken(requester=event.sender, request_id=message.request_id)
    command = rollout_lib.StartRollout(
        service=message.service,
        target_version=message.target_version,
        duration_s=message.duration_s,
        now_ms=state.wall_ms(event.now_s),
    )
    proposed = proposals.propose_command(state, event, command, token)
    if proposed is None:
        return [_order_reply(state, token, Status.UNAVAILABLE)]
    return proposed


def start_read(
    state: node.Node, event: events.PeerMessage, message: messages.RolloutRead
) -> list[effects.Effect]:
    """Start a linearizable read as leader, or reply what this node knows."""
    token = ReadToken(
        requester=event.sender,
        read_id=message.read_id,
        service=message.service,
    )
    replica = state.control.replica
    if replica is None:
        return [_read_reply(state, token, confirmed=False)]
    try:
        return replication.start_read(replica, token=token, now_s=event.now_s)
    except replica_lib.RequestRejectedError:
        return [_read_reply(state, token, confirmed=False)]


def handle_notice(state: node.Node, notice: object) -> list[effects.Effect]:
    """Answer the order or read that a notice of the replica is about."""
    token = getattr(notice, "token", None)
    if isinstance(token, ReadToken):
        confirmed = isinstance(notice, replica_lib.ReadReady)
        return [_read_reply(state, token, confirmed=confirmed)]
    if not isinstance(token, OrderToken):
        return []
    if not isinstance(notice, replica_lib.Applied):
        return [_order_reply(state, token, Status.UNAVAILABLE)]
    status = Status.ORDERED
    if isinstance(notice.result, rollout_lib.OrderRefused):
        status = notice.result.status
    return [_order_reply(state, token, status)]


@step.handle_message.register
def _(
    message: messages.RolloutOrderReply,
    event: events.PeerMessage,
    state: node.Node,
) -> list[effects.Effect]:
    if message.status is Status.UNAVAILABLE:
        return _follow_hint(state, event, message.request_id, message.leader)
    return _finish(state, message.request_id, message.status)


@step.handle_message.register
def _(
    message: messages.RolloutReadReply,
    event: events.PeerMessage,
    state: node.Node,
) -> list[effects.Effect]:
    if not message.read_id:
        return knowledge.handle_query_reply(state, event, message)
    if not message.confirmed:
        return _follow_hint(state, event, message.read_id, message.leader)
    result: list[effects.Effect] = []
    if message.rollout is not None:
        result = knowledge.learn(state, event, message.rollout)
    found = RolloutFound(rollout=message.rollout)
    return result + _finish(state, message.read_id, found)


def _start(
    state: node.Node,
    event: events.Event,
    request_id: int,
    message: messages.RolloutOrder | messages.RolloutRead,
    timeout_s: float,
) -> list[effects.Effect]:
    pending = PendingRequest(message=message, expires_s=event.now_s + timeout_s)
    if len(state.rollouts.requests) >= REQUESTS_MAX:
        result = _unavailable(pending)
        return [effects.Reply(request_id=request_id, result=result)]
    state.rollouts.requests[request_id] = pending
    return _send(state, event, request_id)


def _send(
    state: node.Node, event: events.Event, request_id: int
) -> list[effects.Effect]:
    """Send a request to the leader, and set the timer to send it again."""
    pending = state.rollouts.requests[request_id]
    result: list[effects.Effect] = [
        effects.SetTimer(
            timer=timers.RolloutRequestRetry(request_id=request_id),
            delay_s=RETRY_INTERVAL_S,
        )
    ]
    to = voter_lookup.pick_leader(state, event, pending.sent_count)
    pending.sent_count += 1
    if to is not None:
        result.append(effects.Send(to=to, message=pending.message))
    return result


def _follow_hint(
    state: node.Node,
    event: events.PeerMessage,
    request_id: int,
    leader: address_lib.Address | None,
) -> list[effects.Effect]:
    """Send a request to the leader that another node has named."""
    pending = state.rollouts.requests.get(request_id)
    if pending is None or leader is None:
        return []
    state.control.leader = leader
    if leader.instance == event.sender.instance:
        return []
    if event.now_s - pending.hint_followed_s < LEADER_HINT_INTERVAL_S:
        return []
    pending.hint_followed_s = event.now_s
    return [effects.Send(to=leader, message=pending.message)]


def _finish(
    state: node.Node, request_id: int, result: object
) -> list[effects.Effect]:
    pending = state.rollouts.requests.pop(request_id, None)
    if pending is None:
        return []
    done: list[effects.Effect] = [
        effects.CancelTimer(
            timer=timers.RolloutRequestRetry(request_id=request_id)
        ),
        effects.Reply(request_id=request_id, result=result),
    ]
    if isinstance(result, Status) and not result.is_accepted:
        log = effects.Log(
            code=log_events.Code.ROLLOUT_REFUSED,
            fields={
                "service": pending.message.service,
                "status": str(result),
            },
        )
        done.append(log)
    return done


def _unavailable(pending: PendingRequest) -> object:
    if isinstance(pending.message, messages.RolloutOrder):
        return Status.UNAVAILABLE
    return RolloutUnavailable()


def _order_reply(
    state: node.Node, token: OrderToken, status: Status
) -> effects.Send:
    reply = messages.RolloutOrderReply(
        request_id=token.request_id,
        status=status,
        leader=voter_lookup.known_leader(state),
    )
    return effects.Send(to=token.requester, message=reply)


def _read_reply(
    state: node.Node, token: ReadToken, *, confirmed: bool
) -> effects.Send:
    """Return the reply to a read.

    Without a confirmation, it carries what this node has heard of: a record is
    never wrong, it may only be old.
    """
    stored = state.control.state_machine.rollouts.find(token.service)
    rollout = stored if confirmed else state.rollouts.find(token.service)
    reply = messages.RolloutReadReply(
        read_id=token.read_id,
        service=token.service,
        confirmed=confirmed,
        rollout=rollout,
        leader=voter_lookup.known_leader(state),
    )
    return effects.Send(to=token.requester, message=reply)
