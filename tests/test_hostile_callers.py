"""Callers outside the limits, against processes of the system's own.

Each test starts a node and a stand-in upstream, lets a small crowd of callers
loose on the node, and checks only what does not depend on the machine's speed:
the process lives, its memory and descriptors stay under a bound, and an
ordinary request is answered, both while the crowd stays connected and after it
has left. The node's limits are lowered in the settings of these tests, so that
a crowd far smaller than a real one exceeds them.
"""

from collections.abc import Iterator
import contextlib
import itertools
import os
import pathlib
import time

import anyio
from benchmarks import fleet as fleet_lib
import httpx
import pytest

from monsoonpass.standin import local_mesh

SETTINGS = """
[limits]
memory_mb = 100
caller_connections = 64
caller_buffer_kb = 2048
"""
OPERATOR_TEXT = """
version: 1
services:
  shop:
    routes:
      - path: /
        idempotent: true
        deadline: 5s
"""
CALLERS = 120
# Bounds of the node, over what it uses before the crowd. The limits in the
# settings allow 64 connections and 2 MiB of received bytes; the rest is for
# allocator overhead, tasks and the calls in progress.
MEMORY_GROWTH_MAX_KB = 16 * 1024
DESCRIPTORS_GROWTH_MAX = 100
MEMORY_GROWTH_AFTER_MAX_KB = 10 * 1024
# A caller gives up if the node accepts nothing for this time.
SEND_TIMEOUT_S = 2.0
CROWD_TIMEOUT_S = 20.0
ORDINARY_REQUEST_TRIES = 60
TRY_INTERVAL_S = 0.5

CHUNKED_HEAD = (
    b"POST /lots HTTP/1.1\r\nhost: shop\r\ntransfer-encoding: chunked\r\n\r\n"
)
LARGE_CHUNK = b"10000\r\n" + bytes(0x10000) + b"\r\n"
ONE_BYTE_CHUNK = b"1\r\nx\r\n"


class Target:
    """A node with a stand-in upstream, and its figures.

    Attributes:
        node: Addresses of the node.
    """

    def __init__(self, fleet: fleet_lib.Fleet):
        self._fleet = fleet
        self.node = fleet.nodes[0]
        self._process = fleet.processes[self.node.name]
        self._memory_before_kb = 0
        self._descriptors_before = 0
        self.descriptors_max = 0

    def take_baseline(self) -> None:
        """Record what the node uses before the crowd."""
        self._memory_before_kb = self._status_kb("VmRSS")
        self._descriptors_before = self._count_descriptors()

    def observe(self) -> None:
        """Record the number of open descriptors."""
        self.descriptors_max = max(
            self.descriptors_max, self._count_descriptors()
        )

    def check(self, situation: str) -> None:
        """Check the process, its memory and descriptors, and its service."""
        assert self._process.poll() is None, "the process has ended"
        status = self.request_until_answered()
        memory_kb = self._status_kb("VmHWM") - self._memory_before_kb
        descriptors = self.descriptors_max - self._descriptors_before
        figures = (
            f"{situation}: memory grew by {memory_kb} kB at most, descriptors "
            f"by {descriptors}, ordinary request: {status}"
        )
        print(figures)
        assert status == 200, figures
        assert memory_kb <= MEMORY_GROWTH_MAX_KB, figures
        assert descriptors <= DESCRIPTORS_GROWTH_MAX, figures

    def check_memory_is_returned(self) -> None:
        """Check that memory falls below a bound once the crowd has left."""
        for _ in range(ORDINARY_REQUEST_TRIES):
            growth_kb = self._status_kb("VmRSS") - self._memory_before_kb
            if growth_kb <= MEMORY_GROWTH_AFTER_MAX_KB:
                break
            time.sleep(TRY_INTERVAL_S)
        figures = f"memory is {growth_kb} kB higher after the crowd"
        print(figures)
        assert growth_kb <= MEMORY_GROWTH_AFTER_MAX_KB, figures

    def request_until_answered(self) -> int:
        """Return the status of ordinary requests, sent until they succeed.

        One is a call, the other asks whether the node is ready; the status is
        that of the request that failed last, or 200.
        """
        requests = [
            (f"{self.node.caller_url}/lots?ms=1", {"host": "shop"}),
            (f"{self.node.operator_url}/readyz", {}),
        ]
        status = 0
        for _ in range(ORDINARY_REQUEST_TRIES):
            url, headers = requests[-1]
            with contextlib.suppress(httpx.HTTPError):
                status = httpx.get(
                    url, headers=headers, timeout=5.0
                ).status_code
                if status == 200:
                    requests.pop()
                    if not requests:
                        break
                    continue
            time.sleep(TRY_INTERVAL_S)
        return 0 if requests and status == 200 else status

    def _status_kb(self, name: str) -> int:
        path = pathlib.Path(f"/proc/{self._process.pid}/status")
        for line in path.read_text().splitlines():
            if line.startswith(f"{name}:"):
                return int(line.split()[1])
        raise AssertionError(f"the process has no {name}")

    def _count_descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))


@pytest.fixture(name="target")
def make_target(tmp_path) -> Iterator[Target]:
    """Run a node that serves callers itself, with an upstream."""
    fleet = fleet_lib.Fleet(
        specs=[local_mesh.NodeSpec(instance="n0", service="shop")],
        voters=["n0"],
        folder=tmp_path,
        extra_settings=SETTINGS,
    )
    node = fleet.nodes[0]
    node.settings_text = node.settings_text.replace("http2 = yes", "http2 = no")
    with fleet_lib.Upstream() as upstream, fleet:
        fleet.announce(node, upstream.port, slots=8)
        assert fleet.submit(node, OPERATOR_TEXT) == "accepted"
        target = Target(fleet)
        assert target.request_until_answered() == 200
        target.take_baseline()
        yield target


async def send_and_stay(port: int, pieces: Iterator[bytes]) -> None:
    """Send pieces until the node accepts no more, and read nothing."""
    try:
        stream = await anyio.connect_tcp("127.0.0.1", port)
    except OSError:
        return
    async with stream:
        with contextlib.suppress(
            anyio.BrokenResourceError, TimeoutError, OSError
        ):
            for piece in pieces:
                with anyio.fail_after(SEND_TIMEOUT_S):
                    await stream.send(piece)
        await anyio.sleep_forever()


def play(target: Target, port: int, *pieces: tuple[bytes, int]) -> None:
    """Let a crowd send, and check the node during and after.

    Args:
        target: The node.
        port: Port that the crowd connects to.
        *pieces: What each caller sends, with the number of repetitions.
    """

    async def run() -> None:
        async with anyio.create_task_group() as crowd:
            for _ in range(CALLERS):
                data = itertools.chain.from_iterable(
                    itertools.repeat(piece, count) for piece, count in pieces
                )
                crowd.start_soon(send_and_stay, port, data)
            with anyio.move_on_after(CROWD_TIMEOUT_S):
                # The last sends end after `SEND_TIMEOUT_S` without progress.
                for _ in range(10):
                    await anyio.sleep(SEND_TIMEOUT_S / 4)
                    target.observe()
            await anyio.to_thread.run_sync(
                target.check, "while the crowd stays"
            )
            crowd.cancel_scope.cancel()

    anyio.run(run)
    target.check("after the crowd has left")
    target.check_memory_is_returned()


class TestUnfinishedBodies:
    def test_large_chunks(self, target):
        """Guards against buffering a body for each of any number of callers."""
        unfinished = LARGE_CHUNK[:-3]
        play(
            target,
            target.node.caller_port,
            (CHUNKED_HEAD, 1),
            (LARGE_CHUNK, 7),
            (unfinished, 1),
        )

    def test_one_byte_chunks(self, target):
        """Guards against parsing that leaves no time for other callers."""
        play(
            target,
            target.node.caller_port,
            (CHUNKED_HEAD, 1),
            (ONE_BYTE_CHUNK * 4_000, 10),
        )


class TestUnreadAnswers:
    """Pipelined requests of callers that do not read the answers."""

    @pytest.mark.parametrize(
        "path", ["/lots?ms=1", "/readyz"], ids=["call", "readyz"]
    )
    def test_callers_port(self, target, path):
        """Guards against unbounded requests and answers of a connection."""
        request = f"GET {path} HTTP/1.1\r\nhost: shop\r\n\r\n".encode()
        play(target, target.node.caller_port, (request * 600, 10))

    def test_operators_port(self, target):
        """Guards against limits that cover only the callers' port."""
        request = b"GET /readyz HTTP/1.1\r\nhost: node\r\n\r\n"
        play(target, target.node.operator_port, (request * 600, 10))
