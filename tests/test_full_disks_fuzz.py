"""Fuzzing of disks that are full one after the other, never two at once.

Each disk refuses every write for some seconds, at any step of an election, a
compaction, a snapshot or a replacement of members. Once all have room again,
what was acknowledged must be read back, and further versions accepted.
"""

import random

import pytest

from monsoonpass.core.agreement import replica as replica_lib
from tests import test_replacement_fuzz


class FullDisks:
    """A core whose disks are full in turn while versions are submitted."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        losses = self.rng.choice((1, 1, 2))
        self.core = test_replacement_fuzz.Core(
            seed=seed,
            count=2 * losses + 1 + self.rng.choice((0, 1, 1)),
            losses=losses,
        )
        self.mesh = self.core.mesh

    def pass_time(self, duration_s: float) -> None:
        """Submit versions all the while, some of them on the one last read."""
        end_s = self.mesh.now_s + duration_s
        while self.mesh.now_s < end_s:
            base_version = self.core.read() if self.rng.random() < 0.5 else -1
            self.core.submit(self.rng.choice(self.core.names), base_version)
            self.mesh.run(min(0.3, max(end_s - self.mesh.now_s, 0.0)))

    def fill_one(self, name: str) -> None:
        """Fill the disk of a node for some seconds; it may restart then."""
        node = self.mesh.nodes[name]
        node.disk_full = True
        full_s = self.rng.uniform(0.3, 9.0)
        if self.rng.random() < 0.2:
            self.pass_time(self.rng.uniform(0.0, full_s))
            self.core.crash(name, 0.5)
        self.pass_time(full_s)
        node.disk_full = False
        self.pass_time(self.rng.choice((0.0, 0.1, self.rng.uniform(0, 4))))

    def next_victim(self) -> str:
        """Return the leader, or any node."""
        if self.rng.random() < 0.6:
            return self.core.leader_name()
        return self.rng.choice(self.core.names)


class TestFullDisksInTurn:
    @pytest.mark.parametrize("seed", range(40))
    def test_core_serves_once_all_disks_have_room(self, seed, monkeypatch):
        """Failure: changes refused or unanswered long after the last one.

        Guard: `replica.disk_failed = False` in the handler of DiskRecovered.
        """
        scene = FullDisks(seed)
        if scene.rng.random() < 0.5:
            monkeypatch.setattr(replica_lib, "COMPACT_AFTER_ENTRIES", 4)
        scene.core.start()
        for _ in range(scene.rng.choice((3, 6))):
            scene.fill_one(scene.next_victim())
        scene.core.check_recovered()
