"""Tests of admission: slots, classes, priorities and early refusal."""

from monsoonpass.core.calls import admission
from monsoonpass.core.calls import outcome
from monsoonpass.core.calls import slots as slots_lib
from monsoonpass.core.calls import work as work_lib


def make(slots: int = 4, queue_limit: int = 8) -> admission.Admission:
    """Return an admission with an announced upstream."""
    made = admission.Admission(queue_limit=queue_limit)
    made.announce(service="shop", slots=slots, cold=False, now_s=0.0)
    return made


def work(number: int, **changes) -> work_lib.Work:
    """Return work with a distant deadline."""
    fields = {
        "work_id": number,
        "priority": 2,
        "deadline_s": 1000.0,
        "bulk": False,
        "route": "short",
        "arrived_s": 0.0,
    }
    return work_lib.Work(**{**fields, **changes})


def teach(
    own: admission.Admission, route: str, service_s: float, calls: int = 60
) -> None:
    """Let an admission learn a route's service time."""
    for number in range(1000, 1000 + calls):
        own.offer(work(number, route=route), 0.0)
        own.finish(number, service_time_s=service_s, ok=True, now_s=0.0)


class TestSlots:
    def test_no_more_run_than_there_are_slots(self):
        own = make(slots=4)
        dispatched = []
        for number in range(10):
            dispatched += own.offer(work(number), 0.0).dispatch
        assert len(dispatched) == 4
        assert own.queued == 6

    def test_finished_call_makes_room_for_the_next(self):
        own = make(slots=1)
        own.offer(work(1), 0.0)
        own.offer(work(2), 0.0)
        decision = own.finish(1, service_time_s=0.01, ok=True, now_s=0.01)
        assert [w.work_id for w in decision.dispatch] == [2]

    def test_cold_upstream_gets_its_slots_step_by_step(self):
        """Guard: `is_eased` in Admission.offer."""
        own = admission.Admission()
        own.announce(service="shop", slots=8, cold=True, now_s=0.0)
        for number in range(8):
            own.offer(work(number, reroutable=True), 0.0)
        assert len(own.in_progress) == 2
        for number in range(8, 16):
            now_s = slots_lib.SLOW_START_S
            own.offer(work(number, reroutable=True), now_s)
        assert len(own.in_progress) == 8

    def test_cold_upstream_runs_what_has_nowhere_else_to_go(self):
        """Replays a service whose upstreams have all just started.

        Guard: `usable`, without the ramp, in Admission._fill_slots.
        """
        own = admission.Admission()
        own.announce(service="shop", slots=8, cold=True, now_s=0.0)
        for number in range(8):
            own.offer(work(number), 0.0)
        assert len(own.in_progress) == 8


class TestShedding:
    def test_upstream_that_sheds_gets_less_and_then_more_again(self):
        """Guard: `if shed` in Admission.finish."""
        own = make(slots=8, queue_limit=1000)
        for number in range(8):
            own.offer(work(number), 0.0)
        for number in range(5):
            own.finish(
                number, service_time_s=0.001, ok=True, now_s=0.1, shed=True
            )
        for number in range(100, 120):
            own.offer(work(number), 0.2)
        reduced = len(own.in_progress)
        assert reduced == 3
        for number in range(200, 280):
            running = next(iter(own.in_progress))
            own.finish(running, service_time_s=0.001, ok=True, now_s=0.3)
            own.offer(work(number), 0.3)
        for number in range(9000, 9020):
            own.offer(work(number), 0.4)
        assert len(own.in_progress) == 8


class TestOrder:
    def test_priority_then_deadline(self):
        own = make(slots=1)
        own.offer(work(0), 0.0)
        own.offer(work(1, priority=2, deadline_s=500.0), 0.0)
        own.offer(work(2, priority=2, deadline_s=400.0), 0.0)
        own.offer(work(3, priority=0), 0.0)
        order = []
        for _ in range(3):
            running = next(iter(own.in_progress))
            decision = own.finish(
                running, service_time_s=0.01, ok=True, now_s=0.1
            )
            order += [w.work_id for w in decision.dispatch]
        assert order == [3, 2, 1]

    def test_full_queue_gives_up_the_last_in_order(self):
        own = make(slots=1, queue_limit=2)
        for number in range(3):
            own.offer(work(number), 0.0)
        decision = own.offer(work(9, priority=0), 0.0)
        assert [r.work.work_id for r in decision.refused] == [2]
        failure = decision.refused[0].failure
        assert failure.outcome is outcome.Outcome.NOT_RUN
        assert failure.retry_after_s > 0


class TestRefusal:
    def test_call_that_cannot_be_in_time_is_refused_at_once(self):
        own = make(slots=1)
        teach(own, "short", 1.0)
        own.offer(work(1), 0.0)
        decision = own.offer(work(2, deadline_s=0.5), 0.0)
        assert [r.work.work_id for r in decision.refused] == [2]

    def test_waiting_call_is_refused_when_it_becomes_too_late(self):
        own = make(slots=1)
        own.offer(work(1), 0.0)
        own.offer(work(2, deadline_s=5.0), 0.0)
        assert own.expire(4.0).refused == []
        assert [r.work.work_id for r in own.expire(6.0).refused] == [2]

    def test_reroutable_call_is_refused_instead_of_queued(self):
        """Guard: `work.reroutable and wait_s >` in Admission.offer."""
        own = make(slots=1)
        own.offer(work(1), 0.0)
        decision = own.offer(work(2, reroutable=True), 0.0)
        reason = decision.refused[0].failure.reason
        assert reason is outcome.Reason.BUSY


class TestLongWork:
    def test_long_work_leaves_room_for_short(self):
        """Guard: `if work.is_long and long_room <= 0` in _fill_slots."""
        own = make(slots=4, queue_limit=100)
        teach(own, "short", 0.01, calls=200)
        teach(own, "long", 1.0, calls=20)
        for number in range(20):
            own.offer(work(number, route="long"), 1.0)
        assert 1 <= len(own.in_progress) <= 3
        decision = own.offer(work(50, route="short"), 1.0)
        assert [w.work_id for w in decision.dispatch] == [50]

    def test_urgent_long_work_is_not_kept_back_for_less_urgent(self):
        """Replays uploads beside a flood of lookups that are less urgent.

        Guard: the priority in Admission._reserved_for_short.
        """
        own = make(slots=9, queue_limit=1000)
        teach(own, "lookup", 0.02, calls=200)
        teach(own, "upload", 0.1, calls=20)
        for number in range(300):
            own.offer(work(number, route="lookup"), number * 0.004)
            own.finish(number, service_time_s=0.02, ok=True, now_s=1.0)
        for number in range(400, 406):
            own.offer(work(number, route="upload", priority=1), 1.2)
        assert len(own.in_progress) == 6

    def test_stragglers_of_a_short_route_count_as_long(self):
        own = make(slots=4, queue_limit=100)
        teach(own, "short", 0.01, calls=200)
        teach(own, "long", 1.0, calls=20)
        for number in range(3):
            own.offer(work(number, route="short"), 1.0)
        decision = own.offer(work(60, route="long"), 2.0)
        assert decision.dispatch == []
        decision = own.offer(work(61, route="short"), 2.0)
        assert [w.work_id for w in decision.dispatch] == [61]

    def test_declared_bulk_counts_until_the_time_is_known(self):
        own = make()
        assert own.is_long(work(1, bulk=True, route="new"))
        teach(own, "new", 0.01)
        assert not own.is_long(work(2, bulk=True, route="new"))


class TestGreyShedding:
    def test_upstream_that_sheds_at_random_keeps_its_slots(self):
        """Replays a full upstream that turns half of its calls away.

        Guard: the floor of proved slots in Slots.shed.
        """
        own = make(slots=8, queue_limit=1000)
        running = []
        for number in range(500):
            decision = own.offer(work(number), 0.0)
            running += [item.work_id for item in decision.dispatch]
            if number < 8:
                continue
            decision = own.finish(
                running.pop(0),
                service_time_s=0.1,
                ok=number % 2 == 1,
                now_s=0.0,
                shed=number % 2 == 0,
            )
            running += [item.work_id for item in decision.dispatch]
            # At first nothing is known of what it runs at once.
            assert number < 100 or len(own.in_progress) == 8

    def test_upstream_that_runs_fewer_than_it_said_gets_fewer(self):
        own = make(slots=8, queue_limit=1000)
        for number in range(400):
            own.offer(work(number), 0.0)
        for _ in range(20):
            for item in list(own.in_progress.values()):
                own.finish(
                    item.work_id,
                    service_time_s=0.1,
                    ok=item.beside <= 3,
                    now_s=0.0,
                    shed=item.beside > 3,
                )
        assert own.queued
        assert len(own.in_progress) <= 5


class TestObjective:
    def play_wave(self, objective_s: float) -> tuple[int, int]:
        """Offer twice the capacity for two seconds.

        Returns:
            Calls answered within their objective, and refused at once.
        """
        own = make(slots=4, queue_limit=1000)
        teach(own, "short", 0.1)
        ends: list[tuple[float, int]] = []
        arrived_s: dict[int, float] = {}
        in_time = refused = 0
        for number in range(160):
            now_s = number * 0.0125
            while ends and ends[0][0] <= now_s:
                end_s, done = ends.pop(0)
                in_time += end_s - arrived_s[done] <= 0.3 + 1e-9
                decision = own.finish(
                    done, service_time_s=0.1, ok=True, now_s=end_s
                )
                ends += [(end_s + 0.1, w.work_id) for w in decision.dispatch]
                ends.sort()
            arrived_s[number] = now_s
            decision = own.offer(
                work(
                    number,
                    deadline_s=now_s + 1.5,
                    best_before_s=now_s + objective_s,
                ),
                now_s,
            )
            refused += len(decision.refused)
            ends += [(now_s + 0.1, w.work_id) for w in decision.dispatch]
            ends.sort()
        return in_time, refused

    def test_wave_is_answered_in_time_or_refused_at_once(self):
        """Guard: `done_s > work.best_before_s` in Admission.offer."""
        in_time, refused = self.play_wave(objective_s=0.3)
        assert in_time >= 0.45 * 160
        assert refused > 0
        patient, _ = self.play_wave(objective_s=1.5)
        assert in_time > patient

    def test_work_that_is_overtaken_is_refused_at_once(self):
        """Replays a crest of urgent work that leaves others little room.

        Guard: the pace in Admission.expected_wait_s.
        """
        own = make(slots=4, queue_limit=1000)
        teach(own, "short", 0.1)
        held_s = []
        ends: list[tuple[float, int]] = []
        for number in range(400):
            now_s = number * 0.0125
            decisions = [own.expire(now_s)]
            while ends and ends[0][0] <= now_s:
                end_s, done = ends.pop(0)
                decisions.append(
                    own.finish(done, service_time_s=0.1, ok=True, now_s=now_s)
                )
            is_urgent = number % 2 == 0
            item = work(
                number,
                priority=1 if is_urgent else 2,
                route="urgent" if is_urgent else "short",
                arrived_s=now_s,
                best_before_s=now_s + 0.3,
                deadline_s=now_s + 1.2,
            )
            decisions.append(own.offer(item, now_s))
            for decision in decisions:
                ends += [(now_s + 0.1, w.work_id) for w in decision.dispatch]
                held_s += [
                    now_s - r.work.arrived_s
                    for r in decision.refused
                    if r.work.priority == 2
                ]
            ends.sort()
        held_s.sort()
        assert len(held_s) > 100
        assert held_s[len(held_s) * 9 // 10] < 0.05

    def test_upstream_that_was_slow_is_tried_again(self):
        """Replays an upstream that is slow for seconds, then sound.

        Guard: `probes` in Admission.offer and _drop_late.
        """
        own = make(slots=4, queue_limit=1000)
        teach(own, "short", 5.0)
        served = 0
        for number in range(2000, 2010):
            now_s = number * 0.1
            item = work(
                number,
                arrived_s=now_s,
                best_before_s=now_s + 0.3,
                deadline_s=now_s + 1.2,
            )
            for done in own.offer(item, now_s).dispatch:
                served += 1
                own.finish(
                    done.work_id, service_time_s=0.1, ok=True, now_s=now_s
                )
        assert served == 10
        assert own.expected_s("short") < 0.3

    def test_slow_upstream_gets_one_call_of_a_route_at_a_time(self):
        own = make(slots=4, queue_limit=1000)
        teach(own, "short", 5.0)
        results = [
            own.offer(work(number, best_before_s=0.3, deadline_s=1.2), 0.0)
            for number in range(3)
        ]
        assert [len(result.dispatch) for result in results] == [1, 0, 0]
        assert [len(result.refused) for result in results] == [0, 1, 1]

    def test_starved_route_keeps_one_call_waiting(self):
        """Guard: `if not ahead` in Pace.wait_s."""
        own = make(slots=1, queue_limit=1000)
        teach(own, "lookup", 0.02)
        own.offer(work(1, route="other"), 0.0)
        own.offer(work(2, route="lookup", best_before_s=0.1), 0.0)
        own.offer(work(3, route="lookup", best_before_s=0.1), 0.0)
        own.expire(2000.0)
        late = work(
            4,
            route="lookup",
            arrived_s=2000.0,
            best_before_s=2000.1,
            deadline_s=3000.0,
        )
        assert own.offer(late, 2000.0).refused == []
        assert own.queued == 1

    def test_refusal_tells_when_the_queue_is_short_again(self):
        own = make(slots=1, queue_limit=1000)
        teach(own, "short", 0.1)
        for number in range(4):
            own.offer(work(number, best_before_s=9.0), 0.0)
        decision = own.offer(work(9, best_before_s=0.3), 0.0)
        told_s = decision.refused[0].failure.retry_after_s
        assert 0.15 <= told_s <= 0.3
