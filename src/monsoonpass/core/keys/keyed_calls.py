"""Calls with an idempotency key: claim before dispatch, settle afterwards.

The entry node of a call claims the key at the leader of the control group. The
call is dispatched only once the claim is granted. Without a reply in time the
call is refused as "not run", and the claim is released if it is granted later.
"""

import dataclasses

from monsoonpass import immutable
from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.agreement import proposals
from monsoonpass.core.agreement import replica as replica_lib
from monsoonpass.core.agreement import voter_lookup
from monsoonpass.core.calls import outcome
from monsoonpass.core.keys import ledger

RESEND_INTERVAL_S = 0.3  # Time after which a claim or settlement is sent again.
CLAIM_TIMEOUT_S = 2.0  # Time without a reply after which a call is refused.
SETTLE_RESENDS_MAX = 20
ABANDONED_CLAIMS_MAX = 1024  # Claims kept in case they are granted late.

Verdict = ledger.Verdict


@immutable.dataclass
class ClaimToken:
    """Identifies the sender of a claim that the leader has proposed."""

    requester: address_lib.Address
    call_id: int


@immutable.dataclass
class SettleToken:
    """Identifies the sender of a settlement that the leader has proposed."""

    requester: address_lib.Address
    call_id: int


@dataclasses.dataclass(kw_only=True, slots=True)
class KeyedCall:
    """A call with a key at its entry node.

    Attributes:
        request: Claim of the key.
        first_sent_s: When the claim was first sent.
        granted: Whether the claim was granted.
        settlement: Settlement of the key once the call has ended, else None.
        settle_resends: How often the settlement was due to be sent again.
        send_count: How often the claim or the settlement was sent.
    """

    request: ledger.ClaimRequest
    first_sent_s: float
    granted: bool = False
    settlement: ledger.SettleRequest | None = None
    settle_resends: int = 0
    send_count: int = 0


@immutable.dataclass
class Granted:
    """The call may be dispatched."""


@immutable.dataclass
class Denied:
    """The call must not be dispatched.

    Attributes:
        failure: Failure for the caller, unless there is a stored answer.
        record: Record with the stored answer, or None.
    """

    failure: outcome.Failure
    record: ledger.KeyRecord | None = None


def claim(
    state: node.Node,
    event: events.Event,
    *,
    call_id: int,
    service: str,
    key: str,
    fingerprint: bytes,
) -> list[effects.Effect]:
    """Claim a key for a call."""
    request = ledger.ClaimRequest(
        call_id=call_id, service=service, key=key, fingerprint=fingerprint
    )
    state.keyed_calls[call_id] = KeyedCall(
        request=request, first_sent_s=event.now_s
    )
    return _send_to_leader(state, event, call_id)


def decide_claim(
    state: node.Node, event: events.Event, reply: ledger.ClaimReply
) -> Granted | Denied | None:
    """Decide from the reply to a claim whether its call may be dispatched.

    Args:
        state: The node.
        event: The event being handled, for its time.
        reply: Reply to the claim.

    Returns:
        The decision, or None if the claim is no longer pending or the node
        asked is not the leader.
    """
    keyed = state.keyed_calls.get(reply.call_id)
    if keyed is None or keyed.granted or keyed.settlement is not None:
        return None
    if reply.verdict is Verdict.NOT_LEADER:
        state.control.leader = reply.leader
        return None
    if reply.verdict is Verdict.GRANTED:
        keyed.granted = True
        return Granted()
    del state.keyed_calls[reply.call_id]
    call_outcome, retry_after_s = {
        Verdict.IN_PROGRESS: (outcome.Outcome.UNKNOWN, 1.0),
        Verdict.FINISHED: (outcome.Outcome.FAILED, None),
        Verdict.UNKNOWN: (outcome.Outcome.UNKNOWN, None),
        Verdict.MISMATCH: (outcome.Outcome.NOT_RUN, None),
        Verdict.FULL: (outcome.Outcome.NOT_RUN, 60.0),
    }[reply.verdict]
    reason = outcome.Reason.DUPLICATE_KEY
    if reply.verdict is Verdict.FULL:
        reason = outcome.Reason.LEDGER_UNAVAILABLE
    failure = outcome.Failure(
        outcome=call_outcome, reason=reason, retry_after_s=retry_after_s
    )
    has_answer = reply.record is not None and reply.record.stored
    return Denied(failure=failure, record=reply.record if has_answer else None)


def release_abandoned_claim(
    state: node.Node, event: events.PeerMessage, reply: ledger.ClaimReply
) -> list[effects.Effect]:
    """Release a claim granted after its call was refused as "not run"."""
    request = state.abandoned_claims.get(reply.call_id)
    if request is None or reply.verdict is not Verdict.GRANTED:
        return []
    settlement = _make_settlement(request, released=True)
    return [effects.Send(to=event.sender, message=settlement)]


def settle_answered(
    state: node.Node,
    event: events.Event,
    *,
    call_id: int,
    status: int,
    headers: ledger.Headers,
    body: bytes | None,
) -> list[effects.Effect]:
    """Settle a key with a complete answer; `body` is None if too large."""
    stored = body is not None and len(body) <= ledger.STORED_BODY_MAX_BYTES
    return _settle(
        state,
        event,
        call_id,
        released=False,
        status=status,
        headers=headers if stored else (),
        body=body if stored else b"",
        stored=stored,
    )


def settle_failed(
    state: node.Node,
    event: events.Event,
    *,
    call_id: int,
    failure: outcome.Failure,
) -> list[effects.Effect]:
    """Settle a key whose call got no complete answer."""
    released = failure.outcome is outcome.Outcome.NOT_RUN
    return _settle(
        state,
        event,
        call_id,
        released=released,
        status=0,
        headers=(),
        body=b"",
        stored=False,
    )


def handle_applied(
    state: node.Node, notice: replica_lib.Applied
) -> list[effects.Effect]:
    """Reply to the sender of a claim or settlement that was committed."""
    token = notice.token
    if isinstance(token, ClaimToken):
        result = notice.result
        return [_claim_reply(state, token, result.verdict, result.record)]
    if isinstance(token, SettleToken):
        reply = ledger.SettleReply(
            call_id=token.call_id, done=True, leader=None
        )
        return [effects.Send(to=token.requester, message=reply)]
    return []


@step.handle_message.register
def _(
    message: ledger.ClaimRequest, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    token = ClaimToken(requester=event.sender, call_id=message.call_id)
    command = ledger.ClaimKey(
        service=message.service,
        key=message.key,
        fingerprint=message.fingerprint,
        claimant=ledger.Claimant(
            instance=event.sender.instance, call_id=message.call_id
        ),
        now_ms=state.wall_ms(event.now_s),
    )
    proposed = proposals.propose_command(state, event, command, token)
    if proposed is None:
        return [_claim_reply(state, token, Verdict.NOT_LEADER, None)]
    return proposed


@step.handle_message.register
def _(
    message: ledger.SettleRequest, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    token = SettleToken(requester=event.sender, call_id=message.call_id)
    command = ledger.SettleKey(
        service=message.service,
        key=message.key,
        claimant=ledger.Claimant(
            instance=event.sender.instance, call_id=message.call_id
        ),
        released=message.released,
        status=message.status,
        headers=message.headers,
        body=message.body,
        stored=message.stored,
        now_ms=state.wall_ms(event.now_s),
    )
    proposed = proposals.propose_command(state, event, command, token)
    if proposed is None:
        reply = ledger.SettleReply(
            call_id=message.call_id,
            done=False,
            leader=voter_lookup.known_leader(state),
        )
        return [effects.Send(to=event.sender, message=reply)]
    return proposed


@step.handle_message.register
def _(
    message: ledger.SettleReply, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    if not message.done:
        state.control.leader = message.leader
        return []
    if state.keyed_calls.pop(message.call_id, None) is None:
        return []
    timer = timers.KeyedCallResend(call_id=message.call_id)
    return [effects.CancelTimer(timer=timer)]


def resend(
    state: node.Node, event: events.Event, call_id: int
) -> list[effects.Effect] | Denied:
    """Send a claim or settlement again that got no reply.

    Returns:
        Effects, or `Denied` if the claim has timed out.
    """
    keyed = state.keyed_calls.get(call_id)
    if keyed is None:
        return []
    if keyed.settlement is not None:
        keyed.settle_resends += 1
        if keyed.settle_resends > SETTLE_RESENDS_MAX:
            # The lease of the claim expires; later calls with the key are
            # refused with the outcome "unknown".
            del state.keyed_calls[call_id]
            return []
        return _send_to_leader(state, event, call_id)
    if keyed.granted:
        return []
    if event.now_s - keyed.first_sent_s < CLAIM_TIMEOUT_S:
        return _send_to_leader(state, event, call_id)
    return Denied(
        failure=outcome.Failure(
            outcome=outcome.Outcome.NOT_RUN,
            reason=outcome.Reason.LEDGER_UNAVAILABLE,
            retry_after_s=1.0,
        )
    )


def _send_to_leader(
    state: node.Node, event: events.Event, call_id: int
) -> list[effects.Effect]:
    """Send the claim or settlement to the leader, and set the resend timer."""
    keyed = state.keyed_calls[call_id]
    result: list[effects.Effect] = [
        effects.SetTimer(
            timer=timers.KeyedCallResend(call_id=call_id),
            delay_s=RESEND_INTERVAL_S,
        )
    ]
    recipient = voter_lookup.pick_leader(state, event, keyed.send_count)
    keyed.send_count += 1
    if recipient is not None:
        message = keyed.settlement or keyed.request
        result.append(effects.Send(to=recipient, message=message))
    return result


def _settle(
    state: node.Node,
    event: events.Event,
    call_id: int,
    *,
    released: bool,
    status: int,
    headers: ledger.Headers,
    body: bytes,
    stored: bool,
) -> list[effects.Effect]:
    keyed = state.keyed_calls.get(call_id)
    if keyed is None or keyed.settlement is not None:
        return []
    keyed.settlement = _make_settlement(
        keyed.request,
        released=released,
        status=status,
        headers=headers,
        body=body,
        stored=stored,
    )
    if released:
        _remember_abandoned(state, keyed.request)
    return _send_to_leader(state, event, call_id)


def _make_settlement(
    request: ledger.ClaimRequest,
    *,
    released: bool,
    status: int = 0,
    headers: ledger.Headers = (),
    body: bytes = b"",
    stored: bool = False,
) -> ledger.SettleRequest:
    return ledger.SettleRequest(
        call_id=request.call_id,
        service=request.service,
        key=request.key,
        released=released,
        status=status,
        headers=headers,
        body=body,
        stored=stored,
    )


def _remember_abandoned(state: node.Node, request: ledger.ClaimRequest) -> None:
    abandoned = state.abandoned_claims
    abandoned[request.call_id] = request
    if len(abandoned) > ABANDONED_CLAIMS_MAX:
        abandoned.pop(next(iter(abandoned)))


def _claim_reply(
    state: node.Node,
    token: ClaimToken,
    verdict: ledger.Verdict,
    record: ledger.KeyRecord | None,
) -> effects.Send:
    reply = ledger.ClaimReply(
        call_id=token.call_id,
        verdict=verdict,
        record=record,
        leader=voter_lookup.known_leader(state),
    )
    return effects.Send(to=token.requester, message=reply)
