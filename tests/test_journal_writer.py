"""Tests of journal writes that fail until the disk recovers."""

import anyio

from monsoonpass import errors
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.runtime import journal_writer
from monsoonpass.runtime import metrics
from tests import fake_mesh


class FakeEngine:
    """Records performers and the classes of fed events."""

    def __init__(self):
        self.performers = {}
        self.fed_types = []

    def set_performer(self, effect_type, performer):
        self.performers[effect_type] = performer

    def feed(self, event_type, **fields):
        self.fed_types.append(event_type)


class FakeJournal:
    """Fails the first `failure_count` appends, then succeeds."""

    def __init__(self, failure_count: int):
        self.failure_count = failure_count
        self.unsynced = []
        self.synced = []

    def append(self, new):
        self.unsynced += new
        if self.failure_count:
            self.failure_count -= 1
            raise errors.DiskFullError("no space")

    def sync(self):
        self.synced += self.unsynced
        self.unsynced = []

    def truncate_to_last_sync(self):
        self.unsynced = []


class TestFailedWrites:
    def test_failed_write_is_retried_until_it_succeeds(self, monkeypatch):
        monkeypatch.setattr(journal_writer, "RETRY_INTERVAL_S", 0.001)
        engine = FakeEngine()
        journal = FakeJournal(failure_count=3)
        writer = journal_writer.JournalWriter(
            engine=engine, journal=journal, metrics=metrics.Metrics()
        )

        async def scenario():
            async with anyio.create_task_group() as group:
                group.start_soon(writer.run)
                engine.performers[effects.WriteDisk](
                    effects.WriteDisk(sequence=1, records=("a",))
                )
                while events.DiskSynced not in engine.fed_types:
                    await anyio.sleep(0.001)
                group.cancel_scope.cancel()

        anyio.run(scenario)
        assert journal.synced == ["a"]
        assert engine.fed_types == [
            events.DiskFailed,
            events.DiskRecovered,
            events.DiskSynced,
        ]


class TestControlGroup:
    def test_leader_with_failed_disk_resigns_and_can_lead_after_recovery(self):
        """A replica that stays failed after its disk recovered cannot lead.

        Guard: `replica.disk_failed = False` on DiskRecovered.
        """
        mesh = fake_mesh.make_group(3)
        mesh.run(3)
        leader = mesh.leader()
        leader.feed(events.DiskFailed, detail="no space")
        mesh.run(4)
        assert mesh.leader() is not leader
        leader.feed(events.DiskRecovered)
        mesh.run(4)
        request_id = mesh.submit(leader.name, fake_mesh.make_catalog(1, "a"))
        mesh.run(3)
        assert mesh.result(leader.name, request_id).status == "accepted"
        replica = leader.state.control.replica
        assert replica.state_machine.catalog.version == 1
        # With the other replicas marked as failed, only the recovered one can
        # be elected.
        for node in mesh.nodes.values():
            if node is not leader:
                node.state.control.replica.disk_failed = True
                node.feed(events.DiskFailed, detail="no space")
                node.feed(events.DiskRecovered)
                node.state.control.replica.disk_failed = True
        mesh.run(6)
        assert mesh.leader() is leader
