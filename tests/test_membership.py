"""Tests of membership over a simulated network."""

import dataclasses

import pytest

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core.distribution import survey
from monsoonpass.core.membership import directory
from monsoonpass.core.membership import member as member_lib
from tests import fake_mesh
from tests import fake_topologies


class TestMembership:
    def test_all_members_are_known_after_a_mass_join(self):
        mesh = fake_topologies.make_two_data_centres(
            diskless_per_data_centre=12
        )
        mesh.run(8)
        for node in mesh.nodes.values():
            expected = 15 if node.settings.data_centre == "a" else 12
            assert len(node.state.membership.table.alive()) == expected

    def test_members_know_each_other_soon_after_a_simultaneous_start(self):
        """Guard: the first, short join retries."""
        alive_count = 0
        for seed_number in range(10):
            mesh = fake_topologies.make_unstarted_mesh(18, seed_number)
            for node in mesh.nodes.values():
                mesh.call_later(mesh.random.uniform(0.0, 0.1), node.start)
            mesh.run(0.7)
            alive_count += sum(
                len(node.state.membership.table.alive())
                for node in mesh.nodes.values()
            )
        assert alive_count > 0.98 * 10 * 18 * 18

    def test_reply_of_a_node_that_is_no_seed_does_not_complete_the_join(self):
        """Guard: the sender in the handler of SyncReply."""
        mesh = fake_topologies.make_unstarted_mesh(6, 1)
        mesh.nodes["n0"].start()
        mesh.run(0.5)
        mesh.nodes["n5"].start()
        mesh.run(3)
        assert not mesh.nodes["n0"].state.membership.joined
        mesh.nodes["n1"].start()
        mesh.run(5)
        assert mesh.nodes["n0"].state.membership.joined

    def test_reply_to_an_earlier_process_does_not_complete_the_join(self):
        """The reply may lack what the earlier process published later.

        Guard: `message.request_incarnation` in the handler of SyncReply.
        """
        mesh = fake_topologies.make_unstarted_mesh(4, 1)
        for node in mesh.nodes.values():
            node.start()
        mesh.run(3)
        node = mesh.nodes["n3"]
        request_incarnation = node.state.membership.own_record.incarnation
        mesh.split({"n3"})
        node.crash()
        mesh.run(0.5)
        node.start()
        reply = member_lib.SyncReply(
            buckets=(),
            members=(),
            wants_reply=True,
            request_incarnation=request_incarnation,
        )
        node.feed(
            events.PeerMessage,
            sender=fake_mesh.make_address("n0"),
            message=reply,
        )
        assert not node.state.membership.joined
        mesh.cut_links.clear()
        mesh.run(3)
        assert node.state.membership.joined

    def test_ack_to_an_earlier_process_answers_no_probe(self):
        """Guard: the first `probe_number` in membership.start."""
        mesh = fake_topologies.make_unstarted_mesh(4, 1)
        for node in mesh.nodes.values():
            node.start()
        node = mesh.nodes["n3"]
        mesh.run(20)
        before = node.state.membership.probe_number
        node.crash()
        node.start()
        mesh.run(2)
        mesh.split({"n3"})
        mesh.run(1.2)
        assert node.state.membership.probes
        for number in range(before - 20, before + 1):
            ack = member_lib.Ack(
                number=number, version=0, table_digest=0, updates=()
            )
            node.feed(
                events.PeerMessage,
                sender=fake_mesh.make_address("n0"),
                message=ack,
            )
        assert node.state.membership.probes

    def test_crashed_member_is_declared_dead_and_rejoins(self):
        mesh = fake_topologies.make_two_data_centres(diskless_per_data_centre=4)
        mesh.run(6)
        mesh.nodes["a0"].crash()
        mesh.run(15)
        table = mesh.nodes["v0"].state.membership.table
        assert table.get("a0").state is member_lib.MemberState.DEAD
        mesh.nodes["a0"].start()
        mesh.run(5)
        assert table.get("a0").state is member_lib.MemberState.ALIVE

    def test_records_are_kept_when_most_members_are_silent(self):
        mesh = fake_topologies.make_two_data_centres(diskless_per_data_centre=8)
        mesh.run(8)
        mesh.split({"a0", "a1"})
        mesh.run(60)
        table = mesh.nodes["a0"].state.membership.table
        assert table.present_count == 11
        assert mesh.nodes["a0"].state.membership.partitioned
        mesh.cut_links.clear()
        mesh.run(60)
        assert len(table.alive()) == 11

    def test_draining_reaches_all_members_within_a_second(self):
        mesh = fake_topologies.make_two_data_centres(diskless_per_data_centre=8)
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
                record = other.state.membership.table.get("a0")
                assert record.upstream is member_lib.UpstreamState.DRAINING


class TestSurvey:
    def test_surveys_of_a_restarted_node_reuse_no_number(self):
        """Guard: `survey_number` in the handler of Started."""
        mesh = fake_topologies.make_unstarted_mesh(3, 1)
        for node in mesh.nodes.values():
            node.start()
        mesh.run(3)
        node = mesh.nodes["n2"]
        numbers = set()
        for _ in range(2):
            node.crash()
            node.start()
            mesh.run(3)
            node.feed(survey.SurveyRequested, request_id=1)
            assert not numbers & node.state.surveys.keys()
            numbers |= node.state.surveys.keys()


class TestTable:
    def test_counts_by_data_centre_follow_the_records(self):
        """Each queued update reads the counts, so they are kept up to date."""
        mesh = fake_topologies.make_two_regions(3)
        table = mesh.nodes["n1-0"].state.membership.table
        assert table.present_by_data_centre == {
            "n1": 3,
            "n2": 3,
            "s1": 3,
            "s2": 3,
        }
        for name in ("s2-0", "s2-1", "s2-2"):
            record = table.get(name)
            state = member_lib.MemberState.LEFT
            table.put(dataclasses.replace(record, state=state), mesh.now_s)
        assert table.present_by_data_centre == {"n1": 3, "n2": 3, "s1": 3}


class TestTableOfSeveralDataCentres:
    """One member table covers two regions with two data centres each."""

    @pytest.mark.parametrize("per_data_centre", [6, 18])
    def test_only_members_of_a_data_centre_send_its_updates_outside(
        self, per_data_centre
    ):
        """Otherwise nodes of the whole fleet send copies over paid links.

        Guard: `own in (data_centre, item[0].data_centre)` in gossip.
        """
        mesh = fake_topologies.make_two_regions(per_data_centre)
        mesh.run(10)
        for node in mesh.nodes.values():
            node.performed_effects.clear()
        node = mesh.nodes["n1-1"]
        announced = {"service": "x", "slots": 4, "cold": False}
        node.feed(events.UpstreamAnnounced, **announced)
        mesh.run(1.0)
        crossing = [
            (sender.name, update)
            for sender in mesh.nodes.values()
            for effect in sender.performed_effects
            if isinstance(effect, effects.SendDatagram)
            for update in getattr(effect.message, "updates", ())
            if sender.name[:2] != effect.to.instance[:2]
            and update.instance == "n1-1"
        ]
        assert {sender[:2] for sender, _ in crossing} == {"n1"}
        assert len(crossing) <= 40
        unaware = [
            other.name
            for other in mesh.nodes.values()
            if not other.state.membership.table.get("n1-1").service
        ]
        assert unaware == []

    def test_split_between_regions_causes_no_suspicion(self):
        """Guard: `_may_suspect` in membership."""
        mesh = fake_topologies.make_two_regions(6)
        north = {name for name in mesh.nodes if name.startswith("n")}
        mesh.split(north)
        mesh.run(40)
        for node in mesh.nodes.values():
            assert node.state.membership.table.suspect_count == 0
            assert node.state.membership.table.present_count == 24

    @pytest.mark.parametrize("per_data_centre", [4, 8])
    def test_isolated_node_keeps_its_neighbours(self, per_data_centre):
        """When the node reconnects, no other member may be declared dead.

        Guard: `probe_outcomes` in gossip.is_partition_likely, and
        `deferred_suspects`.
        """
        mesh = fake_topologies.make_two_regions(per_data_centre)
        mesh.run(5)
        mesh.split({"s2-1"})
        mesh.run(20)
        table = mesh.nodes["s2-1"].state.membership.table
        assert table.present_count == 4 * per_data_centre
        mesh.cut_links.clear()
        for _ in range(10):
            mesh.run(1)
            for node in mesh.nodes.values():
                if node.name != "s2-1":
                    count = node.state.membership.table.present_count
                    assert count >= 4 * per_data_centre - 1
        for node in mesh.nodes.values():
            alive = node.state.membership.table.alive()
            assert len(alive) == 4 * per_data_centre

    def test_simultaneous_failure_of_all_neighbours_but_one_is_detected(self):
        mesh = fake_topologies.make_two_regions(4)
        mesh.run(5)
        for name in ("s2-1", "s2-2", "s2-3"):
            mesh.nodes[name].crash()
        mesh.run(12)
        for node in mesh.nodes.values():
            if node.alive:
                assert node.state.membership.table.present_count == 13

    def test_member_without_neighbours_is_suspected_from_outside(self):
        mesh = fake_topologies.make_two_regions(1)
        mesh.nodes["s2-0"].crash()
        mesh.run(30)
        table = mesh.nodes["n1-0"].state.membership.table
        assert not table.get("s2-0").is_present


class TestSurveyBound:
    def test_flood_of_queries_stays_within_the_bound(self):
        """Guard: the eviction in survey._survey_members."""
        mesh = fake_mesh.FakeMesh(seed=1)
        node = mesh.add("n", disk=False, seeds=(), voters=())
        node.start()
        mesh.add("m", disk=False, seeds=(), voters=()).start()
        member = mesh.nodes["m"].state.membership.own_record
        node.state.membership.table.put(member, 0.0)
        for number in range(2 * survey.SURVEYS_IN_PROGRESS_MAX):
            node.feed(
                events.PeerMessage,
                sender=fake_mesh.make_address("x"),
                message=survey.PlaceQuery(number=number),
            )
        assert len(node.state.surveys) <= survey.SURVEYS_IN_PROGRESS_MAX


class TestEndpointQuery:
    def test_query_without_contacts_leaves_no_entry(self):
        """Guard: `if not directory.contacts` in the handler."""
        mesh = fake_mesh.FakeMesh(seed=1)
        node = mesh.add("n", disk=False, seeds=(), voters=())
        node.start()
        node.feed(
            events.PeerMessage,
            sender=fake_mesh.make_address("x"),
            message=directory.EndpointQuery(
                service="shop", from_other_data_centre=False
            ),
        )
        assert node.state.directory.waiting_nodes == {}
