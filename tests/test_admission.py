"""Tests of admission: slots, classes, priorities and early refusal."""

import pytest

from monsoonpass.core.calls import admission
from monsoonpass.core.calls import caller_timeouts
from monsoonpass.core.calls import outcome
from monsoonpass.core.calls import overload_age
from monsoonpass.core.calls import owner_call as owner_call_lib
from monsoonpass.core.calls import slots as slots_lib


def make_admission(slots: int = 4, queue_limit: int = 8) -> admission.Admission:
    """Return an admission controller with an announced upstream."""
    made = admission.Admission(queue_limit=queue_limit)
    made.announce(service="shop", slots=slots, cold=False, now_s=0.0)
    return made


def make_call(number: int, **changes) -> owner_call_lib.OwnerCall:
    """Return a call of a short route with a distant deadline."""
    fields = {
        "owner_call_id": number,
        "priority": 2,
        "deadline_s": 1000.0,
        "bulk": False,
        "route": "short",
        "arrived_s": 0.0,
    }
    return owner_call_lib.OwnerCall(**{**fields, **changes})


def train(
    controller: admission.Admission,
    route: str,
    service_s: float,
    calls: int = 60,
) -> None:
    """Run calls of a route with a given service time."""
    for number in range(1000, 1000 + calls):
        controller.offer(make_call(number, route=route), 0.0)
        controller.finish(number, service_time_s=service_s, ok=True, now_s=0.0)


class TestSlots:
    def test_running_calls_never_exceed_the_slots(self):
        controller = make_admission(slots=4)
        dispatched = []
        for number in range(10):
            dispatched += controller.offer(make_call(number), 0.0).dispatched
        assert len(dispatched) == 4
        assert controller.queued == 6

    def test_finished_call_frees_its_slot_for_the_next_queued_call(self):
        controller = make_admission(slots=1)
        controller.offer(make_call(1), 0.0)
        controller.offer(make_call(2), 0.0)
        decision = controller.finish(
            1, service_time_s=0.01, ok=True, now_s=0.01
        )
        assert [call.owner_call_id for call in decision.dispatched] == [2]

    def test_cold_upstream_gets_reroutable_calls_gradually(self):
        """Guard: `is_reroutable_limit_reached` in Admission.offer."""
        controller = admission.Admission()
        controller.announce(service="shop", slots=8, cold=True, now_s=0.0)
        for number in range(8):
            controller.offer(make_call(number, reroutable=True), 0.0)
        assert len(controller.in_progress) == 2
        for number in range(8, 16):
            now_s = slots_lib.SLOW_START_S
            controller.offer(make_call(number, reroutable=True), now_s)
        assert len(controller.in_progress) == 8

    def test_cold_upstream_gets_all_calls_that_cannot_be_rerouted(self):
        """All upstreams of a service have just started, so none is faster.

        Guard: `usable` instead of `reroutable_limit` in Admission._fill_slots.
        """
        controller = admission.Admission()
        controller.announce(service="shop", slots=8, cold=True, now_s=0.0)
        for number in range(8):
            controller.offer(make_call(number), 0.0)
        assert len(controller.in_progress) == 8


class TestShedding:
    def test_slot_limit_shrinks_on_shedding_and_recovers_on_answers(self):
        """Guard: `if shed` in Admission.finish."""
        controller = make_admission(slots=8, queue_limit=1000)
        for number in range(8):
            controller.offer(make_call(number), 0.0)
        for number in range(5):
            controller.finish(
                number, service_time_s=0.001, ok=True, now_s=0.1, shed=True
            )
        for number in range(100, 120):
            controller.offer(make_call(number), 0.2)
        reduced = len(controller.in_progress)
        assert reduced == 3
        for number in range(200, 280):
            running = next(iter(controller.in_progress))
            controller.finish(running, service_time_s=0.001, ok=True, now_s=0.3)
            controller.offer(make_call(number), 0.3)
        for number in range(9000, 9020):
            controller.offer(make_call(number), 0.4)
        assert len(controller.in_progress) == 8


class TestFewSlots:
    """An upstream with one to three slots sheds calls."""

    @pytest.mark.parametrize("slots", [1, 2, 3])
    def test_upstream_is_used_again_after_it_has_shed(self, slots):
        """Guards against an upstream that is never used again."""
        controller = make_admission(slots=slots)
        for number in range(20):
            now_s = float(number)
            assert controller.offer(make_call(number), now_s).dispatched
            controller.finish(
                number, service_time_s=0.01, ok=False, now_s=now_s, shed=True
            )
        for number in range(100, 120):
            now_s = float(number)
            assert controller.offer(make_call(number), now_s).dispatched
            controller.finish(number, service_time_s=0.01, ok=True, now_s=now_s)
        dispatched = []
        for number in range(200, 200 + slots):
            dispatched += controller.offer(make_call(number), 200.0).dispatched
        assert len(dispatched) == slots


class TestSilence:
    def end_silently(self, controller, service_time_s: float) -> None:
        """End the oldest call in progress without any answer."""
        number = next(iter(controller.in_progress))
        controller.finish(
            number,
            service_time_s=service_time_s,
            ok=False,
            now_s=10.0,
            silent=True,
        )

    def test_calls_that_are_never_answered_shrink_the_slots(self):
        """An upstream never answers what it cannot queue.

        Guard: `silent` in Admission.finish.
        """
        controller = make_admission(slots=8, queue_limit=1000)
        train(controller, "short", 0.1)
        for number in range(16):
            controller.offer(make_call(number), 9.0)
        self.end_silently(controller, 1.2)
        self.end_silently(controller, 1.2)
        assert len(controller.in_progress) < 8

    def test_call_that_its_caller_left_early_does_not_count_as_silent(self):
        controller = make_admission(slots=8, queue_limit=1000)
        train(controller, "short", 0.1)
        for number in range(16):
            controller.offer(make_call(number), 9.0)
        self.end_silently(controller, 0.2)
        self.end_silently(controller, 0.2)
        assert len(controller.in_progress) == 8


class TestOrder:
    def test_queue_is_ordered_by_priority_then_deadline(self):
        controller = make_admission(slots=1)
        controller.offer(make_call(0), 0.0)
        controller.offer(make_call(1, priority=2, deadline_s=500.0), 0.0)
        controller.offer(make_call(2, priority=2, deadline_s=400.0), 0.0)
        controller.offer(make_call(3, priority=0), 0.0)
        order = []
        for _ in range(3):
            running = next(iter(controller.in_progress))
            decision = controller.finish(
                running, service_time_s=0.01, ok=True, now_s=0.1
            )
            order += [call.owner_call_id for call in decision.dispatched]
        assert order == [3, 2, 1]

    def test_full_queue_refuses_the_call_with_the_lowest_precedence(self):
        controller = make_admission(slots=1, queue_limit=2)
        for number in range(3):
            controller.offer(make_call(number), 0.0)
        decision = controller.offer(make_call(9, priority=0), 0.0)
        assert [r.call.owner_call_id for r in decision.refused] == [2]
        failure = decision.refused[0].failure
        assert failure.outcome is outcome.Outcome.NOT_RUN
        assert failure.retry_after_s > 0


class TestRefusal:
    def test_call_that_cannot_meet_its_deadline_is_refused_on_arrival(self):
        controller = make_admission(slots=1)
        train(controller, "short", 1.0)
        controller.offer(make_call(1), 0.0)
        decision = controller.offer(make_call(2, deadline_s=0.5), 0.0)
        assert [r.call.owner_call_id for r in decision.refused] == [2]

    def test_queued_call_is_refused_once_it_cannot_meet_its_deadline(self):
        controller = make_admission(slots=1)
        controller.offer(make_call(1), 0.0)
        controller.offer(make_call(2, deadline_s=5.0), 0.0)
        assert controller.expire(4.0).refused == []
        assert [
            r.call.owner_call_id for r in controller.expire(6.0).refused
        ] == [2]

    def test_reroutable_call_is_refused_instead_of_queued(self):
        """Guard: `call.reroutable and (is_long_wait` in Admission.offer."""
        controller = make_admission(slots=1)
        controller.offer(make_call(1), 0.0)
        decision = controller.offer(make_call(2, reroutable=True), 0.0)
        reason = decision.refused[0].failure.reason
        assert reason is outcome.Reason.BUSY


class TestLongCalls:
    def test_long_calls_leave_slots_free_for_short_calls(self):
        """Guard: `if long_running >= usable - reserved` in _fill_slots."""
        controller = make_admission(slots=4, queue_limit=100)
        train(controller, "short", 0.01, calls=200)
        train(controller, "long", 1.0, calls=20)
        for number in range(20):
            controller.offer(make_call(number, route="long"), 1.0)
        assert 1 <= len(controller.in_progress) <= 3
        decision = controller.offer(make_call(50, route="short"), 1.0)
        assert [call.owner_call_id for call in decision.dispatched] == [50]

    def test_long_calls_do_not_reserve_slots_for_less_urgent_short_calls(self):
        """Uploads arrive together with many less urgent lookups.

        Guard: the priority in Admission._reserved_for_short.
        """
        controller = make_admission(slots=9, queue_limit=1000)
        train(controller, "lookup", 0.02, calls=200)
        train(controller, "upload", 0.1, calls=20)
        for number in range(300):
            controller.offer(make_call(number, route="lookup"), number * 0.004)
            controller.finish(number, service_time_s=0.02, ok=True, now_s=1.0)
        for number in range(400, 406):
            controller.offer(make_call(number, route="upload", priority=1), 1.2)
        assert len(controller.in_progress) == 6

    def test_stragglers_of_a_short_route_count_as_long(self):
        controller = make_admission(slots=4, queue_limit=100)
        train(controller, "short", 0.01, calls=200)
        train(controller, "long", 1.0, calls=20)
        for number in range(3):
            controller.offer(make_call(number, route="short"), 1.0)
        decision = controller.offer(make_call(60, route="long"), 2.0)
        assert decision.dispatched == []
        decision = controller.offer(make_call(61, route="short"), 2.0)
        assert [call.owner_call_id for call in decision.dispatched] == [61]

    def test_bulk_flag_decides_until_the_service_time_is_known(self):
        controller = make_admission()
        assert controller.is_long(make_call(1, bulk=True, route="new"))
        train(controller, "new", 0.01)
        assert not controller.is_long(make_call(2, bulk=True, route="new"))


class TestPartialShedding:
    def test_random_shedding_does_not_reduce_the_slots_below_proven_concurrency(
        self,
    ):
        """An upstream at full concurrency sheds half of its calls at random.

        Guard: the floor of `_proven_concurrency` in Slots.record_shed.
        """
        controller = make_admission(slots=8, queue_limit=1000)
        running = []
        for number in range(500):
            decision = controller.offer(make_call(number), 0.0)
            running += [item.owner_call_id for item in decision.dispatched]
            if number < 8:
                continue
            decision = controller.finish(
                running.pop(0),
                service_time_s=0.1,
                ok=number % 2 == 1,
                now_s=0.0,
                shed=number % 2 == 0,
            )
            running += [item.owner_call_id for item in decision.dispatched]
            # No concurrency is proven during the first calls.
            assert number < 100 or len(controller.in_progress) == 8

    def test_upstream_with_less_capacity_than_announced_gets_fewer_calls(self):
        controller = make_admission(slots=8, queue_limit=1000)
        for number in range(400):
            controller.offer(make_call(number), 0.0)
        for _ in range(20):
            for item in list(controller.in_progress.values()):
                controller.finish(
                    item.owner_call_id,
                    service_time_s=0.1,
                    ok=item.concurrency <= 3,
                    now_s=0.0,
                    shed=item.concurrency > 3,
                )
        assert controller.queued
        assert len(controller.in_progress) <= 5


class TestObjective:
    def run_overload(self, objective_s: float) -> tuple[int, int]:
        """Offer calls at twice the capacity for two seconds.

        Returns:
            Number of calls answered within 0.3 s, and number of calls refused
            on arrival.
        """
        controller = make_admission(slots=4, queue_limit=1000)
        train(controller, "short", 0.1)
        ends: list[tuple[float, int]] = []
        arrived_s: dict[int, float] = {}
        in_time = refused = 0
        for number in range(160):
            now_s = number * 0.0125
            while ends and ends[0][0] <= now_s:
                end_s, done = ends.pop(0)
                in_time += end_s - arrived_s[done] <= 0.3 + 1e-9
                decision = controller.finish(
                    done, service_time_s=0.1, ok=True, now_s=end_s
                )
                ends += [
                    (end_s + 0.1, call.owner_call_id)
                    for call in decision.dispatched
                ]
                ends.sort()
            arrived_s[number] = now_s
            decision = controller.offer(
                make_call(
                    number,
                    deadline_s=now_s + 1.5,
                    objective_deadline_s=now_s + objective_s,
                ),
                now_s,
            )
            refused += len(decision.refused)
            ends += [
                (now_s + 0.1, call.owner_call_id)
                for call in decision.dispatched
            ]
            ends.sort()
        return in_time, refused

    def test_overload_is_answered_within_the_objective_or_refused_on_arrival(
        self,
    ):
        """Guard: `call.objective_deadline_s if wait_s` in Admission.offer."""
        in_time, refused = self.run_overload(objective_s=0.3)
        assert in_time >= 0.45 * 160
        assert refused > 0
        in_time_without_objective, _ = self.run_overload(objective_s=1.5)
        assert in_time > in_time_without_objective

    def test_calls_overtaken_by_urgent_ones_are_refused_without_a_long_wait(
        self,
    ):
        """Urgent calls fill most slots and keep overtaking the others.

        Guard: `_pace` in Admission.expected_wait_s.
        """
        controller = make_admission(slots=4, queue_limit=1000)
        train(controller, "short", 0.1)
        queue_times_s = []
        ends: list[tuple[float, int]] = []
        for number in range(400):
            now_s = number * 0.0125
            decisions = [controller.expire(now_s)]
            while ends and ends[0][0] <= now_s:
                end_s, done = ends.pop(0)
                decisions.append(
                    controller.finish(
                        done, service_time_s=0.1, ok=True, now_s=now_s
                    )
                )
            is_urgent = number % 2 == 0
            item = make_call(
                number,
                priority=1 if is_urgent else 2,
                route="urgent" if is_urgent else "short",
                arrived_s=now_s,
                objective_deadline_s=now_s + 0.3,
                deadline_s=now_s + 1.2,
            )
            decisions.append(controller.offer(item, now_s))
            for decision in decisions:
                ends += [
                    (now_s + 0.1, call.owner_call_id)
                    for call in decision.dispatched
                ]
                queue_times_s += [
                    now_s - r.call.arrived_s
                    for r in decision.refused
                    if r.call.priority == 2
                ]
            ends.sort()
        queue_times_s.sort()
        assert len(queue_times_s) > 100
        assert queue_times_s[len(queue_times_s) * 9 // 10] < 0.05

    def test_recovered_upstream_gets_calls_again_after_a_slow_period(self):
        """An upstream was slow for seconds and then recovers.

        Without probes, the learned service time would refuse all its calls.

        Guard: `is_probe` in Admission.offer and _refuse_late.
        """
        controller = make_admission(slots=4, queue_limit=1000)
        train(controller, "short", 5.0)
        served = 0
        for number in range(2000, 2010):
            now_s = number * 0.1
            item = make_call(
                number,
                arrived_s=now_s,
                objective_deadline_s=now_s + 0.3,
                deadline_s=now_s + 1.2,
            )
            for done in controller.offer(item, now_s).dispatched:
                served += 1
                controller.finish(
                    done.owner_call_id, service_time_s=0.1, ok=True, now_s=now_s
                )
        assert served == 10
        assert controller.expected_service_time_s("short") < 0.3

    def test_slow_route_gets_one_probe_call_at_a_time(self):
        controller = make_admission(slots=4, queue_limit=1000)
        train(controller, "short", 5.0)
        results = [
            controller.offer(
                make_call(number, objective_deadline_s=0.3, deadline_s=1.2), 0.0
            )
            for number in range(3)
        ]
        assert [len(result.dispatched) for result in results] == [1, 0, 0]
        assert [len(result.refused) for result in results] == [0, 1, 1]

    def test_queued_probe_is_refused_at_its_deadline(self):
        """A probe of a long route waits behind calls that hold all its slots.

        Guard: `call.deadline_s` in Admission._expires_at_s.
        """
        controller = make_admission(slots=2, queue_limit=1000)
        train(controller, "short", 0.01, calls=200)
        train(controller, "long", 5.0, calls=20)
        train(controller, "slow", 5.0, calls=20)
        train(controller, "short", 0.01, calls=400)
        controller.offer(make_call(1, route="long", bulk=True), 0.0)
        probe = make_call(
            2,
            route="slow",
            bulk=True,
            objective_deadline_s=0.3,
            deadline_s=1.2,
        )
        controller.offer(probe, 0.0)
        assert probe.is_probe
        assert controller.queued == 1
        assert controller.next_expiry_at_s() == 1.2
        assert controller.expire(1.1).refused == []
        (refused,) = controller.expire(1.3).refused
        assert refused.call is probe

    def test_starved_route_keeps_one_call_queued(self):
        """Guard: `if not queued_ahead` in QueuePace.expected_wait_s."""
        controller = make_admission(slots=1, queue_limit=1000)
        train(controller, "lookup", 0.02)
        controller.offer(make_call(1, route="other"), 0.0)
        controller.offer(
            make_call(2, route="lookup", objective_deadline_s=0.1), 0.0
        )
        controller.offer(
            make_call(3, route="lookup", objective_deadline_s=0.1), 0.0
        )
        controller.expire(2000.0)
        late = make_call(
            4,
            route="lookup",
            arrived_s=2000.0,
            objective_deadline_s=2000.1,
            deadline_s=3000.0,
        )
        assert controller.offer(late, 2000.0).refused == []
        assert controller.queued == 1

    def test_retry_after_matches_the_time_until_the_queue_has_drained(self):
        controller = make_admission(slots=1, queue_limit=1000)
        train(controller, "short", 0.1)
        for number in range(4):
            controller.offer(make_call(number, objective_deadline_s=9.0), 0.0)
        decision = controller.offer(make_call(9, objective_deadline_s=0.3), 0.0)
        retry_after_s = decision.refused[0].failure.retry_after_s
        assert 0.15 <= retry_after_s <= 0.3


class TestReturnedCalls:
    def run_overload(self) -> tuple[int, int]:
        """Offer calls at twice the capacity; refused ones return once.

        Returns:
            Number of calls answered in time, and number of all answers. The
            objective is 0.25 s from the first arrival, and the wait is
            predicted to one turn of a slot, 0.025 s.
        """
        controller = make_admission(slots=4, queue_limit=1000)
        train(controller, "short", 0.1)
        arrivals = [(number * 0.0125, number) for number in range(400)]
        first_s = {number: at_s for at_s, number in arrivals}
        ends: list[tuple[float, int]] = []
        answered_s: dict[int, float] = {}
        while arrivals or ends:
            if not arrivals or (ends and ends[0][0] <= arrivals[0][0]):
                now_s, done = ends.pop(0)
                answered_s[done % 1000] = now_s
                decision = controller.finish(
                    done, service_time_s=0.1, ok=True, now_s=now_s
                )
            else:
                now_s, number = arrivals.pop(0)
                first = first_s[number % 1000]
                call = make_call(
                    number,
                    arrived_s=now_s,
                    deadline_s=first + 1.0,
                    objective_deadline_s=first + 0.25,
                )
                decision = controller.offer(call, now_s)
            for refused in decision.refused:
                number = refused.call.owner_call_id
                retry_s = now_s + refused.failure.retry_after_s
                if number < 1000 and retry_s < first_s[number] + 1.0:
                    arrivals.append((retry_s, number + 1000))
            arrivals.sort()
            ends += [
                (now_s + 0.1, c.owner_call_id) for c in decision.dispatched
            ]
            ends.sort()
        in_time = sum(
            at_s - first_s[number] <= 0.275 + 1e-9
            for number, at_s in answered_s.items()
        )
        return in_time, len(answered_s)

    def test_returned_calls_do_not_make_new_calls_late(self):
        """Fewer are in time with the objective counted from each arrival.

        Guard: `has_returned_late` in OwnerCall and Admission.offer.
        """
        in_time, answered = self.run_overload()
        assert answered >= 190
        assert in_time >= 0.95 * answered

    def test_new_call_gets_a_slot_before_one_that_has_returned_late(self):
        """Guard: `is_late` in OwnerCall.queue_key."""
        controller = make_admission(slots=1)
        train(controller, "short", 0.01)
        controller.offer(make_call(1), 1.0)
        returned = make_call(
            2, arrived_s=1.0, objective_deadline_s=0.9, deadline_s=1.5
        )
        new = make_call(
            3, arrived_s=1.0, objective_deadline_s=1.25, deadline_s=2.0
        )
        controller.offer(returned, 1.0)
        controller.offer(new, 1.0)
        decision = controller.finish(1, service_time_s=0.01, ok=True, now_s=1.0)
        assert [call.owner_call_id for call in decision.dispatched] == [3]


class TestOverloadAge:
    def test_callers_are_told_that_a_long_overload_lasts(self):
        """Guard: `age_s` in Admission.offer."""
        controller = make_admission(slots=1)
        train(controller, "short", 0.1)
        controller.offer(make_call(0), 0.0)
        told_s = []
        for number in range(1, 30):
            now_s = number * 0.05
            call = make_call(
                number, arrived_s=now_s, objective_deadline_s=now_s + 0.1
            )
            (refused,) = controller.offer(call, now_s).refused
            told_s.append(refused.failure.retry_after_s)
        assert told_s[0] <= 0.2
        assert told_s[-1] >= 1.3
        assert told_s == sorted(told_s)

    def test_overload_begins_anew_after_a_quiet_time(self):
        """Guard: QUIET_S."""
        age = overload_age.OverloadAge()
        age.record_refusal(1, 0.0)
        assert age.record_refusal(1, 0.4) == 0.4
        assert age.record_refusal(1, 2.0) == 0.0

    def test_refusals_of_less_urgent_calls_do_not_count(self):
        age = overload_age.OverloadAge()
        age.record_refusal(2, 0.0)
        age.record_refusal(2, 0.4)
        assert age.record_refusal(1, 0.5) == 0.0


class TestCallerTimeouts:
    def test_new_calls_have_used_no_time(self):
        timeouts = caller_timeouts.CallerTimeouts()
        for timeout_s in (0.97, 0.88, 1.0, 0.86):
            assert timeouts.used_s("r", timeout_s) == 0.0

    def test_returned_call_has_used_the_missing_time(self):
        timeouts = caller_timeouts.CallerTimeouts()
        timeouts.used_s("r", 1.0)
        assert 0.3 < timeouts.used_s("r", 0.5) < 0.5

    def test_call_without_a_timeout_counts_as_new(self):
        timeouts = caller_timeouts.CallerTimeouts()
        assert timeouts.used_s("r", None) == 0.0

    def test_estimate_follows_callers_that_come_to_use_a_shorter_timeout(self):
        """Guard: LONGEST_DECAY."""
        timeouts = caller_timeouts.CallerTimeouts()
        timeouts.used_s("r", 2.0)
        for _ in range(1000):
            used_s = timeouts.used_s("r", 1.0)
        assert used_s == 0.0


class TestStop:
    def test_queued_call_is_refused_once_it_no_longer_fits_before_the_end(self):
        """Guard: `_latest_start_s` in Admission._refuse_late."""
        controller = make_admission(slots=1)
        train(controller, "short", 0.016)
        controller.offer(make_call(1), 0.0)
        controller.offer(make_call(2), 0.0)
        controller.end_s = 5.0
        assert controller.next_expiry_at_s() < 4.5
        assert controller.expire(4.0).refused == []
        refused = controller.expire(4.5).refused
        assert [r.call.owner_call_id for r in refused] == [2]
        assert refused[0].failure.reason is outcome.Reason.DRAINING

    def test_call_with_a_deadline_before_the_end_is_taken(self):
        controller = make_admission(slots=1)
        train(controller, "short", 0.1)
        controller.end_s = 5.0
        decision = controller.offer(make_call(1, deadline_s=4.9), 4.6)
        assert [call.owner_call_id for call in decision.dispatched] == [1]

    def test_long_work_is_refused_earlier_than_short_work(self):
        """Calls made by running work are short, and are taken the longest."""
        controller = make_admission(slots=4)
        train(controller, "short", 0.01)
        train(controller, "long", 0.4)
        controller.end_s = 5.0
        assert controller.offer(make_call(1, route="long"), 4.0).refused
        assert controller.offer(make_call(2, route="short"), 4.0).dispatched
