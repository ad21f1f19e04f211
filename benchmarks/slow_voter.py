"""Commit latency on simulated nodes while the disk of one voter is slow."""

import pathlib

from tests import fake_mesh

from benchmarks import histogram


def _measure_commits(changes: int, slow_factor: float) -> list[float]:
    """Return the time from submission to acceptance of each change."""
    mesh = fake_mesh.make_group(3, seed_number=5)
    mesh.run(3)
    leader = mesh.leader()
    slowed = next(n for n in mesh.nodes.values() if n is not leader)
    slowed.sync_slowdown = slow_factor
    latencies_s = []
    for version in range(1, changes + 1):
        started_s = mesh.now_s
        catalog = fake_mesh.make_catalog(version, "a")
        request_id = mesh.submit(leader.name, catalog)
        while mesh.result(leader.name, request_id) is None:
            mesh.run(0.0002)
        latencies_s.append(mesh.now_s - started_s)
        mesh.run(0.02)
    return latencies_s


def run(options: dict[str, str], folder: pathlib.Path) -> dict[str, object]:
    """Compare disks of equal speed with one that is 10 or 100 times slower."""
    del folder
    changes = int(options["changes"])
    latencies_by_case = {
        f"slowed x{factor}": _measure_commits(changes, float(factor))
        for factor in (1, 10, 100)
    }
    return histogram.compare(latencies_by_case, baseline="slowed x1")
