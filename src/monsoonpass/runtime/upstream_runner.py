"""Runs calls on the upstream of this node."""

import dataclasses
from typing import Protocol

import anyio
import anyio.abc

from monsoonpass import errors
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core.calls import answer_check
from monsoonpass.core.calls import outcome
from monsoonpass.core.membership import member as member_lib
from monsoonpass.formats import header_names as header_names_lib
from monsoonpass.runtime import body as body_lib
from monsoonpass.runtime import effect_failures
from monsoonpass.runtime import engine as engine_lib
from monsoonpass.runtime import tracing
from monsoonpass.runtime import upstream_http

# A longer request body may take an upstream more than one read.
UNREAD_BODY_BYTES = 16 * 1024

Headers = tuple[tuple[bytes, bytes], ...]


class AnswerSink(Protocol):
    """Receiver of the answer to one call."""

    def request_credit(self, size_bytes: int) -> None:
        """Allow the sender to send more bytes of the request body."""

    async def send_answer(
        self, status: int, headers: Headers, body: bytes, digest: bytes
    ) -> None:
        """Send a complete answer."""

    async def start_answer(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send the head of an answer whose body follows in chunks."""

    async def send_chunk(self, body: bytes) -> None:
        """Send a chunk of the body once the receiver has granted credit."""

    async def finish_answer(self, digest: bytes) -> None:
        """End an answer that `start_answer` began.

        Args:
            digest: Digest of the whole body.
        """

    def fail(self, failure: outcome.Failure) -> None:
        """End the call without a complete answer."""


@dataclasses.dataclass(kw_only=True, slots=True)
class UpstreamCall:
    """One call for the upstream of this node.

    Attributes:
        owner_call_id: Number of the call at this node.
        method: HTTP method.
        target: Path and query.
        headers: Request headers.
        body_start: The first part of the body.
        body_complete: Whether `body_start` is the whole body.
        pipe: Carries the rest of the body.
        sink: Receives the answer.
        traceparent: W3C trace context, or empty.
        cancel_scope: Cancels the call; None until the call is dispatched.
        request_started: Whether sending the request to the upstream began.
        answer_started: Whether the head of the answer was received.
        status: HTTP status of the answer; 0 before its head is received.
        deadline_s: Time by which the answer must be complete; set when the
            call is dispatched.
        idempotent: Whether the call may be sent to an upstream again.
        shed: Whether the upstream refused the call because of its load.
        process_number: Number of the upstream process that the call was
            dispatched to.
    """

    owner_call_id: int
    method: str
    target: bytes
    headers: Headers
    body_start: bytes
    body_complete: bool
    pipe: body_lib.Pipe
    sink: AnswerSink
    traceparent: str
    cancel_scope: anyio.CancelScope | None = None
    request_started: bool = False
    answer_started: bool = False
    status: int = 0
    deadline_s: float = 0.0
    idempotent: bool = True
    shed: bool = False
    process_number: int = 0


class UpstreamRunner:
    """Runs admitted calls on the upstream of this node.

    Attributes:
        calls: Calls that may be dispatched to the upstream or run on it, by
            number.
        pool: Connections to the upstream.
    """

    def __init__(
        self,
        *,
        engine: engine_lib.Engine,
        pool: upstream_http.ConnectionPool,
        tracer: tracing.Tracer,
        header_names: header_names_lib.HeaderNames,
    ):
        self._header_names = header_names
        self._engine = engine
        self._tracer = tracer
        self._group: anyio.abc.TaskGroup | None = None
        self.pool = pool
        self.calls: dict[int, UpstreamCall] = {}
        engine.set_performer(effects.Dispatch, self._dispatch)
        engine.set_performer(effects.AbortDispatch, self._abort)
        engine.set_performer(effects.SwitchUpstream, self._switch_upstream)

    def _switch_upstream(self, effect: effects.SwitchUpstream) -> None:
        self.pool.switch_process(
            port=effect.port,
            upstream_id=effect.upstream_id.encode(),
            process_number=effect.process_number,
        )
        if self._group is not None:
            self._group.start_soon(self.pool.close_idle)

    async def run(self) -> None:
        """Run calls until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            await anyio.sleep_forever()

    def _dispatch(self, effect: effects.Dispatch) -> None:
        call = self.calls[effect.owner_call_id]
        call.idempotent = effect.idempotent
        call.process_number = effect.process_number
        call.deadline_s = engine_lib.now_s() + effect.timeout_s
        # Made here, since the call may be aborted before its task has begun.
        call.cancel_scope = anyio.CancelScope(
            deadline=anyio.current_time() + effect.timeout_s
        )
        self._group.start_soon(self._run_call, call)

    def _abort(self, effect: effects.AbortDispatch) -> None:
        call = self.calls.get(effect.owner_call_id)
        if call is not None and call.cancel_scope is not None:
            call.cancel_scope.cancel()

    async def _run_call(self, call: UpstreamCall) -> None:
        started_s = engine_lib.now_s()
        failure = outcome.Failure(
            outcome=outcome.Outcome.UNKNOWN, reason=outcome.Reason.DEADLINE
        )
        span = self._tracer.start("upstream", call.traceparent)
        finished = False
        with call.cancel_scope as scope:
            try:
                await self._run_exchange(call, span, started_s)
                finished = True
            except errors.UpstreamConnectError:
                failure = _not_run_failure(outcome.Reason.UPSTREAM_UNREACHABLE)
            except NotRunError as error:
                failure = _not_run_failure(error.reason)
            except errors.MonsoonpassError:
                failure = _connection_failure(call)
            except Exception as error:
                self._engine.report_failure(
                    effect_failures.describe(
                        "UpstreamCall", error, owner_call_id=call.owner_call_id
                    )
                )
                failure = _connection_failure(call)
        call.pipe.close()
        span.end(status=call.status)
        if finished:
            return
        self.calls.pop(call.owner_call_id, None)
        if scope.cancelled_caught and not call.request_started:
            failure = _not_run_failure(outcome.Reason.DEADLINE)
        is_silent = (
            scope.cancelled_caught
            and call.request_started
            and not call.answer_started
        )
        self._report_finished(call, started_s, failure, silent=is_silent)
        call.sink.fail(failure)

    def _report_finished(
        self,
        call: UpstreamCall,
        started_s: float,
        failure: outcome.Failure | None,
        *,
        silent: bool = False,
    ) -> None:
        self._engine.feed(
            events.OwnerCallFinished,
            owner_call_id=call.owner_call_id,
            service_time_s=engine_lib.now_s() - started_s,
            failure=failure,
            shed=call.shed,
            silent=silent,
            status=call.status,
        )

    async def _run_exchange(
        self, call: UpstreamCall, span: tracing.Span, started_s: float
    ) -> None:
        """Send the request to the upstream and its answer to the sink.

        Raises:
            NotRunError: The upstream did not run the call.
            MonsoonpassError: No connection could be opened, or the exchange
                failed.
        """
        connection = await self.pool.acquire(
            engine_lib.now_s(), idempotent=call.idempotent
        )
        body_complete = False
        try:
            self._check_upstream_current(call, connection)
            await self._send_head(call, span, connection)
            head = await self._receive_head(call, connection)
            call.answer_started = True
            call.status = head.status
            body_start, body_complete = await _receive_body_start(connection)
            try:
                self._check_answer(call, head)
            except NotRunError:
                body_complete &= _is_probably_read(connection)
                raise
            if body_complete:
                await self._forward_whole(call, head, body_start, started_s)
            else:
                await self._forward_chunks(
                    call, head, body_start, connection, started_s
                )
                body_complete = True
        finally:
            with anyio.CancelScope(shield=True):
                await self.pool.release(
                    connection, engine_lib.now_s(), reuse=body_complete
                )

    def _check_upstream_current(
        self, call: UpstreamCall, connection: upstream_http.Connection
    ) -> None:
        """Check that the upstream is still the one the call was dispatched to.

        The upstream may drain or be replaced while the connection is opened.

        Raises:
            NotRunError: The upstream is draining, or another process has
                replaced it.
        """
        upstream_state = self._engine.state.admission.upstream
        if upstream_state is member_lib.UpstreamState.DRAINING:
            raise NotRunError(outcome.Reason.DRAINING)
        if (
            not call.process_number
            == connection.process_number
            == self.pool.process_number
        ):
            raise NotRunError(outcome.Reason.UPSTREAM_REPLACED)

    async def _receive_head(
        self, call: UpstreamCall, connection: upstream_http.Connection
    ) -> upstream_http.Head:
        """Send the rest of the request body and receive the answer's head.

        Both run concurrently because an upstream may answer before it has
        read the whole body.
        """
        if call.body_complete:
            return await connection.receive_head(self._call_id_header(call))
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._send_body_rest, call, connection)
                head = await connection.receive_head(self._call_id_header(call))
                group.cancel_scope.cancel()
        except ExceptionGroup as error:
            raise errors.first_leaf(error) from error
        return head

    def _check_answer(
        self, call: UpstreamCall, head: upstream_http.Head
    ) -> None:
        """Check by its head that an answer may be passed to the caller.

        Raises:
            NotRunError: The upstream did not run the call.
            UpstreamResponseError: The answer lacks the proof that the upstream
                itself sent it.
        """
        verdict = answer_check.check_answer(
            head.status, dict(head.headers), self._header_names
        )
        if verdict is answer_check.AnswerVerdict.PASS:
            call.shed = head.status == 503
            return
        if verdict is answer_check.AnswerVerdict.NOT_RUN:
            call.shed = True
            raise NotRunError(outcome.Reason.UPSTREAM_SHED)
        if verdict is answer_check.AnswerVerdict.REPLACED:
            raise NotRunError(outcome.Reason.UPSTREAM_REPLACED)
        raise errors.UpstreamResponseError(
            f"unproven answer with status {head.status}"
        )

    def _call_id_header(self, call: UpstreamCall) -> tuple[bytes, bytes]:
        """Return name and value of the header with the call's id.

        The value is empty if the call has no id.
        """
        name = self._header_names.call_id
        values = (value for key, value in call.headers if key == name)
        return name, next(values, b"")

    async def _send_head(
        self,
        call: UpstreamCall,
        span: tracing.Span,
        connection: upstream_http.Connection,
    ) -> None:
        headers = list(call.headers)
        if span.traceparent:
            headers.append((b"traceparent", span.traceparent.encode()))
        if self._header_names.timeout_ms:
            remaining_s = call.deadline_s - engine_lib.now_s()
            remaining_ms = str(max(int(remaining_s * 1000), 1)).encode()
            headers.append((self._header_names.timeout_ms, remaining_ms))
        if self._header_names.upstream_id and self.pool.upstream_id:
            headers.append(
                (self._header_names.upstream_id, self.pool.upstream_id)
            )
        # The entry node sets content-length if the body is complete.
        if not call.body_complete and not _has_length(headers):
            headers.append((b"transfer-encoding", b"chunked"))
        call.request_started = True
        await connection.send_head(
            call.method,
            call.target,
            tuple(headers),
            call.body_start,
            ended=call.body_complete,
        )

    async def _send_body_rest(
        self, call: UpstreamCall, connection: upstream_http.Connection
    ) -> None:
        """Send the request body after `body_start`."""
        call.sink.request_credit(body_lib.WINDOW_BYTES)
        ended = False
        while not ended:
            chunk, ended = await call.pipe.next()
            try:
                await connection.send_body(chunk, ended=ended)
            except errors.UpstreamResponseError:
                # The upstream may have answered before it closed; the task
                # that receives the head finds out.
                return
            if chunk and not ended:
                call.sink.request_credit(len(chunk))

    async def _forward_whole(
        self,
        call: UpstreamCall,
        head: upstream_http.Head,
        body: bytes,
        started_s: float,
    ) -> None:
        digest = body_lib.new_digest()
        digest.update(body)
        self.calls.pop(call.owner_call_id, None)
        self._report_finished(call, started_s, None)
        await call.sink.send_answer(
            head.status, head.headers, body, digest.digest()
        )

    async def _forward_chunks(
        self,
        call: UpstreamCall,
        head: upstream_http.Head,
        body_start: bytes,
        connection: upstream_http.Connection,
        started_s: float,
    ) -> None:
        digest = body_lib.new_digest()
        digest.update(body_start)
        await call.sink.start_answer(head.status, head.headers, body_start)
        async for chunk in connection.receive_body():
            digest.update(chunk)
            for start in range(0, len(chunk), body_lib.CHUNK_BYTES):
                part = chunk[start : start + body_lib.CHUNK_BYTES]
                await call.sink.send_chunk(part)
        self.calls.pop(call.owner_call_id, None)
        self._report_finished(call, started_s, None)
        await call.sink.finish_answer(digest.digest())


class NotRunError(errors.TransportError):
    """The call was not run by the upstream.

    Attributes:
        reason: Why the call was not run.
    """

    def __init__(self, reason: outcome.Reason):
        super().__init__(str(reason))
        self.reason = reason


async def _receive_body_start(
    connection: upstream_http.Connection,
) -> tuple[bytes, bool]:
    """Receive a short answer body as a whole, or the start of a long one.

    A short body is buffered to its end, so that the caller gets a failure
    response if the connection breaks before that.

    Returns:
        The bytes received, and whether they are the whole body.
    """
    parts = []
    size_bytes = 0
    is_ended = False
    while not is_ended and size_bytes <= body_lib.WHOLE_ANSWER_MAX_BYTES:
        part, is_ended = await connection.receive_part()
        parts.append(part)
        size_bytes += len(part)
    return b"".join(parts), is_ended


def _is_probably_read(connection: upstream_http.Connection) -> bool:
    """Return whether a refused request was probably read as a whole.

    An upstream may refuse a long request before it has read its body. The next
    call on the connection would wait behind the rest.
    """
    return connection.request_body_bytes <= UNREAD_BODY_BYTES


def _has_length(headers: list[tuple[bytes, bytes]]) -> bool:
    return any(name == b"content-length" for name, _ in headers)


def _not_run_failure(reason: outcome.Reason) -> outcome.Failure:
    return outcome.Failure(outcome=outcome.Outcome.NOT_RUN, reason=reason)


def _connection_failure(call: UpstreamCall) -> outcome.Failure:
    kind = outcome.Outcome.UNKNOWN
    if call.answer_started:
        kind = outcome.Outcome.FAILED
    return outcome.Failure(
        outcome=kind, reason=outcome.Reason.UPSTREAM_BROKE_OFF
    )
