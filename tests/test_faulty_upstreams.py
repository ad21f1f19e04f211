"""Upstreams whose answers have no end, against processes of the system's own.

Two nodes serve callers. One of them owns an upstream that begins to send and
never stops; more callers than it has slots wait for it at both nodes, some of
which read nothing. Each test checks what does not depend on the machine's
speed: both processes live, their memory stays under what the settings allow
them, and an ordinary call to another upstream is answered.
"""

from collections.abc import Iterator
import contextlib
import socket
import threading
import time

from benchmarks import fleet as fleet_lib
import httpx
import pytest

from monsoonpass.standin import local_mesh

MEMORY_MB = 100
SETTINGS = f"""
[limits]
memory_mb = {MEMORY_MB}
"""
OPERATOR_TEXT = """
version: 1
services:
  faulty:
    routes:
      - path: /
        idempotent: true
        deadline: 2s
  sound:
    routes:
      - path: /
        idempotent: true
        deadline: 5s
"""
SLOTS = 8
CALLERS = 24
CROWD_S = 3.0
UPLOAD_BYTES = 400 * 1024
PIECE_BYTES = 64 * 1024
TRY_INTERVAL_S = 0.2
ORDINARY_CALL_TIMEOUT_S = 30.0
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n"
# A head just below the longest one that a node accepts.
SHORT_LINES = b"".join(b"a%x: b\r\n" % number for number in range(7_000))

# Kinds of answers: their first bytes, and those repeated without end.
ENDLESS = {
    "status line": (b"HTTP/1.1 200 ", b"O" * PIECE_BYTES),
    "header": (OK + b"a: ", b"b" * PIECE_BYTES),
    "header lines": (OK, b"a: b\r\n" * 1000),
    "no HTTP": (b"", bytes(PIECE_BYTES)),
    "blank lines": (b"", b"\r\n" * 1000),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 100),
    "body without a length": (OK + b"\r\n", b"x" * PIECE_BYTES),
    "body behind a long head": (
        CHUNKED + SHORT_LINES + b"\r\n",
        b"1000\r\n" + b"x" * 0x1000 + b"\r\n",
    ),
    "long body": (OK + b"content-length: 99999999999\r\n\r\n", b"x" * 9000),
    "chunks": (CHUNKED + b"\r\n", b"10000\r\n" + b"x" * 0x10000 + b"\r\n"),
    "one-byte chunks": (CHUNKED + b"\r\n", b"1\r\nx\r\n" * 1000),
    "chunk extension": (CHUNKED + b"\r\n1;a=", b"b" * PIECE_BYTES),
    "trailers": (CHUNKED + b"\r\n0\r\n", b"a: b\r\n" * 1000),
    "bytes after an answer": (
        OK + b"content-length: 0\r\n\r\n",
        b"x" * PIECE_BYTES,
    ),
    "answers": (b"", OK + b"content-length: 1\r\n\r\nx"),
    "long heads": (b"", OK + SHORT_LINES + b"content-length: 0\r\n\r\n"),
    "answers that are refusals": (
        b"",
        b"HTTP/1.1 503 Full\r\ncontent-length: 70000\r\n\r\n" + b"x" * 70_000,
    ),
}


class EndlessUpstream:
    """Sends without end on each connection, from the first request on.

    Attributes:
        port: Port that it listens on.
    """

    def __init__(self, first: bytes, repeated: bytes):
        self._first = first
        self._repeated = repeated
        self._closing = False
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self._listener.getsockname()[1]

    def __enter__(self) -> "EndlessUpstream":
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *unused: object) -> None:
        self._closing = True
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._send, args=(connection,), daemon=True
                ).start()

    def _send(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            connection.settimeout(10.0)
            connection.recv(PIECE_BYTES)
            connection.sendall(self._first)
            while not self._closing:
                connection.sendall(self._repeated)


def call_until(port: int, end_s: float, *, reads: bool, uploads: bool) -> None:
    """Call the faulty service again and again.

    Args:
        port: Port of a node for callers.
        end_s: Monotonic time at which to stop.
        reads: Whether answers are read.
        uploads: Whether the requests have a body.
    """
    head = b"GET /lots HTTP/1.1\r\nhost: faulty\r\n\r\n"
    body = b""
    if uploads:
        head = (
            b"PUT /lots HTTP/1.1\r\nhost: faulty\r\ncontent-length: %d\r\n\r\n"
            % UPLOAD_BYTES
        )
        body = bytes(UPLOAD_BYTES)
    while time.monotonic() < end_s:
        with (
            contextlib.suppress(OSError),
            socket.create_connection(("127.0.0.1", port), 2.0) as connection,
        ):
            connection.settimeout(1.0)
            connection.sendall(head)
            connection.sendall(body)
            while reads and time.monotonic() < end_s:
                data = connection.recv(PIECE_BYTES)
                if not data or not data.startswith(b"HTTP/1.1 2"):
                    break
            if not reads:
                time.sleep(1.0)


class Pair:
    """An entry node, and a node whose upstream is faulty.

    Attributes:
        fleet: Both daemons.
        entry: The node with a sound upstream.
        owner: The node with the faulty upstream.
    """

    def __init__(self, fleet: fleet_lib.Fleet):
        self.fleet = fleet
        self.entry, self.owner = fleet.nodes

    def let_callers_loose(self) -> None:
        """Let a crowd call the faulty service at both nodes."""
        end_s = time.monotonic() + CROWD_S
        ports = (self.entry.caller_port, self.owner.caller_port)
        crowd = [
            threading.Thread(
                target=call_until,
                args=(ports[number % 2], end_s),
                kwargs={
                    "reads": number % 4 < 2,
                    "uploads": number % 3 == 0,
                },
                daemon=True,
            )
            for number in range(CALLERS)
        ]
        for caller in crowd:
            caller.start()
        self.check("while the crowd calls")
        for caller in crowd:
            caller.join()
        self.check("after the crowd has left")

    def check(self, situation: str) -> None:
        """Check both processes, and an ordinary call at each node."""
        for node in (self.entry, self.owner):
            status = self._call_until_answered(node)
            assert self.fleet.processes[node.name].poll() is None, (
                f"{situation}: the process of {node.name} has ended"
            )
            peak_mb = self.fleet.peak_memory_bytes(node) / 1024**2
            figures = (
                f"{situation}: {node.name} used {peak_mb:.0f} MB at most, "
                f"ordinary call: {status}"
            )
            print(figures)
            assert status == 200, figures
            assert peak_mb <= MEMORY_MB, figures

    def _call_until_answered(self, node: local_mesh.LocalNode) -> int:
        """Return the status of an ordinary call, repeated until it succeeds."""
        end_s = time.monotonic() + ORDINARY_CALL_TIMEOUT_S
        status = 0
        while status != 200 and time.monotonic() < end_s:
            with contextlib.suppress(httpx.HTTPError):
                status = httpx.get(
                    f"{node.caller_url}/lots?ms=1",
                    headers={"host": "sound"},
                    timeout=5.0,
                ).status_code
            time.sleep(TRY_INTERVAL_S)
        return status


@pytest.fixture(name="pair", scope="module")
def make_pair(tmp_path_factory) -> Iterator[Pair]:
    """Run two nodes, one of them with a sound upstream."""
    fleet = fleet_lib.Fleet(
        specs=[
            local_mesh.NodeSpec(instance="n0", service="sound"),
            local_mesh.NodeSpec(instance="n1", service="faulty"),
        ],
        voters=["n0"],
        folder=tmp_path_factory.mktemp("faulty"),
        extra_settings=SETTINGS,
        http2=False,
    )
    with fleet_lib.Upstream() as upstream, fleet:
        fleet.announce(fleet.nodes[0], upstream.port, slots=SLOTS)
        assert fleet.submit(fleet.nodes[0], OPERATOR_TEXT) == "accepted"
        yield Pair(fleet)


class TestEndlessAnswers:
    @pytest.mark.parametrize("kind", ENDLESS)
    def test_node_keeps_its_memory_and_serves_others(self, pair, kind):
        """Guards against keeping what an upstream sends without end."""
        with EndlessUpstream(*ENDLESS[kind]) as upstream:
            pair.fleet.announce(pair.owner, upstream.port, slots=SLOTS)
            pair.let_callers_loose()
