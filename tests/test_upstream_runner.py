"""Tests of running calls on the upstream of this node."""

import types

import anyio
import pytest

from monsoonpass.core import effects
from monsoonpass.core.calls import outcome
from monsoonpass.core.membership import member as member_lib
from monsoonpass.formats import header_names
from monsoonpass.runtime import body as body_lib
from monsoonpass.runtime import tracing
from monsoonpass.runtime import upstream_runner as upstream_runner_lib
from tests import test_upstream_http

KIB = 1024


class TestBodyAroundTheBounds:
    """Bodies that end around the bounds of buffers, written at once."""

    @pytest.mark.parametrize("framing", ["length", "chunked", "close"])
    @pytest.mark.parametrize("off_bytes", [-1, 0, 1])
    @pytest.mark.parametrize("bound_bytes", [16 * KIB, 64 * KIB, 128 * KIB])
    def test_body_is_received_whole(self, bound_bytes, off_bytes, framing):
        """Guards against waiting for the rest of a body that has ended."""
        body = bytes(bound_bytes + off_bytes)
        head = b"HTTP/1.1 200 OK\r\n"
        response = {
            "length": head + b"content-length: %d\r\n\r\n" % len(body) + body,
            "chunked": head
            + b"transfer-encoding: chunked\r\n\r\n"
            + b"%x\r\n" % len(body)
            + body
            + b"\r\n0\r\n\r\n",
            "close": head + b"\r\n" + body,
        }[framing]
        may_close = anyio.Event()

        async def serve(stream):
            async with stream:
                await stream.receive()
                await stream.send(response)
                if framing != "close":
                    await may_close.wait()

        async def scenario(pool):
            connection = await pool.acquire(0.0)
            headers = ((b"host", b"shop"),)
            await connection.send_head("GET", b"/", headers, ended=True)
            await connection.receive_head()
            with anyio.fail_after(5):
                parts = [
                    await upstream_runner_lib._receive_body_start(connection)
                ]
                if not parts[0][1]:
                    async for part in connection.receive_body():
                        parts.append((part, False))
            assert b"".join(part for part, _ in parts) == body
            may_close.set()

        test_upstream_http.run_with_server(serve, scenario)


def make_call(*, sink=None) -> upstream_runner_lib.UpstreamCall:
    """Return a call without a body, for process 1 of the upstream."""
    return upstream_runner_lib.UpstreamCall(
        owner_call_id=1,
        method="GET",
        target=b"/",
        headers=(),
        body_start=b"",
        body_complete=True,
        pipe=body_lib.Pipe(),
        sink=sink,
        traceparent="",
        process_number=1,
    )


class ChangingPool:
    """Connection pool whose upstream changes while it connects."""

    upstream_id = b""
    process_number = 1

    def __init__(self, change):
        self._change = change
        self.released_count = 0

    async def acquire(self, now_s, *, idempotent):
        connection = types.SimpleNamespace(process_number=self.process_number)
        self._change(self)
        return connection

    async def release(self, connection, now_s, *, reuse):
        assert not reuse
        self.released_count += 1


class TestRefusedBody:
    @pytest.mark.parametrize(
        ("body_bytes", "is_kept"),
        [
            (100, True),
            (upstream_runner_lib.UNREAD_BODY_BYTES, True),
            (upstream_runner_lib.UNREAD_BODY_BYTES + 1, False),
        ],
    )
    def test_no_call_waits_behind_a_refused_body(self, body_bytes, is_kept):
        """Guards against calls that reach an upstream after callers left."""
        admission = types.SimpleNamespace(
            upstream=member_lib.UpstreamState.READY
        )
        engine = types.SimpleNamespace(
            set_performer=lambda effect, handler: None,
            state=types.SimpleNamespace(admission=admission),
        )
        call = make_call()
        call.body_start = bytes(body_bytes)
        length = str(body_bytes).encode()
        call.headers = ((b"host", b"shop"), (b"content-length", length))
        call.process_number = 0
        call.deadline_s = 1e9

        async def serve(stream):
            async with stream:
                await stream.receive(1000)
                await stream.send(
                    b"HTTP/1.1 503 Full\r\nnot-run: 1\r\n"
                    b"content-length: 0\r\n\r\n"
                )
                await anyio.sleep(5)

        async def scenario(pool):
            runner = upstream_runner_lib.UpstreamRunner(
                engine=engine,
                pool=pool,
                tracer=None,
                header_names=header_names.HeaderNames(not_run=b"not-run"),
            )
            span = tracing.Tracer(instance="n", path="", ratio=0.0).start(
                "upstream", ""
            )
            with pytest.raises(upstream_runner_lib.NotRunError):
                await runner._run_exchange(call, span, 0.0)
            assert bool(pool._idle) is is_kept

        test_upstream_http.run_with_server(serve, scenario)


class RecordingSink:
    """Sink that records the failure of its call."""

    def __init__(self):
        self.failures: list[outcome.Failure] = []

    def fail(self, failure) -> None:
        self.failures.append(failure)


class IdlePool:
    """Connection pool that waits, as one does that opens a connection."""

    upstream_id = b""
    process_number = 1

    def __init__(self):
        self.acquired_count = 0

    async def acquire(self, now_s, *, idempotent):
        await anyio.lowlevel.checkpoint()
        self.acquired_count += 1
        await anyio.sleep_forever()


class TestAbortAtOnce:
    def test_call_aborted_before_its_task_begins_is_not_sent(self):
        """Guards against work for a cancellation read with its call."""
        finished = []
        engine = types.SimpleNamespace(
            set_performer=lambda effect, handler: None,
            feed=lambda event_type, **fields: finished.append(fields),
        )
        pool = IdlePool()
        runner = upstream_runner_lib.UpstreamRunner(
            engine=engine,
            pool=pool,
            tracer=tracing.Tracer(instance="n", path=None, ratio=0.0),
            header_names=header_names.HeaderNames(),
        )
        sink = RecordingSink()
        runner.calls[1] = make_call(sink=sink)

        async def run():
            async with anyio.create_task_group() as group:
                group.start_soon(runner.run)
                await anyio.sleep(0.01)
                runner._dispatch(
                    effects.Dispatch(
                        owner_call_id=1, timeout_s=5.0, process_number=1
                    )
                )
                runner._abort(effects.AbortDispatch(owner_call_id=1))
                await anyio.sleep(0.05)
                group.cancel_scope.cancel()

        anyio.run(run)
        assert pool.acquired_count == 0
        assert [f.outcome for f in sink.failures] == [outcome.Outcome.NOT_RUN]
        assert len(finished) == 1
        assert not runner.calls


class TestUpstreamChangesDuringConnect:
    """The upstream drains or is replaced while a call awaits a connection."""

    def refusal_reason(self, change) -> outcome.Reason:
        """Return why a call is not sent after the upstream has changed.

        Args:
            change: Called with the pool and the admission state while the
                connection is opened.
        """
        admission = types.SimpleNamespace(
            upstream=member_lib.UpstreamState.READY
        )
        engine = types.SimpleNamespace(
            set_performer=lambda effect, handler: None,
            state=types.SimpleNamespace(admission=admission),
        )
        pool = ChangingPool(lambda pool: change(pool, admission))
        upstream_runner = upstream_runner_lib.UpstreamRunner(
            engine=engine,
            pool=pool,
            tracer=None,
            header_names=header_names.HeaderNames(),
        )
        call = make_call()
        with pytest.raises(upstream_runner_lib.NotRunError) as error_info:
            anyio.run(upstream_runner._run_exchange, call, None, 0.0)
        assert not call.request_started
        assert pool.released_count == 1
        return error_info.value.reason

    def test_call_is_not_sent_to_a_draining_upstream(self):
        """Guard: `DRAINING` in UpstreamRunner._check_upstream_current."""

        def leave(pool, admission):
            admission.upstream = member_lib.UpstreamState.DRAINING

        assert self.refusal_reason(leave) is outcome.Reason.DRAINING

    def test_call_is_not_sent_to_a_replacement_process(self):
        """Guard: `process_number` in UpstreamRunner._check_upstream_current."""

        def replace(pool, admission):
            pool.process_number = 2

        assert self.refusal_reason(replace) is outcome.Reason.UPSTREAM_REPLACED
