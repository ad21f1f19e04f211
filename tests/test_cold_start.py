"""Tests of cold starts: the quorum read and the fetch of the content."""

import pytest

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core import timers
from monsoonpass.core.distribution import config_messages
from tests import fake_mesh
from tests import fake_topologies


class TestColdStart:
    def test_diskless_node_serves_nothing_before_a_quorum_answers(self):
        mesh = fake_topologies.make_serving_data_centres()
        mesh.split({"v0", "v1", "v2"})
        mesh.nodes["a0"].crash()
        mesh.nodes["a0"].start()
        mesh.run(5)
        assert not mesh.nodes["a0"].state.config.ready
        mesh.cut_links.clear()
        mesh.run(6)
        assert mesh.nodes["a0"].state.config.version == 1

    def test_version_survives_a_simultaneous_restart_of_all_nodes(self):
        mesh = fake_topologies.make_serving_data_centres()
        for node in mesh.nodes.values():
            node.crash()
        for node in mesh.nodes.values():
            node.start()
        mesh.run(10)
        mesh.check_converged()
        assert fake_topologies.versions_in_force(mesh) == {1}

    @pytest.mark.parametrize("seed_number", range(12))
    def test_all_nodes_are_ready_soon_after_a_full_restart(self, seed_number):
        """Guard: the first election timer, and cold_start.add_waiting_node."""
        mesh = fake_topologies.make_serving_data_centres(
            seed_number=seed_number
        )
        for node in mesh.nodes.values():
            node.crash()
        for node in mesh.nodes.values():
            mesh.call_later(mesh.random.uniform(0.0, 0.3), node.start)
        mesh.run(0.3)
        assert mesh.run_until(
            lambda: all(n.state.config.ready for n in mesh.nodes.values()),
            limit_s=0.8,
        )

    def test_non_voting_seed_tells_waiting_nodes_the_leader(self):
        """Guard: cold_start.notify_waiting_nodes.

        Guard: the last line of voter_lookup.known_leader.
        """
        mesh = fake_topologies.make_serving_data_centres()
        seed = mesh.nodes["b0"]
        node = mesh.nodes["b3"]
        seed.state.control.leader = None
        seed.feed(
            events.PeerMessage,
            sender=fake_mesh.make_address("b3"),
            message=config_messages.ColdRead(),
        )
        node.performed_effects.clear()
        seed.feed(
            events.PeerMessage,
            sender=fake_mesh.make_address("v0"),
            message=config_messages.ColdReadReply(
                confirmed=False,
                version=0,
                leader=mesh.leader().settings.address,
                voters=(),
            ),
        )
        mesh.run(0.1)
        queried = [
            effect.to.instance
            for effect in node.performed_effects
            if isinstance(effect, effects.Send)
            and isinstance(effect.message, config_messages.ColdRead)
        ]
        assert queried == [mesh.leader().name]

    def test_cold_read_is_retried_soon_after_a_lost_link(self):
        """Guard: cold_start.handle_link_lost."""
        mesh = fake_topologies.make_serving_data_centres()
        mesh.split({"a0"})
        node = mesh.nodes["a0"]
        node.crash()
        node.start()
        mesh.run(5)
        node.performed_effects.clear()
        node.feed(events.LinkLost, instance="v1")
        delays_s = [
            effect.delay_s
            for effect in node.performed_effects
            if isinstance(effect, effects.SetTimer)
            and isinstance(effect.timer, timers.ColdStartRetry)
        ]
        assert len(delays_s) == 1
        assert delays_s[0] <= 0.3

    def test_first_version_in_force_is_logged_with_its_delay(self):
        mesh = fake_topologies.make_serving_data_centres()
        logs = [
            effect.fields
            for effect in mesh.nodes["a0"].performed_effects
            if isinstance(effect, effects.Log)
            and effect.code is log_events.Code.VERSION_IN_FORCE
        ]
        assert 6.0 < logs[0]["after_start_s"] < 8.0

    def test_nodes_waiting_for_a_leader_are_answered_after_the_election(self):
        """The nodes must not wait for their retry timers.

        Guard: `_answer_waiting_reads` in control_group.
        """
        mesh = fake_topologies.make_serving_data_centres()
        for node in mesh.nodes.values():
            node.crash()
        for name, node in mesh.nodes.items():
            if name not in ("v1", "v2"):
                node.start()
        mesh.run(5)
        mesh.nodes["v1"].start()
        assert mesh.run_until(lambda: mesh.leader() is not None, limit_s=2)
        mesh.run(0.1)
        diskless_nodes = [
            n for n in mesh.nodes.values() if not n.settings.has_disk
        ]
        assert all(n.state.config.ready for n in diskless_nodes)

    def test_content_is_fetched_from_a_peer_first(self):
        mesh = fake_topologies.make_serving_data_centres()
        for node in mesh.nodes.values():
            node.performed_effects.clear()
        mesh.nodes["b1"].crash()
        mesh.nodes["b1"].start()
        mesh.run(4)
        assert mesh.nodes["b1"].state.config.version == 1
        sources = {
            node.name
            for node in mesh.nodes.values()
            for effect in node.performed_effects
            if isinstance(effect, effects.Send)
            and isinstance(effect.message, config_messages.FetchReply)
        }
        assert sources <= {"b0", "b2", "b3"}

    def test_fetch_reply_older_than_the_confirmed_version_is_ignored(self):
        """Guard: the version check for FetchReply in version_distribution."""
        mesh = fake_topologies.make_serving_data_centres()
        mesh.split({"a0"})
        mesh.submit("v0", fake_mesh.make_catalog(2, "x", "y"))
        mesh.run(1)
        stale = mesh.nodes["a0"].state.config.catalog.packed
        mesh.nodes["a1"].crash()
        mesh.nodes["a1"].start()
        node = mesh.nodes["a1"]
        node.state.config.fetch_target_version = 2
        node.feed(
            events.PeerMessage,
            sender=fake_mesh.make_address("a0"),
            message=config_messages.FetchReply(version=1, snapshot=stale),
        )
        assert not node.state.config.ready
        mesh.run(4)
        assert node.state.config.version == 2
