"""Reads of the last accepted configuration, certain or refused.

A quorum confirms a version asked for after the read began; the node answers
from its own copy once that is at least as new. A node that cannot be sure
says so, however new its own copy may be.
"""

import dataclasses

from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.agreement import voters
from monsoonpass.core.distribution import config_messages as messages

RETRY_S = 0.25  # A round trip between regions and a heartbeat, twice.
GIVE_UP_S = 1.5  # Longer than a caller of the operator endpoint waits.
READS_MAX = 64


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """Result: no quorum confirmed which configuration is the newest."""


@dataclasses.dataclass(kw_only=True, slots=True)
class Pending:
    """A read under way.

    Attributes:
        asked_s: When it began.
        tries: How often a voter was asked.
        version: Version that a quorum confirmed, or -1.
    """

    asked_s: float
    tries: int = 0
    version: int = -1


@step.step.register
def _(event: events.NewestRequested, state: node.Node) -> list[effects.Effect]:
    if len(state.control.newest_reads) >= READS_MAX:
        result = Unavailable()
        return [effects.Reply(request_id=event.request_id, result=result)]
    state.control.newest_reads[event.request_id] = Pending(asked_s=event.now_s)
    return _ask(state, event, event.request_id)


@step.expire.register
def _(
    timer: timers.NewestRetry, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    pending = state.control.newest_reads.get(timer.request_id)
    if pending is None:
        return []
    if event.now_s - pending.asked_s >= GIVE_UP_S:
        return _finish(state, timer.request_id, Unavailable())
    done = advance(state, event)
    if timer.request_id not in state.control.newest_reads:
        return done
    return [*done, *_ask(state, event, timer.request_id)]


def answered(
    state: node.Node,
    event: events.PeerMessage,
    message: messages.ColdReadReply,
) -> list[effects.Effect]:
    """Take a voter's answer to a read of this node."""
    pending = state.control.newest_reads.get(message.number)
    if pending is None:
        return []
    if not message.confirmed:
        leader = message.leader
        own = state.settings.address.instance
        if leader is None or leader.instance in (own, event.sender.instance):
            return []
        return [_question(leader, message.number)]
    pending.version = max(pending.version, message.version)
    return advance(state, event)


def advance(state: node.Node, event: events.Event) -> list[effects.Effect]:
    """Answer the reads whose version has arrived at this node."""
    result: list[effects.Effect] = []
    reads = state.control.newest_reads
    if not reads:
        return result
    copy = max(
        state.control.machine.catalog,
        state.config.newest,
        key=lambda catalog: catalog.version,
    )
    for request_id, pending in list(reads.items()):
        if 0 <= pending.version <= copy.version:
            result += _finish(state, request_id, copy)
    return result


def _ask(
    state: node.Node, event: events.Event, request_id: int
) -> list[effects.Effect]:
    pending = state.control.newest_reads[request_id]
    pending.tries += 1
    timer = timers.NewestRetry(request_id=request_id)
    result: list[effects.Effect] = [
        effects.SetTimer(timer=timer, delay_s=RETRY_S)
    ]
    to = _whom(state, event, pending.tries - 1)
    if to is not None and pending.version < 0:
        result.append(_question(to, request_id))
    return result


def _whom(
    state: node.Node, event: events.Event, tries: int
) -> address_lib.Address | None:
    """Return this node if it leads, else the leader or any voter."""
    replica = state.control.replica
    if replica is not None and replica.is_leader:
        return state.settings.address
    return voters.whom_to_ask(state, event, tries)


def _question(to: address_lib.Address, number: int) -> effects.Send:
    return effects.Send(to=to, message=messages.ColdRead(number=number))


def _finish(
    state: node.Node, request_id: int, result: object
) -> list[effects.Effect]:
    del state.control.newest_reads[request_id]
    return [
        effects.CancelTimer(timer=timers.NewestRetry(request_id=request_id)),
        effects.Reply(request_id=request_id, result=result),
    ]
