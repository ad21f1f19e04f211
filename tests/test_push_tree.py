"""Tests of the multicast tree that distributes a version."""

import dataclasses

import pytest

from monsoonpass.core import effects
from monsoonpass.core.distribution import config_messages
from monsoonpass.core.distribution import push_tree
from monsoonpass.core.distribution import version_distribution
from tests import fake_mesh
from tests import fake_topologies


def pushes_by_data_centre(mesh: fake_mesh.FakeMesh) -> list[tuple[str, str]]:
    """Return the source and target data centre of each push."""
    return [
        (node.name[:2], effect.to.instance[:2])
        for node in mesh.nodes.values()
        for effect in node.performed_effects
        if isinstance(effect, effects.Send)
        and isinstance(effect.message, config_messages.Push)
    ]


class TestCopies:
    def test_each_link_between_data_centres_carries_one_copy(self):
        """Guards against one copy per member over metered links."""
        mesh = fake_topologies.make_two_regions(12)
        for node in mesh.nodes.values():
            node.performed_effects.clear()
        mesh.submit("n1-0", fake_mesh.make_catalog(1, "x"))
        mesh.run(0.09)
        pushes_between_regions = [
            (a, b) for a, b in pushes_by_data_centre(mesh) if a[0] != b[0]
        ]
        pushes_between_data_centres = [
            (a, b) for a, b in pushes_by_data_centre(mesh) if a != b
        ]
        assert len(pushes_between_regions) == 1
        assert len(pushes_between_data_centres) == 3
        assert len(pushes_by_data_centre(mesh)) == len(mesh.nodes) - 1
        versions = {n.state.config.version for n in mesh.nodes.values()}
        assert versions == {1}

    def test_members_without_an_upstream_head_the_branches(self):
        mesh = fake_topologies.make_two_regions(6)
        state = mesh.nodes["n1-0"].state
        for member in state.membership.table.present():
            if not member.instance.endswith("-0"):
                serving = dataclasses.replace(member, service="x")
                state.membership.table.put(serving, mesh.now_s)
        for version in range(1, 9):
            groups = push_tree._group_members(state, version)
            branches = push_tree.split_branches(state.settings, groups)
            heads = {head.instance for head, _ in branches}
            assert {"n2-0"} <= heads
            assert heads & {"s1-0", "s2-0"}


class TestBranches:
    @pytest.mark.parametrize("frozen", ["s1-0", "s2-0", "n2-0"])
    def test_unresponsive_branch_head_does_not_delay_its_descendants(
        self, frozen, monkeypatch
    ):
        """A branch head hangs or its link is saturated.

        Guard: `_send_branches` in the handler of BranchAckTimeout.
        """
        monkeypatch.setattr(version_distribution, "HINT_RECIPIENTS", 0)
        mesh = fake_topologies.make_two_regions(12)
        mesh.submit("n1-0", fake_mesh.make_catalog(1, "x"))
        mesh.run(2)
        mesh.nodes[frozen].suspended = True
        leader = mesh.leader()
        assert leader.name != frozen
        behind = []
        for version in range(2, 12):
            mesh.submit(leader.name, fake_mesh.make_catalog(version, "x"))
            mesh.run(2 * push_tree.ACK_TIMEOUT_S + 0.1)
            behind += [
                (version, node.name)
                for node in mesh.nodes.values()
                if node.state.config.version < version and node.name != frozen
            ]
        assert behind == []

    def test_duplicate_push_is_forwarded_once(self):
        """Guard: `_exclude_forwarded` in push_tree.forward_push."""
        mesh = fake_topologies.make_two_regions(4)
        state = mesh.nodes["n1-1"].state
        group = config_messages.DataCentreMembers(
            region="north",
            data_centre="n1",
            members=(fake_mesh.make_address("n1-2"),),
        )
        push = config_messages.Push(
            version=7, delta=b"", root_instance="n1-0", descendants=(group,)
        )
        assert len(push_tree.forward_push(state, push)) == 2
        assert push_tree.forward_push(state, push) == []
