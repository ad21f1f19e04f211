"""Latency and throughput of calls with and without an idempotency key."""

import pathlib
import time

import anyio

from benchmarks import fleet as fleet_lib
from benchmarks import histogram
from benchmarks import hop
from monsoonpass.standin import local_mesh

OPERATOR_TEXT = hop.OPERATOR_TEXT.replace(
    "idempotent: true", "idempotent: false"
)


async def _make_calls(
    port: int, count: int, connections: int, prefix: str
) -> tuple[list[float], float]:
    """Make calls on concurrent connections, with keys if there is a prefix.

    Returns:
        Latencies of the calls, and the time that all of them took, in seconds.
    """
    latencies: list[float] = []

    async def use_connection(number: int) -> None:
        latencies.extend(
            await hop.make_calls(
                port,
                "shop",
                count // connections,
                0.0,
                method="POST",
                key_prefix=f"{prefix}-{number}" if prefix else "",
            )
        )

    started_s = time.perf_counter()
    async with anyio.create_task_group() as group:
        for number in range(connections):
            group.start_soon(use_connection, number)
    return latencies, time.perf_counter() - started_s


def run(options: dict[str, str], folder: pathlib.Path) -> dict[str, object]:
    """Measure sequential and concurrent calls with and without keys."""
    count = int(options["calls"])
    connections = int(options["connections"])
    names = ("v0", "v1", "v2")
    specs = [local_mesh.NodeSpec(instance=name) for name in names]
    specs.append(local_mesh.NodeSpec(instance="owner", service="shop"))
    with (
        fleet_lib.Upstream() as upstream,
        fleet_lib.Fleet(specs=specs, voters=names, folder=folder) as fleet,
    ):
        owner = fleet.nodes[3]
        fleet.announce(owner, upstream.port, slots=64)
        fleet.submit(owner, OPERATOR_TEXT)
        time.sleep(2.0)
        port = owner.caller_port
        plain, _ = anyio.run(_make_calls, port, count, 1, "")
        keyed, _ = anyio.run(_make_calls, port, count, 1, "one")
        _, plain_s = anyio.run(_make_calls, port, count * 8, connections, "")
        _, keyed_s = anyio.run(
            _make_calls, port, count * 8, connections, "many"
        )
    return {
        **histogram.compare(
            {"without": plain, "with": keyed}, baseline="without"
        ),
        "without_per_s": round(count * 8 / plain_s),
        "with_per_s": round(count * 8 / keyed_s),
    }
