"""Tests of second attempts beside a straggling or silent first one."""

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core.calls import call as call_lib
from monsoonpass.core.calls import hedging
from monsoonpass.core.distribution import host_route
from tests import test_host_route
from tests import test_routing

MEDIAN_S = 0.1


class Scene:
    """A call whose only attempt was sent to instance "x" and is silent."""

    def __init__(self, *, kind=host_route.RouteKind.IDEMPOTENT, **instances):
        self.scene = test_routing.Scene(**instances)
        self.state = self.scene.state
        self.started_s = self.scene.mesh.now_s
        self.call = call_lib.Call(
            call_id=1,
            service="shop",
            route=test_host_route.make_route("/", kind=kind),
            statistics_key="r",
            arrived_s=self.started_s,
            deadline_s=self.started_s + 2.0,
            objective_deadline_s=self.started_s + 0.5,
        )
        self.call.attempts[1] = call_lib.Attempt(
            instance="x", started_s=self.started_s
        )
        self.state.calls[1] = self.call
        for _ in range(hedging.SAMPLES_MIN):
            self.state.routing.median("r").add(MEDIAN_S)

    def choose(self, after_s: float):
        """Return the instance chosen after a time, and the next delay."""
        event = events.Event(now_s=self.started_s + after_s, random_bits=5)
        choice, result = hedging.choose(self.state, event, self.call)
        delays = [e.delay_s for e in result if isinstance(e, effects.SetTimer)]
        return choice.instance if choice else None, delays


class TestHedge:
    def test_straggler_is_hedged_in_the_own_data_centre(self):
        scene = Scene(x=("a1", 0), near=("a1", 0), far=("a2", 0))
        assert scene.choose(0.2) == ("near", [])

    def test_call_is_hedged_once(self):
        scene = Scene(x=("a1", 0), near=("a1", 0))
        scene.choose(0.2)
        assert scene.choose(0.3) == (None, [])

    def test_hedge_needs_a_free_slot(self):
        scene = Scene(x=("a1", 0), near=("a1", 4))
        assert scene.choose(0.6) == (None, [])


class TestSilence:
    def test_silent_attempt_gets_a_second_one_in_another_data_centre(self):
        """An upstream never answers what it cannot queue.

        Guard: `silent_in_s` in hedging.choose.
        """
        scene = Scene(x=("a1", 0), far=("a2", 0))
        instance, delays = scene.choose(0.2)
        assert instance is None
        assert delays and abs(delays[0] - 0.3) < 0.01
        assert scene.choose(0.51) == ("far", [])

    def test_silence_never_starts_more_attempts_than_the_route_allows(self):
        scene = Scene(x=("a1", 0), far=("a2", 0))
        scene.call.upstreams_reached = scene.call.route.attempts_max
        assert scene.choose(0.6) == (None, [])

    def test_call_that_must_not_be_repeated_waits_for_its_answer(self):
        scene = Scene(
            kind=host_route.RouteKind.ONCE, x=("a1", 0), far=("a2", 0)
        )
        assert hedging.arm(scene.state, scene.call) == []
