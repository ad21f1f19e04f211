"""A small HTTP/1.1 upstream with the habits of a real one.

The request's query says how it behaves: `ms` is the service time, `bytes` the
length of the answer, `id` names the run for counting, and `fault` is one of
"truncate", "reset", "overlong" and "stall", or "interim", "chunks" and "flood"
for bytes that end only when the caller closes.
"""

import collections
import dataclasses
import hashlib
import json
import random
import urllib.parse

import anyio
import anyio.abc
import h11

RECEIVE_BYTES = 64 * 1024
PATTERN = bytes(range(256)) * 64
ENDLESS = {
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "chunks": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * 1000,
    ),
    "flood": (b"HTTP/1.1 200 OK\r\n\r\n", PATTERN),
}


@dataclasses.dataclass(kw_only=True)
class Habits:
    """How a stand-in upstream behaves.

    Attributes:
        slots: Calls that it runs at once; more wait inside it.
        service_s: Service time of a call that names none.
        connection_s: Cost of a new connection.
        probe_s: Cost of a request to /health or /load.
        cold_s: For how long after the start calls take `cold_factor` longer.
        cold_factor: How much longer.
        slowdown: Current factor of all service times (a busy neighbour).
        straggler_share: Share of calls that take `straggler_factor` longer.
        straggler_factor: How much longer.
        shed_over: Calls inside at once before it answers 503; 0 for never.
    """

    slots: int = 12
    service_s: float = 0.005
    connection_s: float = 0.0
    probe_s: float = 0.006
    cold_s: float = 0.0
    cold_factor: float = 3.0
    slowdown: float = 1.0
    straggler_share: float = 0.0
    straggler_factor: float = 50.0
    shed_over: int = 0


class Server:
    """A stand-in upstream on a loopback port.

    Attributes:
        name: Name in its answers.
        port: Port, once it listens.
        habits: How it behaves; may be changed while it runs.
        runs: How often each `id` was run.
        finished: Calls that were answered whole.
        cancelled: Calls whose connection closed while they ran.
        most_inside: Most calls that were inside at once.
    """

    def __init__(self, *, name: str, habits: Habits | None = None):
        self.name = name
        self.port = 0
        self.habits = habits or Habits()
        self.runs: collections.Counter[str] = collections.Counter()
        self.finished = 0
        self.cancelled = 0
        self.most_inside = 0
        self._inside = 0
        self._slots = anyio.Semaphore(self.habits.slots)
        self._started_s = 0.0
        self._random = random.Random(name)

    async def serve(
        self,
        *,
        port: int = 0,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen and serve until cancelled; reports its port."""
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=port, backlog=1024
        )
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self._started_s = anyio.current_time()
        task_status.started(self.port)
        await listener.serve(self._serve_connection)

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        if self.habits.connection_s:
            await anyio.sleep(self.habits.connection_s)
        try:
            async with stream:
                while await self._serve_request(stream, connection):
                    connection.start_next_cycle()
        except (
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
            h11.ProtocolError,
            OSError,
        ):
            return

    async def _serve_request(
        self, stream: anyio.abc.SocketStream, connection: h11.Connection
    ) -> bool:
        request = await _next_event(stream, connection)
        if not isinstance(request, h11.Request):
            return False
        digest = hashlib.sha256()
        size_bytes = 0
        while True:
            event = await _next_event(stream, connection)
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                return False
            digest.update(event.data)
            size_bytes += len(event.data)
        path, _, query = request.target.decode("latin-1").partition("?")
        options = dict(urllib.parse.parse_qsl(query))
        if path in ("/health", "/load"):
            await anyio.sleep(self.habits.probe_s)
        answer = {
            "upstream": self.name,
            "path": path,
            "id": options.get("id", ""),
            "body_bytes": size_bytes,
            "body_sha256": digest.hexdigest(),
        }
        return await self._answer(stream, connection, options, answer)

    async def _answer(
        self,
        stream: anyio.abc.SocketStream,
        connection: h11.Connection,
        options: dict[str, str],
        answer: dict[str, object],
    ) -> bool:
        over = self.habits.shed_over
        if over and self._inside >= over:
            await stream.send(_whole(connection, 503, b"{}"))
            return connection.our_state is h11.DONE
        self._inside += 1
        self.most_inside = max(self.most_inside, self._inside)
        try:
            async with self._slots:
                self.runs[options.get("id", "")] += 1
                await anyio.sleep(self._service_s(options))
        except BaseException:
            self.cancelled += 1
            raise
        finally:
            self._inside -= 1
        fault = options.get("fault", "")
        if fault:
            return await _misbehave(stream, connection, fault)
        if "bytes" in options:
            await _send_pattern(stream, connection, int(options["bytes"]))
        else:
            content = json.dumps(answer).encode()
            await stream.send(_whole(connection, 200, content))
        self.finished += 1
        return connection.our_state is h11.DONE

    def _service_s(self, options: dict[str, str]) -> float:
        habits = self.habits
        service_s = habits.service_s
        if "ms" in options:
            service_s = float(options["ms"]) / 1000.0
        service_s *= habits.slowdown
        if anyio.current_time() - self._started_s < habits.cold_s:
            service_s *= habits.cold_factor
        if self._random.random() < habits.straggler_share:
            service_s *= habits.straggler_factor
        return service_s


async def _next_event(
    stream: anyio.abc.SocketStream, connection: h11.Connection
) -> object:
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        try:
            data = await stream.receive(RECEIVE_BYTES)
        except anyio.EndOfStream:
            data = b""
        connection.receive_data(data)


def _whole(connection: h11.Connection, status: int, content: bytes) -> bytes:
    headers = [
        ("content-type", "application/json"),
        ("content-length", str(len(content))),
    ]
    data = connection.send(h11.Response(status_code=status, headers=headers))
    data += connection.send(h11.Data(data=content))
    return data + connection.send(h11.EndOfMessage())


async def _send_pattern(
    stream: anyio.abc.SocketStream, connection: h11.Connection, size: int
) -> None:
    headers = [("content-length", str(size))]
    await stream.send(
        connection.send(h11.Response(status_code=200, headers=headers))
    )
    left = size
    while left > 0:
        chunk = PATTERN[: min(left, len(PATTERN))]
        await stream.send(connection.send(h11.Data(data=chunk)))
        left -= len(chunk)
    await stream.send(connection.send(h11.EndOfMessage()))


async def _misbehave(
    stream: anyio.abc.SocketStream, connection: h11.Connection, fault: str
) -> bool:
    """Break the answer off in the way that was asked for."""
    if fault == "reset":
        return False
    if fault == "stall":
        await anyio.sleep_forever()
    if fault in ENDLESS:
        start, piece = ENDLESS[fault]
        await stream.send(start)
        while True:
            await stream.send(piece)
    head = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n"
    if fault == "truncate":
        await stream.send(head + b"x" * 40)
        return False
    if fault == "truncate-large":
        large = b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n"
        await stream.send(large + b"x" * 400_000)
        return False
    if fault == "overlong":
        await stream.send(head + b"x" * 140)
    return False
