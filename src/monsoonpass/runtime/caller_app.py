"""Serves callers at the entry node: takes requests and sends answers."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import itertools
from typing import Any

import anyio
import anyio.abc

from monsoonpass import errors
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core.calls import outcome
from monsoonpass.formats import header_names as header_names_lib
from monsoonpass.runtime import body as body_lib
from monsoonpass.runtime import caller_http
from monsoonpass.runtime import caller_request
from monsoonpass.runtime import engine as engine_lib
from monsoonpass.runtime import event_log
from monsoonpass.runtime import exchange as exchange_lib
from monsoonpass.runtime import local_sink
from monsoonpass.runtime import mesh as mesh_lib
from monsoonpass.runtime import metrics as metrics_lib
from monsoonpass.runtime import remote_attempts
from monsoonpass.runtime import tracing
from monsoonpass.runtime import upstream_runner as upstream_runner_lib

# Time to wait for an answer before a task watches for a disconnect.
DISCONNECT_WATCH_DELAY_S = 0.05

Send = Callable[[dict[str, Any]], Awaitable[None]]
Receive = exchange_lib.Receive


class CallerApp:
    """ASGI application that serves the requests of callers.

    Attributes:
        remote_attempts: Attempts of these calls at other nodes.
    """

    def __init__(
        self,
        *,
        engine: engine_lib.Engine,
        mesh: mesh_lib.Mesh,
        upstream_runner: upstream_runner_lib.UpstreamRunner,
        logger: event_log.Logger,
        metrics: metrics_lib.Metrics,
        tracer: tracing.Tracer,
        header_names: header_names_lib.HeaderNames,
        first_call_number: int,
    ):
        self._header_names = header_names
        self._engine = engine
        self._mesh = mesh
        self._upstream_runner = upstream_runner
        self._logger = logger
        self._metrics = metrics
        self._tracer = tracer
        self._call_numbers = itertools.count(first_call_number)
        self._exchanges: dict[int, exchange_lib.Exchange] = {}
        self._group: anyio.abc.TaskGroup | None = None
        self.remote_attempts = remote_attempts.RemoteAttempts(
            engine=engine,
            mesh=mesh,
            exchanges=self._exchanges,
            next_number=self.next_number,
            spawn=self._spawn,
        )
        engine.set_performer(effects.ReplayAnswer, self._replay)

    def next_number(self) -> int:
        """Return a number that no other call or attempt of this node has."""
        return next(self._call_numbers)

    async def run(self) -> None:
        """Run background tasks, such as body transfers, until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            await anyio.sleep_forever()

    async def app(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serve one request (ASGI)."""
        if scope["type"] != "http":
            return
        request = scope.get("extensions", {}).get("monsoonpass")
        try:
            if request is not None and not request.is_first:
                await self._wait_for_turn(scope, request)
            arrived_s = engine_lib.now_s()
            exchange = await self._open_exchange(scope, receive)
            if request is not None and not request.is_first:
                # Another configuration may have come into force meanwhile.
                await self._wait_for_turn(scope, request)
        except errors.CallerDisconnectedError:
            return
        if request is not None:
            if request.is_caller_gone:
                # A node that stalled reads requests of callers that gave up.
                self._metrics.calls.labels("caller-gone").inc()
                return
            request.on_disconnect(exchange.put_caller_gone)
            if not exchange.body_complete:
                request.start_streaming()
        call_id = exchange.call_id
        self._exchanges[call_id] = exchange
        self._metrics.calls_in_progress.inc()
        result = "caller-gone"
        try:
            self._register_local_call(exchange)
            self._report_arrival(scope, exchange)
            get_part = exchange.get
            if request is None:
                get_part = functools.partial(
                    self._get_or_disconnect, exchange, receive
                )
            result = await self._send_answer(exchange, get_part, send)
        finally:
            exchange.span.end(outcome=result)
            self._metrics.calls.labels(result).inc()
            self._metrics.call_duration.observe(engine_lib.now_s() - arrived_s)
            self._metrics.calls_in_progress.dec()
            if result == "caller-gone" and exchange.idempotency_key:
                # The caller may send the request again with the same key, so
                # the call must run to its end.
                self._spawn(self._drain_answer, exchange)
            else:
                del self._exchanges[call_id]
                if result == "caller-gone":
                    self._engine.feed(
                        events.CallerDisconnected, call_id=call_id
                    )
                self._remove_local_call(call_id)

    async def _wait_for_turn(
        self, scope: dict[str, Any], request: caller_request.CallerRequest
    ) -> None:
        """Wait until a request that others precede may be executed.

        If the answer to one of them closes the connection, the caller sends
        the request again, which must not have run then if it may run only
        once.

        Raises:
            CallerDisconnectedError: The caller has disconnected.
        """
        host = caller_http.host(dict(scope["headers"]))
        catalog = self._engine.state.config.catalog
        if not catalog.may_repeat(host, scope["method"], scope["path"]):
            await request.wait_until_first()

    def _remove_local_call(self, call_id: int) -> None:
        """Remove the registration of a call that can no longer be dispatched.

        A call that was dispatched is removed at the end of its run.
        """
        call = self._upstream_runner.calls.get(call_id)
        if call is not None and call.cancel_scope is None:
            del self._upstream_runner.calls[call_id]

    def _spawn(self, task: Callable[..., Awaitable[None]], *args: Any) -> None:
        self._group.start_soon(task, *args)

    async def _drain_answer(self, exchange: exchange_lib.Exchange) -> None:
        """Consume a keyed call's answer after its caller has disconnected."""
        while True:
            part = await exchange.get()
            if part.credit is not None:
                part.credit(len(part.body))
            if part.ended or part.failure is not None:
                break
        del self._exchanges[exchange.call_id]
        self._remove_local_call(exchange.call_id)

    def _replay(self, effect: effects.ReplayAnswer) -> None:
        exchange = self._exchanges.get(effect.call_id)
        if exchange is not None:
            exchange.put(
                exchange_lib.AnswerPart(
                    status=effect.status,
                    headers=effect.headers,
                    body=effect.body,
                    ended=True,
                )
            )

    def _record_keyed_answer(
        self, call_id: int, head: exchange_lib.AnswerPart, body: bytes | None
    ) -> None:
        self._engine.feed(
            events.KeyedCallAnswered,
            call_id=call_id,
            status=head.status,
            headers=head.headers,
            body=body,
        )

    def fail_call(self, effect: effects.FailCall) -> bool:
        """End a call with a failure and log it.

        Args:
            effect: The call and its failure.

        Returns:
            Whether the call came from a caller of this node.
        """
        exchange = self._exchanges.get(effect.call_id)
        if exchange is None:
            return False
        exchange.put(exchange_lib.AnswerPart(failure=effect.failure))
        self._logger.write(
            log_events.Code.CALL_FAILED,
            host=exchange.host,
            call=caller_http.decode_header(
                dict(exchange.headers).get(self._header_names.call_id)
            ),
            outcome=str(effect.failure.outcome),
            reason=str(effect.failure.reason),
            retry_after_s=effect.failure.retry_after_s,
            **effect.context,
        )
        return True

    def report_local_answer_started(
        self, exchange: exchange_lib.Exchange
    ) -> None:
        """Report to the reducer that the local upstream began to answer."""
        self._engine.feed(
            events.AttemptHeadReceived,
            call_id=exchange.call_id,
            attempt=0,
            load=None,
        )

    def start_body_transfer(
        self,
        exchange: exchange_lib.Exchange,
        pipe: body_lib.Pipe,
    ) -> None:
        """Start moving the rest of a request body into a pipe."""
        if exchange.body_consumed:
            return
        exchange.body_consumed = True
        self._spawn(caller_http.fill_pipe, exchange.receive, pipe)

    async def _open_exchange(
        self, scope: dict[str, Any], receive: Receive
    ) -> exchange_lib.Exchange:
        headers = dict(scope["headers"])
        state = self._engine.state
        own_service = state.admission.service or state.settings.service
        target = scope["raw_path"]
        if scope["query_string"]:
            target += b"?" + scope["query_string"]
        body_start, body_complete = await caller_http.receive_body_start(
            headers, receive
        )
        # The reducer hears of the call before another task runs, so it decides
        # under the same configuration.
        catalog = state.config.catalog
        workspace, key = None, None
        if catalog.workspaces:
            key = caller_http.workspace_key(
                scope["headers"], self._header_names
            )
            if key is not None:
                workspace = catalog.find_workspace(key)
        traceparent = headers.get(b"traceparent", b"").decode("latin-1")
        return exchange_lib.Exchange(
            call_id=self.next_number(),
            host=caller_http.host(headers),
            method=scope["method"],
            target=target,
            headers=caller_http.request_headers(
                scope["headers"],
                self._header_names,
                own_service,
                size_bytes=len(body_start) if body_complete else 0,
                has_workspaces=bool(catalog.workspaces),
                workspace=workspace.name if workspace else "",
            ),
            body_start=body_start,
            body_complete=body_complete,
            span=self._tracer.start("call", traceparent),
            receive=receive,
            workspace=workspace,
            has_unknown_key=key is not None and workspace is None,
        )

    def _report_arrival(
        self, scope: dict[str, Any], exchange: exchange_lib.Exchange
    ) -> None:
        headers = dict(scope["headers"])
        key = caller_http.decode_header(headers.get(b"idempotency-key"))
        fingerprint = b""
        if key is not None:
            exchange.idempotency_key = key
            exchange.on_answer_finished = functools.partial(
                self._record_keyed_answer, exchange.call_id
            )
            fingerprint = caller_http.request_fingerprint(exchange)
        self._engine.feed(
            events.CallArrived,
            call_id=exchange.call_id,
            host=exchange.host,
            method=exchange.method,
            path=scope["path"],
            timeout_s=caller_http.timeout_s(headers, self._header_names),
            key=key,
            fingerprint=fingerprint,
            body_rest_bytes=caller_http.body_rest_bytes(headers, exchange),
            workspace=exchange.workspace,
            has_unknown_key=exchange.has_unknown_key,
        )

    def _register_local_call(self, exchange: exchange_lib.Exchange) -> None:
        """Register the call, in case it is dispatched to the local upstream."""
        pipe = body_lib.Pipe()
        self._upstream_runner.calls[exchange.call_id] = (
            upstream_runner_lib.UpstreamCall(
                owner_call_id=exchange.call_id,
                method=exchange.method,
                target=exchange.target,
                headers=exchange.headers,
                body_start=exchange.body_start,
                body_complete=exchange.body_complete,
                pipe=pipe,
                sink=local_sink.LocalSink(
                    handler=self, exchange=exchange, pipe=pipe
                ),
                traceparent=exchange.span.traceparent,
            )
        )

    async def _send_answer(
        self,
        exchange: exchange_lib.Exchange,
        get_part: Callable[[], Awaitable[exchange_lib.AnswerPart]],
        send: Send,
    ) -> str:
        """Send the answer to the caller as its parts arrive.

        Returns:
            The outcome, as counted in the metrics.

        Raises:
            ResponseAbortedError: The call failed after the head was sent.
        """
        part = await get_part()
        if part.caller_gone:
            return "caller-gone"
        if part.failure is not None:
            if part.failure.outcome is outcome.Outcome.NOT_RUN:
                self._metrics.refusals.labels(str(part.failure.reason)).inc()
            await self._send_failure(part.failure, send)
            return str(part.failure.outcome)
        await send(
            {
                "type": "http.response.start",
                "status": part.status,
                "headers": caller_http.answer_headers(part),
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
            part = await get_part()
            if part.caller_gone:
                return "caller-gone"
            if part.failure is not None:
                # The status was already sent, so the failure can only be
                # shown by aborting the connection.
                raise errors.ResponseAbortedError(str(part.failure.reason))

    async def _get_or_disconnect(
        self, exchange: exchange_lib.Exchange, receive: Receive
    ) -> exchange_lib.AnswerPart:
        """Return the next answer part, or one that reports a disconnect.

        For servers that report a disconnect only through `receive`.
        """
        with anyio.move_on_after(DISCONNECT_WATCH_DELAY_S):
            return await exchange.get()
        if not exchange.body_complete:
            # `receive` would return a part of the body here. The task that
            # reads the body notices a disconnect.
            return await exchange.get()
        result: list[exchange_lib.AnswerPart] = []
        async with anyio.create_task_group() as group:
            scope = group.cancel_scope
            group.start_soon(caller_http.cancel_on_disconnect, receive, scope)
            result.append(await exchange.get())
            scope.cancel()
        return (
            result[0] if result else exchange_lib.AnswerPart(caller_gone=True)
        )

    async def _send_failure(self, failure: outcome.Failure, send: Send) -> None:
        status, headers, content = caller_http.failure_response(
            failure, self._header_names
        )
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": content})
