"""Tests of host routes: prefixes, ordered deltas, weighted round robin."""

import collections
import dataclasses
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from monsoonpass import codec
from monsoonpass import errors
from monsoonpass.core.calls import weighted_round_robin
from monsoonpass.core.distribution import catalog as catalog_lib
from monsoonpass.core.distribution import host_route

PATHS = st.lists(st.sampled_from("abcdefgh"), unique=True)


def make_route(path: str, **changes) -> host_route.HostRoute:
    """Return a host route of `shop.example`."""
    fields = {
        "name": f"r{path}",
        "host": "shop.example",
        "path": path,
        "kind": host_route.RouteKind.IDEMPOTENT,
        "deadline_s": 1.0,
        "objective_s": 0.5,
        "priority": 1,
        "attempts_max": 2,
        "service": "shop",
    }
    return host_route.HostRoute(**{**fields, **changes})


def make_catalog(version: int, *routes, services=("shop", "pay")):
    """Return a configuration with the given host routes."""
    return catalog_lib.Catalog(
        version=version,
        services={
            name: catalog_lib.Service(name=name, depends_on=(), routes=())
            for name in services
        },
        routes=tuple(routes),
    )


class TestMatch:
    def test_longest_prefix_of_the_host_wins(self):
        catalog = make_catalog(
            1, make_route("/"), make_route("/lots/"), make_route("/lots/old/")
        )
        for path, name in (
            ("/lots/7", "r/lots/"),
            ("/lots/old/7", "r/lots/old/"),
            ("/lots", "r/"),
        ):
            assert (
                catalog.match("shop.example", "GET", path).statistics_key
                == name
            )

    def test_other_hosts_and_paths_have_no_route(self):
        catalog = make_catalog(1, make_route("/lots/"))
        assert catalog.match("shop.example", "GET", "/lot/7") is None
        assert catalog.match("pay.example", "GET", "/lots/7") is None

    @hypothesis.given(
        st.lists(st.text("ab/", max_size=5), max_size=12),
        st.text("ab/", max_size=7),
    )
    def test_found_route_is_the_first_longest_prefix(self, paths, path):
        """A lookup by prefix lengths could miss a route or take a later one.

        Guard: the order of the lengths, and `setdefault`, in HostRouteTable.
        """
        routes = [
            make_route(item, name=str(position))
            for position, item in enumerate(paths)
        ]
        table = host_route.HostRouteTable(routes=tuple(routes))
        matching = [route for route in routes if path.startswith(route.path)]
        expected = max(matching, key=lambda r: len(r.path), default=None)
        assert table.find("shop.example", path) is expected
        assert table.find("pay.example", path) is None

    def test_route_to_an_unknown_service_is_refused(self):
        with pytest.raises(errors.DanglingReferenceError):
            make_catalog(1, make_route("/", service="nowhere"))


class TestDelta:
    def test_delta_that_leaves_a_route_without_its_service_is_refused(self):
        """Guard: `unchecked_routes` in Catalog.apply."""
        base = make_catalog(1, make_route("/", service="pay"))
        removing = dataclasses.replace(
            base.delta_to(make_catalog(2, services=("shop",))),
            routes_order=((0, 1),),
        )
        naming = dataclasses.replace(
            base.delta_to(make_catalog(2)),
            routes_changed=(make_route("/x", service="nowhere"),),
            routes_order=((0, 2),),
        )
        for delta in (removing, naming):
            with pytest.raises(errors.DanglingReferenceError):
                base.apply(delta)

    @hypothesis.given(PATHS, PATHS, st.randoms(use_true_random=False))
    def test_delta_yields_the_new_routes_in_order(self, old, new, rng):
        base = make_catalog(1, *(make_route(f"/{path}/") for path in old))
        target = make_catalog(
            2,
            *(
                make_route(f"/{path}/", service=rng.choice(("shop", "pay")))
                for path in new
            ),
        )
        delta = codec.decode(codec.encode(base.delta_to(target)))
        result = base.apply(delta)
        assert result.routes == target.routes
        assert result.digest == target.digest

    def test_added_route_makes_a_short_delta(self):
        routes = [make_route(f"/{number}/") for number in range(300)]
        base = make_catalog(1, *routes)
        delta = base.delta_to(make_catalog(2, *routes, make_route("/new/")))
        assert len(delta.routes_changed) == 1
        assert len(codec.encode(delta)) < 300

    @pytest.mark.parametrize("insert_at", [0, 1, 150, 299])
    def test_inserted_route_resends_no_other_route(self, insert_at):
        """Guards against deltas that grow with the configuration."""
        routes = [make_route(f"/{number}/") for number in range(300)]
        routes_with_new = [
            *routes[:insert_at],
            make_route("/new/"),
            *routes[insert_at:],
        ]
        base = make_catalog(1, *routes)
        target = make_catalog(2, *routes_with_new)
        added = base.delta_to(target)
        removed = target.delta_to(make_catalog(3, *routes))
        assert len(codec.encode(added)) < 300
        assert len(codec.encode(removed)) < 300

    @pytest.mark.parametrize(
        "order", [((0, 3),), ((-1, 1),), ((0, 0),), ((0, 1), (0, 1), (0, 1))]
    )
    def test_invalid_route_order_is_refused(self, order):
        base = make_catalog(1, make_route("/a/"), make_route("/b/"))
        delta = base.delta_to(make_catalog(2, make_route("/b/")))
        delta_with_bad_order = dataclasses.replace(delta, routes_order=order)
        with pytest.raises(errors.RouteOrderError):
            base.apply(delta_with_bad_order)


class TestPickService:
    @pytest.mark.parametrize("weights", [(90, 10), (1, 1, 1), (7, 2, 1)])
    def test_calls_are_split_by_weight(self, weights):
        """Guard: `rotation.credits[chosen] -= 1.0` in pick_service."""
        parts = tuple(
            host_route.WeightedService(service=f"s{number}", weight=weight)
            for number, weight in enumerate(weights)
        )
        route = make_route("/", service="", parts=parts)
        match = catalog_lib.RouteMatch(
            route=route, statistics_key=route.name, services=route.services
        )
        states: dict[str, weighted_round_robin.RoundRobinState] = {}
        rng = random.Random(7)
        for calls in (50, 50):
            counted = collections.Counter(
                weighted_round_robin.pick_service(
                    states, match, rng.getrandbits(64)
                )
                for _ in range(calls)
            )
            for part in parts:
                share = part.weight / sum(weights)
                assert abs(counted[part.service] - share * calls) <= 2
