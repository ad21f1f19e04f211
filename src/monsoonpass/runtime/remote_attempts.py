"""Attempts of this node's calls at other nodes, over peer links."""

from collections.abc import Callable
import dataclasses
from typing import Any

from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core.calls import call_messages as messages
from monsoonpass.core.calls import outcome
from monsoonpass.runtime import body as body_lib
from monsoonpass.runtime import engine as engine_lib
from monsoonpass.runtime import exchange as exchange_lib
from monsoonpass.runtime import link as link_lib
from monsoonpass.runtime import mesh as mesh_lib

# A longer body is sent once the owner grants credit, after the call has a slot.
OPEN_BODY_MAX_BYTES = 16 * 1024


@dataclasses.dataclass(kw_only=True, slots=True)
class RemoteAttempt:
    """An attempt of a call at another node.

    Attributes:
        wire_number: Number of the attempt in messages between nodes.
        call_id: Number of the call at this node.
        attempt_number: Number of the attempt within the call.
        owner: Address of the owner node.
        link: The link used, or None while it is being opened.
        digest: Digest of the answer body received so far.
        credit: Bytes of the request body that may be sent.
        idempotent: Whether the call may be run again at another node.
        incarnation: The owner's incarnation on the link used first.
        outcome_queried: Whether the owner was asked for the call's outcome.
        body_sending: Whether sending the request body has begun.
    """

    wire_number: int
    call_id: int
    attempt_number: int
    owner: address_lib.Address
    link: link_lib.Link | None
    digest: Any = dataclasses.field(default_factory=body_lib.new_digest)
    credit: body_lib.Credit = dataclasses.field(
        default_factory=lambda: body_lib.Credit(size_bytes=0)
    )
    idempotent: bool = False
    incarnation: int = 0
    outcome_queried: bool = False
    body_sending: bool = False

    def bind_link(self, link: link_lib.Link | None) -> None:
        """Set the link that carries the attempt."""
        self.link = link
        if link is not None and not self.incarnation:
            self.incarnation = link.incarnation


class RemoteAttempts:
    """Manages the attempts of this node's calls at other nodes."""

    def __init__(
        self,
        *,
        engine: engine_lib.Engine,
        mesh: mesh_lib.Mesh,
        exchanges: dict[int, exchange_lib.Exchange],
        next_number: Callable[[], int],
        spawn: Callable[..., None],
    ):
        """Register the handlers of effects.

        Args:
            engine: The node's engine.
            mesh: Sends messages to other nodes.
            exchanges: Calls in progress, by number.
            next_number: Returns a number unique among calls and attempts.
            spawn: Starts a background task.
        """
        self._engine = engine
        self._mesh = mesh
        self._exchanges = exchanges
        self._next_number = next_number
        self._spawn = spawn
        self._attempts: dict[int, RemoteAttempt] = {}
        engine.set_performer(effects.Forward, self._forward)
        engine.set_performer(effects.CancelForward, self._cancel_forward)

    def receive_call_message(self, link: link_lib.Link, message: Any) -> None:
        """Handle an owner's message about an attempt of this node."""
        attempt = self._attempts.get(message.call)
        if attempt is None:
            return
        if isinstance(message, messages.CallCredit):
            self._receive_credit(attempt, message)
        elif isinstance(message, messages.AnswerHead):
            self._receive_head(attempt, message)
        elif isinstance(message, messages.AnswerBody):
            self._receive_body(attempt, message)
        elif isinstance(message, messages.AnswerFailed):
            self._end_attempt(attempt, message.failure, message.load)

    def handle_link_opened(self, link: link_lib.Link) -> None:
        """Bind a new link to the attempts that waited for it."""
        for attempt in self._attempts.values():
            is_owner = attempt.owner.instance == link.peer.instance
            if attempt.link is None and is_owner:
                attempt.bind_link(link)

    def handle_link_lost(
        self, instance: str, link: link_lib.Link | None
    ) -> None:
        """Query the outcome of attempts on a lost link, or end them.

        Args:
            instance: Instance of the peer.
            link: The lost link, or None if no link could be opened.
        """
        for attempt in list(self._attempts.values()):
            if attempt.owner.instance != instance or attempt.link is not link:
                continue
            if link is not None and self._can_query_outcome(attempt):
                self._query_outcome(attempt)
                continue
            never_sent = link is None and not attempt.outcome_queried
            kind = outcome.Outcome.UNKNOWN
            if never_sent:
                kind = outcome.Outcome.NOT_RUN
            failure = outcome.Failure(
                outcome=kind, reason=outcome.Reason.LINK_LOST
            )
            self._end_attempt(attempt, failure, None)

    def _can_query_outcome(self, attempt: RemoteAttempt) -> bool:
        """Return whether the owner may still deliver a complete answer.

        An idempotent call is retried instead. A call whose request body or
        answer was partly transferred cannot continue on another link.
        """
        exchange = self._exchanges.get(attempt.call_id)
        if exchange is None or attempt.idempotent:
            return False
        return not exchange.answer_started and not exchange.body_consumed

    def _query_outcome(self, attempt: RemoteAttempt) -> None:
        attempt.outcome_queried = True
        query = messages.OutcomeQuery(
            call=attempt.wire_number, incarnation=attempt.incarnation
        )
        attempt.bind_link(self._mesh.send_to_peer(attempt.owner, query))

    def _forward(self, effect: effects.Forward) -> None:
        exchange = self._exchanges.get(effect.call_id)
        if exchange is None:
            return
        wire_number = self._next_number()
        attempt = RemoteAttempt(
            wire_number=wire_number,
            call_id=effect.call_id,
            attempt_number=effect.attempt,
            owner=effect.to,
            link=None,
            idempotent=effect.idempotent,
        )
        self._attempts[wire_number] = attempt
        if exchange.body_consumed:
            # A part of the body was sent and not kept, so the call cannot be
            # sent again.
            failure = outcome.Failure(
                outcome=outcome.Outcome.UNKNOWN,
                reason=outcome.Reason.UPSTREAM_BROKE_OFF,
            )
            self._end_attempt(attempt, failure, None)
            return
        is_whole = (
            exchange.body_complete
            and len(exchange.body_start) <= OPEN_BODY_MAX_BYTES
        )
        message = messages.CallOpen(
            call=wire_number,
            service=effect.service,
            method=exchange.method,
            target=exchange.target,
            headers=exchange.headers,
            route=effect.route,
            timeout_s=effect.timeout_s,
            priority=effect.priority,
            bulk=effect.bulk,
            reroutable=effect.reroutable,
            body=exchange.body_start if is_whole else b"",
            ended=is_whole,
            traceparent=exchange.span.traceparent,
            idempotent=effect.idempotent,
            objective_s=effect.objective_s,
            route_priority=effect.route_priority,
        )
        attempt.bind_link(self._mesh.send_to_peer(effect.to, message))

    def _cancel_forward(self, effect: effects.CancelForward) -> None:
        for attempt in list(self._attempts.values()):
            cancelled = (effect.call_id, effect.attempt)
            if (attempt.call_id, attempt.attempt_number) == cancelled:
                del self._attempts[attempt.wire_number]
                attempt.credit.close()
                cancel = messages.CallCancel(call=attempt.wire_number)
                if attempt.link is not None:
                    self._mesh.send_on_link(attempt.link, cancel)
                else:
                    self._mesh.send_to_peer(attempt.owner, cancel)

    def _receive_credit(
        self, attempt: RemoteAttempt, message: messages.CallCredit
    ) -> None:
        attempt.credit.grant(message.size_bytes)
        exchange = self._exchanges.get(attempt.call_id)
        if exchange is None or attempt.body_sending:
            return
        if exchange.body_consumed:
            # Another attempt has read the body from the caller already.
            return
        attempt.body_sending = True
        exchange.body_consumed = not exchange.body_complete
        self._spawn(self._send_body, attempt, exchange)

    async def _send_body(
        self, attempt: RemoteAttempt, exchange: exchange_lib.Exchange
    ) -> None:
        """Send the request body as the owner grants credit."""
        receive = exchange.receive
        ended = exchange.body_complete
        await self._send_chunks(attempt, exchange.body_start, ended)
        while not ended and attempt.wire_number in self._attempts:
            event = await receive()
            if event["type"] != "http.request":
                self._engine.feed(
                    events.CallerDisconnected, call_id=attempt.call_id
                )
                return
            body = event.get("body", b"")
            ended = not event.get("more_body", False)
            await self._send_chunks(attempt, body, ended)

    async def _send_chunks(
        self, attempt: RemoteAttempt, body: bytes, ended: bool
    ) -> None:
        for start in range(0, max(len(body), 1), body_lib.CHUNK_BYTES):
            chunk = body[start : start + body_lib.CHUNK_BYTES]
            await attempt.credit.spend(len(chunk))
            if attempt.wire_number not in self._attempts:
                return
            last = start + body_lib.CHUNK_BYTES >= len(body)
            message = messages.CallBody(
                call=attempt.wire_number, body=chunk, ended=ended and last
            )
            if attempt.link is not None:
                self._mesh.send_on_link(attempt.link, message, bulk=True)

    def _receive_head(
        self, attempt: RemoteAttempt, message: messages.AnswerHead
    ) -> None:
        attempt.digest.update(message.body)
        part = exchange_lib.AnswerPart(
            status=message.status,
            headers=message.headers,
            body=message.body,
            ended=message.ended,
            credit=self._make_credit_callback(attempt),
        )
        if message.ended:
            self._finish_answer(attempt, message.digest, part, message.load)
            return
        self._engine.feed(
            events.AttemptHeadReceived,
            call_id=attempt.call_id,
            attempt=attempt.attempt_number,
            load=message.load,
        )
        self._queue_part(attempt, part)

    def _receive_body(
        self, attempt: RemoteAttempt, message: messages.AnswerBody
    ) -> None:
        attempt.digest.update(message.body)
        part = exchange_lib.AnswerPart(
            body=message.body,
            ended=message.ended,
            credit=self._make_credit_callback(attempt),
        )
        if message.ended:
            self._finish_answer(attempt, message.digest, part, None)
        else:
            self._queue_part(attempt, part)

    def _finish_answer(
        self,
        attempt: RemoteAttempt,
        digest: bytes,
        part: exchange_lib.AnswerPart,
        load: outcome.Load | None,
    ) -> None:
        """Queue the last part of an answer if the body's digest matches."""
        if digest != attempt.digest.digest():
            failure = outcome.Failure(
                outcome=outcome.Outcome.FAILED,
                reason=outcome.Reason.UPSTREAM_BROKE_OFF,
            )
            self._end_attempt(attempt, failure, load)
            return
        # The first complete answer to a call is used. `Exchange.put` drops a
        # second one, such as that of a hedge.
        self._queue_part(attempt, part)
        self._end_attempt(attempt, None, load)

    def _queue_part(
        self, attempt: RemoteAttempt, part: exchange_lib.AnswerPart
    ) -> None:
        exchange = self._exchanges.get(attempt.call_id)
        if exchange is not None:
            exchange.put(part)

    def _make_credit_callback(
        self, attempt: RemoteAttempt
    ) -> Callable[[int], None]:
        def grant(size_bytes: int) -> None:
            if size_bytes and attempt.wire_number in self._attempts:
                message = messages.AnswerCredit(
                    call=attempt.wire_number, size_bytes=size_bytes
                )
                if attempt.link is not None:
                    self._mesh.send_on_link(attempt.link, message)

        return grant

    def _end_attempt(
        self,
        attempt: RemoteAttempt,
        failure: outcome.Failure | None,
        load: outcome.Load | None,
    ) -> None:
        self._attempts.pop(attempt.wire_number, None)
        attempt.credit.close()
        self._engine.feed(
            events.AttemptEnded,
            call_id=attempt.call_id,
            attempt=attempt.attempt_number,
            failure=failure,
            load=load,
        )
