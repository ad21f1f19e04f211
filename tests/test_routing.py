"""Tests of instance choice: free slots, short waits and other regions."""

import dataclasses

import pytest

from monsoonpass.core import events
from monsoonpass.core import timers
from monsoonpass.core.calls import call as call_lib
from monsoonpass.core.calls import outcome
from monsoonpass.core.calls import retry_after
from monsoonpass.core.calls import routing
from monsoonpass.core.calls import routing_table
from monsoonpass.core.membership import member as member_lib
from tests import fake_mesh
from tests import test_host_route

SERVICE_S = 0.1


class Scene:
    """A node in data centre a1 of region a, and the members it knows."""

    def __init__(self, **instances):
        self.mesh = fake_mesh.FakeMesh(seed=3)
        node = self.mesh.add(
            "n", data_centre="a1", disk=False, seeds=(), voters=(), flat=True
        )
        node.settings = dataclasses.replace(node.settings, region="a")
        node.start()
        self.node = node
        self.state = node.state
        self.event = events.Event(now_s=self.mesh.now_s, random_bits=5)
        for name, (data_centre, busy) in instances.items():
            self.add(name, data_centre, busy)

    def add(self, name: str, data_centre: str, busy: int) -> None:
        """Add an instance with four slots and `busy` active calls."""
        now_s = self.mesh.now_s
        member = member_lib.Member(
            address=fake_mesh.make_address(name),
            data_centre=data_centre,
            region=data_centre[0],
            incarnation=1,
            state=member_lib.MemberState.ALIVE,
            has_disk=False,
            service="shop",
            slots=4,
            upstream=member_lib.UpstreamState.READY,
        )
        self.state.membership.table.put(member, now_s)
        load = outcome.Load(
            slots=4,
            in_progress=min(busy, 4),
            queued=max(busy - 4, 0),
            service_time_s=SERVICE_S,
        )
        self.state.routing.record_load(name, load, now_s)

    def choose(self, objective_s: float, tried=frozenset()) -> str | None:
        """Return the name of the chosen instance."""
        chosen = routing.choose(
            self.state, self.event, "shop", set(tried), objective_s
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
        assert Scene(**instances).choose(objective_s=0.4) == expected

    def test_refused_call_gets_no_second_instance_when_all_are_overloaded(self):
        """Guard: the last line of routing.choose."""
        scene = Scene(x=("a1", 80), y=("a2", 80), z=("b1", 80))
        first = scene.choose(objective_s=0.4)
        assert first in ("x", "y")
        assert scene.choose(objective_s=0.4, tried={first}) is None

    def test_instance_that_reported_zero_slots_can_still_be_chosen(self):
        """Guard: the bound of `slots` in RoutingTable.predict_s."""
        scene = Scene(x=("a1", 0), y=("a1", 0))
        no_slots = outcome.Load(
            slots=0, in_progress=0, queued=0, service_time_s=SERVICE_S
        )
        for name in ("x", "y"):
            scene.state.routing.record_load(name, no_slots, scene.mesh.now_s)
        later = events.Event(now_s=scene.mesh.now_s + 2.0, random_bits=5)
        chosen = routing.choose(scene.state, later, "shop", set(), 0.4)
        assert chosen is not None


class TestAcceptsCallsAgain:
    """A member accepts calls again after a restart or a withdrawal."""

    def deliver_update(self, scene, incarnation, **changes) -> None:
        """Deliver a membership update of instance x."""
        known = scene.state.membership.table.get("x")
        update = dataclasses.replace(known, incarnation=incarnation, **changes)
        scene.node.feed(
            events.PeerMessage,
            sender=fake_mesh.make_address("x"),
            message=member_lib.Rumour(updates=(update,)),
        )

    @pytest.mark.parametrize(
        "before",
        [
            {"upstream": member_lib.UpstreamState.NONE},
            {"upstream": member_lib.UpstreamState.DRAINING},
            {"state": member_lib.MemberState.LEFT},
        ],
    )
    def test_earlier_failures_are_forgotten_when_calls_are_accepted_again(
        self, before
    ):
        """Guard: `reset_observations` in gossip.merge."""
        scene = Scene(x=("a1", 0), y=("a1", 0), z=("a1", 0))
        table = scene.state.routing
        table.mark_unreachable("x", scene.mesh.now_s)
        peer = table.peer("x")
        peer.consecutive_failures = 2
        self.deliver_update(scene, 2, **before)
        assert peer.ejected_until_s > scene.mesh.now_s
        ready = member_lib.UpstreamState.READY
        alive = member_lib.MemberState.ALIVE
        self.deliver_update(scene, 3, upstream=ready, state=alive)
        assert peer.ejected_until_s <= scene.mesh.now_s
        assert peer.consecutive_failures == 0

    def test_instance_that_fails_for_long_stays_ejected_for_a_bounded_time(
        self,
    ):
        """Failure: the node ended when the length of the ejection overflowed.

        Guard: `backoff.doubled_s` in record_timeout.
        """
        scene = Scene(x=("a1", 0), y=("a1", 0), z=("a1", 0))
        table, now_s = scene.state.routing, scene.mesh.now_s
        for _ in range(1100 * routing_table.EJECT_AFTER_FAILURES):
            table.record_failure("x", now_s)
        ejected_s = table.peer("x").ejected_until_s - now_s
        assert ejected_s == routing_table.EJECT_MAX_S

    def test_update_of_a_member_that_still_accepts_calls_keeps_its_ejection(
        self,
    ):
        scene = Scene(x=("a1", 0), y=("a1", 0), z=("a1", 0))
        scene.state.routing.mark_unreachable("x", scene.mesh.now_s)
        self.deliver_update(scene, 2, slots=5)
        peer = scene.state.routing.peer("x")
        assert peer.ejected_until_s > scene.mesh.now_s


class TestRetryAfter:
    def test_retry_after_times_are_spread(self):
        """Guard: the random factor in retry_after.with_retry_after."""
        failure = outcome.Failure(
            outcome=call_lib.NOT_RUN,
            reason=outcome.Reason.OVERLOADED,
            retry_after_s=0.2,
        )
        retry_times_s = set()
        for number in range(50):
            result = retry_after.with_retry_after(failure, number * 7919)
            retry_times_s.add(round(result.retry_after_s, 2))
        assert min(retry_times_s) >= 0.2
        assert max(retry_times_s) <= 0.2 * retry_after.RETRY_AFTER_SPREAD
        assert len(retry_times_s) > 10


class TestRecordTimeout:
    def test_deadline_lowers_the_calls_in_flight_once(self):
        """Two calls are in flight, and one of them reaches its deadline.

        Guard: `record_timeout` in the handler of CallDeadline.
        """
        scene = Scene(x=("a1", 0))
        table = scene.state.routing
        now_s = scene.mesh.now_s
        for call_id in (1, 2):
            call = call_lib.Call(
                call_id=call_id,
                service="shop",
                route=test_host_route.make_route("/"),
                statistics_key="r",
                arrived_s=now_s,
                deadline_s=now_s + 1.0,
                objective_deadline_s=now_s + 0.5,
            )
            call.attempts[1] = call_lib.Attempt(instance="x", started_s=now_s)
            scene.state.calls[call_id] = call
            table.record_sent("x")
        scene.node.feed(events.TimerFired, timer=timers.CallDeadline(call_id=1))
        assert table.peer("x").in_flight == 1
        assert table.peer("x").consecutive_failures == 1
