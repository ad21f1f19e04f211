"""Tests of configurations: references, digests, deltas and routes."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from monsoonpass import errors
from monsoonpass.core.distribution import catalog as catalog_lib
from tests import fake_mesh

NAMES = st.lists(st.sampled_from("abcdef"), min_size=1, unique=True)


class TestReferences:
    def test_unknown_dependency_is_refused(self):
        """A snapshot is closed: each dependency of a service is in it.

        Guard: `raise errors.DanglingReferenceError` in Catalog.__init__.
        """
        whole = fake_mesh.make_catalog(1, "a", "b")
        with pytest.raises(errors.DanglingReferenceError):
            catalog_lib.Catalog(version=1, services={"b": whole.services["b"]})

    def test_delta_that_removes_a_dependency_is_refused(self):
        base = fake_mesh.make_catalog(1, "a", "b")
        delta = dataclasses.replace(
            base.delta_to(fake_mesh.make_catalog(2, "a")), removed=("a",)
        )
        with pytest.raises(errors.DanglingReferenceError):
            base.apply(delta)


class TestDelta:
    @hypothesis.given(NAMES, NAMES)
    def test_delta_yields_the_target_content(self, old, new):
        base = fake_mesh.make_catalog(1, *old)
        target = fake_mesh.make_catalog(2, *new)
        result = base.apply(base.delta_to(target))
        assert result.services == target.services
        assert result.digest == target.digest

    def test_delta_of_another_base_is_refused(self):
        """A version is in force whole or not at all.

        Guard: `raise errors.BaseMismatchError` in Catalog.apply.
        """
        delta = fake_mesh.make_catalog(1, "a").delta_to(
            fake_mesh.make_catalog(2, "a", "b")
        )
        with pytest.raises(errors.BaseMismatchError):
            fake_mesh.make_catalog(1, "a", "c").apply(delta)

    def test_damaged_delta_is_refused(self):
        """A version is in force whole or not at all.

        Guard: the comparison in catalog._check_digest.
        """
        base = fake_mesh.make_catalog(1, "a")
        delta = base.delta_to(fake_mesh.make_catalog(2, "a", "b"))
        damaged = dataclasses.replace(delta, changed=())
        with pytest.raises(errors.DigestMismatchError):
            base.apply(damaged)

    def test_damaged_snapshot_is_refused(self):
        snapshot = fake_mesh.make_catalog(1, "a", "b").snapshot()
        damaged = dataclasses.replace(snapshot, services=snapshot.services[:1])
        with pytest.raises(errors.DigestMismatchError):
            catalog_lib.from_snapshot(damaged)


class TestRoutes:
    def find_route_path(self, path: str, method: str = "GET"):
        """Return the path of the matching route of a service, or None."""
        routes = tuple(
            fake_mesh.make_route(path=p, methods=m)
            for p, m in (
                ("/", ()),
                ("/lots", ("GET",)),
                ("/lots/special", ("GET",)),
            )
        )
        shop = catalog_lib.Service(name="s", depends_on=(), routes=routes)
        catalog = catalog_lib.Catalog(version=1, services={"s": shop})
        route = catalog.find_route("s", method, path)
        return route.path if route else None

    def test_longest_prefix_of_whole_segments_wins(self):
        assert self.find_route_path("/lots/17") == "/lots"
        assert self.find_route_path("/lots/special/1") == "/lots/special"
        assert self.find_route_path("/lotsoff") == "/"

    def test_route_with_other_methods_is_skipped(self):
        assert self.find_route_path("/lots", "POST") == "/"

    def test_unknown_service_has_no_route(self):
        catalog = fake_mesh.make_catalog(1, "a")
        assert catalog.find_route("b", "GET", "/") is None
