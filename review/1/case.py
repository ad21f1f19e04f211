"""Workers reject uploads before they have read them, and read on later.

A worker that answers early keeps the connection. The bytes that follow on it
must be the rest of the upload, and nothing else.
"""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "shared"))

import case_run  # noqa: E402
import platform_stand_in as stand_in  # noqa: E402

SLOTS = 9
EARLY_SHARE = 0.4  # x of `garble` in the days of visse-mu
EARLY_WORKERS = 2  # of 3: share 0.67; the days of visse-mu have 0.7
WINDOW_S = 6.0  # for_s in the days of visse-mu
WINDOWS = 10
PAUSE_S = 1.0
UPLOADERS = 12
READERS = 8
THINK_S = 0.02
# Left unread when a worker answers early: about one segment of a body.
UNREAD_BYTES = (12_000, 18_000)
BODY_BYTES = (40_000, 90_000)


def body_of(request_id: str, size_bytes: int) -> bytes:
    """Return the body of a request, which tells whose it is."""
    unit = f"{request_id}.".encode()
    return (unit * (size_bytes // len(unit) + 1))[:size_bytes]


class Worker:
    """A worker that may answer an upload before it has read it."""

    def __init__(self, case: case_run.Case, name: str):
        self.case = case
        self.name = name
        self.answers_early = False
        self.early = 0
        self.foreign: list[str] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, one request at a time."""
        try:
            while await self._serve_next(reader, writer):
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            writer.close()

    async def _serve_next(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        line, headers = await stand_in.read_head(reader)
        request_id = headers.get("x-request-id", "")
        size = int(headers.get("content-length", "0"))
        is_upload = " /upload/" in line
        if is_upload and self.answers_early and random.random() < EARLY_SHARE:
            return await self._answer_early(reader, writer, request_id, size)
        await reader.readexactly(size)
        await asyncio.sleep(0.005)
        writer.write(_answer(200, request_id, "X-Response-Stamp: s"))
        return True

    async def _answer_early(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request_id: str,
        size: int,
    ) -> bool:
        expected = body_of(request_id, size)
        read = max(size - random.randint(*UNREAD_BYTES), 1)
        await reader.readexactly(read)
        self.early += 1
        writer.write(_answer(503, request_id, "X-Not-Executed: 1"))
        await writer.drain()
        while read < size:
            data = await reader.read(size - read)
            if not data:
                return False
            if data != expected[read : read + len(data)]:
                text = data[:400].decode("latin-1")
                self.foreign.append(text)
                self.case.record.write(
                    f"{self.name}: {size - read} bytes of upload {request_id} "
                    f"are due; it gets {text!r}"
                )
                return False
            read += len(data)
        return True


def _answer(status: int, request_id: str, header: str) -> bytes:
    return (
        f"HTTP/1.1 {status} Answer\r\nX-Request-Id: {request_id}\r\n"
        f"{header}\r\nContent-Length: 2\r\n\r\nok"
    ).encode()


class Clients:
    """Clients on the machine of another service."""

    def __init__(self, case: case_run.Case):
        self.case = case
        self.machine = case.site.sidecars[0]
        self.numbers = 0
        self.statuses: dict[str, int] = {}
        self.running = True

    async def upload(self) -> None:
        """Send uploads, each once."""
        while self.running:
            await self._send("POST", "/upload/x", random.randint(*BODY_BYTES))

    async def look_up(self) -> None:
        """Send requests without a body."""
        while self.running:
            await self._send("GET", "/safe/x", 0)

    async def _send(self, method: str, path: str, size: int) -> None:
        self.numbers += 1
        request_id = f"r{self.numbers:08d}"
        answer = await stand_in.call_once(
            self.machine.outbound,
            method,
            path,
            headers={
                "Host": "jobdesk.example",
                "X-Request-Id": request_id,
                "X-Deadline-Ms": "1500",
            },
            body=body_of(request_id, size),
            timeout_s=2.0,
        )
        status = answer.status if answer else 0
        key = f"{method} {status}"
        self.statuses[key] = self.statuses.get(key, 0) + 1
        self.case.record.write(f"{request_id} {method} {path}: {status}")
        await asyncio.sleep(THINK_S)


async def body(case: case_run.Case) -> bool:
    """Play the case."""
    workers = []
    for number, machine in enumerate(case.site.sidecars[1:]):
        worker = Worker(case, f"w-{number}")
        workers.append(worker)
        await asyncio.start_server(worker.serve, *machine.worker)
        born = int(time.time() * 1000)
        case.spawn(stand_in.send_beats(machine, worker.name, SLOTS, born))
    await asyncio.sleep(3.0)
    clients = Clients(case)
    tasks = [
        *(clients.upload() for _ in range(UPLOADERS)),
        *(clients.look_up() for _ in range(READERS)),
    ]
    running = asyncio.gather(*tasks)
    for _ in range(WINDOWS):
        await asyncio.sleep(PAUSE_S)
        for worker in workers[:EARLY_WORKERS]:
            worker.answers_early = case.trouble
        await asyncio.sleep(WINDOW_S)
        for worker in workers:
            worker.answers_early = False
    clients.running = False
    await running
    early = sum(worker.early for worker in workers)
    foreign = sum(len(worker.foreign) for worker in workers)
    case.record.say(f"what clients got: {clients.statuses}")
    case.record.say(
        f"{early} uploads were answered early; {foreign} times a worker got "
        "other bytes where the rest of an upload was due"
    )
    if not clients.statuses.get("POST 200"):
        raise stand_in.SetupError("no upload was served")
    return foreign > 0


if __name__ == "__main__":
    case_run.run(["bookings", "jobdesk", "jobdesk", "jobdesk"], body)
