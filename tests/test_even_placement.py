"""Tests of the even placement: load patterns replayed in a model of a mesh."""

import dataclasses
import itertools
import math
import statistics

import pytest

from monsoonpass.core import events
from monsoonpass.core.calls import admission as admission_lib
from monsoonpass.core.calls import outcome
from monsoonpass.core.calls import owner_call
from monsoonpass.core.calls import placement
from monsoonpass.core.calls import routing
from monsoonpass.core.calls import slots as slots_lib
from monsoonpass.core.membership import directory
from monsoonpass.core.membership import member as member_lib
from tests import load_model
from tests import test_routing

READ = load_model.Kind(
    name="read",
    service="front",
    rate=200.0,
    work_s=0.1,
    objective_s=0.4,
    deadline_s=1.6,
)
# 16 upstreams with 80 slots; 200 calls a second of 0.1 s use about a quarter.
SMALL = load_model.Deployment(
    upstreams={"front": 16},
    slots=5,
    kinds=(READ,),
    same_region_s=0.0005,
    other_region_s=0.008,
)


def make_mesh(deployment=SMALL, *, seed=1, even_load=True, **changes):
    """Return a model of a deployment, with changed parameters."""
    deployment = dataclasses.replace(deployment, **changes)
    return load_model.LoadMesh(deployment, seed=seed, even_load=even_load)


def runs_of(mesh, node, duration_s) -> int:
    """Run the load for a time and return the calls that an upstream ran."""
    before = node.runs
    mesh.run(duration_s)
    return node.runs - before


class TestOldAgainstNew:
    """Both placements under the same load, from the start of a peak on."""

    @pytest.mark.parametrize(
        "deployment", [load_model.LOADED_A, load_model.LOADED_B]
    )
    def test_load_is_more_even_with_fewer_hops_and_less_between_regions(
        self, deployment
    ):
        """Guard: the choice by occupancy in even_placement.choose."""
        old, new = (
            make_mesh(deployment, even_load=even_load).play(5.0)
            for even_load in (False, True)
        )
        old_spread = statistics.fmean(old["spread"].values())
        new_spread = statistics.fmean(new["spread"].values())
        assert new_spread < 0.92 * old_spread
        assert new["hops"] < 0.85 * old["hops"]
        assert new["hops refused"] < old["hops refused"]
        calls = "calls between regions"
        assert new["moved"].get(calls, 0) < 0.5 * old["moved"][calls]
        assert new["served worth"] > old["served worth"] - 0.01


class TestInstances:
    """Instances that are slow, cold, new, shedding or recovering."""

    def start(self, **changes):
        """Return a mesh under load, after two seconds."""
        mesh = make_mesh(**changes)
        mesh.start_load(60.0)
        mesh.run(2.0)
        return mesh

    def test_new_instance_gets_calls_within_a_second_but_not_a_flood(self):
        """Guard: the first turn of a new instance in even_placement._fill."""
        mesh = self.start()
        node = mesh.add_node("front", 99, even_load=True)
        usual = sum(n.runs for n in mesh.nodes.values()) / 2.0 / 16
        assert 1 <= runs_of(mesh, node, 1.0) < 4 * usual

    def test_cold_instance_gets_fewer_calls_until_it_is_warm(self):
        """Guard: `reroutable_limit` in Admission.load."""
        mesh = self.start(load=3.0)
        cold = mesh.add_node("front", 99, even_load=True, cold_s=4.0)
        warm = mesh.add_node("front", 103, even_load=True)
        cold.speed = warm.speed = 1.0
        cold_runs, warm_runs = cold.runs, warm.runs
        mesh.run(1.5)
        cold_runs, warm_runs = cold.runs - cold_runs, warm.runs - warm_runs
        assert 1 <= cold_runs < 0.7 * warm_runs
        mesh.run(4.0)
        assert runs_of(mesh, cold, 2.0) > cold_runs

    def test_slow_instance_gets_fewer_calls_and_then_its_part_again(self):
        """Guard: CAPACITY_AGE_S and REPORT_AGE_FACTOR in even_placement."""
        mesh = self.start(load=2.5)
        node = mesh.nodes["front1"]
        usual = runs_of(mesh, node, 2.0)
        node.slow_until_s = mesh.now_s + 3.0
        mesh.run(1.0)
        slow = runs_of(mesh, node, 2.0)
        assert slow < 0.8 * usual
        mesh.run(1.0)
        assert runs_of(mesh, node, 2.0) > 0.75 * usual

    def test_shedding_instance_gets_few_calls_and_then_its_part_again(self):
        """Guard: `shed_share` in Admission.load."""
        mesh = self.start()
        node = mesh.nodes["front1"]
        usual = runs_of(mesh, node, 2.0)
        node.shed_share = 0.8
        mesh.run(1.0)
        assert 1 <= runs_of(mesh, node, 2.0) < 0.5 * usual
        node.shed_share = 0.0
        mesh.run(2.0)
        assert runs_of(mesh, node, 2.0) > 0.6 * usual

    def test_instance_whose_last_report_was_full_is_used_again(self):
        """Guard: the weight of a report by its age in even_placement._best."""
        scene = make_scene(x=("a1", 40), y=("a1", 0))
        assert choose(scene) == "y"
        scene.mesh.run(5.0)
        full = outcome.Load(
            slots=4, in_progress=4, queued=4, service_time_s=0.1
        )
        scene.state.routing.record_load("y", full, scene.mesh.now_s)
        assert choose(scene) == "x"


def make_scene(**instances):
    """Return a node with the even placement, and the members it knows."""
    scene = test_routing.Scene(**instances)
    scene.state.settings = dataclasses.replace(
        scene.state.settings, even_load=True
    )
    return scene


def choose(scene, objective_s=0.4, tried=frozenset(), usual_s=math.inf):
    """Return the name of the chosen instance, or None."""
    event = events.Event(now_s=scene.mesh.now_s, random_bits=5)
    chosen = placement.choose(
        scene.state, event, "shop", set(tried), objective_s, usual_s
    )
    return chosen.instance if chosen else None


class TestChoose:
    @pytest.mark.parametrize(
        ("instances", "expected"),
        [
            ({"x": ("a1", 3), "y": ("a2", 0), "z": ("b1", 0)}, "x"),
            ({"x": ("a1", 4), "y": ("a2", 3), "z": ("b1", 0)}, "y"),
            ({"x": ("a1", 5), "y": ("a2", 9), "z": ("b1", 0)}, "x"),
            ({"x": ("a1", 40), "y": ("a2", 40), "z": ("b1", 0)}, "z"),
            ({"x": ("a1", 80), "y": ("a2", 60), "z": ("b1", 40)}, "y"),
        ],
    )
    def test_free_nearby_slot_then_short_wait_then_other_region_is_chosen(
        self, instances, expected
    ):
        assert choose(make_scene(**instances)) == expected

    def test_refused_call_gets_no_second_instance_when_all_are_overloaded(self):
        """Guard: the last lines of even_placement.choose."""
        scene = make_scene(x=("a1", 80), y=("a2", 80), z=("b1", 80))
        first = choose(scene)
        assert first in ("x", "y")
        assert choose(scene, tried={first}) is None

    def test_refused_call_of_a_short_route_goes_on_where_its_wait_fits(self):
        """Guard: `usual_s` in Estimate.predicted_s.

        Load pattern: short calls share a service with calls of four times
        their service time. By the mean of both, a short call would miss its
        objective everywhere, and it was refused beside a short queue.
        """
        scene = make_scene(x=("a1", 6), y=("a1", 4))
        assert choose(scene, objective_s=0.1, tried={"x"}) is None
        chosen = choose(scene, objective_s=0.1, tried={"x"}, usual_s=0.06)
        assert chosen == "y"

    def test_refused_call_that_overtakes_the_queue_goes_on(self):
        """Guard: even_placement._overtakes.

        Load pattern: running work makes urgent calls with a short objective at
        a service whose queue is long. They wait for one slot only, but were
        refused by the length of the queue, and their work was in vain.
        """
        scene = make_scene(x=("a1", 12), y=("a1", 12), z=("b1", 12))
        assert choose(scene, objective_s=0.2, tried={"x"}) is None
        chosen = choose(scene, objective_s=0.2, tried={"x"}, usual_s=0.06)
        assert chosen == "y"
        assert choose(scene, 0.2, {"x"}, usual_s=0.09) is None

    def test_ejected_instance_is_left_out_unless_too_few_are_left(self):
        """Guard: `uses_ejected` in even_placement._count_ejected."""
        scene = make_scene(x=("a1", 0), y=("a1", 3), z=("a1", 3))
        scene.state.routing.mark_unreachable("x", scene.mesh.now_s)
        assert choose(scene) in ("y", "z")
        scene.mesh.run(0.2)
        scene.state.routing.mark_unreachable("y", scene.mesh.now_s)
        assert choose(scene) in ("x", "y")

    def test_draining_instance_is_not_chosen(self):
        """Guard: the revision of the member table in even_placement._pool."""
        scene = make_scene(x=("a1", 0), y=("a1", 3))
        assert choose(scene) == "x"
        table = scene.state.membership.table
        record = dataclasses.replace(
            table.get("x"),
            incarnation=2,
            upstream=member_lib.UpstreamState.DRAINING,
        )
        table.put(record, scene.mesh.now_s)
        assert choose(scene) == "y"

    def test_endpoints_of_another_data_centre_are_used_once_they_arrive(self):
        """Guard: `received_s` of the endpoints in even_placement._pool."""
        scene = make_scene()
        assert choose(scene) is None
        scene.add("x", "b1", 0)
        member = scene.state.membership.table.get("x")
        scene.state.membership.table.by_service.clear()
        scene.state.directory.endpoints["shop"] = {
            "b1": directory.Endpoints(
                members=(member,), received_s=scene.mesh.now_s
            )
        }
        assert choose(scene) == "x"

    def test_without_the_setting_the_choice_is_the_old_one(self):
        """Guard: the default of `even_load`, and placement.choose."""
        scene = test_routing.Scene(x=("a1", 0), y=("a1", 1), z=("a1", 2))
        assert not scene.state.settings.even_load
        for bits in range(20):
            event = events.Event(now_s=scene.mesh.now_s, random_bits=bits)
            arguments = (scene.state, event, "shop", set(), 0.4)
            assert placement.choose(*arguments) == routing.choose(*arguments)
        assert not scene.state.routing.pools


class TestReservedSlots:
    @pytest.mark.parametrize(("even_load", "expected"), [(False, 1), (True, 4)])
    def test_long_calls_leave_less_to_short_ones_with_even_load(
        self, even_load, expected
    ):
        """Guard: EVEN_RESERVE_SHARE in Admission._reserved_for_short.

        Load pattern: short urgent calls use three of five slots, and uploads,
        which take five times as long, need one or two. With slots reserved for
        the peaks of the short calls, uploads had one slot and most were
        refused, while slots were idle.
        """
        admission = admission_lib.Admission()
        admission.even_load = even_load
        admission.announce(service="back", slots=5, cold=False, now_s=0.0)
        numbers = itertools.count()

        def offer(route, priority, now_s):
            call = owner_call.OwnerCall(
                owner_call_id=next(numbers),
                priority=priority,
                deadline_s=now_s + 3.0,
                bulk=route == "upload",
                route=route,
                arrived_s=now_s,
                objective_deadline_s=now_s + 1.0,
            )
            admission.offer(call, now_s)
            return call.owner_call_id

        for step in range(140):
            now_s = step / 70
            route, service_s = "short", 0.042
            if step % 20 == 0:
                route, service_s = "upload", 0.22
            number = offer(route, 0 if route == "short" else 2, now_s)
            admission.finish(
                number, service_time_s=service_s, ok=True, now_s=now_s
            )
        for _ in range(5):
            offer("upload", 2, 2.0)
        assert len(admission.in_progress) == expected


class TestShedShare:
    def test_share_follows_sheds_and_fades_without_calls(self):
        """Guard: SHED_SHARE_HALF_LIFE_S in slots.Slots.shed_share."""
        slots = slots_lib.Slots()
        slots.announce(5, cold=False, cold_s=0.0, now_s=0.0)
        for _ in range(30):
            slots.record_shed(1.0)
        assert slots.shed_share(1.0) > 0.9
        assert slots.shed_share(3.0) == pytest.approx(
            slots.shed_share(1.0) / 4.0
        )
