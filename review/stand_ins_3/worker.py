"""A worker as `PROTOCOL.md` tells it, on one machine of the fleet."""

import asyncio
import contextlib
import dataclasses
import json
import time

import http1

BEAT_S = 0.87
# A long answer is sent as its parts become ready.
PIECE_BYTES = 16 * 1024
PIECE_PAUSE_S = 0.002


@dataclasses.dataclass
class Run:
    """A request that a worker began to work on.

    Attributes:
        worker: Id of the worker.
        service: Service of the worker.
        request_id: Id of the request.
        method: Method.
        target: Path and query.
        caller: Value of `X-Caller-Service`.
        at_s: Steady time of the start.
    """

    worker: str
    service: str
    request_id: str
    method: str
    target: str
    caller: str
    at_s: float


class Worker:
    """One incarnation of a worker.

    Attributes:
        runs: What it ran, shared by all workers of a case.
        work_s: Time that a request takes.
        lose_share: Share of its answers that are lost after the run.
        body_bytes: Length of its answers; they are sent in chunks if it is
            set.
        beat_delay_s: How late its heartbeats arrive.
        state: State that it reports.
        acks: Steady time and status of the answers to what it says of
            itself, with the state that it reported.
    """

    def __init__(
        self,
        *,
        worker_id: str,
        service: str,
        ip: str,
        port: int,
        control_port: int,
        runs: list[Run],
        zone: str = "zone-a",
        slots: int = 9,
        work_s: float = 0.02,
        born_ms: int | None = None,
    ):
        self.worker_id = worker_id
        self.service = service
        self.runs = runs
        self.work_s = work_s
        self.lose_share = 0.0
        self.body_bytes = 0
        self.beat_delay_s = 0.0
        self.state = "ready"
        self.born_ms = born_ms or time.time_ns() // 1_000_000
        self.acks: list[tuple[float, str, int]] = []
        self._ip = ip
        self._port = port
        self._control = (ip, control_port)
        self._zone = zone
        self._slots = slots
        self._sequence = 0
        self._owed_losses = 0.0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, *, beats: bool = True) -> None:
        """Listen, and report to the node on the machine."""
        self._server = await asyncio.start_server(
            self._serve, self._ip, self._port, limit=http1.HEAD_MAX_BYTES
        )
        if beats:
            self._beats = asyncio.create_task(self._beat_forever())

    async def crash(self) -> None:
        """End at once: connections are reset, and no word is said."""
        for task in (self._beats, *self._tasks):
            if task is not None:
                task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            with contextlib.suppress(Exception):
                writer.transport.abort()
        await asyncio.sleep(0)

    async def beat(self) -> int:
        """Send one heartbeat; return the status of its answer, or 0."""
        self._sequence += 1
        state = self.state
        body = json.dumps(
            {
                "service": self.service,
                "address": f"{self._ip}:{self._port}",
                "zone": self._zone,
                "version": "v1",
                "slots": self._slots,
                "state": state,
                "cold_s": 0,
                "sequence": self._sequence,
                "born": self.born_ms,
            }
        ).encode()
        if self.beat_delay_s:
            await asyncio.sleep(self.beat_delay_s)
        answer = await http1.request(
            self._control,
            "PUT",
            f"/v1/upstreams/{self.worker_id}",
            headers={"Content-Type": "application/json"},
            body=body,
            source_ip=self._ip,
            timeout_s=1.0,
        )
        status = answer.status if answer is not None else 0
        self.acks.append((time.monotonic(), state, status))
        return status

    async def _beat_forever(self) -> None:
        while True:
            task = asyncio.create_task(self.beat())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(BEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                message = await http1.read_message(reader)
                if message is None:
                    return
                if not await self._answer(message, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, message: http1.Message, writer: asyncio.StreamWriter
    ) -> bool:
        method, target, _ = message.start
        headers = message.headers
        request_id = headers.get("x-request-id", "")
        expected = headers.get("x-expect-instance", self.worker_id)
        if target == "/health":
            await self._send(writer, 200, request_id, b"ok")
            return True
        if expected != self.worker_id:
            await self._send(writer, 421, request_id, b"", run=False)
            return True
        self.runs.append(
            Run(
                worker=self.worker_id,
                service=self.service,
                request_id=request_id,
                method=method,
                target=target,
                caller=headers.get("x-caller-service", ""),
                at_s=time.monotonic(),
            )
        )
        await asyncio.sleep(self.work_s)
        self._owed_losses += self.lose_share
        if self._owed_losses >= 1.0:
            self._owed_losses -= 1.0
            return False
        await self._send(writer, 200, request_id, self.body(request_id))
        return True

    def body(self, request_id: str) -> bytes:
        """Return the whole body of the answer to a request."""
        text = f"{self.worker_id} answers {request_id}. ".encode()
        return text * max(self.body_bytes // len(text), 1)

    async def _send(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        request_id: str,
        body: bytes,
        *,
        run: bool = True,
    ) -> None:
        lines = [
            f"HTTP/1.1 {status} -",
            f"X-Request-Id: {request_id}",
            f"X-Instance-Id: {self.worker_id}",
            "Keep-Alive: timeout=10",
        ]
        if run:
            lines.append(f"X-Response-Stamp: {self.worker_id}.{request_id}")
        else:
            lines.append("X-Not-Executed: 1")
        if self.body_bytes and body:
            lines.append("Transfer-Encoding: chunked")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            for start in range(0, len(body), PIECE_BYTES):
                piece = body[start : start + PIECE_BYTES]
                writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
                await writer.drain()
                await asyncio.sleep(PIECE_PAUSE_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
