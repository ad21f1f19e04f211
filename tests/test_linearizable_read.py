"""Tests of conditional submissions and linearizable reads."""

from monsoonpass.core import events
from monsoonpass.core.distribution import config_messages
from monsoonpass.core.distribution import linearizable_read
from tests import fake_mesh

Status = config_messages.SubmitStatus


def submit(mesh, name: str, number: int, base: int, *services: str):
    """Submit a configuration on a base version and return the status."""
    catalog = fake_mesh.make_catalog(number, *services)
    request_id = mesh.submit(name, catalog, base)
    mesh.run(3)
    return mesh.result(name, request_id).status


def read(mesh, name: str):
    """Return the result of a read at a node, or None without a reply."""
    request_id = 10_000 + next(mesh.numbers)
    mesh.nodes[name].feed(events.ConfigReadRequested, request_id=request_id)
    mesh.run(linearizable_read.READ_TIMEOUT_S + 1.0)
    return mesh.result(name, request_id)


def make_group():
    mesh = fake_mesh.make_group(3)
    mesh.run(3)
    return mesh


class TestBaseVersion:
    def test_version_numbers_may_skip(self):
        mesh = make_group()
        assert submit(mesh, "n0", 3, 0, "a") is Status.ACCEPTED
        assert submit(mesh, "n1", 17, 3, "a", "b") is Status.ACCEPTED

    def test_second_of_two_changes_on_one_base_is_refused(self):
        """Guard: the check of `submission.base_version` in submission."""
        mesh = make_group()
        submit(mesh, "n0", 3, 0, "a")
        assert submit(mesh, "n1", 5, 3, "a", "b") is Status.ACCEPTED
        assert submit(mesh, "n2", 7, 3, "a", "c") is Status.BASE_MISMATCH

    def test_resubmission_to_another_node_is_accepted(self):
        mesh = make_group()
        submit(mesh, "n0", 3, 0, "a")
        assert submit(mesh, "n2", 3, 0, "a") is Status.ACCEPTED
        submit(mesh, "n1", 5, 3, "a", "b")
        assert submit(mesh, "n0", 3, 0, "a") is Status.SUPERSEDED

    def test_refused_change_never_comes_into_force(self):
        mesh = make_group()
        submit(mesh, "n0", 3, 0, "a")
        assert submit(mesh, "n1", 9, 0, "z") is Status.BASE_MISMATCH
        mesh.run(5)
        assert "z" not in read(mesh, "n2").services


class TestLinearizableRead:
    def test_every_voter_reads_the_accepted_version(self):
        mesh = make_group()
        submit(mesh, "n0", 3, 0, "a")
        for name in mesh.nodes:
            assert read(mesh, name).version == 3

    def test_partitioned_voter_refuses_to_answer(self):
        """Guard: `pending.confirmed_version` in answer_ready_reads."""
        mesh = make_group()
        submit(mesh, "n0", 3, 0, "a")
        old_leader = mesh.leader().name
        others = [name for name in mesh.nodes if name != old_leader]
        mesh.split({old_leader})
        mesh.run(3)
        assert submit(mesh, others[0], 5, 3, "b") is Status.ACCEPTED
        assert isinstance(
            read(mesh, old_leader), linearizable_read.ReadUnavailable
        )
        assert read(mesh, others[1]).version == 5

    def test_reply_to_an_earlier_read_is_ignored(self):
        mesh = make_group()
        submit(mesh, "n0", 3, 0, "a")
        node = mesh.nodes["n0"]
        mesh.split({"n0"})
        node.feed(events.ConfigReadRequested, request_id=77)
        node.feed(
            events.PeerMessage,
            sender=fake_mesh.make_address("n1"),
            message=config_messages.ColdReadReply(
                confirmed=True, version=3, leader=None, voters=(), read_id=76
            ),
        )
        assert mesh.result("n0", 77) is None
