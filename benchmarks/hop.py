"""Latency that the mesh adds to a call: direct path and one hop."""

import pathlib
import subprocess
import sys
import time

import anyio
import h11

from benchmarks import fleet as fleet_lib
from benchmarks import histogram
from monsoonpass.standin import local_mesh

TEXT = """
version: 1
services:
  shop:
    routes:
      - path: /
        idempotent: true
        deadline: 5s
"""


async def _calls(port: int, host: str, count: int, pause_s: float) -> list:
    """Return the latencies of calls on one connection, in seconds."""
    connection = h11.Connection(h11.CLIENT)
    stream = await anyio.connect_tcp("127.0.0.1", port)
    latencies = []
    for _ in range(count):
        started_s = time.perf_counter()
        data = connection.send(
            h11.Request(
                method="GET", target="/lots?ms=0", headers=[("host", host)]
            )
        )
        data += connection.send(h11.EndOfMessage())
        await stream.send(data)
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive())
            elif isinstance(event, h11.EndOfMessage):
                break
        connection.start_next_cycle()
        latencies.append(time.perf_counter() - started_s)
        if pause_s:
            await anyio.sleep(pause_s)
    await stream.aclose()
    return latencies


def run(options: dict[str, str], folder: pathlib.Path) -> dict[str, object]:
    """Measure both paths beside a direct call, in turns."""
    count = int(options["calls"])
    pause_s = float(options["pause_ms"]) / 1000.0
    rounds = int(options["rounds"])
    places = (
        local_mesh.Place(instance="entry"),
        local_mesh.Place(instance="owner", service="shop"),
    )
    upstream = subprocess.Popen(
        [sys.executable, "-m", "monsoonpass.standin"], stdout=subprocess.PIPE
    )
    try:
        port = int(upstream.stdout.readline())
        with fleet_lib.Fleet(
            places=places, voters=["owner"], folder=folder
        ) as fleet:
            entry, owner = fleet.nodes
            fleet.http.post(
                f"{owner.operator_url}/v1/upstream",
                json={"service": "shop", "slots": 64, "port": port},
            )
            fleet.submit(owner, TEXT)
            time.sleep(2.0)
            found: dict[str, list[float]] = {
                "none": [],
                "direct": [],
                "hop": [],
            }
            for _ in range(rounds):
                for name, target in (
                    ("none", port),
                    ("direct", owner.callers),
                    ("hop", entry.callers),
                ):
                    latencies = anyio.run(
                        _calls, target, "shop", count, pause_s
                    )
                    found.setdefault(name, []).extend(latencies)
    finally:
        upstream.kill()
        upstream.wait()
    return histogram.compare(found, baseline="none")
