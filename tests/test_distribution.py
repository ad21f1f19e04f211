"""Tests of distribution and membership over fake networks."""

import pytest

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import logbook
from monsoonpass.core import timers
from monsoonpass.core.distribution import config_messages
from monsoonpass.core.membership import directory
from monsoonpass.core.membership import member as member_lib
from tests import fake_mesh


def make_two_places(
    *, seed_number: int = 1, plain: int = 4, faults=None
) -> fake_mesh.FakeMesh:
    """Return three voters in place "a" and plain nodes in "a" and "b"."""
    voters = ("v0", "v1", "v2")
    names_a = [f"a{number}" for number in range(plain)]
    names_b = [f"b{number}" for number in range(plain)]
    seeds = (
        *(fake_mesh.seed(name, "a") for name in voters),
        *(fake_mesh.seed(name, "b") for name in names_b[:2]),
    )
    mesh = fake_mesh.FakeMesh(seed=seed_number, faults=faults)
    for name in voters:
        mesh.add(name, data_centre="a", disk=True, seeds=seeds, voters=voters)
    for name in names_a:
        mesh.add(name, data_centre="a", disk=False, seeds=seeds, voters=voters)
    for name in names_b:
        mesh.add(name, data_centre="b", disk=False, seeds=seeds, voters=voters)
    for node in mesh.nodes.values():
        node.start()
    return mesh


def make_flat(count: int, seed_number: int) -> fake_mesh.FakeMesh:
    """Return nodes that know the same three seeds, not started."""
    names = [f"n{number}" for number in range(count)]
    seeds = tuple(fake_mesh.seed(name) for name in names[:3])
    mesh = fake_mesh.FakeMesh(seed=seed_number)
    for number, name in enumerate(names):
        mesh.add(name, disk=number < 3, seeds=seeds, voters=tuple(names[:3]))
    return mesh


def count_sends(mesh, kind) -> int:
    """Return how often a kind of message was sent by any node."""
    return sum(
        isinstance(effect, effects.Send) and isinstance(effect.message, kind)
        for node in mesh.nodes.values()
        for effect in node.performed
    )


def versions(mesh) -> set[int]:
    """Return the versions in force on all nodes."""
    return {node.state.config.version for node in mesh.nodes.values()}


class TestPush:
    def test_version_reaches_both_places_within_a_second(self):
        mesh = make_two_places()
        mesh.run(6)
        mesh.submit("a1", fake_mesh.make_catalog(1, "x"))
        mesh.run(1)
        assert versions(mesh) == {1}

    def test_one_copy_of_a_delta_crosses_to_each_other_place(self):
        mesh = make_two_places()
        mesh.run(6)
        mesh.submit("v0", fake_mesh.make_catalog(1, "x"))
        mesh.run(2)
        crossing = [
            effect
            for node in mesh.nodes.values()
            for effect in node.performed
            if node.settings.data_centre == "a"
            and isinstance(effect, effects.Send)
            and type(effect.message).__name__ in ("Push", "FetchReply")
            and effect.to.instance.startswith("b")
        ]
        assert len(crossing) == 1

    def test_node_that_missed_hundreds_of_changes_gets_one_reply(self):
        mesh = make_two_places(plain=2)
        mesh.run(6)
        mesh.split({"a1"})
        for version in range(1, 401):
            mesh.submit("v0", fake_mesh.make_catalog(version, "x", "y"))
            mesh.run(0.05)
        mesh.cut.clear()
        mesh.run(4)
        assert versions(mesh) == {400}

    def test_delta_that_overtakes_its_base_is_not_applied(self):
        mesh = make_two_places(
            plain=3, faults=fake_mesh.Faults(slow=0.5, slow_s=0.8)
        )
        mesh.run(8)
        for version in range(1, 30):
            mesh.submit("v0", fake_mesh.make_catalog(version, "x"))
            mesh.run(0.1)
        mesh.heal()
        mesh.run(15)
        mesh.check_converged()


class TestRestartedVoters:
    @pytest.mark.parametrize("number", range(5))
    def test_version_reaches_members_that_the_leader_has_forgotten(
        self, number
    ):
        """Replays a loss of power of all voters, with a change right after.

        Guard: the hints in distribution, and the sync in membership after a
        ping of an unknown sender.
        """
        mesh = fake_mesh.FakeMesh(seed=number)
        voters = ("v0", "v1", "v2")
        seeds = tuple(fake_mesh.seed(name) for name in voters)
        plain = [f"p{count}" for count in range(12)]
        for name in (*voters, *plain):
            mesh.add(
                name,
                disk=name in voters,
                seeds=seeds,
                voters=voters,
                flat=True,
            )
            mesh.nodes[name].start()
        mesh.run(5)
        mesh.submit("v0", fake_mesh.make_catalog(1, "a"))
        mesh.run(2)
        for name in voters:
            mesh.nodes[name].crash()
        mesh.run(2)
        for name in voters:
            mesh.nodes[name].start()
        while mesh.leader() is None:
            mesh.run(0.05)
        mesh.submit("v1", fake_mesh.make_catalog(2, "a", "b"))
        mesh.run(2.0)
        versions = {
            name: mesh.nodes[name].state.config.version for name in plain
        }
        assert set(versions.values()) == {2}, versions


class TestColdStart:
    def test_diskless_node_serves_nothing_before_a_quorum_answers(self):
        mesh = make_two_places()
        mesh.run(6)
        mesh.submit("v0", fake_mesh.make_catalog(1, "x"))
        mesh.run(2)
        mesh.split({"v0", "v1", "v2"})
        mesh.nodes["a0"].crash()
        mesh.nodes["a0"].start()
        mesh.run(5)
        assert not mesh.nodes["a0"].state.config.ready
        mesh.cut.clear()
        mesh.run(6)
        assert mesh.nodes["a0"].state.config.version == 1

    def test_restart_of_all_nodes_at_once(self):
        mesh = make_two_places()
        mesh.run(6)
        mesh.submit("v0", fake_mesh.make_catalog(1, "x"))
        mesh.run(2)
        for node in mesh.nodes.values():
            node.crash()
        for node in mesh.nodes.values():
            node.start()
        mesh.run(10)
        mesh.check_converged()
        assert versions(mesh) == {1}

    @pytest.mark.parametrize("seed_number", range(12))
    def test_all_serve_soon_after_all_restart(self, seed_number):
        """Guard: the first election timer, and the askers that voters keep."""
        mesh = make_two_places(seed_number=seed_number)
        mesh.run(6)
        mesh.submit("v0", fake_mesh.make_catalog(1, "x"))
        mesh.run(2)
        for node in mesh.nodes.values():
            node.crash()
        for node in mesh.nodes.values():
            mesh.at(mesh.random.uniform(0.0, 0.3), node.start)
        mesh.run(0.3)
        assert mesh.run_until(
            lambda: all(n.state.config.ready for n in mesh.nodes.values()),
            limit_s=0.8,
        )

    def test_seed_that_votes_no_more_names_the_leader_too(self):
        """Guard: `_tell_askers`, and the last line of voters.leader_of."""
        mesh = make_two_places()
        mesh.run(6)
        mesh.submit("v0", fake_mesh.make_catalog(1, "x"))
        mesh.run(2)
        seed = mesh.nodes["b0"]
        node = mesh.nodes["b3"]
        seed.state.control.leader = None
        seed.feed(
            events.PeerMessage,
            sender=fake_mesh.address("b3"),
            message=config_messages.ColdRead(),
        )
        node.performed.clear()
        seed.feed(
            events.PeerMessage,
            sender=fake_mesh.address("v0"),
            message=config_messages.ColdReadReply(
                confirmed=False,
                version=0,
                leader=mesh.leader().settings.address,
                voters=(),
            ),
        )
        mesh.run(0.1)
        asked = [
            effect.to.instance
            for effect in node.performed
            if isinstance(effect, effects.Send)
            and isinstance(effect.message, config_messages.ColdRead)
        ]
        assert asked == [mesh.leader().name]

    def test_voter_that_cannot_be_reached_is_asked_again_soon(self):
        """Guard: cold_start.link_lost."""
        mesh = make_two_places()
        mesh.run(6)
        mesh.submit("v0", fake_mesh.make_catalog(1, "x"))
        mesh.run(2)
        mesh.split({"a0"})
        node = mesh.nodes["a0"]
        node.crash()
        node.start()
        mesh.run(5)
        node.performed.clear()
        node.feed(events.LinkLost, instance="v1")
        delays_s = [
            effect.delay_s
            for effect in node.performed
            if isinstance(effect, effects.SetTimer)
            and isinstance(effect.timer, timers.ColdStartRetry)
        ]
        assert len(delays_s) == 1
        assert delays_s[0] <= 0.3

    def test_first_version_tells_how_long_the_node_was_without(self):
        mesh = make_two_places()
        mesh.run(6)
        mesh.submit("v0", fake_mesh.make_catalog(1, "x"))
        mesh.run(2)
        logs = [
            effect.fields
            for effect in mesh.nodes["a0"].performed
            if isinstance(effect, effects.Log)
            and effect.code is logbook.Code.VERSION_IN_FORCE
        ]
        assert 6.0 < logs[0]["after_start_s"] < 8.0

    def test_nodes_that_wait_for_a_leader_are_answered_by_it(self):
        """Guard: `_answer_askers`, else they ask again by the clock."""
        mesh = make_two_places()
        mesh.run(6)
        mesh.submit("v0", fake_mesh.make_catalog(1, "x"))
        mesh.run(2)
        for node in mesh.nodes.values():
            node.crash()
        for name, node in mesh.nodes.items():
            if name not in ("v1", "v2"):
                node.start()
        mesh.run(5)
        mesh.nodes["v1"].start()
        assert mesh.run_until(lambda: mesh.leader() is not None, limit_s=2)
        mesh.run(0.1)
        plain = [n for n in mesh.nodes.values() if not n.settings.has_disk]
        assert all(n.state.config.ready for n in plain)

    def test_content_comes_from_a_peer_before_a_voter(self):
        mesh = make_two_places()
        mesh.run(6)
        mesh.submit("v0", fake_mesh.make_catalog(1, "x"))
        mesh.run(2)
        for node in mesh.nodes.values():
            node.performed.clear()
        mesh.nodes["b1"].crash()
        mesh.nodes["b1"].start()
        mesh.run(4)
        assert mesh.nodes["b1"].state.config.version == 1
        sources = {
            node.name
            for node in mesh.nodes.values()
            for effect in node.performed
            if isinstance(effect, effects.Send)
            and isinstance(effect.message, config_messages.FetchReply)
        }
        assert sources <= {"b0", "b2", "b3"}

    def test_reply_older_than_the_quorums_version_is_ignored(self):
        """Guard: `not config.ready and message.version <` in FetchReply."""
        mesh = make_two_places()
        mesh.run(6)
        mesh.submit("v0", fake_mesh.make_catalog(1, "x"))
        mesh.run(2)
        mesh.split({"a0"})
        mesh.submit("v0", fake_mesh.make_catalog(2, "x", "y"))
        mesh.run(1)
        stale = mesh.nodes["a0"].state.config.catalog.snapshot()
        mesh.nodes["a1"].crash()
        mesh.nodes["a1"].start()
        node = mesh.nodes["a1"]
        node.state.config.fetch_version = 2
        node.feed(
            events.PeerMessage,
            sender=fake_mesh.address("a0"),
            message=config_messages.FetchReply(
                version=1, deltas=(), snapshot=stale
            ),
        )
        assert not node.state.config.ready
        mesh.run(4)
        assert node.state.config.version == 2


class TestSubmitFromAPlainNode:
    @pytest.mark.parametrize("fault", ["crash", "freeze"])
    def test_dead_or_frozen_leader_is_given_up(self, fault):
        """Guard: `tries == 0` in submission.whom_to_ask."""
        mesh = make_two_places()
        mesh.run(6)
        mesh.submit("b1", fake_mesh.make_catalog(1, "x"))
        mesh.run(2)
        if fault == "crash":
            mesh.leader().crash()
        else:
            mesh.leader().suspended = True
        number = mesh.submit("b1", fake_mesh.make_catalog(2, "x"))
        mesh.run(6)
        status = mesh.result("b1", number).status
        assert status is config_messages.SubmitStatus.ACCEPTED


class TestExchange:
    def test_relay_greets_few_data_centres_a_round(self):
        """Guard: `random.sample(others, GREETED_MAX)` in directory."""
        mesh = fake_mesh.FakeMesh(seed=3)
        seeds = tuple(
            fake_mesh.seed(f"x{number}", f"place{number}")
            for number in range(18)
        )
        node = mesh.add("x0", disk=False, seeds=seeds, voters=())
        node.start()
        mesh.run(20)
        greetings = count_sends(mesh, directory.Greeting)
        assert 0 < greetings <= 4 * 20 / (0.75 * directory.EXCHANGE_S) + 4


class TestMembership:
    def test_all_members_are_known_after_a_join_storm(self):
        mesh = make_two_places(plain=12)
        mesh.run(8)
        for node in mesh.nodes.values():
            expected = 15 if node.settings.data_centre == "a" else 12
            assert len(node.state.membership.table.alive()) == expected

    def test_all_know_all_soon_after_a_start_together(self):
        """Guard: the first, short join retries."""
        known = 0
        for seed_number in range(10):
            mesh = make_flat(18, seed_number)
            for node in mesh.nodes.values():
                mesh.at(mesh.random.uniform(0.0, 0.1), node.start)
            mesh.run(0.7)
            known += sum(
                len(node.state.membership.table.alive())
                for node in mesh.nodes.values()
            )
        assert known > 0.98 * 10 * 18 * 18

    def test_answer_of_a_newcomer_is_no_join(self):
        """Guard: the sender in the handler of SyncReply."""
        mesh = make_flat(6, 1)
        mesh.nodes["n0"].start()
        mesh.run(0.5)
        mesh.nodes["n5"].start()
        mesh.run(3)
        assert not mesh.nodes["n0"].state.membership.joined
        mesh.nodes["n1"].start()
        mesh.run(5)
        assert mesh.nodes["n0"].state.membership.joined

    def test_dead_member_is_declared_dead_and_returns(self):
        mesh = make_two_places(plain=4)
        mesh.run(6)
        mesh.nodes["a0"].crash()
        mesh.run(15)
        seen = mesh.nodes["v0"].state.membership.table
        assert seen.get("a0").state is member_lib.MemberState.DEAD
        mesh.nodes["a0"].start()
        mesh.run(5)
        assert seen.get("a0").state is member_lib.MemberState.ALIVE

    def test_absence_of_most_members_keeps_their_records(self):
        mesh = make_two_places(plain=8)
        mesh.run(8)
        mesh.split({"a0", "a1"})
        mesh.run(60)
        table = mesh.nodes["a0"].state.membership.table
        assert table.present_count == 11
        assert mesh.nodes["a0"].state.membership.partitioned
        mesh.cut.clear()
        mesh.run(60)
        assert len(table.alive()) == 11

    def test_draining_is_known_to_others_within_a_second(self):
        mesh = make_two_places(plain=8)
        mesh.run(8)
        node = mesh.nodes["a0"]
        node.feed(
            events.UpstreamAnnounced,
            service="x",
            slots=4,
            cold=False,
        )
        mesh.run(1)
        node.feed(events.UpstreamDraining)
        mesh.run(1)
        for other in mesh.nodes.values():
            if other.settings.data_centre == "a":
                known = other.state.membership.table.get("a0")
                assert known.upstream is member_lib.UpstreamState.DRAINING
