"""A simulated HTTP/1.1 upstream with configurable latency and faults.

The query of a request selects the response: `ms` is the service time, `bytes`
the length of the body, `id` the key under which the call is counted, and
`fault` the way in which the response fails:

- "reset" closes the connection without a response.
- "stall" never responds.
- "truncate" and "truncate-large" send only the start of the body.
- "overlong" sends more than the announced length.
- "interim", "chunks" and "flood" send bytes until the client
  closes the connection.
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

_RECEIVE_BYTES = 64 * 1024
BODY_PATTERN = bytes(range(256)) * 64
_ENDLESS_FAULTS = {
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "chunks": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * 1000,
    ),
    "flood": (b"HTTP/1.1 200 OK\r\n\r\n", BODY_PATTERN),
}


@dataclasses.dataclass(kw_only=True)
class UpstreamBehaviour:
    """Behaviour of a simulated upstream.

    Attributes:
        slots: Calls that run concurrently; further calls are queued.
        service_time_s: Service time of a call without `ms` in its query.
        connection_delay_s: Delay of each new connection.
        probe_delay_s: Delay of a request to /health or /load.
        cold_s: Duration of the slow phase after the start.
        cold_factor: Factor of the service times during the slow phase.
        slowdown: Current factor of all service times, as with a busy
            neighbour on the machine.
        straggler_share: Share of calls with the service time multiplied by
            `straggler_factor`.
        straggler_factor: Factor of the service times of these calls.
        shed_limit: Number of running and queued calls from which further
            calls are answered with status 503; 0 for no limit.
    """

    slots: int = 12
    service_time_s: float = 0.005
    connection_delay_s: float = 0.0
    probe_delay_s: float = 0.006
    cold_s: float = 0.0
    cold_factor: float = 3.0
    slowdown: float = 1.0
    straggler_share: float = 0.0
    straggler_factor: float = 50.0
    shed_limit: int = 0


class Server:
    """A simulated upstream on a loopback port.

    Attributes:
        name: Name that the responses contain.
        port: Listening port; 0 before `serve`.
        behaviour: Current behaviour; all but `slots` may change at any time.
        runs: Number of calls that ran, for each `id`.
        finished: Number of calls with a complete response.
        cancelled: Number of calls cancelled while they waited or ran.
        in_progress_max: Maximum number of running and queued calls.
        last_headers: Headers of the last request.
    """

    def __init__(
        self, *, name: str, behaviour: UpstreamBehaviour | None = None
    ):
        self.name = name
        self.port = 0
        self.behaviour = behaviour or UpstreamBehaviour()
        self.runs: collections.Counter[str] = collections.Counter()
        self.finished = 0
        self.cancelled = 0
        self.in_progress_max = 0
        self.last_headers: list[tuple[bytes, bytes]] = []
        self._in_progress = 0
        self._slots = anyio.Semaphore(self.behaviour.slots)
        self._started_s = 0.0
        self._random = random.Random(name)

    async def serve(
        self,
        *,
        port: int = 0,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; report the port to `task_status`."""
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=port, backlog=1024
        )
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self._started_s = anyio.current_time()
        task_status.started(self.port)
        await listener.serve(self._serve_connection)

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        if self.behaviour.connection_delay_s:
            await anyio.sleep(self.behaviour.connection_delay_s)
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
        self.last_headers = list(request.headers)
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
            await anyio.sleep(self.behaviour.probe_delay_s)
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
        limit = self.behaviour.shed_limit
        if limit and self._in_progress >= limit:
            await stream.send(_complete_response(connection, 503, b"{}"))
            return connection.our_state is h11.DONE
        self._in_progress += 1
        self.in_progress_max = max(self.in_progress_max, self._in_progress)
        try:
            async with self._slots:
                self.runs[options.get("id", "")] += 1
                await anyio.sleep(self._draw_service_time_s(options))
        except BaseException:
            self.cancelled += 1
            raise
        finally:
            self._in_progress -= 1
        fault = options.get("fault", "")
        if fault:
            return await _send_fault(stream, connection, fault)
        if "bytes" in options:
            await _send_pattern(stream, connection, int(options["bytes"]))
        else:
            content = json.dumps(answer).encode()
            await stream.send(_complete_response(connection, 200, content))
        self.finished += 1
        return connection.our_state is h11.DONE

    def _draw_service_time_s(self, options: dict[str, str]) -> float:
        behaviour = self.behaviour
        service_time_s = behaviour.service_time_s
        if "ms" in options:
            service_time_s = float(options["ms"]) / 1000.0
        service_time_s *= behaviour.slowdown
        if anyio.current_time() - self._started_s < behaviour.cold_s:
            service_time_s *= behaviour.cold_factor
        if self._random.random() < behaviour.straggler_share:
            service_time_s *= behaviour.straggler_factor
        return service_time_s


async def _next_event(
    stream: anyio.abc.SocketStream, connection: h11.Connection
) -> object:
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        try:
            data = await stream.receive(_RECEIVE_BYTES)
        except anyio.EndOfStream:
            data = b""
        connection.receive_data(data)


def _complete_response(
    connection: h11.Connection, status: int, content: bytes
) -> bytes:
    headers = [
        ("content-type", "application/json"),
        ("content-length", str(len(content))),
    ]
    data = connection.send(h11.Response(status_code=status, headers=headers))
    data += connection.send(h11.Data(data=content))
    return data + connection.send(h11.EndOfMessage())


async def _send_pattern(
    stream: anyio.abc.SocketStream, connection: h11.Connection, size_bytes: int
) -> None:
    headers = [("content-length", str(size_bytes))]
    await stream.send(
        connection.send(h11.Response(status_code=200, headers=headers))
    )
    remaining_bytes = size_bytes
    while remaining_bytes > 0:
        chunk = BODY_PATTERN[: min(remaining_bytes, len(BODY_PATTERN))]
        await stream.send(connection.send(h11.Data(data=chunk)))
        remaining_bytes -= len(chunk)
    await stream.send(connection.send(h11.EndOfMessage()))


async def _send_fault(
    stream: anyio.abc.SocketStream, connection: h11.Connection, fault: str
) -> bool:
    """Send the faulty response that the query selects."""
    if fault == "reset":
        return False
    if fault == "stall":
        await anyio.sleep_forever()
    if fault in _ENDLESS_FAULTS:
        start, piece = _ENDLESS_FAULTS[fault]
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
