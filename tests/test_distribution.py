"""Tests of distribution over a simulated network."""

import dataclasses

import pytest

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core.distribution import catalog as catalog_lib
from monsoonpass.core.distribution import catch_up
from monsoonpass.core.distribution import config_messages
from monsoonpass.core.distribution import packing
from monsoonpass.core.membership import directory
from monsoonpass.core.membership import member as member_lib
from tests import fake_mesh
from tests import fake_topologies


class TestPush:
    def test_version_reaches_both_data_centres_within_a_second(self):
        mesh = fake_topologies.make_two_data_centres()
        mesh.run(6)
        mesh.submit("a1", fake_mesh.make_catalog(1, "x"))
        mesh.run(1)
        assert fake_topologies.versions_in_force(mesh) == {1}

    def test_one_copy_of_a_delta_crosses_to_each_other_data_centre(self):
        mesh = fake_topologies.make_serving_data_centres()
        crossing = [
            effect
            for node in mesh.nodes.values()
            for effect in node.performed_effects
            if node.settings.data_centre == "a"
            and isinstance(effect, effects.Send)
            and type(effect.message).__name__ in ("Push", "FetchReply")
            and effect.to.instance.startswith("b")
        ]
        assert len(crossing) == 1

    def test_node_that_missed_hundreds_of_versions_catches_up(self):
        mesh = fake_topologies.make_two_data_centres(diskless_per_data_centre=2)
        mesh.run(6)
        mesh.split({"a1"})
        for version in range(1, 401):
            mesh.submit("v0", fake_mesh.make_catalog(version, "x", "y"))
            mesh.run(0.05)
        mesh.cut_links.clear()
        mesh.run(4)
        assert fake_topologies.versions_in_force(mesh) == {400}

    def test_received_snapshot_is_served_as_a_delta(self):
        """Guard: `delta_to` in version_distribution._install.

        Without the delta, peers that lag as far behind as this node fetch the
        full content from each other, version after version.
        """
        mesh = fake_topologies.make_two_data_centres()
        mesh.run(6)
        mesh.submit("v0", fake_mesh.make_catalog(1, "x", "y", "z"))
        mesh.run(2)
        node = mesh.nodes["a0"]
        before = node.state.config.catalog
        mesh.split({"a0"})
        mesh.submit("v0", fake_mesh.make_catalog(2, "x", "y", "w"))
        mesh.run(1)
        packed_snapshot = mesh.nodes["a1"].state.config.catalog.packed
        node.feed(
            events.PeerMessage,
            sender=fake_mesh.make_address("a1"),
            message=config_messages.FetchReply(
                version=2, snapshot=packed_snapshot
            ),
        )
        node.performed_effects.clear()
        node.feed(
            events.PeerMessage,
            sender=fake_mesh.make_address("a2"),
            message=config_messages.Fetch(version=1, digest=before.digest),
        )
        reply = node.performed_effects[0].message
        assert not reply.snapshot
        deltas = [
            packing.unpack(delta, catalog_lib.Delta) for delta in reply.deltas
        ]
        assert [delta.version for delta in deltas] == [2]

    def test_delta_received_before_its_base_is_not_applied(self):
        mesh = fake_topologies.make_two_data_centres(
            diskless_per_data_centre=3,
            faults=fake_mesh.Faults(slow_probability=0.5, slow_max_s=0.8),
        )
        mesh.run(8)
        for version in range(1, 30):
            mesh.submit("v0", fake_mesh.make_catalog(version, "x"))
            mesh.run(0.1)
        mesh.heal()
        mesh.run(15)
        mesh.check_converged()


class TestSuspectedMembers:
    def test_version_reaches_suspected_members(self):
        """Probes over busy links are answered late, so members are suspected.

        Guard: `present_others` in push_tree._group_members.
        """
        mesh = fake_topologies.make_two_data_centres(diskless_per_data_centre=8)
        mesh.run(6)
        suspected = member_lib.MemberState.SUSPECT
        for node in mesh.nodes.values():
            table = node.state.membership.table
            for member in table.alive():
                if member.instance != node.name:
                    changed = dataclasses.replace(member, state=suspected)
                    table.put(changed, mesh.now_s)
        mesh.submit("v0", fake_mesh.make_catalog(1, "x"))
        mesh.run(0.2)
        versions_in_a = [
            node.state.config.version
            for node in mesh.nodes.values()
            if node.settings.data_centre == "a"
        ]
        assert versions_in_a == [1] * 11


class TestTree:
    def test_differing_member_tables_leave_no_member_out(self):
        """Members join and fail while a version is being distributed.

        Guard: `descendants` of Push, set in push_tree.forward_push.
        """
        mesh = fake_topologies.make_two_data_centres(
            diskless_per_data_centre=30
        )
        mesh.run(10)
        data_centre_nodes = [
            node
            for node in mesh.nodes.values()
            if node.settings.data_centre == "a"
        ]
        for number, node in enumerate(data_centre_nodes):
            if node is mesh.leader():
                continue
            table = node.state.membership.table
            for member in table.alive()[number % 3 :: 3]:
                if member.instance != node.name:
                    dead = member_lib.MemberState.DEAD
                    changed = dataclasses.replace(member, state=dead)
                    table.put(changed, mesh.now_s)
        mesh.submit("v0", fake_mesh.make_catalog(1, "x"))
        # Shorter than the hint delay, so only the tree delivers the version.
        mesh.run(0.09)
        assert {node.state.config.version for node in data_centre_nodes} == {1}

    def test_node_that_has_the_version_forwards_it(self):
        """Guard: `message.root_instance != own` in the handler of Push."""
        mesh = fake_topologies.make_serving_data_centres()
        node = mesh.nodes["a0"]
        node.performed_effects.clear()
        node.state.config.forwarded_to.clear()
        catalog = node.state.config.catalog
        descendant = fake_mesh.make_address("a1")
        node.feed(
            events.PeerMessage,
            sender=fake_mesh.make_address("v0"),
            message=config_messages.Push(
                version=catalog.version,
                delta=catalog_lib.EMPTY_CATALOG.delta_to(catalog).packed,
                root_instance="v0",
                descendants=(
                    config_messages.DataCentreMembers(
                        region="a", data_centre="a", members=(descendant,)
                    ),
                ),
            ),
        )
        pushed = [
            effect.to
            for effect in node.performed_effects
            if isinstance(effect, effects.Send)
            and isinstance(effect.message, config_messages.Push)
        ]
        assert pushed == [descendant]


class TestRestartedVoters:
    @pytest.mark.parametrize("number", range(5))
    def test_version_reaches_members_unknown_to_a_restarted_leader(
        self, number
    ):
        """All voters lose power, and a change follows the restart at once.

        Guard: the hints in version_distribution, and the synchronisation in
        membership after a ping from an unknown sender.
        """
        mesh = fake_mesh.FakeMesh(seed=number)
        voters = ("v0", "v1", "v2")
        seeds = tuple(fake_mesh.make_seed(name) for name in voters)
        diskless_names = [f"p{count}" for count in range(12)]
        for name in (*voters, *diskless_names):
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
            name: mesh.nodes[name].state.config.version
            for name in diskless_names
        }
        assert set(versions.values()) == {2}, versions


class TestSubmitFromDisklessNode:
    @pytest.mark.parametrize("fault", ["crash", "freeze"])
    def test_submission_succeeds_after_the_leader_crashes_or_freezes(
        self, fault
    ):
        """Guard: `previous_attempts == 0` in pick_leader_or_voter."""
        mesh = fake_topologies.make_two_data_centres()
        mesh.run(6)
        mesh.submit("b1", fake_mesh.make_catalog(1, "x"))
        mesh.run(2)
        if fault == "crash":
            mesh.leader().crash()
        else:
            mesh.leader().suspended = True
        request_id = mesh.submit("b1", fake_mesh.make_catalog(2, "x"))
        mesh.run(6)
        status = mesh.result("b1", request_id).status
        assert status is config_messages.SubmitStatus.ACCEPTED


class TestDirectoryExchange:
    def test_greetings_per_round_are_bounded(self):
        """Guard: `rng.sample(others, GREETINGS_PER_EXCHANGE)` in directory."""
        mesh = fake_mesh.FakeMesh(seed=3)
        seeds = tuple(
            fake_mesh.make_seed(f"x{number}", f"place{number}")
            for number in range(18)
        )
        node = mesh.add("x0", disk=False, seeds=seeds, voters=())
        node.start()
        mesh.run(20)
        greetings = fake_topologies.count_sends(mesh, directory.Greeting)
        assert (
            0 < greetings <= 4 * 20 / (0.75 * directory.GREETING_INTERVAL_S) + 4
        )


class TestFetch:
    def make_fetching_node(self):
        """Return a mesh whose node "a0" fetches version 9 without a reply."""
        mesh = fake_topologies.make_serving_data_centres()
        mesh.split({"a0"})
        node = mesh.nodes["a0"]
        node.performed_effects.clear()
        self.receive_hint(node, "a1", 9)
        return mesh, node

    def receive_hint(self, node, sender, version):
        node.feed(
            events.PeerMessage,
            sender=fake_mesh.make_address(sender),
            message=config_messages.VersionHint(version=version),
        )

    def fetch_targets(self, node):
        return [
            effect.to.instance
            for effect in node.performed_effects
            if isinstance(effect, effects.Send)
            and isinstance(effect.message, config_messages.Fetch)
        ]

    def test_unanswered_fetch_is_retried_at_another_node(self):
        """The peer hangs, or its link is saturated.

        Guard: `_alternate_source` in the handler of FetchTimeout.
        """
        mesh, node = self.make_fetching_node()
        mesh.run(1.5)
        fetch_targets = self.fetch_targets(node)
        assert fetch_targets[0] == "a1"
        assert len(fetch_targets) == 3
        assert set(fetch_targets[1:]) <= {"v0", "v1", "v2"}

    def test_fetch_after_many_unanswered_ones_is_sent(self):
        """Failure: the node ended when the timeout of the fetch overflowed.

        Guard: `backoff.doubled_s` in send_fetch.
        """
        mesh, node = self.make_fetching_node()
        node.state.config.fetch_attempts = 1100
        source = fake_mesh.make_address("v0")
        sent, timer = catch_up.send_fetch(node.state, source, 2)
        assert sent.to == source
        assert timer.delay_s == catch_up.FETCH_TIMEOUT_MAX_S

    def test_fetch_attempts_are_bounded(self):
        """Guard: `FETCH_ATTEMPTS_MAX` in catch_up."""
        mesh, node = self.make_fetching_node()
        mesh.run(60)
        assert len(self.fetch_targets(node)) == catch_up.FETCH_ATTEMPTS_MAX

    def test_newer_version_announced_during_a_fetch_is_fetched_next(self):
        """Versions follow each other rapidly over a slow link.

        Guard: `send_fetch` at the end of catch_up.handle_reply.
        """
        mesh = fake_topologies.make_serving_data_centres()
        mesh.split({"a0"})
        node = mesh.nodes["a0"]
        base = node.state.config.catalog
        self.receive_hint(node, "a1", 2)
        self.receive_hint(node, "a2", 3)
        node.performed_effects.clear()
        second = fake_mesh.make_catalog(2, "x", "y")
        mesh.submitted_catalogs[(2, second.digest)] = second
        delta = base.delta_to(second)
        node.feed(
            events.PeerMessage,
            sender=fake_mesh.make_address("a1"),
            message=config_messages.FetchReply(
                version=2, deltas=(delta.packed,)
            ),
        )
        assert node.state.config.version == 2
        assert len(self.fetch_targets(node)) == 1
