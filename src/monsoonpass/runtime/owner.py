"""The owner's side of calls: running them on the own upstream."""

import dataclasses
from typing import Protocol

import anyio
import anyio.abc

from monsoonpass import errors
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import outcome
from monsoonpass.runtime import body as body_lib
from monsoonpass.runtime import engine as engine_lib
from monsoonpass.runtime import tracing
from monsoonpass.runtime import upstream

Headers = tuple[tuple[bytes, bytes], ...]


class Sink(Protocol):
    """Where the answer of a call goes."""

    def request_credit(self, size_bytes: int) -> None:
        """Let the sender send more of the request's body."""

    async def whole(
        self, status: int, headers: Headers, body: bytes, digest: bytes
    ) -> None:
        """Pass on a whole answer."""

    async def head(self, status: int, headers: Headers, body: bytes) -> None:
        """Begin an answer whose body follows in chunks."""

    async def chunk(self, body: bytes) -> None:
        """Pass on a chunk, waiting for the receiver's credit."""

    async def end(self, digest: bytes) -> None:
        """End an answer that was begun with `head`."""

    def fail(self, failure: outcome.Failure) -> None:
        """End the call without a whole answer."""


@dataclasses.dataclass(kw_only=True, slots=True)
class Work:
    """One call for the own upstream.

    Attributes:
        work_id: Its number at this node.
        method: HTTP method.
        target: Path and query.
        headers: Request headers.
        first: The first part of the body.
        ended: Whether that is the whole body.
        pipe: The rest of the body.
        sink: Where the answer goes.
        traceparent: W3C trace context, or empty.
        scope: Cancels the call while it runs.
        head_sent: Whether the upstream got the request.
        answer_begun: Whether the upstream began to answer.
    """

    work_id: int
    method: str
    target: bytes
    headers: Headers
    first: bytes
    ended: bool
    pipe: body_lib.Pipe
    sink: Sink
    traceparent: str
    scope: anyio.CancelScope | None = None
    head_sent: bool = False
    answer_begun: bool = False
    status: int = 0


class Owner:
    """Runs admitted calls on the own upstream.

    Attributes:
        works: Calls that wait or run, by number.
        pool: Connections to the upstream.
    """

    def __init__(
        self,
        *,
        engine: engine_lib.Engine,
        pool: upstream.Pool,
        tracer: tracing.Tracer,
    ):
        self._engine = engine
        self._tracer = tracer
        self._group: anyio.abc.TaskGroup | None = None
        self.pool = pool
        self.works: dict[int, Work] = {}
        engine.on(effects.Dispatch, self._dispatch)
        engine.on(effects.AbortDispatch, self._abort)

    async def run(self) -> None:
        """Run calls until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            await anyio.sleep_forever()

    def _dispatch(self, effect: effects.Dispatch) -> None:
        work = self.works[effect.work_id]
        self._group.start_soon(self._run_work, work, effect.timeout_s)

    def _abort(self, effect: effects.AbortDispatch) -> None:
        work = self.works.get(effect.work_id)
        if work is not None and work.scope is not None:
            work.scope.cancel()

    async def _run_work(self, work: Work, timeout_s: float) -> None:
        started_s = engine_lib.now_s()
        failure = outcome.Failure(
            outcome=outcome.Outcome.UNKNOWN, reason=outcome.Reason.DEADLINE
        )
        span = self._tracer.start("upstream", work.traceparent)
        finished = False
        with anyio.move_on_after(timeout_s) as scope:
            work.scope = scope
            try:
                await self._exchange(work, span, started_s)
                finished = True
            except errors.UpstreamConnectError:
                failure = outcome.Failure(
                    outcome=outcome.Outcome.NOT_RUN,
                    reason=outcome.Reason.UPSTREAM_UNREACHABLE,
                )
            except errors.MonsoonpassError:
                failure = _broken(work)
        span.end(status=work.status)
        if finished:
            return
        self.works.pop(work.work_id, None)
        self._finish(work, started_s, failure)
        work.sink.fail(failure)

    def _finish(
        self, work: Work, started_s: float, failure: outcome.Failure | None
    ) -> None:
        self._engine.feed(
            events.WorkFinished,
            work_id=work.work_id,
            service_time_s=engine_lib.now_s() - started_s,
            failure=failure,
            shed=work.status == 503,
        )

    async def _exchange(
        self, work: Work, span: tracing.Span, started_s: float
    ) -> None:
        """Send the request and pass the answer on."""
        connection = await self.pool.acquire(engine_lib.now_s())
        whole = False
        try:
            await self._send_request(work, span, connection)
            head = await connection.receive_head()
            work.answer_begun = True
            work.status = head.status
            first, ended = connection.try_receive_all(body_lib.WHOLE_BYTES)
            if not ended and _is_short(head):
                first = await _receive_rest(connection, first)
                ended = True
            if ended:
                whole = True
                await self._pass_whole(work, head, first, started_s)
            else:
                await self._pass_chunks(
                    work, head, first, connection, started_s
                )
                whole = True
        finally:
            with anyio.CancelScope(shield=True):
                await self.pool.release(
                    connection, engine_lib.now_s(), reuse=whole
                )

    async def _send_request(
        self, work: Work, span: tracing.Span, connection: upstream.Connection
    ) -> None:
        headers = work.headers
        if span.traceparent:
            headers = (*headers, (b"traceparent", span.traceparent.encode()))
        work.head_sent = True
        await connection.send_head(
            work.method, work.target, headers, work.first, ended=work.ended
        )
        ended = work.ended
        if not ended:
            work.sink.request_credit(body_lib.WINDOW_BYTES)
        while not ended:
            chunk, ended = await work.pipe.next()
            await connection.send_body(chunk, ended=ended)
            if chunk and not ended:
                work.sink.request_credit(len(chunk))

    async def _pass_whole(
        self, work: Work, head: upstream.Head, body: bytes, started_s: float
    ) -> None:
        digest = body_lib.new_digest()
        digest.update(body)
        self.works.pop(work.work_id, None)
        self._finish(work, started_s, None)
        await work.sink.whole(head.status, head.headers, body, digest.digest())

    async def _pass_chunks(
        self,
        work: Work,
        head: upstream.Head,
        first: bytes,
        connection: upstream.Connection,
        started_s: float,
    ) -> None:
        digest = body_lib.new_digest()
        digest.update(first)
        await work.sink.head(head.status, head.headers, first)
        async for chunk in connection.receive_body():
            digest.update(chunk)
            for start in range(0, len(chunk), body_lib.CHUNK_BYTES):
                part = chunk[start : start + body_lib.CHUNK_BYTES]
                await work.sink.chunk(part)
        self.works.pop(work.work_id, None)
        self._finish(work, started_s, None)
        await work.sink.end(digest.digest())


def _is_short(head: upstream.Head) -> bool:
    """Return whether an answer is declared short enough to wait for."""
    for name, value in head.headers:
        if name == b"content-length" and value.isdigit():
            return int(value) <= body_lib.WHOLE_BYTES
    return False


async def _receive_rest(connection: upstream.Connection, first: bytes) -> bytes:
    """Return the whole body of a short answer.

    Nothing of it is passed on before, so that one that breaks off can still
    be told as a failure.
    """
    parts = [first]
    async for chunk in connection.receive_body():
        parts.append(chunk)
    return b"".join(parts)


def _broken(work: Work) -> outcome.Failure:
    kind = outcome.Outcome.UNKNOWN
    if work.answer_begun:
        kind = outcome.Outcome.FAILED
    return outcome.Failure(
        outcome=kind, reason=outcome.Reason.UPSTREAM_BROKE_OFF
    )
