"""Convergence time, control traffic, idle cost and restart of many daemons."""

import pathlib
import statistics
import time

from benchmarks import fleet as fleet_lib
from monsoonpass.standin import local_mesh

POLL_INTERVAL_S = 0.002
CONVERGENCE_TIMEOUT_S = 60.0


def make_operator_text(version: int, services: int = 20) -> str:
    """Return an operator text that differs between versions in one deadline."""
    lines = [f"version: {version}", "services:"]
    for number in range(services):
        deadline_ms = 1000 + (version if number == 0 else 0)
        lines += [
            f"  s{number}:",
            "    routes:",
            "      - path: /",
            f"        deadline: {deadline_ms}ms",
        ]
    return "\n".join(lines) + "\n"


def _wait_for_version(fleet: fleet_lib.Fleet, version: int) -> list[float]:
    """Wait until every node has a version in force, or a later one.

    Returns:
        When the version came into force at each node, by the monotonic clock.
        Nodes with a later version, and nodes that did not get the version
        before the timeout, are left out.
    """
    deadline_s = time.monotonic() + CONVERGENCE_TIMEOUT_S
    waiting = list(fleet.nodes)
    times = []
    while waiting and time.monotonic() < deadline_s:
        node = waiting.pop(0)
        status = fleet.node_status(node)
        if status is None or not status["ready"] or status["version"] < version:
            waiting.append(node)
            time.sleep(POLL_INTERVAL_S)
        elif status["version"] == version:
            times.append(time.monotonic() - status["in_force_for_s"])
    return times


def _sent_bytes(fleet: fleet_lib.Fleet) -> float:
    """Return the bytes that all nodes sent to their peers."""
    return sum(
        fleet.sum_metric(node, 'monsoonpass_peer_bytes_total{direction="sent"')
        for node in fleet.nodes
    )


def _sent_across_bytes(fleet: fleet_lib.Fleet) -> float:
    """Return the bytes that all nodes sent to peers of other data centres."""
    name = 'monsoonpass_peer_bytes_total{direction="sent",kind="stream_across"'
    return sum(fleet.sum_metric(node, name) for node in fleet.nodes)


def run(options: dict[str, str], folder: pathlib.Path) -> dict[str, object]:
    """Measure idle cost, single changes, a burst and a restart of all nodes."""
    count = int(options["nodes"])
    specs = [
        local_mesh.NodeSpec(
            instance=f"n{number}",
            data_centre=f"dc{number % 4}",
            region=f"r{number % 2}",
        )
        for number in range(count)
    ]
    voters = ["n0", "n1", "n2"]
    result: dict[str, object] = {"nodes": count}
    with fleet_lib.Fleet(specs=specs, voters=voters, folder=folder) as fleet:
        fleet.submit(fleet.nodes[3], make_operator_text(1))
        _wait_for_version(fleet, 1)
        time.sleep(float(options["settle_s"]))
        result["idle"] = _measure_idle(fleet, float(options["idle_s"]))
        result["one change"] = _measure_changes(
            fleet, 2, int(options["changes"])
        )
        burst_from = 2 + int(options["changes"])
        result["burst"] = _measure_burst(
            fleet, burst_from, int(options["burst"])
        )
        result["restart of all"] = _measure_restart(fleet)
    return result


def _measure_idle(
    fleet: fleet_lib.Fleet, duration_s: float
) -> dict[str, float]:
    cpu_before_s = [fleet.cpu_s(node) for node in fleet.nodes]
    sent_before = _sent_bytes(fleet)
    across_before = _sent_across_bytes(fleet)
    started_s = time.monotonic()
    time.sleep(duration_s)
    took_s = time.monotonic() - started_s
    cpu_shares = [
        (fleet.cpu_s(node) - before) / took_s
        for node, before in zip(fleet.nodes, cpu_before_s, strict=True)
    ]
    memory = [fleet.memory_bytes(node) for node in fleet.nodes]
    nodes = len(fleet.nodes)
    return {
        "cpu_ms_per_s_mean": round(1000 * statistics.mean(cpu_shares), 2),
        "cpu_ms_per_s_max": round(1000 * max(cpu_shares), 2),
        "bytes_per_node_s": round(
            (_sent_bytes(fleet) - sent_before) / took_s / nodes, 1
        ),
        "across_bytes_per_node_s": round(
            (_sent_across_bytes(fleet) - across_before) / took_s / nodes, 1
        ),
        "memory_mb_mean": round(statistics.mean(memory) / 1e6, 1),
        "memory_mb_max": round(max(memory) / 1e6, 1),
    }


def _measure_changes(
    fleet: fleet_lib.Fleet, first: int, count: int
) -> dict[str, float]:
    """Submit changes one by one and wait for each to reach every node."""
    accepted: list[float] = []
    everywhere: list[float] = []
    sent_before = _sent_bytes(fleet)
    for version in range(first, first + count):
        started_s = time.monotonic()
        node = fleet.nodes[version % len(fleet.nodes)]
        fleet.submit(node, make_operator_text(version))
        accepted.append(time.monotonic() - started_s)
        times = _wait_for_version(fleet, version)
        assert len(times) == len(fleet.nodes), "a node did not converge"
        everywhere.append(max(times) - started_s)
    everywhere.sort()
    return {
        "accept_p50_s": round(statistics.median(accepted), 3),
        "everywhere_p50_s": round(statistics.median(everywhere), 3),
        "everywhere_max_s": round(everywhere[-1], 3),
        "bytes_per_change_and_node": round(
            (_sent_bytes(fleet) - sent_before) / count / len(fleet.nodes), 1
        ),
    }


def _measure_burst(
    fleet: fleet_lib.Fleet, first: int, count: int
) -> dict[str, float]:
    started_s = time.monotonic()
    for version in range(first, first + count):
        fleet.submit(fleet.nodes[0], make_operator_text(version))
    accepted_s = time.monotonic() - started_s
    times = _wait_for_version(fleet, first + count - 1)
    return {
        "changes": count,
        "accepted_all_s": round(accepted_s, 3),
        "last_everywhere_after_s": round(
            max(times) - started_s - accepted_s, 3
        ),
        "nodes_converged": len(times),
    }


def _measure_restart(fleet: fleet_lib.Fleet) -> dict[str, float]:
    version = max(fleet.node_status(node)["version"] for node in fleet.nodes)
    for node in fleet.nodes:
        fleet.processes[node.name].kill()
    for node in fleet.nodes:
        fleet.processes[node.name].wait()
    started_s = time.monotonic()
    for node in fleet.nodes:
        fleet.start(node)
    times = _wait_for_version(fleet, version)
    return {
        "nodes_converged": len(times),
        "all_on_newest_s": round(max(times) - started_s, 3),
    }
