"""The entry node's side of calls: callers' HTTP requests and their answers."""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import functools
import itertools
import json
from typing import Any

import anyio
import anyio.abc

from monsoonpass import errors
from monsoonpass.core import address as address_lib
from monsoonpass.core import call_messages as messages
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import logbook
from monsoonpass.core import outcome
from monsoonpass.runtime import body as body_lib
from monsoonpass.runtime import engine as engine_lib
from monsoonpass.runtime import link as link_lib
from monsoonpass.runtime import logs
from monsoonpass.runtime import mesh as mesh_lib
from monsoonpass.runtime import metrics as metrics_lib
from monsoonpass.runtime import owner as owner_lib
from monsoonpass.runtime import tracing

WATCH_AFTER_S = 0.05
BODY_LIMIT_S = 30.0
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
STATUS_BY_REASON = {
    outcome.Reason.NO_ROUTE: 404,
    outcome.Reason.TOO_LARGE: 413,
    outcome.Reason.DEADLINE: 504,
    outcome.Reason.DUPLICATE_KEY: 409,
}
STATUS_BY_OUTCOME = {
    outcome.Outcome.NOT_RUN: 503,
    outcome.Outcome.UNKNOWN: 502,
    outcome.Outcome.FAILED: 502,
}

Send = Callable[[dict[str, Any]], Awaitable[None]]
Receive = Callable[[], Awaitable[dict[str, Any]]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Part:
    """A piece of the answer on its way to the caller.

    Attributes:
        status: HTTP status with the first piece, else 0.
        headers: Answer headers with the first piece.
        body: Bytes of the body.
        ended: Whether the answer is complete with it.
        failure: The final failure instead, or None.
        credit: Called once the caller has taken the piece.
    """

    status: int = 0
    headers: messages.Headers = ()
    body: bytes = b""
    ended: bool = False
    failure: outcome.Failure | None = None
    credit: Callable[[int], None] | None = None


@dataclasses.dataclass(kw_only=True, slots=True)
class RemoteAttempt:
    """An attempt of a call at another node.

    Attributes:
        number: Number of the attempt on the wire.
        call_id: The call at this node.
        attempt: Number of the attempt within the call.
        to: The owner.
        link: The link used, or None while it is being opened.
        digest: Digest of the answer's body so far.
        credit: How much of the request's body may be sent.
        idempotent: Whether the call may simply be sent elsewhere.
        incarnation: The owner's incarnation on the link used first.
        asking: Whether the owner was asked for the call's outcome.
    """

    number: int
    call_id: int
    attempt: int
    to: address_lib.Address
    link: link_lib.Link | None
    digest: Any = dataclasses.field(default_factory=body_lib.new_digest)
    credit: body_lib.Credit = dataclasses.field(
        default_factory=lambda: body_lib.Credit(size_bytes=0)
    )
    idempotent: bool = False
    incarnation: int = 0
    asking: bool = False

    def bind(self, link: link_lib.Link | None) -> None:
        """Note the link that carries the attempt."""
        self.link = link
        if link is not None and not self.incarnation:
            self.incarnation = link.incarnation


class Exchange:
    """One call of a caller.

    Attributes:
        call_id: Its number at this node.
        method: HTTP method.
        target: Path and query.
        headers: Request headers to pass on.
        service: Service called.
        first: The first part of the body.
        ended: Whether that is the whole body.
        streaming: Whether more of the body was taken from the caller.
        span: The hop's span.
        started: Whether a part of an answer was queued for the caller.
        finished: Whether the whole answer, or the failure, was queued.
        key: Idempotency key, or empty.
        on_whole: Called with the head and, if in one piece, the body.
    """

    def __init__(
        self,
        *,
        call_id: int,
        service: str,
        method: str,
        target: bytes,
        headers: messages.Headers,
        first: bytes,
        ended: bool,
        span: tracing.Span,
    ):
        self.call_id = call_id
        self.service = service
        self.method = method
        self.target = target
        self.headers = headers
        self.first = first
        self.ended = ended
        self.streaming = False
        self.span = span
        self.started = False
        self.finished = False
        self.key = ""
        self.on_whole: Callable[[Part, bytes | None], None] | None = None
        self._head: Part | None = None
        self._parts: collections.deque[Part] = collections.deque()
        self._wanted = anyio.Event()

    def put(self, part: Part) -> None:
        """Queue a piece of the answer."""
        if self.finished:
            return
        whole = part.body if part.ended and not self.started else None
        self._head = self._head or part
        self.started = True
        self.finished = part.ended or part.failure is not None
        if part.ended and self.on_whole is not None:
            self.on_whole(self._head, whole)
        self._parts.append(part)
        self._wanted.set()

    async def get(self) -> Part:
        """Return the next piece of the answer."""
        while not self._parts:
            self._wanted = anyio.Event()
            await self._wanted.wait()
        return self._parts.popleft()


class LocalSink:
    """Passes the own upstream's answer straight to the caller."""

    def __init__(
        self, *, front: "Front", exchange: Exchange, pipe: body_lib.Pipe
    ):
        self._front = front
        self._exchange = exchange
        self._pipe = pipe
        self._credit = body_lib.Credit(size_bytes=body_lib.WINDOW_BYTES)
        self._fed = False

    def request_credit(self, size_bytes: int) -> None:
        """Take more of the request's body from the caller."""
        self._front.feed_body(self._exchange, self._pipe, size_bytes)

    async def whole(
        self, status: int, headers: Any, body: bytes, digest: bytes
    ) -> None:
        """Pass on a whole answer."""
        self._exchange.put(
            Part(status=status, headers=headers, body=body, ended=True)
        )

    async def head(self, status: int, headers: Any, body: bytes) -> None:
        """Begin an answer whose body follows in chunks."""
        self._front.begin_local_answer(self._exchange)
        await self._credit.take(len(body))
        self._exchange.put(
            Part(
                status=status,
                headers=headers,
                body=body,
                credit=self._credit.grant,
            )
        )

    async def chunk(self, body: bytes) -> None:
        """Pass on a chunk once the caller has taken enough."""
        await self._credit.take(len(body))
        self._exchange.put(Part(body=body, credit=self._credit.grant))

    async def end(self, digest: bytes) -> None:
        """End an answer that was begun with `head`."""
        self._exchange.put(Part(ended=True))

    def fail(self, failure: outcome.Failure) -> None:
        """Do nothing: the reducer decides what the caller is told."""


class Front:
    """Takes callers' requests and gives them their answers."""

    def __init__(
        self,
        *,
        engine: engine_lib.Engine,
        mesh: mesh_lib.Mesh,
        owner: owner_lib.Owner,
        logger: logs.Logger,
        metrics: metrics_lib.Metrics,
        tracer: tracing.Tracer,
        first_number: int,
    ):
        self._engine = engine
        self._mesh = mesh
        self._owner = owner
        self._logger = logger
        self._metrics = metrics
        self._tracer = tracer
        self._numbers = itertools.count(first_number)
        self._exchanges: dict[int, Exchange] = {}
        self._attempts: dict[int, RemoteAttempt] = {}
        self._receives: dict[int, Receive] = {}
        self._group: anyio.abc.TaskGroup | None = None
        engine.on(effects.Forward, self._forward)
        engine.on(effects.CancelForward, self._cancel_forward)
        engine.on(effects.Replay, self._replay)

    def next_number(self) -> int:
        """Return a number that no other call or attempt has."""
        return next(self._numbers)

    async def run(self) -> None:
        """Run the tasks that move request bodies, until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            await anyio.sleep_forever()

    async def app(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serve one request (ASGI)."""
        if scope["type"] != "http":
            return
        arrived_s = engine_lib.now_s()
        try:
            exchange = await self._open(scope, receive)
        except errors.CallerGoneError:
            return
        call_id = exchange.call_id
        self._exchanges[call_id] = exchange
        self._receives[call_id] = receive
        self._metrics.calls_in_progress.inc()
        result = "caller-gone"
        try:
            self._make_local_work(exchange)
            self._arrive(scope, exchange)
            result = await self._answer(exchange, receive, send)
        finally:
            exchange.span.end(outcome=result)
            self._metrics.calls.labels(result).inc()
            self._metrics.call_seconds.observe(engine_lib.now_s() - arrived_s)
            self._metrics.calls_in_progress.dec()
            if result == "caller-gone" and exchange.key:
                # The answer is still wanted: a resend may ask for it.
                self._group.start_soon(self._outlive_caller, exchange)
            else:
                del self._exchanges[call_id]
            del self._receives[call_id]
            if result == "caller-gone" and not exchange.key:
                self._engine.feed(events.CallerGone, call_id=call_id)
            work = self._owner.works.get(call_id)
            if work is not None and work.scope is None:
                del self._owner.works[call_id]

    async def _outlive_caller(self, exchange: Exchange) -> None:
        """Let a call with a key end after its caller has gone."""
        while True:
            part = await exchange.get()
            if part.credit is not None:
                part.credit(len(part.body))
            if part.ended or part.failure is not None:
                break
        del self._exchanges[exchange.call_id]

    def _replay(self, effect: effects.Replay) -> None:
        exchange = self._exchanges.get(effect.call_id)
        if exchange is not None:
            exchange.put(
                Part(
                    status=effect.status,
                    headers=effect.headers,
                    body=effect.body,
                    ended=True,
                )
            )

    def _keep_answer(
        self, call_id: int, head: Part, body: bytes | None
    ) -> None:
        self._engine.feed(
            events.KeyedAnswer,
            call_id=call_id,
            status=head.status,
            headers=head.headers,
            body=body,
        )

    def refuse(self, effect: effects.Refuse) -> bool:
        """Give a caller its final failure.

        Args:
            effect: The reducer's decision.

        Returns:
            Whether the call is one of this front.
        """
        exchange = self._exchanges.get(effect.call_id)
        if exchange is None:
            return False
        exchange.put(Part(failure=effect.failure))
        return True

    def begin_local_answer(self, exchange: Exchange) -> None:
        """Tell the reducer that the own upstream's answer has begun."""
        self._engine.feed(
            events.AttemptHeadReceived,
            call_id=exchange.call_id,
            attempt=0,
            load=None,
        )

    def feed_body(
        self, exchange: Exchange, pipe: body_lib.Pipe, size_bytes: int
    ) -> None:
        """Move the rest of a request's body into a local pipe."""
        if exchange.streaming:
            return
        exchange.streaming = True
        receive = self._receives[exchange.call_id]
        self._group.start_soon(_fill_pipe, receive, pipe)

    def receive_call_message(self, link: link_lib.Link, message: Any) -> None:
        """Take an owner's message about an attempt of this node."""
        attempt = self._attempts.get(message.call)
        if attempt is None:
            return
        if isinstance(message, messages.CallCredit):
            self._take_credit(attempt, message)
        elif isinstance(message, messages.AnswerHead):
            self._take_head(attempt, message)
        elif isinstance(message, messages.AnswerBody):
            self._take_body(attempt, message)
        elif isinstance(message, messages.AnswerFailed):
            self._end_attempt(attempt, message.failure, message.load)

    def link_opened(self, link: link_lib.Link) -> None:
        """Bind the attempts that waited for a link to it."""
        for attempt in self._attempts.values():
            is_peer = attempt.to.instance == link.peer.instance
            if attempt.link is None and is_peer:
                attempt.bind(link)

    def link_gone(self, instance: str, link: link_lib.Link | None) -> None:
        """Ask for the outcome of attempts on a lost link, or end them."""
        for attempt in list(self._attempts.values()):
            if attempt.to.instance != instance or attempt.link is not link:
                continue
            if link is not None and self._can_ask(attempt):
                self._ask_outcome(attempt)
                continue
            never_sent = link is None and not attempt.asking
            kind = outcome.Outcome.UNKNOWN
            if never_sent:
                kind = outcome.Outcome.NOT_RUN
            failure = outcome.Failure(
                outcome=kind, reason=outcome.Reason.LINK_LOST
            )
            self._end_attempt(attempt, failure, None)

    def _can_ask(self, attempt: RemoteAttempt) -> bool:
        """Return whether asking for the outcome may still save the call."""
        exchange = self._exchanges.get(attempt.call_id)
        if exchange is None or attempt.idempotent:
            return False
        return not exchange.started and not exchange.streaming

    def _ask_outcome(self, attempt: RemoteAttempt) -> None:
        attempt.asking = True
        query = messages.OutcomeQuery(
            call=attempt.number, incarnation=attempt.incarnation
        )
        attempt.bind(self._mesh.send_call(attempt.to, query))

    async def _open(self, scope: dict[str, Any], receive: Receive) -> Exchange:
        headers = dict(scope["headers"])
        host = headers.get(b"host", b"").decode("latin-1")
        if not host:
            host = headers.get(b":authority", b"").decode("latin-1")
        target = scope["raw_path"]
        if scope["query_string"]:
            target += b"?" + scope["query_string"]
        first, ended = await _receive_first(headers, receive)
        traceparent = headers.get(b"traceparent", b"").decode("latin-1")
        return Exchange(
            call_id=self.next_number(),
            service=host.partition(":")[0].lower(),
            method=scope["method"],
            target=target,
            headers=_end_to_end(scope["headers"]),
            first=first,
            ended=ended,
            span=self._tracer.start("call", traceparent),
        )

    def _arrive(self, scope: dict[str, Any], exchange: Exchange) -> None:
        headers = dict(scope["headers"])
        key = _text(headers.get(b"idempotency-key"))
        fingerprint = b""
        if key is not None:
            exchange.key = key
            exchange.on_whole = functools.partial(
                self._keep_answer, exchange.call_id
            )
            fingerprint = _fingerprint(exchange)
        self._engine.feed(
            events.CallArrived,
            call_id=exchange.call_id,
            service=exchange.service,
            method=exchange.method,
            path=scope["path"],
            timeout_s=_timeout_s(headers),
            key=key,
            fingerprint=fingerprint,
        )

    def _make_local_work(self, exchange: Exchange) -> None:
        """Prepare the call to run on the own upstream, if it is chosen."""
        pipe = body_lib.Pipe()
        self._owner.works[exchange.call_id] = owner_lib.Work(
            work_id=exchange.call_id,
            method=exchange.method,
            target=exchange.target,
            headers=exchange.headers,
            first=exchange.first,
            ended=exchange.ended,
            pipe=pipe,
            sink=LocalSink(front=self, exchange=exchange, pipe=pipe),
            traceparent=exchange.span.traceparent,
        )

    async def _answer(
        self, exchange: Exchange, receive: Receive, send: Send
    ) -> str:
        """Pass the answer's pieces to the caller; return the outcome."""
        part = None
        with anyio.move_on_after(WATCH_AFTER_S):
            part = await exchange.get()
        if part is None:
            part = await self._get_or_caller_gone(exchange, receive)
            if part is None:
                return "caller-gone"
        if part.failure is not None:
            await self._send_failure(exchange, part.failure, send)
            return str(part.failure.outcome)
        await send(
            {
                "type": "http.response.start",
                "status": part.status,
                "headers": list(_end_to_end(part.headers)),
            }
        )
        while True:
            await send(
                {
                    "type": "http.response.body",
                    "body": part.body,
                    "more_body": not part.ended,
                }
            )
            if part.credit is not None:
                part.credit(len(part.body))
            if part.ended:
                return "answered"
            part = await self._get_or_caller_gone(exchange, receive)
            if part is None:
                return "caller-gone"
            if part.failure is not None:
                # The head is out, so only an abort shows the failure.
                raise errors.AnswerBrokenError(str(part.failure.reason))

    async def _get_or_caller_gone(
        self, exchange: Exchange, receive: Receive
    ) -> Part | None:
        """Return the next piece, or None once the caller is gone."""
        if not exchange.ended and not exchange.streaming:
            # The body is not taken yet, so `receive` would give some of it.
            return await exchange.get()
        if exchange.streaming:
            return await exchange.get()
        result: list[Part] = []
        async with anyio.create_task_group() as group:
            group.start_soon(_watch_caller, receive, group.cancel_scope)
            result.append(await exchange.get())
            group.cancel_scope.cancel()
        return result[0] if result else None

    async def _send_failure(
        self, exchange: Exchange, failure: outcome.Failure, send: Send
    ) -> None:
        self._logger.write(
            logbook.Code.CALL_FAILED,
            service=exchange.service,
            outcome=str(failure.outcome),
            reason=str(failure.reason),
        )
        status = STATUS_BY_REASON.get(
            failure.reason, STATUS_BY_OUTCOME[failure.outcome]
        )
        content = json.dumps(
            {
                "outcome": failure.outcome,
                "reason": failure.reason,
                "retry_after_s": failure.retry_after_s,
            }
        ).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(content)).encode()),
            (b"monsoonpass-outcome", str(failure.outcome).encode()),
            (b"monsoonpass-reason", str(failure.reason).encode()),
        ]
        if failure.retry_after_s is not None:
            whole_s = max(1, round(failure.retry_after_s + 0.499))
            headers.append((b"retry-after", str(whole_s).encode()))
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": content})

    def _forward(self, effect: effects.Forward) -> None:
        exchange = self._exchanges.get(effect.call_id)
        if exchange is None:
            return
        number = self.next_number()
        attempt = RemoteAttempt(
            number=number,
            call_id=effect.call_id,
            attempt=effect.attempt,
            to=effect.to,
            link=None,
            idempotent=effect.idempotent,
        )
        self._attempts[number] = attempt
        if exchange.streaming:
            # Part of the body is gone, so the call cannot be sent again.
            failure = outcome.Failure(
                outcome=outcome.Outcome.UNKNOWN,
                reason=outcome.Reason.UPSTREAM_BROKE_OFF,
            )
            self._end_attempt(attempt, failure, None)
            return
        message = messages.CallOpen(
            call=number,
            service=exchange.service,
            method=exchange.method,
            target=exchange.target,
            headers=exchange.headers,
            route=effect.route,
            timeout_s=effect.timeout_s,
            priority=effect.priority,
            bulk=effect.bulk,
            reroutable=effect.reroutable,
            body=exchange.first,
            ended=exchange.ended,
            traceparent=exchange.span.traceparent,
        )
        attempt.bind(self._mesh.send_call(effect.to, message))

    def _cancel_forward(self, effect: effects.CancelForward) -> None:
        for attempt in list(self._attempts.values()):
            wanted = (effect.call_id, effect.attempt)
            if (attempt.call_id, attempt.attempt) == wanted:
                del self._attempts[attempt.number]
                cancel = messages.CallCancel(call=attempt.number)
                if attempt.link is not None:
                    self._mesh.send_on(attempt.link, cancel)
                else:
                    self._mesh.send_call(attempt.to, cancel)

    def _take_credit(
        self, attempt: RemoteAttempt, message: messages.CallCredit
    ) -> None:
        attempt.credit.grant(message.size_bytes)
        exchange = self._exchanges.get(attempt.call_id)
        if exchange is None or exchange.streaming:
            return
        exchange.streaming = True
        self._group.start_soon(
            self._send_body, attempt, self._receives[attempt.call_id]
        )

    async def _send_body(
        self, attempt: RemoteAttempt, receive: Receive
    ) -> None:
        """Send the rest of a request's body as the owner grants credit."""
        ended = False
        while not ended and attempt.number in self._attempts:
            event = await receive()
            if event["type"] != "http.request":
                self._engine.feed(events.CallerGone, call_id=attempt.call_id)
                return
            body = event.get("body", b"")
            ended = not event.get("more_body", False)
            await self._send_chunks(attempt, body, ended)

    async def _send_chunks(
        self, attempt: RemoteAttempt, body: bytes, ended: bool
    ) -> None:
        for start in range(0, max(len(body), 1), body_lib.CHUNK_BYTES):
            chunk = body[start : start + body_lib.CHUNK_BYTES]
            await attempt.credit.take(len(chunk))
            last = start + body_lib.CHUNK_BYTES >= len(body)
            message = messages.CallBody(
                call=attempt.number, body=chunk, ended=ended and last
            )
            if attempt.link is not None:
                self._mesh.send_on(attempt.link, message, bulk=True)

    def _take_head(
        self, attempt: RemoteAttempt, message: messages.AnswerHead
    ) -> None:
        attempt.digest.update(message.body)
        part = Part(
            status=message.status,
            headers=message.headers,
            body=message.body,
            ended=message.ended,
            credit=self._credit_sender(attempt),
        )
        if message.ended:
            self._finish_answer(attempt, message.digest, part, message.load)
            return
        self._engine.feed(
            events.AttemptHeadReceived,
            call_id=attempt.call_id,
            attempt=attempt.attempt,
            load=message.load,
        )
        self._put(attempt, part)

    def _take_body(
        self, attempt: RemoteAttempt, message: messages.AnswerBody
    ) -> None:
        attempt.digest.update(message.body)
        part = Part(
            body=message.body,
            ended=message.ended,
            credit=self._credit_sender(attempt),
        )
        if message.ended:
            self._finish_answer(attempt, message.digest, part, None)
        else:
            self._put(attempt, part)

    def _finish_answer(
        self,
        attempt: RemoteAttempt,
        digest: bytes,
        part: Part,
        load: outcome.Load | None,
    ) -> None:
        """Pass on the last piece if the whole answer is intact."""
        if digest != attempt.digest.digest():
            failure = outcome.Failure(
                outcome=outcome.Outcome.FAILED,
                reason=outcome.Reason.UPSTREAM_BROKE_OFF,
            )
            self._end_attempt(attempt, failure, load)
            return
        # Whichever whole answer comes first counts; a second one is dropped.
        self._put(attempt, part)
        self._end_attempt(attempt, None, load)

    def _put(self, attempt: RemoteAttempt, part: Part) -> None:
        exchange = self._exchanges.get(attempt.call_id)
        if exchange is not None:
            exchange.put(part)

    def _credit_sender(self, attempt: RemoteAttempt) -> Callable[[int], None]:
        def grant(size_bytes: int) -> None:
            if size_bytes and attempt.number in self._attempts:
                message = messages.AnswerCredit(
                    call=attempt.number, size_bytes=size_bytes
                )
                if attempt.link is not None:
                    self._mesh.send_on(attempt.link, message)

        return grant

    def _end_attempt(
        self,
        attempt: RemoteAttempt,
        failure: outcome.Failure | None,
        load: outcome.Load | None,
    ) -> None:
        self._attempts.pop(attempt.number, None)
        self._engine.feed(
            events.AttemptEnded,
            call_id=attempt.call_id,
            attempt=attempt.attempt,
            failure=failure,
            load=load,
        )


async def _receive_first(
    headers: dict[bytes, bytes], receive: Receive
) -> tuple[bytes, bool]:
    """Return the whole body if it is declared short, else its first part."""
    declared = headers.get(b"content-length", b"")
    is_short = declared.isdigit() and int(declared) <= body_lib.WHOLE_BYTES
    parts = []
    ended = False
    with anyio.move_on_after(BODY_LIMIT_S):
        while not ended:
            event = await receive()
            if event["type"] != "http.request":
                raise errors.CallerGoneError("the caller is gone")
            parts.append(event.get("body", b""))
            ended = not event.get("more_body", False)
            if not is_short:
                break
    if is_short and not ended:
        raise errors.CallerGoneError("the caller's body takes too long")
    return b"".join(parts), ended


async def _watch_caller(receive: Receive, scope: anyio.CancelScope) -> None:
    """Cancel a scope once the caller has closed its connection."""
    event = await receive()
    while event["type"] != "http.disconnect":
        event = await receive()
    scope.cancel()


async def _fill_pipe(receive: Receive, pipe: body_lib.Pipe) -> None:
    ended = False
    while not ended:
        event = await receive()
        if event["type"] != "http.request":
            pipe.fail(errors.CallerGoneError("the caller is gone"))
            return
        ended = not event.get("more_body", False)
        pipe.push(event.get("body", b""), ended=ended)
        await pipe.wait_room()


def _end_to_end(headers: Any) -> messages.Headers:
    return tuple(
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and not name.startswith(b":")
    )


def _timeout_s(headers: dict[bytes, bytes]) -> float | None:
    """Return the caller's own limit, if it gave a valid one."""
    text = headers.get(b"monsoonpass-timeout-ms", b"")
    if not text.isdigit() or not 0 < int(text) <= 3_600_000:
        return None
    return int(text) / 1000.0


def _fingerprint(exchange: Exchange) -> bytes:
    """Return a digest that tells two requests with one key apart.

    The body counts if it is short, else only its declared length.
    """
    digest = body_lib.new_digest()
    digest.update(exchange.method.encode() + b" " + exchange.target + b"\n")
    if exchange.ended:
        digest.update(exchange.first)
    else:
        digest.update(dict(exchange.headers).get(b"content-length", b""))
    return digest.digest()


def _text(value: bytes | None) -> str | None:
    return value.decode("latin-1") if value is not None else None
