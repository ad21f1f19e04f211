"""Tests of a disk that refuses writes for a while."""

import anyio

from monsoonpass import errors
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.runtime import disk
from monsoonpass.runtime import metrics
from tests import fake_mesh


class FakeEngine:
    """Collects events."""

    def __init__(self):
        self.performers = {}
        self.fed = []

    def on(self, effect_type, performer):
        self.performers[effect_type] = performer

    def feed(self, make, **fields):
        self.fed.append(make)


class FakeJournal:
    """Refuses some writes, then takes them."""

    def __init__(self, refusals: int):
        self.refusals = refusals
        self.held = []
        self.synced = []

    def append(self, new):
        self.held += new
        if self.refusals:
            self.refusals -= 1
            raise errors.DiskFullError("no space")

    def sync(self):
        self.synced += self.held
        self.held = []

    def undo(self):
        self.held = []


class TestRefusedWrites:
    def test_write_is_tried_until_the_disk_takes_it(self, monkeypatch):
        monkeypatch.setattr(disk, "RETRY_S", 0.001)
        engine = FakeEngine()
        journal = FakeJournal(refusals=3)
        made = disk.Disk(
            engine=engine, journal=journal, metrics=metrics.Metrics()
        )

        async def play():
            async with anyio.create_task_group() as group:
                group.start_soon(made.run)
                engine.performers[effects.WriteDisk](
                    effects.WriteDisk(sequence=1, records=("a",))
                )
                while events.DiskSynced not in engine.fed:
                    await anyio.sleep(0.001)
                group.cancel_scope.cancel()

        anyio.run(play)
        assert journal.synced == ["a"]
        assert engine.fed == [
            events.DiskFailed,
            events.DiskRecovered,
            events.DiskSynced,
        ]


class TestGroup:
    def test_leader_whose_disk_is_full_gives_up_and_comes_back(self):
        """Guard: `replica.disk_failed = False` on DiskRecovered."""
        mesh = fake_mesh.make_group(3)
        mesh.run(3)
        leader = mesh.leader()
        leader.feed(events.DiskFailed, detail="no space")
        mesh.run(4)
        assert mesh.leader() is not leader
        leader.feed(events.DiskRecovered)
        mesh.run(4)
        number = mesh.submit(leader.name, fake_mesh.make_catalog(1, "a"))
        mesh.run(3)
        assert mesh.result(leader.name, number).status == "accepted"
        replica = leader.state.control.replica
        assert replica.state_machine.catalog.version == 1
        # It may lead again: only it can, once the others keep quiet.
        for node in mesh.nodes.values():
            if node is not leader:
                node.state.control.replica.disk_failed = True
                node.feed(events.DiskFailed, detail="no space")
                node.feed(events.DiskRecovered)
                node.state.control.replica.disk_failed = True
        mesh.run(6)
        assert mesh.leader() is leader
