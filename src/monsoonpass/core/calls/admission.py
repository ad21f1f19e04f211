"""Admission of calls to the own upstream: slots, classes and the queue.

The node is the only way in to its upstream, so it counts the slots exactly.
Work is short or long by the time its route has taken so far. Long work leaves
room for the short work that is expected, so that a lookup never waits behind
a photo.

Load pattern: a wave that exceeds the slots for seconds. A long queue would
make every answer late while it lasts, so work waits only while it can still
meet its objective; the rest is refused at once, with the time when the queue
will be short enough again.
"""

import bisect
import math

from monsoonpass.core.calls import outcome
from monsoonpass.core.calls import queue_pace
from monsoonpass.core.calls import service_times
from monsoonpass.core.calls import slots as slots_lib
from monsoonpass.core.calls import work as work_lib
from monsoonpass.core.membership import member as member_lib

RATE_WINDOW_S = 0.5  # Span over which the rate of short work is counted.
RESERVE_MARGIN = 1.5  # Slots kept for short work, over what it needs.
RETRY_AFTER_MIN_S = 0.1  # Less than that and a caller meets the same queue.
RETRY_AFTER_MAX_S = 2.0  # A wave of load is over by then.
REROUTE_WAIT_SHARE = 0.1  # Part of a service time that a hop elsewhere costs.
PROBE_WEIGHT = 0.5  # Of the time of one call when all others are refused.


class Admission:
    """Slots and queue of the own upstream.

    Attributes:
        service: Name of the service, or empty without an upstream.
        upstream: What the upstream announced.
        in_progress: Calls that hold a slot, by work id.
        queue_limit: Calls that may wait.
    """

    def __init__(self, *, queue_limit: int = 256):
        self.service = ""
        self._slots = slots_lib.Slots()
        self.upstream = member_lib.UpstreamState.NONE
        self.in_progress: dict[int, work_lib.Work] = {}
        self.queue_limit = queue_limit
        self._queue: list[tuple[tuple[int, float, int], work_lib.Work]] = []
        self._times = service_times.ServiceTimes()
        self._pace = queue_pace.QueuePace()
        self._short_arrival_rates: dict[int, float] = {}
        self._short_arrivals: dict[int, int] = {}
        self._window_start_s = 0.0

    @property
    def slots(self) -> int:
        """Calls that the upstream says it runs at once."""
        return self._slots.announced

    @property
    def queued(self) -> int:
        """Number of calls that wait."""
        return len(self._queue)

    @property
    def accepts(self) -> bool:
        """Whether new work may be admitted at all."""
        return self.upstream.takes_work

    @property
    def is_idle(self) -> bool:
        """Whether no call runs or waits."""
        return not self.in_progress and not self._queue

    def load(self, now_s: float) -> outcome.Load:
        """Return the load that answers carry to other nodes.

        Calls in progress that run longer than usual raise the service time
        before any of them has ended, so a slowed upstream is told early.
        """
        service_time_s = self._times.mean_s
        if self.in_progress:
            elapsed_s = sum(
                now_s - work.dispatched_s for work in self.in_progress.values()
            ) / len(self.in_progress)
            service_time_s = max(service_time_s, elapsed_s)
        return outcome.Load(
            slots=self.slots,
            in_progress=len(self.in_progress),
            queued=len(self._queue),
            service_time_s=service_time_s,
        )

    def announce(
        self,
        *,
        service: str,
        slots: int,
        cold: bool,
        now_s: float,
        cold_s: float = 0.0,
        fresh: bool = True,
    ) -> None:
        """Take the upstream's announcement.

        Args:
            service: Its service.
            slots: Calls that it runs at once.
            cold: Whether it is slow at first.
            now_s: Time of the event.
            cold_s: How much longer; 0 for the usual time.
            fresh: Whether it is another process than before.
        """
        self.service = service
        self.upstream = member_lib.UpstreamState.READY
        if not fresh and slots == self.slots:
            return
        self._slots.announce(slots, cold=cold, cold_s=cold_s, now_s=now_s)

    def has_free_slot(self, now_s: float) -> bool:
        """Return whether short work would be dispatched at once."""
        return (
            self.accepts
            and not self._queue
            and len(self.in_progress) < self._slots.reroutable_limit(now_s)
        )

    def offer(self, work: work_lib.Work, now_s: float) -> work_lib.Decision:
        """Dispatch, queue or refuse new work.

        Args:
            work: The work.
            now_s: Time of the event.

        Returns:
            The decision; work named in neither list waits in the queue.
        """
        decision = work_lib.Decision()
        if not self.accepts:
            reason = outcome.Reason.DRAINING
            if self.upstream is member_lib.UpstreamState.NONE:
                reason = outcome.Reason.NO_UPSTREAM
            decision.refused.append(_make_refusal(work, reason, None))
            return decision
        self._count_arrival(work, now_s)
        work.queued_ahead = sum(
            item.route == work.route for _, item in self._queue
        )
        wait_s = self.expected_wait_s(work)
        done_s = now_s + wait_s + self.expected_s(work.route)
        useful_until_s = work.best_before_s if wait_s else work.useful_until_s
        is_late = done_s > min(useful_until_s, work.deadline_s)
        work.is_probe = (
            is_late and not wait_s and not self._has_running_call(work.route)
        )
        if is_late and not work.is_probe:
            excess_s = done_s - min(work.best_before_s, work.deadline_s)
            decision.refused.append(
                _make_refusal(work, outcome.Reason.OVERLOADED, excess_s)
            )
            return decision
        is_slow_start_limited = len(
            self.in_progress
        ) >= self._slots.reroutable_limit(now_s)
        is_long_wait = wait_s > REROUTE_WAIT_SHARE * self._times.mean_s
        if work.reroutable and (is_long_wait or is_slow_start_limited):
            decision.refused.append(
                _make_refusal(work, outcome.Reason.BUSY, wait_s)
            )
            return decision
        bisect.insort(self._queue, (work.queue_key, work))
        self._fill_slots(decision, now_s)
        if len(self._queue) > self.queue_limit:
            _, last = self._queue.pop()
            decision.refused.append(
                _make_refusal(last, outcome.Reason.OVERLOADED, wait_s)
            )
        return decision

    def finish(
        self,
        work_id: int,
        *,
        service_time_s: float,
        ok: bool,
        now_s: float,
        shed: bool = False,
    ) -> work_lib.Decision:
        """Free a slot, learn the service time and dispatch what waits.

        Args:
            work_id: The work that ended.
            service_time_s: Time from its dispatch to its end.
            ok: Whether it got a whole answer.
            now_s: Time of the event.
            shed: Whether the upstream refused it for load.

        Returns:
            What is dispatched, and refused, now.
        """
        decision = work_lib.Decision()
        work = self.in_progress.pop(work_id, None)
        if shed:
            self._slots.record_shed(now_s)
        elif work is not None and ok:
            weight = service_times.SMOOTHING
            if work.is_probe:
                weight = PROBE_WEIGHT
            self._times.record(work.route, service_time_s, weight=weight)
            self._slots.record_answer(work.concurrency, now_s)
        self._fill_slots(decision, now_s)
        return decision

    def withdraw(self, work_id: int) -> bool:
        """Remove work that still waits.

        Args:
            work_id: The work.

        Returns:
            Whether it waited; if so it was not and will not be dispatched.
        """
        for position, (_, work) in enumerate(self._queue):
            if work.work_id == work_id:
                del self._queue[position]
                return True
        return False

    def expire(self, now_s: float) -> work_lib.Decision:
        """Refuse waiting work that can no longer meet its deadline."""
        decision = work_lib.Decision()
        self._drop_late(decision, now_s)
        return decision

    def refuse_all(self, reason: outcome.Reason) -> work_lib.Decision:
        """Refuse all work that waits."""
        decision = work_lib.Decision()
        for _, work in self._queue:
            decision.refused.append(_make_refusal(work, reason, None))
        self._queue.clear()
        return decision

    def next_expiry_s(self) -> float:
        """Return when the first waiting call becomes too late."""
        return min(
            (
                w.useful_until_s - self.expected_s(w.route)
                for _, w in self._queue
                if not w.is_probe
            ),
            default=math.inf,
        )

    def expected_wait_s(self, work: work_lib.Work) -> float:
        """Estimate how long new work would wait for a slot."""
        slots = max(self._slots.usable, 1)
        ahead = bisect.bisect_left(
            self._queue, work.queue_key, key=lambda item: item[0]
        )
        free = slots - len(self.in_progress)
        if free > ahead:
            return 0.0
        wait_s = (ahead - free + 1) * self._times.mean_s / slots
        return max(
            wait_s, self._pace.expected_wait_s(work.route, work.queued_ahead)
        )

    def _has_running_call(self, route: str) -> bool:
        """Return whether a call of a route is in progress.

        Load pattern: an upstream that was slow for seconds. What was learned
        then would refuse all calls of a route, and nothing would unlearn it.
        """
        return any(work.route == route for work in self.in_progress.values())

    def expected_s(self, route: str) -> float:
        """Return how long a call of a route is expected to run."""
        return self._times.expected_s(route)

    def is_long(self, work: work_lib.Work) -> bool:
        """Return whether work belongs to the long class."""
        return self._times.is_long(work.route, default=work.bulk)

    def _reserved_for_short(self, priority: int) -> int:
        """Return the slots that long work leaves free (Little's law).

        Only for short work at least as urgent: a shorter call is no reason to
        let a more urgent one wait.

        Args:
            priority: Of the long work.
        """
        rate = sum(
            rate
            for urgency, rate in self._short_arrival_rates.items()
            if urgency <= priority
        )
        expected = rate * self._times.median_s * RESERVE_MARGIN
        return min(max(1, math.ceil(expected)), max(self.slots - 1, 0))

    def _fill_slots(self, decision: work_lib.Decision, now_s: float) -> None:
        self._drop_late(decision, now_s)
        usable = self._slots.usable
        long_running = sum(
            self._counts_as_long(w, now_s) for w in self.in_progress.values()
        )
        position = 0
        while position < len(self._queue) and len(self.in_progress) < usable:
            work = self._queue[position][1]
            work.is_long = self.is_long(work)
            if work.is_long and self.slots > 1:
                reserved = self._reserved_for_short(work.priority)
                if long_running >= usable - reserved:
                    position += 1
                    continue
            del self._queue[position]
            long_running += work.is_long
            work.dispatched_s = now_s
            self._pace.record(
                work.route, work.queued_ahead, now_s - work.arrived_s
            )
            self.in_progress[work.work_id] = work
            work.concurrency = len(self.in_progress)
            decision.dispatch.append(work)

    def _counts_as_long(self, work: work_lib.Work, now_s: float) -> bool:
        """Return whether running work counts as long.

        A call of a short route that straggles counts too.
        """
        limit_s = service_times.LONG_FACTOR * max(
            self._times.median_s, self.expected_s(work.route)
        )
        return work.is_long or now_s - work.dispatched_s > limit_s

    def _drop_late(self, decision: work_lib.Decision, now_s: float) -> None:
        kept = []
        for item in self._queue:
            work = item[1]
            is_late = now_s + self.expected_s(work.route) > work.useful_until_s
            if is_late and not work.is_probe:
                waited_s = now_s - work.arrived_s
                self._pace.record(work.route, work.queued_ahead, waited_s)
                decision.refused.append(
                    _make_refusal(
                        work, outcome.Reason.DEADLINE, self._times.mean_s
                    )
                )
            else:
                kept.append(item)
        self._queue = kept

    def _count_arrival(self, work: work_lib.Work, now_s: float) -> None:
        elapsed_s = now_s - self._window_start_s
        if elapsed_s >= RATE_WINDOW_S:
            for priority in self._short_arrivals:
                rate = self._short_arrivals[priority] / elapsed_s
                previous_rate = self._short_arrival_rates.get(priority, 0.0)
                self._short_arrival_rates[priority] = (
                    rate + previous_rate
                ) / 2.0
                self._short_arrivals[priority] = 0
            self._window_start_s = now_s
        if not self.is_long(work):
            count = self._short_arrivals.get(work.priority, 0)
            self._short_arrivals[work.priority] = count + 1


def _make_refusal(
    work: work_lib.Work, reason: outcome.Reason, wait_s: float | None
) -> work_lib.Refused:
    retry_after_s = None
    if reason is outcome.Reason.BUSY:
        # Told to the entry node, which may come back to wait.
        retry_after_s = wait_s
    elif wait_s is not None:
        retry_after_s = min(max(wait_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
    failure = outcome.Failure(
        outcome=outcome.Outcome.NOT_RUN,
        reason=reason,
        retry_after_s=retry_after_s,
    )
    return work_lib.Refused(work=work, failure=failure)
