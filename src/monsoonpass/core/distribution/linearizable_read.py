"""Linearizable reads of the last accepted configuration.

After the read starts, a quorum confirms the last accepted version. The node
answers from its local copy once the copy is at least as new. Without a
confirmation in time the read fails, however new the local copy is.
"""

import dataclasses

from monsoonpass import immutable
from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.agreement import voter_lookup
from monsoonpass.core.distribution import config_messages as messages

RETRY_INTERVAL_S = 0.25  # Twice an inter-region round trip plus a heartbeat.
READ_TIMEOUT_S = 1.5  # Exceeds the time that operator API clients wait.
PENDING_READS_MAX = 64


@immutable.dataclass
class ReadUnavailable:
    """Result of a read whose version no quorum confirmed in time."""


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingRead:
    """A read in progress.

    Attributes:
        started_s: Time at which the read started.
        attempts: Number of attempts to query a voter.
        confirmed_version: Version that a quorum confirmed, or -1.
    """

    started_s: float
    attempts: int = 0
    confirmed_version: int = -1


@step.step.register
def _(
    event: events.ConfigReadRequested, state: node.Node
) -> list[effects.Effect]:
    if len(state.control.pending_reads) >= PENDING_READS_MAX:
        result = ReadUnavailable()
        return [effects.Reply(request_id=event.request_id, result=result)]
    state.control.pending_reads[event.request_id] = PendingRead(
        started_s=event.now_s
    )
    return _send_query(state, event, event.request_id)


@step.handle_timer.register
def _(
    timer: timers.ConfigReadRetry, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    pending = state.control.pending_reads.get(timer.request_id)
    if pending is None:
        return []
    if event.now_s - pending.started_s >= READ_TIMEOUT_S:
        return _finish(state, timer.request_id, ReadUnavailable())
    answers = answer_ready_reads(state, event)
    if timer.request_id not in state.control.pending_reads:
        return answers
    return [*answers, *_send_query(state, event, timer.request_id)]


def handle_reply(
    state: node.Node,
    event: events.PeerMessage,
    message: messages.ColdReadReply,
) -> list[effects.Effect]:
    """Handle a voter's reply to a read that this node started."""
    pending = state.control.pending_reads.get(message.read_id)
    if pending is None:
        return []
    if not message.confirmed:
        leader = message.leader
        own = state.settings.address.instance
        if leader is None or leader.instance in (own, event.sender.instance):
            return []
        return [_query(leader, message.read_id)]
    pending.confirmed_version = max(pending.confirmed_version, message.version)
    return answer_ready_reads(state, event)


def answer_ready_reads(
    state: node.Node, event: events.Event
) -> list[effects.Effect]:
    """Answer the reads whose confirmed version is available locally."""
    result: list[effects.Effect] = []
    reads = state.control.pending_reads
    if not reads:
        return result
    local_catalog = max(
        state.control.state_machine.catalog,
        state.config.newest,
        key=lambda catalog: catalog.version,
    )
    for request_id, pending in list(reads.items()):
        if 0 <= pending.confirmed_version <= local_catalog.version:
            result += _finish(state, request_id, local_catalog)
    return result


def _send_query(
    state: node.Node, event: events.Event, request_id: int
) -> list[effects.Effect]:
    pending = state.control.pending_reads[request_id]
    pending.attempts += 1
    timer = timers.ConfigReadRetry(request_id=request_id)
    result: list[effects.Effect] = [
        effects.SetTimer(timer=timer, delay_s=RETRY_INTERVAL_S)
    ]
    target = voter_lookup.pick_leader(state, event, pending.attempts - 1)
    if target is not None and pending.confirmed_version < 0:
        result.append(_query(target, request_id))
    return result


def _query(target: address_lib.Address, read_id: int) -> effects.Send:
    return effects.Send(to=target, message=messages.ColdRead(read_id=read_id))


def _finish(
    state: node.Node, request_id: int, result: object
) -> list[effects.Effect]:
    del state.control.pending_reads[request_id]
    return [
        effects.CancelTimer(
            timer=timers.ConfigReadRetry(request_id=request_id)
        ),
        effects.Reply(request_id=request_id, result=result),
    ]
