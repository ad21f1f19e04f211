"""Tests of notices of leaving that the control group stores."""

import pytest

from monsoonpass.core import events
from monsoonpass.core.agreement import control_state_machine
from monsoonpass.core.membership import leave_notice as notice_lib
from monsoonpass.core.membership import notice_storage
from monsoonpass.core.membership import stored_notices
from monsoonpass.core.membership import upstream_transition
from tests import fake_mesh
from tests import fake_topologies

NODE = "n4"  # Has no disk.
STARTED_MS = 990_000
REQUEST_ID = 7


def make_mesh() -> fake_mesh.FakeMesh:
    """Return a running mesh; the upstream of `NODE` is offered."""
    mesh = fake_topologies.make_unstarted_mesh(5, 1)
    for node in mesh.nodes.values():
        node.start()
    mesh.run(3)
    announce(mesh, sequence=1)
    assert mesh.nodes[NODE].state.admission.accepts_calls
    return mesh


def announce(mesh, *, sequence, **fields) -> None:
    """Let the upstream of `NODE` announce itself."""
    announcement = {
        "service": "shop",
        "slots": 4,
        "cold": False,
        "port": 9000,
        "upstream_id": "i-1",
        "started_ms": STARTED_MS,
        "sequence": sequence,
    }
    mesh.nodes[NODE].feed(
        events.UpstreamAnnounced, **{**announcement, **fields}
    )


def give_notice(mesh, **fields) -> None:
    """Let the upstream of `NODE` deregister."""
    mesh.nodes[NODE].feed(events.UpstreamDraining, upstream_id="i-1", **fields)


def restart_all(mesh, down_s: float) -> None:
    """Kill all processes and start them again; disks are kept."""
    for node in mesh.nodes.values():
        node.crash()
    mesh.run(down_s)
    for node in mesh.nodes.values():
        node.start()


class TestKillOfAllNodes:
    """All nodes are killed after a notice was acknowledged."""

    @pytest.mark.parametrize("late_s", [0.0, 0.2, 3.0])
    @pytest.mark.parametrize("form", ["deregistration", "start", "draining"])
    def test_late_announcement_is_not_offered(self, form, late_s):
        """Guards against calls to an upstream that left before the kill."""
        mesh = make_mesh()
        if form == "draining":
            announce(mesh, sequence=9, draining=True)
        else:
            started_ms = STARTED_MS if form == "start" else None
            give_notice(mesh, started_ms=started_ms)
        mesh.run(0.3)
        restart_all(mesh, 1.0)
        mesh.run(late_s)
        announce(mesh, sequence=8)
        for _ in range(80):
            mesh.run(0.1)
            assert not mesh.nodes[NODE].state.admission.accepts_calls

    def test_next_start_of_the_upstream_is_offered(self):
        mesh = make_mesh()
        give_notice(mesh, started_ms=STARTED_MS)
        mesh.run(0.3)
        restart_all(mesh, 1.0)
        announce(mesh, sequence=1, started_ms=STARTED_MS + 1)
        assert mesh.run_until(
            lambda: mesh.nodes[NODE].state.admission.accepts_calls,
            upstream_transition.CONTROL_GROUP_WAIT_S,
        )


class TestAcknowledgement:
    """A notice is acknowledged once it is durable."""

    def reply(self, mesh):
        """Return the reply to the notice, or None."""
        return mesh.nodes[NODE].replies.get(REQUEST_ID)

    def test_reply_follows_the_commit(self):
        mesh = make_mesh()
        give_notice(mesh, request_id=REQUEST_ID)
        assert self.reply(mesh) is None
        assert mesh.run_until(lambda: self.reply(mesh) is not None, 0.2)
        assert self.reply(mesh).stored
        leader = mesh.leader().state.control.state_machine
        assert [n.name for n in leader.notices.find(NODE)] == ["i-1"]

    def test_draining_announcement_waits_for_the_commit_too(self):
        mesh = make_mesh()
        announce(mesh, sequence=2, draining=True, request_id=REQUEST_ID)
        assert self.reply(mesh) is None
        mesh.run(0.2)
        assert self.reply(mesh).stored
        announce(mesh, sequence=3, draining=True, request_id=8)
        assert mesh.nodes[NODE].replies[8].stored

    def test_unreachable_control_group_gets_no_acknowledgement(self):
        """The upstream stops all the same, and the notice is stored later."""
        mesh = make_mesh()
        mesh.split({NODE})
        give_notice(mesh, request_id=REQUEST_ID)
        assert not mesh.nodes[NODE].state.admission.accepts_calls
        mesh.run(notice_storage.STORE_TIMEOUT_S - 0.01)
        assert self.reply(mesh) is None
        mesh.run(notice_storage.RESEND_INTERVAL_S)
        assert not self.reply(mesh).stored
        mesh.cut_links.clear()
        mesh.run(1.0)
        give_notice(mesh, request_id=8, started_ms=STARTED_MS)
        mesh.run(0.2)
        assert mesh.nodes[NODE].replies[8].stored

    def test_notice_reaches_the_next_leader(self):
        mesh = make_mesh()
        mesh.leader().crash()
        give_notice(mesh, started_ms=STARTED_MS)
        mesh.run(5)
        leader = mesh.leader().state.control.state_machine
        assert leader.notices.find(NODE)

    def test_notice_is_not_sent_for_ever(self):
        mesh = make_mesh()
        mesh.split({NODE})
        give_notice(mesh)
        mesh.run(notice_storage.SENDS_MAX * notice_storage.RESEND_INTERVAL_S)
        mesh.run(1.0)
        assert not mesh.nodes[NODE].state.upstream.pending_notices


class TestOfferWait:
    def test_confirmed_node_offers_its_upstream_at_once(self):
        mesh = make_mesh()
        node = mesh.nodes[NODE]
        node.crash()
        node.start()
        mesh.run(0.5)
        announce(mesh, sequence=2)
        assert node.state.admission.accepts_calls


def make_command(
    instance: str, name: str, now_ms: int
) -> stored_notices.RecordNotice:
    """Return a command that stores a notice."""
    notice = notice_lib.LeaveNotice(
        name=name, received_ms=now_ms, started_ms=STARTED_MS
    )
    return stored_notices.RecordNotice(
        instance=instance, notice=notice, now_ms=now_ms
    )


class TestStoredNotices:
    """The replicated store of notices."""

    def names(self, store, instance: str) -> list[str]:
        return [notice.name for notice in store.find(instance)]

    def test_notices_of_an_instance_are_kept_together(self):
        store = stored_notices.StoredNotices()
        store.record(make_command("n1", "i-1", 1))
        store.record(make_command("n1", "i-2", 2))
        store.record(make_command("n2", "i-3", 3))
        assert self.names(store, "n1") == ["i-1", "i-2"]
        assert self.names(store, "n2") == ["i-3"]
        assert self.names(store, "n3") == []

    def test_old_notices_are_dropped(self):
        store = stored_notices.StoredNotices()
        store.record(make_command("n1", "i-1", 1))
        store.record(make_command("n2", "i-2", 2))
        store.record(make_command("n3", "i-3", 2 + stored_notices.RETENTION_MS))
        assert self.names(store, "n1") == []
        assert self.names(store, "n2") == ["i-2"]

    def test_number_of_instances_is_bounded(self, monkeypatch):
        monkeypatch.setattr(stored_notices, "INSTANCES_MAX", 2)
        store = stored_notices.StoredNotices()
        for instance in ("n1", "n2", "n1", "n3"):
            store.record(make_command(instance, "i-1", 1))
        assert [r.instance for r in store.records()] == ["n1", "n3"]

    def test_notices_are_part_of_a_snapshot(self):
        machine = control_state_machine.ControlStateMachine()
        machine.notices.record(make_command("n1", "i-1", 1))
        restored = control_state_machine.ControlStateMachine()
        restored.restore(machine.snapshot())
        assert restored.notices.records() == machine.notices.records()
        restored.restore(b"")
        assert not restored.notices.records()
