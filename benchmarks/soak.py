"""Memory of an entry and an owner daemon over many calls."""

import pathlib
import time

import anyio

from benchmarks import fleet as fleet_lib
from benchmarks import hop


async def _make_calls(port: int, calls: int, connections: int) -> None:
    async with anyio.create_task_group() as group:
        for _ in range(connections):
            group.start_soon(
                hop.make_calls, port, "shop", calls // connections, 0.0
            )


def run(options: dict[str, str], folder: pathlib.Path) -> dict[str, object]:
    """Make rounds of calls; measure memory and throughput after each round."""
    rounds = int(options["rounds"])
    calls = int(options["calls"])
    connections = int(options["connections"])
    result: dict[str, object] = {}
    with fleet_lib.run_pair(folder, hop.OPERATOR_TEXT) as pair:
        fleet, entry, owner = pair.fleet, pair.entry, pair.owner
        for number in range(rounds):
            started_s = time.monotonic()
            anyio.run(_make_calls, entry.caller_port, calls, connections)
            took_s = time.monotonic() - started_s
            result[f"after {calls * (number + 1)} calls"] = {
                "entry_mb": round(fleet.memory_bytes(entry) / 1e6, 1),
                "owner_mb": round(fleet.memory_bytes(owner) / 1e6, 1),
                "calls_per_s": round(calls / took_s),
            }
    return result
