"""Tests of distribution over links that a large configuration saturates."""

import collections

from monsoonpass import codec
from monsoonpass.core import effects
from monsoonpass.core.distribution import catalog as catalog_lib
from tests import fake_mesh
from tests import fake_topologies
from tests import test_host_route

LINK_BYTES_PER_S = 3.5e6 / 8
HEADER_BYTES = 60  # Network headers and frame or datagram header.
CONVERGENCE_BOUND_S = 2.5  # Required time for all reachable nodes to converge.
ROUTE_COUNT = 1120


class LimitedLinkMesh(fake_mesh.FakeMesh):
    """A mesh in which the links of each node have limited bandwidth.

    Attributes:
        cross_region_bytes: Number of bytes sent between regions.
    """

    def __init__(self, *, seed: int):
        super().__init__(seed=seed)
        self.cross_region_bytes = 0
        self._link_free_at_s: dict[tuple[str, str], float] = (
            collections.defaultdict(float)
        )
        self._sizes: dict[int, tuple[object, int]] = {}

    def transmit(self, sender: fake_mesh.FakeNode, effect) -> None:
        """Deliver a message once the links of both nodes have carried it."""
        target = self.nodes.get(effect.to.instance)
        if target is None or target is sender:
            super().transmit(sender, effect)
            return
        size_bytes = self._size_bytes(effect)
        if sender.settings.region != target.settings.region:
            self.cross_region_bytes += size_bytes
        transmitted_at_s = self.now_s
        for end in ((sender.name, "out"), (target.name, "in")):
            transmitted_at_s = max(transmitted_at_s, self._link_free_at_s[end])
            transmitted_at_s += size_bytes / LINK_BYTES_PER_S
            self._link_free_at_s[end] = transmitted_at_s
        delay_s = (
            transmitted_at_s - self.now_s + self.random.uniform(0.0005, 0.008)
        )
        self.call_later(delay_s, self._deliver, sender, target, effect.message)

    def _size_bytes(self, effect: effects.Effect) -> int:
        """Return the size of a message; cached, as many are sent repeatedly."""
        cached = self._sizes.get(id(effect.message))
        if cached is None or cached[0] is not effect.message:
            size_bytes = len(codec.encode(effect.message)) + HEADER_BYTES
            cached = (effect.message, size_bytes)
            self._sizes[id(effect.message)] = cached
        return cached[1]


def make_mesh(per_data_centre: int) -> LimitedLinkMesh:
    """Return a running mesh with one member table across two regions."""
    mesh = LimitedLinkMesh(seed=1)
    nodes = list(fake_topologies.add_two_regions(mesh, per_data_centre))
    for node in nodes:
        mesh.call_later(mesh.random.uniform(0.0, 0.3), node.start)
    mesh.run(10)
    return mesh


def make_catalog(version: int, *, extra_routes: int = 0) -> catalog_lib.Catalog:
    """Return a configuration of many routes, with extra ones in the middle."""
    numbers = [*range(ROUTE_COUNT // 2), *range(9000, 9000 + extra_routes)]
    numbers += range(ROUTE_COUNT // 2, ROUTE_COUNT)
    routes = [test_host_route.make_route(f"/route-{n}/") for n in numbers]
    return test_host_route.make_catalog(version, *routes)


def nodes_behind(mesh: LimitedLinkMesh, version: int) -> list[str]:
    """Return the names of the nodes that have not reached a version."""
    return [
        node.name
        for node in mesh.nodes.values()
        if node.state.config.version < version
    ]


class TestConvergenceTime:
    """Convergence of a large mesh without faults: 68 nodes, 1,120 routes."""

    def test_change_of_one_route_is_in_force_everywhere_in_time(self):
        """The time must not depend on the size of the configuration."""
        mesh = make_mesh(17)
        mesh.submit("n1-0", make_catalog(1))
        mesh.run(20)
        assert nodes_behind(mesh, 1) == []
        before_bytes = mesh.cross_region_bytes
        mesh.submit("n1-0", make_catalog(2, extra_routes=1))
        mesh.run(CONVERGENCE_BOUND_S)
        assert nodes_behind(mesh, 2) == []
        # Less than one full copy, including probes and acknowledgements.
        assert mesh.cross_region_bytes - before_bytes < 88_000

    def test_rapid_changes_are_in_force_everywhere_in_time(self):
        mesh = make_mesh(17)
        mesh.submit("n1-0", make_catalog(1))
        mesh.run(20)
        for version in range(2, 12):
            mesh.submit("n1-0", make_catalog(version, extra_routes=version))
            mesh.run(0.25)
        mesh.run(CONVERGENCE_BOUND_S)
        assert nodes_behind(mesh, 11) == []
