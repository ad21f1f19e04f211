"""Tests of membership over fake networks."""

from monsoonpass.core import events
from monsoonpass.core.membership import member as member_lib
from tests import fake_places


class TestMembership:
    def test_all_members_are_known_after_a_join_storm(self):
        mesh = fake_places.make_two_places(plain=12)
        mesh.run(8)
        for node in mesh.nodes.values():
            expected = 15 if node.settings.data_centre == "a" else 12
            assert len(node.state.membership.table.alive()) == expected

    def test_all_know_all_soon_after_a_start_together(self):
        """Guard: the first, short join retries."""
        known = 0
        for seed_number in range(10):
            mesh = fake_places.make_flat(18, seed_number)
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
        mesh = fake_places.make_flat(6, 1)
        mesh.nodes["n0"].start()
        mesh.run(0.5)
        mesh.nodes["n5"].start()
        mesh.run(3)
        assert not mesh.nodes["n0"].state.membership.joined
        mesh.nodes["n1"].start()
        mesh.run(5)
        assert mesh.nodes["n0"].state.membership.joined

    def test_dead_member_is_declared_dead_and_returns(self):
        mesh = fake_places.make_two_places(plain=4)
        mesh.run(6)
        mesh.nodes["a0"].crash()
        mesh.run(15)
        seen = mesh.nodes["v0"].state.membership.table
        assert seen.get("a0").state is member_lib.MemberState.DEAD
        mesh.nodes["a0"].start()
        mesh.run(5)
        assert seen.get("a0").state is member_lib.MemberState.ALIVE

    def test_absence_of_most_members_keeps_their_records(self):
        mesh = fake_places.make_two_places(plain=8)
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
        mesh = fake_places.make_two_places(plain=8)
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
