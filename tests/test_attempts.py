"""Tests of the bounds on retries and attempts."""

import dataclasses

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core.calls import call as call_lib
from monsoonpass.core.calls import retry_budget
from tests import fake_calls
from tests import test_host_route
from tests import test_own_upstream
from tests import test_routing

RATIO = 0.2
SLACK = 60.0


class TestBudget:
    def test_retries_of_all_nodes_stay_within_the_fleet_budget(self):
        """The first attempt of every call fails on each of twelve nodes.

        Guard: the division by `nodes` in retry_budget.for_service.
        """
        retries = calls = 0
        for _ in range(12):
            scene = test_routing.Scene(
                **{f"x{number}": ("a1", 0) for number in range(11)}
            )
            state = scene.state
            state.settings = dataclasses.replace(
                state.settings, retry_ratio=RATIO, retry_slack=SLACK
            )
            for _ in range(100):
                calls += 1
                retry_budget.for_service(state, "shop").deposit()
                retries += retry_budget.for_service(state, "shop").withdraw()
        assert retries <= RATIO * calls + SLACK

    def test_budget_is_refilled_in_proportion_to_calls(self):
        scene = test_routing.Scene(x=("a1", 0))
        state = scene.state
        state.settings = dataclasses.replace(
            state.settings, retry_ratio=RATIO, retry_slack=SLACK
        )
        node_budget = retry_budget.for_service(scene.state, "shop")
        while node_budget.withdraw():
            pass
        for _ in range(100):
            node_budget.deposit()
        assert node_budget.tokens <= 100 * RATIO


class TestChangedRatio:
    def test_changed_ratio_reaches_a_known_service(self):
        """Guard: `budget.ratio = ratio` in RoutingTable.budget."""
        scene = test_routing.Scene(x=("a1", 0))
        state = scene.state
        retry_budget.for_service(state, "shop")
        state.settings = dataclasses.replace(state.settings, retry_ratio=0.9)
        budget = retry_budget.for_service(state, "shop")
        assert budget.ratio == 0.9 * retry_budget.DIRECT_RETRY_SHARE


class TestBounds:
    def test_call_reaches_no_more_upstreams_than_its_route_allows(self):
        """Guard: the sum in Call.may_try_another_upstream."""
        route = test_host_route.make_route("/", attempts_max=2)
        call = call_lib.Call(
            call_id=1,
            service="shop",
            route=route,
            statistics_key="r",
            arrived_s=0.0,
            deadline_s=1.0,
            objective_deadline_s=0.5,
        )
        assert call.may_try_another_upstream
        call.attempts[1] = call_lib.Attempt(instance="x", started_s=0.0)
        assert call.may_try_another_upstream
        call.upstreams_reached += 1
        assert not call.may_try_another_upstream


class TestBusy:
    def test_call_refused_as_busy_queues_there_when_no_other_is_sooner(self):
        """Two entry nodes send a call each to the same single free slot.

        Guard: `busy_instance` in attempts.try_next.
        """
        mesh = fake_calls.make_call_mesh(
            seed_number=4, nodes=1, slots=1, entries=2, deadline_s=0.5
        )
        mesh.nodes["o0"].service_s = lambda _: 0.02
        records = []
        for _ in range(20):
            records += [mesh.call("e0"), mesh.call("e1")]
            mesh.run(0.2)
        failures = [record.failure for record in records if record.failure]
        assert failures == []

    def test_owner_leaves_the_time_to_come_back_exact_for_the_entry(self):
        """Two calls are refused with the same wait, at random bits that differ.

        Guard: `refuse_peer_call` in attempts.apply_decision.
        """
        scene = test_own_upstream.Scene()
        scene.announce(slots=1)
        scene.call()
        for number in (11, 12):
            scene.node.feed(
                events.PeerCallArrived,
                owner_call_id=number,
                service="shop",
                timeout_s=5.0,
                priority=1,
                bulk=False,
                route="r",
                objective_s=0.001,
            )
        first, second = (
            effect.failure.retry_after_s
            for effect in scene.node.performed_effects
            if isinstance(effect, effects.FailCall)
        )
        assert first == second
