"""Latency of readiness probes and short calls beside endless answers."""

import pathlib
import time

import anyio

from benchmarks import fleet as fleet_lib
from benchmarks import histogram
from benchmarks import hop
from monsoonpass.standin import local_mesh

OPERATOR_TEXT = """
version: 1
services:
  shop:
    routes:
      - path: /
        idempotent: true
        deadline: 4s
  till:
    routes:
      - path: /
        idempotent: true
        deadline: 4s
"""
NODE_SPECS = (
    local_mesh.NodeSpec(instance="sound", service="till"),
    local_mesh.NodeSpec(instance="owner", service="shop"),
)
SETTLE_S = 0.5


async def _make_endless_call(
    port: int, fault: str, ended_s: list[float]
) -> None:
    """Make a call whose answer never ends; append the time until it failed."""
    started_s = time.perf_counter()
    stream = await anyio.connect_tcp("127.0.0.1", port)
    await stream.send(
        f"GET /lots?fault={fault} HTTP/1.1\r\nhost: shop\r\n"
        "connection: close\r\n\r\n".encode()
    )
    try:
        while await stream.receive(1 << 18):
            pass
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        ended_s.append(time.perf_counter() - started_s)


async def _probe_readiness(node, latencies: list[float], count: int) -> None:
    """Query the readiness endpoint of a node, on a new connection each time."""
    for _ in range(count):
        started_s = time.perf_counter()
        stream = await anyio.connect_tcp("127.0.0.1", node.operator_port)
        await stream.send(b"GET /readyz HTTP/1.1\r\nhost: n\r\n\r\n")
        await stream.receive()
        latencies.append(time.perf_counter() - started_s)
        await stream.aclose()
        await anyio.sleep(0.02)


async def _measure(
    fleet: fleet_lib.Fleet, fault: str, calls: int, samples: int
) -> dict[str, object]:
    """Measure the owner of the faulty upstream during calls to that upstream.

    Args:
        fleet: Entry node of the endless calls, and owner of the faulty
            upstream.
        fault: Fault of the answers, or empty for no endless calls.
        calls: Number of endless calls at once.
        samples: Number of readiness probes and of short calls.

    Returns:
        Latencies of probes and of short calls in seconds, processor cores
        that the owner used, and the times until the endless calls failed.
    """
    entry, owner = fleet.nodes
    ready: list[float] = []
    ended_s: list[float] = []
    short: list[float] = []
    used_s = fleet.cpu_s(owner)
    started_s = time.perf_counter()
    async with anyio.create_task_group() as group:
        for _ in range(calls if fault else 0):
            group.start_soon(
                _make_endless_call, entry.caller_port, fault, ended_s
            )
        await anyio.sleep(SETTLE_S)
        group.start_soon(_probe_readiness, owner, ready, samples)
        short = await hop.make_calls(owner.caller_port, "till", samples, 0.02)
        took_s = time.perf_counter() - started_s
        used_s = fleet.cpu_s(owner) - used_s
    return {
        "ready": ready,
        "short": short,
        "cores": round(used_s / took_s, 2),
        "calls_ended_s": [round(value, 2) for value in sorted(ended_s)],
    }


def run(options: dict[str, str], folder: pathlib.Path) -> dict[str, object]:
    """Measure without endless answers and with each fault."""
    calls = int(options["calls"])
    samples = int(options["samples"])
    result: dict[str, object] = {}
    for fault in ("", *options["faults"].split()):
        with (
            fleet_lib.Upstream() as healthy_upstream,
            fleet_lib.Upstream() as faulty_upstream,
            fleet_lib.Fleet(
                specs=NODE_SPECS,
                voters=["owner"],
                folder=folder / (fault or "none"),
            ) as fleet,
        ):
            fleet.announce(fleet.nodes[0], healthy_upstream.port, slots=64)
            fleet.announce(fleet.nodes[1], faulty_upstream.port, slots=64)
            fleet.submit(fleet.nodes[1], OPERATOR_TEXT)
            time.sleep(fleet_lib.SETTLE_S)
            measured = anyio.run(_measure, fleet, fault, calls, samples)
        name = fault or "none"
        latencies = {key: measured.pop(key) for key in ("ready", "short")}
        result[name] = {
            **histogram.compare(latencies, baseline="ready"),
            **measured,
        }
    return result
