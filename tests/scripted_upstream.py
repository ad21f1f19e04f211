"""An upstream that answers as each request's `script` header says."""

import json
import socket
import struct

import anyio
import anyio.abc

from monsoonpass import immutable
from monsoonpass.standin import simulated_upstream

KIB = 1024
SCRIPT_HEADER = "script"
ID_HEADER = "call-id"
NOT_RUN_HEADER = "not-run"
# SO_LINGER with a timeout of 0 s.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@immutable.dataclass
class Script:
    """How the upstream answers one request.

    Attributes:
        answer_bytes: Length of the answer's body.
        framing: How the body ends: "length", "chunked" or "close".
        pieces: Number of writes for the answer.
        early_bytes: Unread bytes of the request body when the upstream
            answers; 0 to read it whole first.
        refused: Whether the answer says that the request was not run.
        repeats: Whether the answer is written once more, late.
        cut: Whether the connection is closed in the middle of the answer.
        work_ms: Time from the request to the answer, in milliseconds.
    """

    answer_bytes: int = 100
    framing: str = "length"
    pieces: int = 1
    early_bytes: int = 0
    refused: bool = False
    repeats: bool = False
    cut: bool = False
    work_ms: int = 0

    def to_header(self) -> str:
        """Return the value of the header that carries the script."""
        return json.dumps({name: getattr(self, name) for name in _FIELDS})


_FIELDS = tuple(Script.__annotations__)


def pattern(request_id: str, size_bytes: int) -> bytes:
    """Return a body that tells whose it is."""
    unit = f"{request_id}.".encode()
    return (unit * (size_bytes // len(unit) + 1))[:size_bytes]


class ScriptedUpstream(simulated_upstream.Server):
    """Upstream that checks each byte that it receives.

    Attributes:
        foreign: What was received where something else was due.
        arrived: Ids of the requests in the order of their heads.
    """

    def __init__(self, *, name: str):
        super().__init__(name=name)
        self.foreign: list[bytes] = []
        self.arrived: list[str] = []

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        buffer = _Buffer(stream=stream)
        try:
            async with stream:
                while await self._serve_one(stream, buffer):
                    pass
        except (
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
            OSError,
        ):
            return

    async def _serve_one(
        self, stream: anyio.abc.SocketStream, buffer: "_Buffer"
    ) -> bool:
        head = await buffer.receive_until(b"\r\n\r\n")
        line, *rest = head.decode("latin-1").split("\r\n")
        headers = dict(item.split(": ", 1) for item in rest if ": " in item)
        if line.startswith("GET /health"):
            await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            return True
        if SCRIPT_HEADER not in headers or ID_HEADER not in headers:
            self.foreign.append(head[:200])
            return False
        request_id = headers[ID_HEADER]
        self.arrived.append(request_id)
        script = Script(**json.loads(headers[SCRIPT_HEADER]))
        size_bytes = int(headers.get("content-length", "0"))
        unread_bytes = min(script.early_bytes, size_bytes)
        expected = pattern(request_id, size_bytes)
        read_bytes = size_bytes - unread_bytes
        self._check(await buffer.receive(read_bytes), expected[:read_bytes])
        await anyio.sleep(script.work_ms / 1000.0)
        stays_open = await _answer(stream, request_id, script)
        received = await buffer.receive(unread_bytes)
        self._check(received, expected[read_bytes:])
        if script.repeats and stays_open:
            await anyio.sleep(0.005)
            await _answer(stream, request_id, script)
        return stays_open

    def _check(self, received: bytes, expected: bytes) -> None:
        if received != expected:
            self.foreign.append(received[:200])


class _Buffer:
    """Reads exact parts of a stream."""

    def __init__(self, *, stream: anyio.abc.SocketStream):
        self._stream = stream
        self._data = b""

    async def receive(self, size_bytes: int) -> bytes:
        while len(self._data) < size_bytes:
            self._data += await self._stream.receive()
        part, self._data = self._data[:size_bytes], self._data[size_bytes:]
        return part

    async def receive_until(self, end: bytes) -> bytes:
        while end not in self._data:
            self._data += await self._stream.receive()
        head, _, self._data = self._data.partition(end)
        return head


async def _answer(
    stream: anyio.abc.SocketStream, request_id: str, script: Script
) -> bool:
    """Write the answer; return whether the connection stays open."""
    body = pattern(request_id, script.answer_bytes)
    status = "503 Full" if script.refused else "200 OK"
    head = f"HTTP/1.1 {status}\r\n{ID_HEADER}: {request_id}\r\n"
    if script.refused:
        head += f"{NOT_RUN_HEADER}: 1\r\n"
    if script.framing == "length":
        data = f"{head}content-length: {len(body)}\r\n\r\n".encode() + body
    elif script.framing == "chunked":
        data = f"{head}transfer-encoding: chunked\r\n\r\n".encode()
        for start in range(0, len(body), 64 * KIB):
            chunk = body[start : start + 64 * KIB]
            data += b"%x\r\n%b\r\n" % (len(chunk), chunk)
        data += b"0\r\n\r\n"
    else:
        data = f"{head}\r\n".encode() + body
    if script.cut:
        data = data[: len(data) // 2]
    step = -(-len(data) // script.pieces)
    for start in range(0, len(data), step):
        await stream.send(data[start : start + step])
        await anyio.lowlevel.checkpoint()
    if script.cut and script.framing == "close":
        # Only a reset tells a cut body without a length from a whole one.
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    return not script.cut and script.framing != "close"
