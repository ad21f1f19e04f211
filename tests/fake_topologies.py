"""Factories of meshes of fake nodes in one or more data centres."""

from collections.abc import Iterator
import dataclasses

from monsoonpass.core import effects
from tests import fake_mesh

REGIONS = {"n1": "north", "n2": "north", "s1": "south", "s2": "south"}


def make_two_data_centres(
    *, seed_number: int = 1, diskless_per_data_centre: int = 4, faults=None
) -> fake_mesh.FakeMesh:
    """Return a started mesh of the data centres "a" and "b".

    Args:
        seed_number: Seed of the mesh.
        diskless_per_data_centre: Number of diskless nodes in each data centre.
        faults: Faults of the network, or None.

    Returns:
        A mesh of three voters with disks in "a" and diskless nodes in both.
    """
    voters = ("v0", "v1", "v2")
    diskless_a = [f"a{number}" for number in range(diskless_per_data_centre)]
    diskless_b = [f"b{number}" for number in range(diskless_per_data_centre)]
    seeds = (
        *(fake_mesh.make_seed(name, "a") for name in voters),
        *(fake_mesh.make_seed(name, "b") for name in diskless_b[:2]),
    )
    mesh = fake_mesh.FakeMesh(seed=seed_number, faults=faults)
    for name in voters:
        mesh.add(name, data_centre="a", disk=True, seeds=seeds, voters=voters)
    for name in diskless_a:
        mesh.add(name, data_centre="a", disk=False, seeds=seeds, voters=voters)
    for name in diskless_b:
        mesh.add(name, data_centre="b", disk=False, seeds=seeds, voters=voters)
    for node in mesh.nodes.values():
        node.start()
    return mesh


def add_two_regions(
    mesh: fake_mesh.FakeMesh, per_data_centre: int
) -> Iterator[fake_mesh.FakeNode]:
    """Add nodes that share one member table across two regions.

    Each region has two data centres. The first node of each data centre has a
    disk and no upstream.

    Args:
        mesh: The mesh to add the nodes to.
        per_data_centre: Number of nodes in each data centre.

    Yields:
        Each node after it was added, not started.
    """
    voters = ("n1-0", "n2-0", "s1-0")
    seeds = tuple(fake_mesh.make_seed(name, name[:2]) for name in voters)
    for data_centre, region in REGIONS.items():
        for number in range(per_data_centre):
            node = mesh.add(
                f"{data_centre}-{number}",
                data_centre=data_centre,
                disk=number == 0,
                seeds=seeds,
                voters=voters,
                flat=True,
            )
            node.settings = dataclasses.replace(node.settings, region=region)
            yield node


def make_two_regions(
    per_data_centre: int, *, seed: int = 1
) -> fake_mesh.FakeMesh:
    """Return a running mesh of the nodes of `add_two_regions`.

    Args:
        per_data_centre: Number of nodes in each data centre.
        seed: Seed of the mesh.
    """
    mesh = fake_mesh.FakeMesh(seed=seed)
    for node in add_two_regions(mesh, per_data_centre):
        node.start()
    mesh.run(8)
    return mesh


def make_serving_data_centres(**options) -> fake_mesh.FakeMesh:
    """Return two data centres where version 1 with service "x" is in force.

    Args:
        **options: Arguments of `make_two_data_centres`.
    """
    mesh = make_two_data_centres(**options)
    mesh.run(6)
    mesh.submit("v0", fake_mesh.make_catalog(1, "x"))
    mesh.run(2)
    return mesh


def make_unstarted_mesh(count: int, seed_number: int) -> fake_mesh.FakeMesh:
    """Return a mesh of unstarted nodes; the first three are seeds and voters.

    Args:
        count: Number of nodes.
        seed_number: Seed of the mesh.
    """
    names = [f"n{number}" for number in range(count)]
    seeds = tuple(fake_mesh.make_seed(name) for name in names[:3])
    mesh = fake_mesh.FakeMesh(seed=seed_number)
    for number, name in enumerate(names):
        mesh.add(name, disk=number < 3, seeds=seeds, voters=tuple(names[:3]))
    return mesh


def count_sends(mesh, kind) -> int:
    """Return the number of messages of a class sent by all nodes."""
    return sum(
        isinstance(effect, effects.Send) and isinstance(effect.message, kind)
        for node in mesh.nodes.values()
        for effect in node.performed_effects
    )


def versions_in_force(mesh) -> set[int]:
    """Return the versions in force on all nodes."""
    return {node.state.config.version for node in mesh.nodes.values()}
