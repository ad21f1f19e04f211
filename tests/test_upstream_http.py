"""Tests of connections to an upstream that misbehaves."""

import anyio
import anyio.lowlevel
import pytest

from monsoonpass import errors
from monsoonpass.runtime import parse_throttle
from monsoonpass.runtime import upstream_http
from monsoonpass.standin import local_mesh

# A busy machine may delay even a connection on loopback beyond the default.
SCENARIO_TIMEOUT_S = 10.0
CALL_ID = (b"call", b"7")
HEADERS = ((b"host", b"shop"), CALL_ID)


def http_response(call: str, body: str) -> bytes:
    """Return a response with the id of a call."""
    return (
        f"HTTP/1.1 200 OK\r\ncall: {call}\r\ncontent-length: {len(body)}"
        f"\r\n\r\n{body}"
    ).encode()


def run_with_upstream(
    responses: list[bytes], scenario, *, request_end: bytes = b"\r\n\r\n"
) -> None:
    """Run a scenario against an upstream with the given responses.

    Args:
        responses: Bytes that the upstream sends, one entry for each request
            on a connection.
        scenario: Called with the connection pool.
        request_end: The upstream answers a request once it ends with this.
    """

    async def serve(stream):
        async with stream:
            for data in responses:
                request = b""
                while not request.endswith(request_end):
                    request += await stream.receive()
                await stream.send(data)
            await anyio.sleep(5)

    run_with_server(serve, scenario)


def run_with_server(serve, scenario) -> None:
    """Run a scenario with a pool of connections to a server.

    Args:
        serve: Serves one connection.
        scenario: Called with the connection pool.
    """

    async def run():
        port = local_mesh.free_ports(1)[0]
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=port
        )
        pool = upstream_http.ConnectionPool(
            host="127.0.0.1",
            connections_max=4,
            connect_timeout_s=SCENARIO_TIMEOUT_S,
        )
        pool.port = port
        with anyio.fail_after(SCENARIO_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, serve)
                await scenario(pool)
                group.cancel_scope.cancel()

    anyio.run(run)


async def exchange(pool, call_id=CALL_ID):
    """Make a call; return its connection and the response body."""
    connection = await pool.acquire(0.0)
    await connection.send_head("GET", b"/", HEADERS, ended=True)
    await connection.receive_head(call_id)
    parts = [part async for part in connection.receive_body()]
    return connection, b"".join(parts)


class TestUnexpectedResponses:
    def test_response_to_another_call_is_skipped(self):
        """Guard: the comparison with `call_id` in receive_head."""

        async def scenario(pool):
            connection, body = await exchange(pool)
            assert body == b"mine"
            await pool.release(connection, 0.0, reuse=True)
            assert not connection.is_reusable

        run_with_upstream(
            [http_response("6", "another's") + http_response("7", "mine")],
            scenario,
        )

    def test_response_with_an_id_is_skipped_for_a_call_without_one(self):
        """Guard: `_is_response_to` in upstream_http."""

        async def scenario(pool):
            connection, body = await exchange(pool, (b"call", b""))
            assert body == b"mine"
            await pool.release(connection, 0.0, reuse=True)
            assert not connection.is_reusable

        mine = http_response("", "mine").replace(b"call: \r\n", b"")
        run_with_upstream([http_response("6", "another's") + mine], scenario)

    def test_only_a_response_to_another_call_is_a_failure(self):
        async def scenario(pool):
            with pytest.raises(errors.UpstreamResponseError):
                await exchange(pool)

        run_with_upstream(
            [http_response("6", "another's") + b"no answer\r\n\r\n"], scenario
        )

    def test_second_response_makes_the_connection_unusable(self):
        """Guard: the check of trailing data in Connection.finish."""

        async def scenario(pool):
            connection, body = await exchange(pool)
            assert body == b"mine"
            await pool.release(connection, 0.0, reuse=True)
            assert not connection.is_reusable

        run_with_upstream(
            [http_response("7", "mine") + http_response("7", "mine")], scenario
        )

    def test_connection_is_reused(self):
        async def scenario(pool):
            first, _ = await exchange(pool)
            await pool.release(first, 0.0, reuse=True)
            second, body = await exchange(pool)
            assert second is first
            assert body == b"again"

        run_with_upstream(
            [http_response("7", "once"), http_response("7", "again")], scenario
        )


class TestEndlessResponses:
    """Responses without an end, which the node must stop reading."""

    INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"

    def receive(self, data: bytes) -> bytes | None:
        """Return the body of the response to a call; None if it is broken."""
        bodies = []

        async def scenario(pool):
            try:
                bodies.append((await exchange(pool))[1])
            except errors.UpstreamResponseError:
                bodies.append(None)

        run_with_upstream([data], scenario)
        return bodies[0]

    def test_too_many_interim_responses_are_a_failure(self):
        """Guard: `interim_count` in receive_head."""
        mine = http_response("7", "mine")
        allowed = self.INTERIM * upstream_http.INTERIM_RESPONSES_MAX
        assert self.receive(allowed + mine) == b"mine"
        assert self.receive(allowed + self.INTERIM + mine) is None

    def test_too_many_responses_to_other_calls_are_a_failure(self):
        """Guard: `skipped_count` in receive_head."""
        other, mine = (
            http_response("6", "another's"),
            http_response("7", "mine"),
        )
        allowed = other * upstream_http.SKIPPED_RESPONSES_MAX
        assert self.receive(allowed + mine) == b"mine"
        assert self.receive(allowed + other + mine) is None

    def test_too_long_response_to_another_call_is_a_failure(self):
        """Guard: `SKIPPED_RESPONSE_MAX_BYTES` in _skip_response."""
        mine = http_response("7", "mine")
        max_bytes = upstream_http.SKIPPED_RESPONSE_MAX_BYTES
        assert (
            self.receive(http_response("6", "x" * max_bytes) + mine) == b"mine"
        )
        assert (
            self.receive(http_response("6", "x" * (max_bytes + 1)) + mine)
            is None
        )

    def test_many_short_responses_are_not_throttled(self, monkeypatch):
        """Guard: `reset` in Connection.finish."""

        async def pause(throttle):
            raise AssertionError("a short response was throttled")

        monkeypatch.setattr(parse_throttle.ParseThrottle, "pause", pause)
        count = parse_throttle.BURST_EVENTS_MAX

        async def scenario(pool):
            for _ in range(count):
                connection, _ = await exchange(pool)
                await pool.release(connection, 0.0, reuse=True)

        run_with_upstream([http_response("7", "mine")] * count, scenario)

    def test_small_chunks_are_merged_and_other_tasks_run(self):
        """Guard: the loop in _next_part, and `pause` in _next_event."""
        size = 4 * parse_throttle.BURST_EVENTS_MAX
        head = b"HTTP/1.1 200 OK\r\ncall: 7\r\ntransfer-encoding: chunked"
        body = b"1\r\nx\r\n" * size + b"0\r\n\r\n"
        turns = 0

        async def count_turns():
            nonlocal turns
            while True:
                turns += 1
                await anyio.lowlevel.checkpoint()

        async def scenario(pool):
            nonlocal turns
            connection = await pool.acquire(0.0)
            await connection.send_head("GET", b"/", HEADERS, ended=True)
            await anyio.sleep(0.1)
            await connection.receive_head(CALL_ID)
            async with anyio.create_task_group() as group:
                group.start_soon(count_turns)
                await anyio.lowlevel.checkpoint()
                turns = 0
                parts = [part async for part in connection.receive_body()]
                group.cancel_scope.cancel()
            assert b"".join(parts) == b"x" * size
            assert len(parts) <= 8
            assert turns >= 3

        run_with_upstream([head + b"\r\n\r\n" + body], scenario)


class TestCutResponse:
    """The upstream stops in the middle of its response and closes."""

    @pytest.mark.parametrize("framing", ["length", "chunked", "close"])
    def test_cut_response_is_never_taken_for_a_whole_one(self, framing):
        """Guards against a short body that is framed as whole.

        A body that ends with the connection may be cut after its head.
        """
        head = b"HTTP/1.1 200 OK\r\ncall: 7\r\n"
        whole = {
            "length": head + b"content-length: 4\r\n\r\nbody",
            "chunked": head
            + b"transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            "close": head + b"\r\n",
        }[framing]

        async def scenario(pool):
            for _ in range(len(whole)):
                connection = await pool.acquire(0.0)
                await connection.send_head("GET", b"/", HEADERS, ended=True)
                with pytest.raises(errors.UpstreamResponseError):
                    await connection.receive_head(CALL_ID)
                    async for _ in connection.receive_body():
                        pass
                await pool.release(connection, 0.0, reuse=False)

        ends = iter(range(len(whole)))

        async def serve(stream):
            async with stream:
                await stream.receive()
                await stream.send(whole[: next(ends)])

        run_with_server(serve, scenario)


class TestEarlyResponse:
    """The upstream answers before it has read the whole request body."""

    def test_connection_with_an_unsent_body_end_is_not_reused(self):
        """Guards against another request's head in place of a body's end."""

        async def scenario(pool):
            connection = await pool.acquire(0.0)
            headers = (*HEADERS, (b"content-length", b"8"))
            await connection.send_head("POST", b"/", headers, b"half")
            with anyio.CancelScope() as scope:
                scope.cancel()
                await connection.send_body(b"rest", ended=True)
            await connection.receive_head(CALL_ID)
            async for _ in connection.receive_body():
                pass
            await pool.release(connection, 0.0, reuse=True)
            assert not connection.is_reusable
            assert await pool.acquire(0.0) is not connection

        early = http_response("7", "early")
        run_with_upstream([early], scenario, request_end=b"half")


class TestReplacedProcess:
    """Another process has replaced the upstream."""

    @pytest.mark.parametrize("is_idle", [True, False])
    def test_connection_to_the_previous_process_is_not_reused(self, is_idle):
        """Guard: `process_number` in ConnectionPool.acquire and release."""

        async def scenario(pool):
            first, _ = await exchange(pool)
            if is_idle:
                await pool.release(first, 0.0, reuse=True)
            pool.switch_process(port=0, upstream_id=b"i-2", process_number=2)
            if not is_idle:
                await pool.release(first, 0.0, reuse=True)
                assert not pool._idle
            second = await pool.acquire(0.0)
            assert second is not first
            assert second.process_number == 2

        run_with_upstream([http_response("7", "once")], scenario)


class TestIdleConnections:
    def test_non_idempotent_call_gets_a_fresh_connection(self):
        """Guard: the `idempotent` limit in ConnectionPool.acquire."""

        async def scenario(pool):
            first, _ = await exchange(pool)
            await pool.release(first, 0.0, reuse=True)
            later_s = upstream_http.NON_IDEMPOTENT_IDLE_MAX_S + 0.1
            fresh = await pool.acquire(later_s, idempotent=False)
            assert fresh is not first

        run_with_upstream([http_response("7", "once")], scenario)

    def test_keep_alive_timeout_limits_the_idle_time(self):
        async def scenario(pool):
            first, _ = await exchange(pool)
            assert first.idle_max_s == 2 * upstream_http.IDLE_TIMEOUT_FRACTION

        data = http_response("7", "once").replace(
            b"call:", b"keep-alive: timeout=2\r\ncall:"
        )
        run_with_upstream([data], scenario)
