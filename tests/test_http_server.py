"""Tests of the HTTP server for callers, over loopback sockets."""

import contextlib
import socket

import anyio
import anyio.lowlevel
import pytest

from monsoonpass import errors
from monsoonpass.core.calls import caller_limits
from monsoonpass.core.distribution import host_route
from monsoonpass.runtime import caller_connection
from monsoonpass.runtime import caller_load
from monsoonpass.runtime import caller_request
from monsoonpass.runtime import http_server
from monsoonpass.runtime import parse_throttle
from monsoonpass.standin import local_mesh

LIMITS = host_route.RequestLimits(
    header_max_bytes=2048, body_max_bytes=4_000_000, header_timeout_s=0.2
)


class ServerFixture:
    """Server with a given application on a free port."""

    def __init__(self, app, **limits):
        self.closing = False
        self.port = local_mesh.free_ports(1)[0]
        self.shed = []
        self.load = caller_load.CallerLoad(
            limits=caller_limits.derive(**limits), on_shed=self.shed.append
        )
        self.server = http_server.Server(
            app=app,
            limits=lambda: LIMITS,
            is_closing=lambda: self.closing,
            load=self.load,
        )

    async def open(self):
        """Open a connection once the server listens."""
        while True:
            try:
                return await anyio.connect_tcp("127.0.0.1", self.port)
            except OSError:
                await anyio.sleep(0.01)


def run_with_server(app, scenario, **limits) -> None:
    """Run a scenario against a server with the given application."""

    async def run():
        fixture = ServerFixture(app, **limits)
        with anyio.fail_after(20):
            async with anyio.create_task_group() as group:
                group.start_soon(
                    fixture.server.serve, "127.0.0.1", fixture.port
                )
                await scenario(fixture)
                group.cancel_scope.cancel()

    anyio.run(run)


async def receive_until(stream, suffix: bytes) -> bytes:
    """Receive bytes until they end with a suffix."""
    data = b""
    while not data.endswith(suffix):
        data += await stream.receive()
    return data


async def receive_all(stream) -> bytes:
    """Receive bytes until the connection is closed."""
    data = b""
    try:
        while True:
            data += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return data


async def answer(send, body: bytes = b"whole", status: int = 200) -> None:
    """Send a complete answer."""
    headers = [(b"content-length", str(len(body)).encode())]
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})


async def simple_app(scope, receive, send) -> None:
    """Read the body and send an answer."""
    while (await receive()).get("more_body"):
        pass
    await answer(send)


UPLOAD = b"POST / HTTP/1.1\r\nhost: shop\r\ncontent-length: 8\r\n\r\n"
REQUEST = b"GET /lots HTTP/1.1\r\nhost: shop\r\n\r\n"


class TestCallerGone:
    def test_close_behind_a_request_is_seen_before_the_request_is_served(self):
        """Guards against serving a caller that left while the node stalled."""
        seen = []

        async def app(scope, receive, send):
            await receive()
            connection = scope["extensions"]["monsoonpass"]
            seen.append(connection.is_caller_gone)
            await answer(send, b"late")

        async def scenario(fixture):
            stream = await fixture.open()
            await stream.send(REQUEST)
            await receive_until(stream, b"late")
            # Nothing else runs until the close stands behind the request.
            with socket.create_connection(("127.0.0.1", fixture.port)) as raw:
                raw.sendall(REQUEST)
            while len(seen) < 2:
                await anyio.sleep(0.01)
            assert seen == [False, True]

        run_with_server(app, scenario)


class TestEarlyAnswer:
    def test_task_that_reads_the_body_ends_with_the_request(self):
        """Guards against a task kept for each upload that is answered early."""
        events = []

        async def app(scope, receive, send):
            await receive()
            if scope["method"] == "POST":
                tasks.start_soon(read_on, receive)
                await anyio.sleep(0.05)
            await answer(send, scope["method"].encode())

        async def read_on(receive):
            while not events or events[-1] != "http.disconnect":
                events.append((await receive())["type"])

        async def scenario(fixture):
            nonlocal tasks
            async with anyio.create_task_group() as tasks:
                stream = await fixture.open()
                await stream.send(UPLOAD + b"half")
                await anyio.sleep(0.02)
                await stream.send(b"rest")
                await receive_until(stream, b"POST")
                await stream.send(REQUEST)
                await receive_until(stream, b"GET")
                with anyio.fail_after(5):
                    while "http.disconnect" not in events:
                        await anyio.sleep(0.01)

        tasks = None
        run_with_server(app, scenario)

    def test_task_that_reads_an_unfinished_body_ends_with_the_request(self):
        """Guard: `wake` in CallerRequest.run."""
        ended = anyio.Event()

        async def app(scope, receive, send):
            await receive()
            tasks.start_soon(read_on, receive)
            await anyio.sleep(0.05)
            await answer(send, status=503)

        async def read_on(receive):
            while (await receive())["type"] != "http.disconnect":
                pass
            ended.set()

        async def scenario(fixture):
            nonlocal tasks
            async with anyio.create_task_group() as tasks:
                stream = await fixture.open()
                await stream.send(UPLOAD + b"half")
                with anyio.fail_after(5):
                    await ended.wait()
                assert not fixture.shed
                await stream.aclose()

        tasks = None
        run_with_server(app, scenario)


class TestConnections:
    def test_connection_serves_several_requests(self):
        async def scenario(fixture):
            async with await fixture.open() as stream:
                for _ in range(3):
                    await stream.send(REQUEST)
                    data = await receive_until(stream, b"whole")
                    assert b"connection: close" not in data.lower()

        run_with_server(simple_app, scenario)

    def test_closing_server_answers_before_it_closes_the_connection(self):
        """Guard: `self._server.is_closing()` in Connection._make_response."""

        async def scenario(fixture):
            async with await fixture.open() as stream:
                await stream.send(REQUEST)
                await receive_until(stream, b"whole")
                fixture.closing = True
                await stream.send(REQUEST)
                data = await receive_all(stream)
                assert data.startswith(b"HTTP/1.1 200")
                assert b"connection: close" in data.lower()

        run_with_server(simple_app, scenario)

    def test_early_answer_arrives_despite_an_unread_body(self):
        """An early close resets the connection, which discards the answer.

        Guard: the wait for the disconnect in Connection._close.
        """

        async def early_app(scope, receive, send):
            await answer(send, status=413)

        async def scenario(fixture):
            async with await fixture.open() as stream:
                await stream.send(
                    b"POST /photos HTTP/1.1\r\nhost: shop\r\n"
                    b"content-length: 3000000\r\n\r\n"
                )

                async def upload():
                    try:
                        for _ in range(30):
                            await stream.send(bytes(100_000))
                    except anyio.BrokenResourceError:
                        return

                async with anyio.create_task_group() as group:
                    group.start_soon(upload)
                    data = await receive_until(stream, b"whole")
                    group.cancel_scope.cancel()
                assert data.startswith(b"HTTP/1.1 413")

        run_with_server(early_app, scenario)


class TestBrokenConnections:
    def test_disconnect_is_reported_during_the_call(self):
        """Guard: the disconnect callback in Connection._read."""
        disconnected = anyio.Event()

        async def slow_app(scope, receive, send):
            scope["extensions"]["monsoonpass"].on_disconnect(disconnected.set)
            await anyio.sleep(10)

        async def scenario(fixture):
            stream = await fixture.open()
            await stream.send(REQUEST)
            await anyio.sleep(0.05)
            await stream.aclose()
            await disconnected.wait()

        run_with_server(slow_app, scenario)

    def test_interrupted_answer_does_not_look_complete(self):
        async def broken_app(scope, receive, send):
            headers = [(b"content-type", b"text/plain")]
            await send(
                {
                    "type": "http.response.start",
                    "status": 200,
                    "headers": headers,
                }
            )
            await send(
                {
                    "type": "http.response.body",
                    "body": b"part",
                    "more_body": True,
                }
            )
            raise ValueError("the rest is lost")

        async def scenario(fixture):
            async with await fixture.open() as stream:
                await stream.send(REQUEST)
                data = await receive_all(stream)
                assert b"chunked" in data.lower()
                assert not data.endswith(b"0\r\n\r\n")

        run_with_server(broken_app, scenario)


class TestInvalidRequests:
    def test_oversized_head_is_rejected(self):
        async def scenario(fixture):
            async with await fixture.open() as stream:
                await stream.send(
                    b"GET / HTTP/1.1\r\nhost: shop\r\nx: " + b"x" * 4000
                )
                assert (await receive_all(stream)).startswith(b"HTTP/1.1 431")

        run_with_server(simple_app, scenario)

    def test_unfinished_head_times_out(self):
        async def scenario(fixture):
            async with await fixture.open() as stream:
                await stream.send(b"GET / HTTP/1.1\r\n")
                assert (await receive_all(stream)).startswith(b"HTTP/1.1 408")

        run_with_server(simple_app, scenario)

    def test_conflicting_content_lengths_smuggle_no_request(self):
        served_paths = []

        async def app(scope, receive, send):
            served_paths.append(scope["path"])
            await simple_app(scope, receive, send)

        async def scenario(fixture):
            async with await fixture.open() as stream:
                await stream.send(
                    b"POST /a HTTP/1.1\r\nhost: shop\r\ncontent-length: 5\r\n"
                    b"content-length: 50\r\n\r\nabcdeGET /b HTTP/1.1\r\n"
                    b"host: shop\r\n\r\n"
                )
                assert (await receive_all(stream)).startswith(b"HTTP/1.1 400")
            assert served_paths == []

        run_with_server(app, scenario)


async def reading_app(scope, receive, send) -> None:
    """Read the body like `simple_app`, but return on a disconnect."""
    more_body = True
    while more_body:
        event = await receive()
        if event["type"] == "http.disconnect":
            return
        more_body = event.get("more_body", False)
    await answer(send)


async def send_chunks(stream, count: int) -> None:
    """Begin a request and send chunks of 100,000 bytes without ending it."""
    await stream.send(
        b"POST /photos HTTP/1.1\r\nhost: shop\r\n"
        b"transfer-encoding: chunked\r\n\r\n"
    )
    for _ in range(count):
        await stream.send(b"186a0\r\n" + bytes(100_000) + b"\r\n")


class TestBodyLimits:
    def test_oversized_declared_body_is_rejected_unread(self):
        """Guard: the check of the declared length in Connection._serve_next."""
        served_paths = []

        async def app(scope, receive, send):
            served_paths.append(scope["path"])
            await simple_app(scope, receive, send)

        async def scenario(fixture):
            async with await fixture.open() as stream:
                await stream.send(
                    b"POST /photos HTTP/1.1\r\nhost: shop\r\n"
                    b"content-length: 4000001\r\n\r\n"
                )
                data = await receive_all(stream)
            assert data.startswith(b"HTTP/1.1 413")
            assert served_paths == []

        run_with_server(app, scenario)

    @pytest.mark.parametrize("chunk", [b"1;a\r\nx\r\n", b"3\r\nxxx\r\n"])
    def test_body_in_small_chunks_lets_other_tasks_run(self, chunk):
        """Guard: `pause` in CallerRequest.receive.

        Plain chunks are merged before they are parsed and take less time, so
        that more of them are allowed between two pauses.
        """
        size = 8 * parse_throttle.BURST_EVENTS_MAX
        if b";" not in chunk:
            size *= caller_request.STEPS_PER_EVENT
        data_bytes = size * chunk.count(b"x")
        turns = []

        async def app(scope, receive, send):
            await anyio.sleep(0.1)
            async with anyio.create_task_group() as group:

                async def count_turns():
                    while True:
                        turns.append(1)
                        await anyio.lowlevel.checkpoint()

                group.start_soon(count_turns)
                await anyio.lowlevel.checkpoint()
                turns.clear()
                body = b""
                more = True
                while more:
                    event = await receive()
                    body += event["body"]
                    more = event["more_body"]
                group.cancel_scope.cancel()
            await answer(send, body)

        async def scenario(fixture):
            async with await fixture.open() as stream:
                await stream.send(
                    b"POST /photos HTTP/1.1\r\nhost: shop\r\n"
                    b"transfer-encoding: chunked\r\n\r\n"
                    + chunk * size
                    + b"0\r\n\r\n"
                )
                data = await receive_until(stream, b"x" * data_bytes)
            assert data.startswith(b"HTTP/1.1 200")
            assert len(turns) >= 4

        run_with_server(app, scenario)

    def test_oversized_chunked_body_is_rejected(self):
        """Guard: the check of `_body_is_too_long` in Connection._receive."""

        async def scenario(fixture):
            async with await fixture.open() as stream:
                await send_chunks(stream, 41)
                data = await receive_all(stream)
            assert data.startswith(b"HTTP/1.1 413")

        run_with_server(reading_app, scenario)

    def test_oversized_chunked_body_ends_the_call(self):
        """Guard: the disconnect callback in Connection._receive."""
        ended = anyio.Event()

        async def app(scope, receive, send):
            scope["extensions"]["monsoonpass"].on_disconnect(ended.set)
            while (await receive())["type"] != "http.disconnect":
                pass
            await ended.wait()

        async def scenario(fixture):
            async with await fixture.open() as stream:
                await send_chunks(stream, 41)
                assert (await receive_all(stream)).startswith(b"HTTP/1.1 413")

        run_with_server(app, scenario)

    def test_body_at_the_limit_is_accepted(self):
        async def scenario(fixture):
            async with await fixture.open() as stream:
                await stream.send(
                    b"POST /photos HTTP/1.1\r\nhost: shop\r\n"
                    b"content-length: 4000000\r\n\r\n"
                )
                for _ in range(40):
                    await stream.send(bytes(100_000))
                data = await receive_until(stream, b"whole")
            assert data.startswith(b"HTTP/1.1 200")

        run_with_server(reading_app, scenario)

    def test_unfinished_body_is_answered_with_a_timeout(self):
        """A close without an answer does not tell the caller what went wrong.

        Guard: the call of `_reject` after the application has returned in
        Connection._serve_next.
        """

        async def impatient_app(scope, receive, send):
            return

        async def scenario(fixture):
            async with await fixture.open() as stream:
                await stream.send(
                    b"POST /photos HTTP/1.1\r\nhost: shop\r\n"
                    b"content-length: 100\r\n\r\npart"
                )
                assert (await receive_all(stream)).startswith(b"HTTP/1.1 408")

        run_with_server(impatient_app, scenario)


async def status_app(scope, receive, send) -> None:
    """Answer with the status in the path, after its delay in ms."""
    while (await receive()).get("more_body"):
        pass
    status, _, delay_ms = scope["path"].strip("/").partition("/")
    await anyio.sleep(int(delay_ms or 0) / 1000)
    await answer(send, scope["path"].encode() + b";", int(status))


def pipelined(*paths: str) -> bytes:
    """Return several requests to be sent at once."""
    return b"".join(
        f"GET {path} HTTP/1.1\r\nhost: shop\r\n\r\n".encode() for path in paths
    )


class TestPipelining:
    """Callers send further requests before the first one was answered."""

    def receive_answers(self, app, *paths, closing=False) -> bytes:
        """Return all answers to requests that are sent at once."""
        received = []

        async def scenario(fixture):
            fixture.closing = closing
            async with await fixture.open() as stream:
                await stream.send(pipelined(*paths))
                if closing:
                    received.append(await receive_all(stream))
                else:
                    last = paths[-1].encode() + b";"
                    received.append(await receive_until(stream, last))

        run_with_server(app, scenario)
        return received[0]

    def bodies(self, data: bytes) -> list[bytes]:
        """Return the bodies of several answers, in their order."""
        return [
            part.partition(b"\r\n\r\n")[2]
            for part in data.split(b"HTTP/1.1 ")[1:]
        ]

    def test_answers_come_in_the_order_of_the_requests(self):
        data = self.receive_answers(status_app, "/200/60", "/200/1", "/200/30")
        assert self.bodies(data) == [b"/200/60;", b"/200/1;", b"/200/30;"]

    def test_refusal_of_the_first_request_leaves_the_others_to_be_served(self):
        data = self.receive_answers(status_app, "/503", "/504/20", "/200")
        assert self.bodies(data) == [b"/503;", b"/504/20;", b"/200;"]

    def test_flood_of_refused_requests_is_paused(self, monkeypatch):
        """Callers that send thousands of requests ahead left others no room.

        Guard: `_is_paused` in Connection.
        """
        monkeypatch.setattr(caller_connection, "REFUSAL_PAUSE_S", 3600.0)
        flooded = []
        served = []

        async def refusing_app(scope, receive, send):
            if scope["path"] == "/flood":
                flooded.append(scope["path"])
                await answer(send, b"refused;", 503)
            else:
                await answer(send, b"served;", 200)

        async def scenario(fixture):
            async with await fixture.open() as flood:
                await flood.send(pipelined(*["/flood"] * 2000))
                await receive_until(flood, b"refused;")
                for _ in range(20):
                    async with await fixture.open() as stream:
                        await stream.send(pipelined("/calm"))
                        served.append(await receive_until(stream, b"served;"))

        run_with_server(refusing_app, scenario)
        assert len(served) == 20
        assert len(flooded) <= 2 * caller_connection.PIPELINE_MAX

    def test_requests_run_at_once(self):
        """Guards against requests that wait for each other's answers.

        Guard: `start_pipelined` in Connection._serve_next.
        """
        arrived = []
        all_arrived = anyio.Event()

        async def meeting_app(scope, receive, send):
            arrived.append(scope["path"])
            if len(arrived) == 3:
                all_arrived.set()
            await all_arrived.wait()
            await status_app(scope, receive, send)

        data = self.receive_answers(meeting_app, "/200/30", "/200/1", "/200/10")
        assert self.bodies(data) == [b"/200/30;", b"/200/1;", b"/200/10;"]

    def test_requests_that_arrive_during_another_run_beside_it(self):
        """Guard: `start_pipelined` in Connection._read."""
        second_arrived = anyio.Event()

        async def meeting_app(scope, receive, send):
            if scope["path"] == "/200/2":
                second_arrived.set()
            await second_arrived.wait()
            await status_app(scope, receive, send)

        async def scenario(fixture):
            async with await fixture.open() as stream:
                await stream.send(pipelined("/200/1"))
                await anyio.sleep(0.02)
                await stream.send(pipelined("/200/2"))
                data = await receive_until(stream, b"/200/2;")
                assert self.bodies(data) == [b"/200/1;", b"/200/2;"]

        run_with_server(meeting_app, scenario)

    @pytest.mark.parametrize(
        ("limits", "expected"),
        [({}, caller_connection.PIPELINE_MAX), ({"memory_mb": 0.1}, 8)],
    )
    def test_number_of_requests_in_progress_is_bounded(self, limits, expected):
        """Guards against a caller that has any number of calls at once.

        Guard: PIPELINE_MAX, and `pipelined_max` over all connections.
        """
        running = [0, 0]

        async def app(scope, receive, send):
            running[0] += 1
            running[1] = max(running)
            await anyio.sleep(0.01)
            running[0] -= 1
            await answer(send, b"done;")

        async def scenario(fixture):
            async with (
                await fixture.open() as one,
                await fixture.open() as other,
            ):
                await one.send(pipelined(*["/"] * 30))
                if limits:
                    await other.send(pipelined(*["/"] * 30))
                data = b""
                while data.count(b"done;") < 30:
                    data += await one.receive()

        run_with_server(app, scenario, **limits)
        # Each connection may have one request in any case.
        assert expected <= running[1] <= expected + bool(limits)

    def run_recorded(self, *paths, closing_after="") -> tuple:
        """Run requests of which "/once/..." may run only once.

        Returns:
            The bytes received until the connection ends or all requests are
            answered, and the log of the application.
        """
        log = []
        received = []

        async def app(scope, receive, send):
            name = scope["path"]
            if name.startswith("/once"):
                try:
                    request = scope["extensions"]["monsoonpass"]
                    await request.wait_until_first()
                except errors.CallerDisconnectedError:
                    return
            log.append(f"start {name}")
            if "slow" in name:
                await anyio.sleep(0.05)
            if name == closing_after:
                fixtures[0].closing = True
            if "broken" in name:
                raise RuntimeError("the answer broke off")
            await receive()
            log.append(f"answer {name}")
            await answer(send, name.encode() + b";")

        async def scenario(fixture):
            fixtures.append(fixture)
            async with await fixture.open() as stream:
                await stream.send(pipelined(*paths))
                data = b""
                last = paths[-1].encode() + b";"
                with anyio.move_on_after(10):
                    try:
                        while not data.endswith(last):
                            data += await stream.receive()
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        pass
                received.append(data)
            await anyio.sleep(0.05)
            assert fixture.load.open_requests == 0
            assert fixture.load.budget.held_bytes == 0

        fixtures = []
        run_with_server(app, scenario)
        return received[0], log

    def test_request_that_may_run_only_once_waits_for_all_before_it(self):
        """Guard: the order of `popleft` and `become_first` in _serve_next."""
        data, log = self.run_recorded("/slow/1", "/2", "/once/3", "/4")
        assert self.bodies(data) == [b"/slow/1;", b"/2;", b"/once/3;", b"/4;"]
        assert log.index("start /once/3") > log.index("answer /slow/1")
        assert log.index("start /once/3") > log.index("answer /2")
        assert log.index("start /4") < log.index("answer /slow/1")

    def test_requests_behind_one_that_runs_only_once_run_beside_it(self):
        data, log = self.run_recorded("/once/slow/1", "/2")
        assert self.bodies(data) == [b"/once/slow/1;", b"/2;"]
        assert log.index("answer /2") < log.index("answer /once/slow/1")

    def test_request_that_may_run_only_once_does_not_run_behind_a_close(self):
        """They count as not read, so callers send all of them again.

        Guard: `other.is_parked` in Connection.closes_after.
        """
        data, log = self.run_recorded(
            "/slow/1", "/once/2", "/once/3", closing_after="/slow/1"
        )
        assert self.bodies(data) == [b"/slow/1;"]
        assert b"connection: close" in data.lower()
        assert log == ["start /slow/1", "answer /slow/1"]

    def test_stop_answers_the_requests_that_have_started(self):
        """Guards against a stop that cuts off calls in progress."""
        data, log = self.run_recorded(
            "/slow/1", "/slow/2", "/once/3", closing_after="/slow/1"
        )
        assert self.bodies(data) == [b"/slow/1;", b"/slow/2;"]
        assert data.lower().count(b"connection: close") == 1
        assert "start /once/3" not in log

    def test_request_that_may_run_only_once_does_not_run_behind_a_break(self):
        """Guard: `request.failed` in Connection._conclude."""
        data, log = self.run_recorded("/slow/broken", "/2", "/once/3")
        assert data == b""
        assert "start /once/3" not in log

    def test_broken_answer_leaves_the_answers_before_it_whole(self):
        data, log = self.run_recorded("/slow/1", "/broken", "/once/3")
        assert self.bodies(data) == [b"/slow/1;"]
        assert "start /once/3" not in log

    def test_refusal_without_reading_the_body_leaves_the_rest_in_order(self):
        """Guard: `start_pipelined` in CallerRequest._end_body."""
        upload = UPLOAD.replace(b"POST /", b"POST /unread") + b"8 bytes."
        rest = upload + pipelined("/once/2")

        async def app(scope, receive, send):
            if scope["path"].startswith("/once"):
                await scope["extensions"]["monsoonpass"].wait_until_first()
            await answer(send, scope["path"].encode() + b";", 503)

        async def scenario(fixture):
            async with await fixture.open() as stream:
                await stream.send(rest)
                data = await receive_until(stream, b"/once/2;")
                assert self.bodies(data) == [b"/unread;", b"/once/2;"]

        run_with_server(app, scenario)

    def test_refusal_before_the_end_of_the_body_closes_the_connection(self):
        """Guard: `allows_another` in Connection.start_pipelined."""
        seen = []

        async def app(scope, receive, send):
            seen.append(scope["path"])
            await answer(send, b"refused;", 503)

        async def scenario(fixture):
            async with await fixture.open() as stream:
                await stream.send(UPLOAD + b"half")
                await receive_until(stream, b"refused;")
                await stream.send(b"rest" + pipelined("/2"))
                assert await receive_all(stream) == b""

        run_with_server(app, scenario)
        assert seen == ["/"]

    def test_malformed_request_is_rejected_behind_the_other_answers(self):
        """Guard: `_held_error` in Connection.start_pipelined."""

        async def scenario(fixture):
            async with await fixture.open() as stream:
                await stream.send(pipelined("/200/50") + b"\0GET\r\n\r\n")
                data = await receive_all(stream)
                statuses = [part[:3] for part in data.split(b"HTTP/1.1 ")[1:]]
                assert statuses == [b"200", b"400"]

        run_with_server(status_app, scenario)

    def test_request_that_expects_100_starts_behind_the_other_answers(self):
        """Guards against a 100 in the middle of another answer.

        Guard: `may_run_early` in Connection.start_pipelined.
        """
        upload = UPLOAD.replace(b"host:", b"expect: 100-continue\r\nhost:")

        async def scenario(fixture):
            async with await fixture.open() as stream:
                await stream.send(pipelined("/200/50") + upload)
                data = await receive_until(stream, b"100 \r\n\r\n")
                assert self.bodies(data)[0] == b"/200/50;"
                await stream.send(b"bodybody" + pipelined("/200"))
                data = await receive_until(stream, b"/200;")
                assert data.count(b"HTTP/1.1 200") == 2

        async def app(scope, receive, send):
            if scope["method"] == "POST":
                await simple_app(scope, receive, send)
            else:
                await status_app(scope, receive, send)

        run_with_server(app, scenario)

    def test_bodies_among_pipelined_requests_stay_apart(self):
        """Guards against bytes of one request that reach another.

        Guard: `put_back` in CallerRequest._end_body.
        """
        chunked = CHUNKED_UPLOAD + b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"
        requests = pipelined("/a") + UPLOAD + b"8 bytes."
        requests += chunked + pipelined("/b") + chunked + UPLOAD + b"and more"

        async def echo_app(scope, receive, send):
            body = scope["path"].encode()
            more = True
            while more:
                event = await receive()
                body += event["body"]
                more = event["more_body"]
            await answer(send, body + b";")

        async def scenario(fixture):
            for cut in range(1, len(requests), 17):
                async with await fixture.open() as stream:
                    await stream.send(requests[:cut])
                    await anyio.sleep(0.001)
                    await stream.send(requests[cut:])
                    data = await receive_until(stream, b"and more;")
                    assert self.bodies(data) == [
                        b"/a;",
                        b"/8 bytes.;",
                        b"/photosabcde;",
                        b"/b;",
                        b"/photosabcde;",
                        b"/and more;",
                    ]
            assert fixture.load.budget.held_bytes == 0

        run_with_server(echo_app, scenario)

    def test_request_behind_a_body_in_the_same_read_runs_beside_it(self):
        """Guard: `start_pipelined` in CallerRequest._end_body."""
        second_arrived = anyio.Event()

        async def app(scope, receive, send):
            if scope["path"] == "/2":
                second_arrived.set()
            while (await receive()).get("more_body"):
                pass
            await second_arrived.wait()
            await answer(send, scope["path"].encode() + b";")

        async def scenario(fixture):
            for upload in (
                UPLOAD + b"8 bytes.",
                CHUNKED_UPLOAD + b"1\r\nx\r\n0\r\n\r\n",
            ):
                async with await fixture.open() as stream:
                    await stream.send(upload + pipelined("/2"))
                    await receive_until(stream, b"/2;")

        run_with_server(app, scenario)

    def test_streamed_answers_do_not_mix(self):
        async def app(scope, receive, send):
            name = scope["path"].encode()
            await send(
                {"type": "http.response.start", "status": 200, "headers": []}
            )
            for more in (True, True, False):
                await anyio.sleep(0.01 if name == b"/1" else 0)
                await send(
                    {
                        "type": "http.response.body",
                        "body": name,
                        "more_body": more,
                    }
                )

        async def scenario(fixture):
            async with await fixture.open() as stream:
                await stream.send(pipelined("/1", "/2"))
                data = await receive_until(stream, b"/2\r\n0\r\n\r\n")
                assert data.rindex(b"/1") < data.index(b"/2")

        run_with_server(app, scenario)

    def test_caller_that_leaves_ends_all_its_requests(self):
        """Guard: the loop in Connection._disconnect."""
        log = []

        async def waiting_app(scope, receive, send):
            name = scope["path"]
            request = scope["extensions"]["monsoonpass"]
            if name == "/once":
                with contextlib.suppress(errors.CallerDisconnectedError):
                    await request.wait_until_first()
                    log.append("started /once")
                return
            if name == "/2":
                try:
                    await answer(send)
                except anyio.BrokenResourceError:
                    log.append(name)
                return
            while (await receive())["type"] != "http.disconnect":
                pass
            log.append(name)

        async def scenario(fixture):
            async with await fixture.open() as stream:
                await stream.send(pipelined("/1", "/2", "/once", "/4"))
                while fixture.load.open_requests < 4:
                    await anyio.sleep(0.01)
            while fixture.load.open_requests:
                await anyio.sleep(0.01)

        run_with_server(waiting_app, scenario)
        assert sorted(log) == ["/1", "/2", "/4"]

    def test_request_may_be_split_anywhere(self):
        """Guard: parsing of what had arrived before the previous answer."""

        async def scenario(fixture):
            data = pipelined("/200/5", "/200/1")
            for cut in range(0, len(data), 7):
                async with await fixture.open() as stream:
                    await stream.send(data[:cut])
                    await anyio.sleep(0.002)
                    await stream.send(data[cut:])
                    received = await receive_until(stream, b"/200/1;")
                    assert self.bodies(received) == [b"/200/5;", b"/200/1;"]

        run_with_server(status_app, scenario)


CHUNKED_UPLOAD = (
    b"POST /photos HTTP/1.1\r\nhost: shop\r\ntransfer-encoding: chunked\r\n\r\n"
)


class TestSharedLimits:
    """Limits on what all connections of a node use together."""

    def test_unfinished_body_is_refused_when_the_budget_is_exhausted(self):
        """Guards against bodies that together exhaust the memory.

        Guard: `refuse_body` in CallerLoad.count_received.
        """

        async def scenario(fixture):
            stalled = await fixture.open()
            await stalled.send(CHUNKED_UPLOAD + b"ea60\r\n" + b"x" * 60_000)
            await anyio.sleep(0.05)
            assert 60_000 <= fixture.load.budget.held_bytes <= 60_100
            other = await fixture.open()
            await other.send(CHUNKED_UPLOAD + b"9c40\r\n" + b"x" * 40_000)
            refused = await receive_all(stalled)
            assert refused.startswith(b"HTTP/1.1 503")
            assert b"retry-after: 1" in refused
            await other.send(b"\r\n0\r\n\r\n")
            data = await receive_until(other, b"whole")
            assert data.startswith(b"HTTP/1.1 200")
            assert fixture.shed == [caller_load.BODY_REFUSED]
            await other.aclose()
            await stalled.aclose()
            while fixture.load.budget.held_bytes:
                await anyio.sleep(0.01)

        run_with_server(reading_app, scenario, buffer_kb=80)

    def test_body_that_is_passed_on_counts_only_while_it_is_held(self):
        """Guards against long uploads that use up the budget."""
        held = []

        async def app(scope, receive, send):
            scope["extensions"]["monsoonpass"].start_streaming()
            while (await receive()).get("more_body"):
                held.append(fixtures[0].load.budget.held_bytes)
            await answer(send)

        async def scenario(fixture):
            fixtures.append(fixture)
            async with await fixture.open() as stream:
                await send_chunks(stream, 20)
                await stream.send(b"0\r\n\r\n")
                data = await receive_until(stream, b"whole")
                assert data.startswith(b"HTTP/1.1 200")
                assert fixture.load.budget.held_bytes == 0
            assert max(held) < 200_000

        fixtures = []
        run_with_server(app, scenario)

    def test_body_without_progress_is_answered_with_a_timeout(
        self, monkeypatch
    ):
        """Guard: BODY_IDLE_TIMEOUT_S in CallerRequest._wait_for_body."""
        monkeypatch.setattr(caller_request, "BODY_IDLE_TIMEOUT_S", 0.1)

        async def scenario(fixture):
            async with await fixture.open() as stream:
                await stream.send(UPLOAD + b"half")
                data = await receive_all(stream)
            assert data.startswith(b"HTTP/1.1 408")
            assert fixture.shed == [caller_load.BODY_TIMED_OUT]

        run_with_server(reading_app, scenario)

    def test_no_status_promises_that_a_started_call_has_not_run(
        self, monkeypatch
    ):
        """Guard: `is_broken_off` in Connection._conclude."""
        monkeypatch.setattr(caller_request, "BODY_IDLE_TIMEOUT_S", 0.1)

        async def app(scope, receive, send):
            scope["extensions"]["monsoonpass"].start_streaming()
            while (await receive())["type"] != "http.disconnect":
                pass

        async def scenario(fixture):
            for data in (UPLOAD + b"half", CHUNKED_UPLOAD + b"2\r\nabc"):
                async with await fixture.open() as stream:
                    await stream.send(data)
                    assert await receive_all(stream) == b""

        run_with_server(app, scenario)

    def test_connections_beyond_the_bound_are_refused(self):
        """Guard: `admit` in Server._admit."""

        async def scenario(fixture):
            busy = [await fixture.open() for _ in range(16)]
            for stream in busy:
                await stream.send(b"GET /200/9000 HTTP/1.1\r\nhost: a\r\n\r\n")
            while fixture.load.open_requests < 16:
                await anyio.sleep(0.01)
            async with await fixture.open() as stream:
                assert (await receive_all(stream)).startswith(b"HTTP/1.1 503")
            assert fixture.shed == [caller_load.CONNECTION_REFUSED]

        run_with_server(status_app, scenario, connections=16)

    def test_idle_connection_makes_room_for_another(self, monkeypatch):
        """Guards against idle callers that shut out all others."""
        monkeypatch.setattr(caller_load, "CLOSE_FOR_OTHERS_AFTER_S", 0.0)

        async def scenario(fixture):
            idle = [await fixture.open() for _ in range(16)]
            await anyio.sleep(0.05)
            async with await fixture.open() as stream:
                await stream.send(REQUEST)
                data = await receive_until(stream, b"whole")
                assert data.startswith(b"HTTP/1.1 200")
            assert await receive_all(idle[0]) == b""
            assert fixture.shed == [caller_load.CONNECTION_CLOSED]

        run_with_server(simple_app, scenario, connections=16)

    def test_pipelining_connection_makes_room_after_its_next_answer(self):
        """Guards against pipelining callers that shut out all others."""

        async def scenario(fixture):
            busy = [await fixture.open() for _ in range(16)]
            for stream in busy:
                await stream.send(pipelined(*["/200/300"] * 40))
            while fixture.load.open_requests < 16:
                await anyio.sleep(0.01)
            await anyio.sleep(0.05)
            async with await fixture.open() as stream:
                await stream.send(pipelined("/200"))
                data = await receive_until(stream, b"/200;")
                assert data.startswith(b"HTTP/1.1 200")
            assert fixture.shed == [caller_load.CONNECTION_CLOSED]
            answers = []
            async with anyio.create_task_group() as group:

                async def collect(stream):
                    answers.append(await receive_all(stream))
                    group.cancel_scope.cancel()

                for stream in busy:
                    group.start_soon(collect, stream)
            assert b"connection: close" in answers[0].lower()
            assert answers[0].endswith(b"/200/300;")

        run_with_server(status_app, scenario, connections=16)

    def test_caller_that_leaves_is_noticed_while_reading_is_paused(self):
        """Guards against calls that run on for a caller that has left.

        Guard: the watch in Connection._wait_for_space.
        """
        left = anyio.Event()

        async def app(scope, receive, send):
            scope["extensions"]["monsoonpass"].on_disconnect(left.set)
            await left.wait()

        async def scenario(fixture):
            stream = await fixture.open()
            await stream.send(
                b"POST /photos HTTP/1.1\r\nhost: shop\r\n"
                b"content-length: 300000\r\n\r\n" + bytes(100_000)
            )
            await anyio.sleep(0.05)
            assert 16_000 < fixture.load.budget.held_bytes < 40_000
            await stream.aclose()
            await left.wait()

        run_with_server(app, scenario)

    def test_unread_answers_time_out_and_stop_further_requests(
        self, monkeypatch
    ):
        """Guard: SEND_TIMEOUT_S in Connection.send."""
        monkeypatch.setattr(caller_connection, "SEND_TIMEOUT_S", 0.2)
        served = []

        async def app(scope, receive, send):
            await receive()
            served.append(scope["path"])
            await answer(send, bytes(100_000))

        async def scenario(fixture):
            async with await fixture.open() as stream:
                await stream.send(REQUEST * 1000)
                while caller_load.ANSWER_UNREAD not in fixture.shed:
                    await anyio.sleep(0.01)
                count = len(served)
                await anyio.sleep(0.1)
                assert len(served) == count < 300

        run_with_server(app, scenario)


class TestFinish:
    def test_open_request_is_answered_before_the_server_has_finished(self):
        """A planned stop ends while an answer is being sent.

        Guard: the wait for `_open_requests` in Server.finish.
        """
        events = []

        async def slow_app(scope, receive, send):
            await receive()
            await anyio.sleep(0.1)
            await answer(send)
            events.append("answered")

        async def scenario(fixture):
            fixture.closing = True
            async with await fixture.open() as stream:
                await stream.send(REQUEST)
                await anyio.sleep(0.02)
                async with anyio.create_task_group() as group:
                    group.start_soon(receive_all, stream)
                    await fixture.server.finish()
                    events.append("finished")

        run_with_server(slow_app, scenario)
        assert events == ["answered", "finished"]

    def test_finished_server_accepts_no_connection(self):
        """Guard: `self._accepting.cancel()` in Server.finish."""

        async def scenario(fixture):
            async with await fixture.open():
                await fixture.server.finish()
                with pytest.raises(OSError):
                    await anyio.connect_tcp("127.0.0.1", fixture.port)

        run_with_server(simple_app, scenario)

    def test_idle_connection_does_not_delay_the_end(self):
        async def scenario(fixture):
            async with await fixture.open() as stream:
                await stream.send(REQUEST)
                await receive_until(stream, b"whole")
                with anyio.fail_after(1.0):
                    await fixture.server.finish()

        run_with_server(simple_app, scenario)
