"""Tests of the bounds of second tries."""

import dataclasses

from monsoonpass.core.calls import budget
from monsoonpass.core.calls import call as call_lib
from tests import fake_calls
from tests import test_host_route
from tests import test_routing

RATIO = 0.2
SLACK = 60.0


class TestBudget:
    def test_all_nodes_together_stay_within_the_fleets_budget(self):
        """Replays a fleet whose first sends all fail.

        Guard: the division by `nodes` in budget.of.
        """
        spent = calls = 0
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
                budget.of(state, "shop").deposit()
                spent += budget.of(state, "shop").withdraw()
        assert spent <= RATIO * calls + SLACK

    def test_most_of_a_nodes_budget_comes_with_its_calls(self):
        scene = test_routing.Scene(x=("a1", 0))
        state = scene.state
        state.settings = dataclasses.replace(
            state.settings, retry_ratio=RATIO, retry_slack=SLACK
        )
        part = budget.of(scene.state, "shop")
        while part.withdraw():
            pass
        for _ in range(100):
            part.deposit()
        assert part.tokens <= 100 * RATIO


class TestBounds:
    def test_call_reaches_no_more_upstreams_than_its_route_allows(self):
        """Guard: the sum in Call.may_reach_another."""
        route = test_host_route.make_route("/", attempts_max=2)
        call = call_lib.Call(
            call_id=1,
            service="shop",
            route=route,
            route_name="r",
            arrived_s=0.0,
            deadline_s=1.0,
            best_before_s=0.5,
        )
        assert call.may_reach_another
        call.attempts[1] = call_lib.Attempt(instance="x", started_s=0.0)
        assert call.may_reach_another
        call.arrivals += 1
        assert not call.may_reach_another


class TestBusy:
    def test_call_that_no_other_serves_sooner_waits_where_it_may(self):
        """Replays two callers that meet at an upstream both believed free.

        Guard: `busy_at` in attempts.try_next.
        """
        mesh = fake_calls.make_shop(
            seed_number=4, nodes=1, slots=1, entries=2, deadline_s=0.5
        )
        mesh.nodes["o0"].service_s = lambda _: 0.02
        records = []
        for _ in range(20):
            records += [mesh.call("e0"), mesh.call("e1")]
            mesh.run(0.2)
        failures = [record.failure for record in records if record.failure]
        assert failures == []
