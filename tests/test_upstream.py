"""Tests of connections to the own upstream that misbehaves."""

import anyio
import anyio.lowlevel
import pytest

from monsoonpass import errors
from monsoonpass.runtime import pieces
from monsoonpass.runtime import upstream
from monsoonpass.standin import local_mesh

ID = (b"call", b"7")
HEADERS = ((b"host", b"shop"), ID)


def whole(call: str, body: str) -> bytes:
    """Return an answer to a call."""
    return (
        f"HTTP/1.1 200 OK\r\ncall: {call}\r\ncontent-length: {len(body)}"
        f"\r\n\r\n{body}"
    ).encode()


def play(sent: list[bytes], script) -> None:
    """Let an upstream answer each request with certain bytes."""

    async def serve(stream):
        async with stream:
            for data in sent:
                request = b""
                while not request.endswith(b"\r\n\r\n"):
                    request += await stream.receive()
                await stream.send(data)
            await anyio.sleep(5)

    async def run():
        port = local_mesh.free_ports(1)[0]
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=port
        )
        pool = upstream.Pool(host="127.0.0.1", limit=4)
        pool.port = port
        with anyio.fail_after(10):
            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, serve)
                await script(pool)
                group.cancel_scope.cancel()

    anyio.run(run)


async def exchange(pool, call_id=ID):
    """Make a call; return its connection and the answer's body."""
    connection = await pool.acquire(0.0)
    await connection.send_head("GET", b"/", HEADERS, ended=True)
    await connection.receive_head(call_id)
    parts = [part async for part in connection.receive_body()]
    return connection, b"".join(parts)


class TestStrayBytes:
    def test_answer_to_another_call_is_skipped(self):
        """Guard: the comparison with `call_id` in receive_head."""

        async def script(pool):
            connection, body = await exchange(pool)
            assert body == b"mine"
            await pool.release(connection, 0.0, reuse=True)
            assert not connection.is_reusable

        play([whole("6", "another's") + whole("7", "mine")], script)

    def test_answer_with_an_id_is_not_that_of_a_call_without_one(self):
        """Guard: `_is_answer_to` in upstream."""

        async def script(pool):
            connection, body = await exchange(pool, (b"call", b""))
            assert body == b"mine"
            await pool.release(connection, 0.0, reuse=True)
            assert not connection.is_reusable

        mine = whole("", "mine").replace(b"call: \r\n", b"")
        play([whole("6", "another's") + mine], script)

    def test_answer_to_another_call_alone_is_a_failure(self):
        async def script(pool):
            with pytest.raises(errors.UpstreamBrokenError):
                await exchange(pool)

        play([whole("6", "another's") + b"no answer\r\n\r\n"], script)

    def test_second_answer_taints_the_connection(self):
        """Guard: the check of trailing data in Connection.finish."""

        async def script(pool):
            connection, body = await exchange(pool)
            assert body == b"mine"
            await pool.release(connection, 0.0, reuse=True)
            assert not connection.is_reusable

        play([whole("7", "mine") + whole("7", "mine")], script)

    def test_sound_connection_is_used_again(self):
        async def script(pool):
            first, _ = await exchange(pool)
            await pool.release(first, 0.0, reuse=True)
            second, body = await exchange(pool)
            assert second is first
            assert body == b"again"

        play([whole("7", "once"), whole("7", "again")], script)


class TestEndless:
    """Bytes that end only when the node closes the connection."""

    INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"

    def receive(self, data: bytes) -> bytes | None:
        """Return the body of the answer to a call, None if it is broken."""
        bodies = []

        async def script(pool):
            try:
                bodies.append((await exchange(pool))[1])
            except errors.UpstreamBrokenError:
                bodies.append(None)

        play([data], script)
        return bodies[0]

    def test_interim_answers_are_skipped_up_to_a_bound(self):
        """Guard: `interim_count` in receive_head."""
        mine = whole("7", "mine")
        usual = self.INTERIM * upstream.INTERIM_MAX
        assert self.receive(usual + mine) == b"mine"
        assert self.receive(usual + self.INTERIM + mine) is None

    def test_answers_to_other_calls_are_skipped_up_to_a_bound(self):
        """Guard: `skipped_count` in receive_head."""
        other, mine = whole("6", "another's"), whole("7", "mine")
        usual = other * upstream.SKIPPED_MAX
        assert self.receive(usual + mine) == b"mine"
        assert self.receive(usual + other + mine) is None

    def test_answer_to_another_call_is_skipped_up_to_a_length(self):
        """Guard: `SKIPPED_MAX_BYTES` in _skip_answer."""
        mine = whole("7", "mine")
        most = upstream.SKIPPED_MAX_BYTES
        assert self.receive(whole("6", "x" * most) + mine) == b"mine"
        assert self.receive(whole("6", "x" * (most + 1)) + mine) is None

    def test_many_short_answers_never_rest(self, monkeypatch):
        """Guard: `begin` in Connection.finish."""

        async def rest(counter):
            raise AssertionError("a short answer waited")

        monkeypatch.setattr(pieces.Pieces, "rest", rest)
        count = pieces.PIECES_AT_ONCE

        async def script(pool):
            for _ in range(count):
                connection, _ = await exchange(pool)
                await pool.release(connection, 0.0, reuse=True)

        play([whole("7", "mine")] * count, script)

    def test_small_pieces_are_passed_on_as_one_and_let_others_run(self):
        """Guard: the loop in _next_part, and `rest` in _next_event."""
        size = 4 * pieces.PIECES_AT_ONCE
        head = b"HTTP/1.1 200 OK\r\ncall: 7\r\ntransfer-encoding: chunked"
        body = b"1\r\nx\r\n" * size + b"0\r\n\r\n"
        turns = 0

        async def count_turns():
            nonlocal turns
            while True:
                turns += 1
                await anyio.lowlevel.checkpoint()

        async def script(pool):
            nonlocal turns
            connection = await pool.acquire(0.0)
            await connection.send_head("GET", b"/", HEADERS, ended=True)
            await anyio.sleep(0.1)
            await connection.receive_head(ID)
            async with anyio.create_task_group() as group:
                group.start_soon(count_turns)
                await anyio.lowlevel.checkpoint()
                turns = 0
                parts = [part async for part in connection.receive_body()]
                group.cancel_scope.cancel()
            assert b"".join(parts) == b"x" * size
            assert len(parts) <= 8
            assert turns >= 3

        play([head + b"\r\n\r\n" + body], script)


class TestNextProcess:
    """Another process has taken the upstream's place."""

    @pytest.mark.parametrize("is_idle", [True, False])
    def test_connection_to_the_one_before_is_not_used_again(self, is_idle):
        """Guard: `connection.number` in Pool.acquire and Pool.release."""

        async def script(pool):
            first, _ = await exchange(pool)
            if is_idle:
                await pool.release(first, 0.0, reuse=True)
            pool.use(port=0, upstream_id=b"i-2", number=2)
            if not is_idle:
                await pool.release(first, 0.0, reuse=True)
                assert not pool._idle
            second = await pool.acquire(0.0)
            assert second is not first
            assert second.number == 2

        play([whole("7", "once")], script)


class TestIdle:
    def test_call_that_must_not_repeat_gets_a_fresh_connection(self):
        """Guard: the `idempotent` limit in Pool.acquire."""

        async def script(pool):
            first, _ = await exchange(pool)
            await pool.release(first, 0.0, reuse=True)
            later_s = upstream.ONCE_IDLE_MAX_S + 0.1
            fresh = await pool.acquire(later_s, idempotent=False)
            assert fresh is not first

        play([whole("7", "once")], script)

    def test_told_idle_time_is_kept(self):
        async def script(pool):
            first, _ = await exchange(pool)
            assert first.idle_max_s == 2 * upstream.IDLE_SHARE

        data = whole("7", "once").replace(
            b"call:", b"keep-alive: timeout=2\r\ncall:"
        )
        play([data], script)
