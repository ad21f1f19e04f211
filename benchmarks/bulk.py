"""Memory of two nodes during a large transfer, and latency of short calls."""

import pathlib
import threading
import time

import anyio

from benchmarks import fleet as fleet_lib
from benchmarks import histogram
from benchmarks import hop

OPERATOR_TEXT = hop.OPERATOR_TEXT.replace(
    "      - path: /\n",
    "      - path: /photos\n        idempotent: true\n        size: bulk\n"
    "        deadline: 120s\n      - path: /\n",
)
SAMPLE_S = 0.02


class MemorySampler(threading.Thread):
    """Thread that samples the resident memory of the daemons of a fleet.

    Attributes:
        peak_bytes: Largest resident memory seen, by instance.
    """

    def __init__(self, *, fleet: fleet_lib.Fleet):
        super().__init__(daemon=True)
        self._fleet = fleet
        self._stopped = threading.Event()
        self.peak_bytes = {node.name: 0 for node in fleet.nodes}

    def run(self) -> None:
        """Sample until `stop` is called."""
        while not self._stopped.wait(SAMPLE_S):
            for node in self._fleet.nodes:
                resident_bytes = self._fleet.memory_bytes(node)
                self.peak_bytes[node.name] = max(
                    self.peak_bytes[node.name], resident_bytes
                )

    def stop(self) -> None:
        """Stop sampling and wait for the thread to end."""
        self._stopped.set()
        self.join()


async def _fetch(port: int, size_bytes: int) -> int:
    """Fetch a large body; return the size of the response with its head."""
    stream = await anyio.connect_tcp("127.0.0.1", port)
    await stream.send(
        b"GET /photos/1?ms=0&bytes=%d HTTP/1.1\r\nhost: shop\r\n"
        b"connection: close\r\n\r\n" % size_bytes
    )
    received = 0
    while True:
        try:
            received += len(await stream.receive(1 << 18))
        except anyio.EndOfStream:
            return received


async def _make_calls_during_fetch(
    port: int, size_bytes: int, calls: int
) -> tuple[list[float], int, float]:
    """Make short calls while another connection fetches a large body.

    Returns:
        Latencies of the short calls in seconds, bytes received on the other
        connection, and the time that the fetch took in seconds.
    """
    received = 0
    latencies: list[float] = []
    started_s = time.perf_counter()
    took_s = 0.0

    async def fetch() -> None:
        nonlocal received, took_s
        received = await _fetch(port, size_bytes)
        took_s = time.perf_counter() - started_s

    async with anyio.create_task_group() as group:
        group.start_soon(fetch)
        await anyio.sleep(0.2)
        latencies = await hop.make_calls(port, "shop", calls, 0.005)
    return latencies, received, took_s


def run(options: dict[str, str], folder: pathlib.Path) -> dict[str, object]:
    """Measure short calls alone and during a large fetch through two nodes."""
    size_bytes = int(options["megabytes"]) * 1_000_000
    calls = int(options["calls"])
    with fleet_lib.run_pair(folder, OPERATOR_TEXT) as pair:
        fleet, entry = pair.fleet, pair.entry
        latencies_alone = anyio.run(
            hop.make_calls, entry.caller_port, "shop", calls, 0.005
        )
        bytes_before = {n.name: fleet.memory_bytes(n) for n in fleet.nodes}
        sampler = MemorySampler(fleet=fleet)
        sampler.start()
        latencies_beside, received, took_s = anyio.run(
            _make_calls_during_fetch, entry.caller_port, size_bytes, calls
        )
        sampler.stop()
    result = histogram.compare(
        {"alone": latencies_alone, "beside": latencies_beside}, baseline="alone"
    )
    result["whole"] = received > size_bytes
    result["megabytes_per_s"] = round(size_bytes / took_s / 1e6, 1)
    for name, peak_bytes in sampler.peak_bytes.items():
        grown_mb = (peak_bytes - bytes_before[name]) / 1e6
        result[f"{name}_memory_grew_mb"] = round(grown_mb, 1)
    return result
