"""Admission of calls to this node's upstream: slots, classes and the queue.

All calls to the upstream pass through its node, so the node's slot count is
exact. Calls are classed as short or long by the learned service time of their
route. Long calls leave slots free for the expected short calls, so that a
lookup does not wait behind the upload of a photo.

Load pattern: arrivals exceed the slots for seconds. A long queue would make
every answer late for that time, so a call is queued only while it can still
meet its objective. All other calls are refused at once, with the time after
which the queue will be short enough again.
"""

import bisect
import math

from monsoonpass.core.calls import arrival_rates
from monsoonpass.core.calls import outcome
from monsoonpass.core.calls import overload_age
from monsoonpass.core.calls import owner_call as owner_call_lib
from monsoonpass.core.calls import queue_pace
from monsoonpass.core.calls import service_times
from monsoonpass.core.calls import slots as slots_lib
from monsoonpass.core.calls import stop_fit
from monsoonpass.core.membership import member as member_lib

RESERVE_MARGIN = 1.5  # Slots reserved for short calls, per slot they need.
# The same with even load. More urgent short calls go first in the queue anyway,
# and a slot with short work is soon free again. Slots reserved for the peaks of
# short calls were idle while long calls were refused.
EVEN_RESERVE_SHARE = 0.5
RETRY_AFTER_MIN_S = 0.1  # An earlier retry would find the same queue.
RETRY_AFTER_MAX_S = 2.0  # By then a load peak has passed.
# Cost of another hop, as a share of the service time; a longer wait outweighs
# the hop.
REROUTE_WAIT_SHARE = 0.1
# Silence after which a call counts as not queued by the upstream, as a multiple
# of the usual time.
SILENCE_FACTOR = 5.0
# Reported queue of an upstream that sheds calls, per slot and share of shed
# calls. One that sheds half of its calls counts as full: each shed call costs
# another attempt.
SHED_PENALTY = 2.0
SHED_REST_MIN = 0.1  # Share of calls that is assumed to be served at least.
PROBE_WEIGHT = 0.5  # Weight of a probe's sample, its route's only one.


class Admission:
    """Admission controller of this node's upstream.

    Attributes:
        service: Name of the upstream's service, or empty without an upstream.
        upstream: State of the upstream, from its announcements.
        in_progress: Calls that hold a slot, by owner call id.
        queue_limit: Number of calls that may be queued.
        end_s: When a stopping node gives up all calls; infinite before a stop.
        noticed_s: When callers are expected to have noticed a stop; infinite
            before one.
        even_load: Whether other nodes place calls by `even_placement`.
    """

    def __init__(self, *, queue_limit: int = 256):
        self.service = ""
        self._slots = slots_lib.Slots()
        self.upstream = member_lib.UpstreamState.NONE
        self.in_progress: dict[int, owner_call_lib.OwnerCall] = {}
        self.queue_limit = queue_limit
        self.end_s = math.inf
        self.noticed_s = math.inf
        self.even_load = False
        self._queue: list[
            tuple[owner_call_lib.QueueKey, owner_call_lib.OwnerCall]
        ] = []
        self._times = service_times.ServiceTimes()
        self._pace = queue_pace.QueuePace()
        self._overload_age = overload_age.OverloadAge()
        self._short_arrivals = arrival_rates.ArrivalRates()

    @property
    def slots(self) -> int:
        """Slots that the upstream announced."""
        return self._slots.announced

    @property
    def queued(self) -> int:
        """Number of queued calls."""
        return len(self._queue)

    @property
    def accepts_calls(self) -> bool:
        """Whether the upstream takes new calls."""
        return self.upstream.accepts_calls

    @property
    def is_idle(self) -> bool:
        """Whether no call is in progress or queued."""
        return not self.in_progress and not self._queue

    def load(self, now_s: float) -> outcome.Load:
        """Return the load that is reported to other nodes with answers.

        Calls that run longer than usual raise the reported service time before
        they have ended, so other nodes learn early of a slow upstream.
        """
        service_time_s = self._times.mean_s
        if self.in_progress:
            elapsed_s = sum(
                now_s - call.dispatched_s for call in self.in_progress.values()
            ) / len(self.in_progress)
            service_time_s = max(service_time_s, elapsed_s)
        slots, queued = self.slots, len(self._queue)
        if self.even_load:
            # A cold upstream reports the slots that it has for calls with
            # somewhere else to go. One that sheds calls is soon done with
            # them, and would look idle; a call takes several attempts there.
            slots = self._slots.reroutable_limit(now_s)
            shed_share = self._slots.shed_share(now_s)
            queued += round(SHED_PENALTY * shed_share * slots)
            service_time_s /= max(1.0 - shed_share, SHED_REST_MIN)
        return outcome.Load(
            slots=slots,
            in_progress=len(self.in_progress),
            queued=queued,
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
        is_new_process: bool = True,
    ) -> None:
        """Apply an announcement of the upstream.

        Args:
            service: Service of the upstream.
            slots: Calls that the upstream runs at once.
            cold: Whether the upstream has just started and is still slow.
            now_s: Time of the event.
            cold_s: Time in seconds for which it remains slow; 0 for the
                default.
            is_new_process: Whether the announcement comes from a new process.
        """
        self.service = service
        self.upstream = member_lib.UpstreamState.READY
        if not is_new_process and slots == self.slots:
            return
        self._slots.announce(slots, cold=cold, cold_s=cold_s, now_s=now_s)

    def is_cold(self, now_s: float) -> bool:
        """Return whether the upstream is still warming up."""
        return self._slots.is_cold(now_s)

    def has_free_slot(self, now_s: float) -> bool:
        """Return whether a short reroutable call would be dispatched now."""
        return (
            self.accepts_calls
            and not self._queue
            and len(self.in_progress) < self._slots.reroutable_limit(now_s)
        )

    def offer(
        self, call: owner_call_lib.OwnerCall, now_s: float
    ) -> owner_call_lib.AdmissionDecision:
        """Dispatch, queue or refuse a new call.

        Args:
            call: The call.
            now_s: Time of the event.

        Returns:
            The decision, which may include calls that were queued before. The
            new call is queued if it is in neither list.
        """
        decision = owner_call_lib.AdmissionDecision()
        if not self.accepts_calls:
            reason = outcome.Reason.DRAINING
            if self.upstream is member_lib.UpstreamState.NONE:
                reason = outcome.Reason.NO_UPSTREAM
            decision.refused.append(_make_refusal(call, reason, None))
            return decision
        if now_s > self._latest_start_s(call):
            decision.refused.append(
                _make_refusal(call, outcome.Reason.DRAINING, None)
            )
            return decision
        self._short_arrivals.advance(now_s)
        if not self.is_long(call):
            self._short_arrivals.count(call.rank)
        service_time_s = self.expected_service_time_s(call.route)
        call.is_late = now_s + service_time_s > call.objective_deadline_s
        call.queued_ahead = self._queued_ahead(call)
        wait_s = self.expected_wait_s(call)
        done_s = now_s + wait_s + service_time_s
        useful_until_s = call.useful_until_s
        if wait_s and not call.has_returned_late:
            useful_until_s = call.objective_deadline_s
        is_too_late = done_s > min(useful_until_s, call.deadline_s)
        call.is_probe = (
            is_too_late
            and not wait_s
            and not self._has_running_call(call.route)
        )
        if is_too_late and not call.is_probe:
            excess_s = done_s - min(call.objective_deadline_s, call.deadline_s)
            age_s = self._overload_age.record_refusal(call.rank, now_s)
            retry_after_s = max(excess_s, age_s)
            decision.refused.append(
                _make_refusal(call, outcome.Reason.OVERLOADED, retry_after_s)
            )
            return decision
        is_reroutable_limit_reached = len(
            self.in_progress
        ) >= self._slots.reroutable_limit(now_s)
        is_long_wait = wait_s > REROUTE_WAIT_SHARE * self._times.mean_s
        if call.reroutable and (is_long_wait or is_reroutable_limit_reached):
            decision.refused.append(
                _make_refusal(call, outcome.Reason.BUSY, wait_s)
            )
            return decision
        bisect.insort(self._queue, (call.queue_key, call))
        self._fill_slots(decision, now_s)
        if len(self._queue) > self.queue_limit:
            _, last = self._queue.pop()
            decision.refused.append(
                _make_refusal(last, outcome.Reason.OVERLOADED, wait_s)
            )
        return decision

    def finish(
        self,
        owner_call_id: int,
        *,
        service_time_s: float,
        ok: bool,
        now_s: float,
        shed: bool = False,
        silent: bool = False,
    ) -> owner_call_lib.AdmissionDecision:
        """Free a slot, record the service time and dispatch queued calls.

        Args:
            owner_call_id: The call that ended.
            service_time_s: Time from dispatch to end of the call.
            ok: Whether the call got a complete answer.
            now_s: Time of the event.
            shed: Whether the upstream refused the call because of load.
            silent: Whether the call ended without any answer. An upstream that
                never answers what it cannot queue sheds in this way.

        Returns:
            Queued calls that are dispatched or refused now.
        """
        decision = owner_call_lib.AdmissionDecision()
        call = self.in_progress.pop(owner_call_id, None)
        if silent and call is not None:
            usual_s = self.expected_service_time_s(call.route)
            shed = service_time_s > SILENCE_FACTOR * usual_s > 0
        if shed:
            self._slots.record_shed(now_s)
        elif call is not None and ok:
            weight = service_times.SMOOTHING
            if call.is_probe:
                weight = PROBE_WEIGHT
            self._times.record(call.route, service_time_s, weight=weight)
            self._slots.record_answer(call.concurrency, now_s)
        self._fill_slots(decision, now_s)
        return decision

    def withdraw(self, owner_call_id: int) -> bool:
        """Remove a call from the queue.

        Args:
            owner_call_id: The call.

        Returns:
            Whether the call was queued; if so, it will not be dispatched.
        """
        for position, (_, call) in enumerate(self._queue):
            if call.owner_call_id == owner_call_id:
                del self._queue[position]
                return True
        return False

    def expire(self, now_s: float) -> owner_call_lib.AdmissionDecision:
        """Refuse queued calls that can no longer be answered in time."""
        decision = owner_call_lib.AdmissionDecision()
        self._refuse_late(decision, now_s)
        return decision

    def refuse_all(
        self, reason: outcome.Reason
    ) -> owner_call_lib.AdmissionDecision:
        """Refuse all queued calls."""
        decision = owner_call_lib.AdmissionDecision()
        for _, call in self._queue:
            decision.refused.append(_make_refusal(call, reason, None))
        self._queue.clear()
        return decision

    def next_expiry_at_s(self) -> float:
        """Return the earliest time at which a queued call becomes too late."""
        return min(
            (self._expires_at_s(call) for _, call in self._queue),
            default=math.inf,
        )

    def _expires_at_s(self, call: owner_call_lib.OwnerCall) -> float:
        """Return the time from which a queued call is refused.

        A probe runs although its answer is expected to be late, but not after
        its deadline.
        """
        useful_until_s = call.useful_until_s
        expires_at_s = useful_until_s - self.expected_service_time_s(call.route)
        if call.is_probe:
            expires_at_s = call.deadline_s
        return min(self._latest_start_s(call), expires_at_s)

    def expected_wait_s(self, call: owner_call_lib.OwnerCall) -> float:
        """Estimate how long a new call would wait for a slot, in seconds."""
        slots = max(self._slots.usable, 1)
        ahead = bisect.bisect_left(
            self._queue, call.queue_key, key=lambda item: item[0]
        )
        free = slots - len(self.in_progress)
        if free > ahead:
            return 0.0
        wait_s = (ahead - free + 1) * self._times.mean_s / slots
        return max(
            wait_s,
            self._pace.expected_wait_s(call.pace_class, call.queued_ahead),
        )

    def _queued_ahead(self, call: owner_call_lib.OwnerCall) -> int:
        """Return the number of queued calls of a call's class before it."""
        return sum(
            item.pace_class == call.pace_class and key < call.queue_key
            for key, item in self._queue
        )

    def _has_running_call(self, route: str) -> bool:
        """Return whether a call of a route is in progress.

        Load pattern: an upstream was slow for seconds. The service time learned
        in that time would refuse every call of a route, and without a call in
        progress no sample would ever correct it.
        """
        return any(call.route == route for call in self.in_progress.values())

    def expected_service_time_s(self, route: str) -> float:
        """Return the expected service time of a route, in seconds."""
        return self._times.expected_s(route)

    def _latest_start_s(self, call: owner_call_lib.OwnerCall) -> float:
        """Return the latest time for a call to get a slot before the stop."""
        return stop_fit.latest_start_s(
            self.end_s,
            deadline_s=call.deadline_s,
            usual_s=self.expected_service_time_s(call.route),
            longest_s=self._times.longest_s(call.route),
            certain_from_s=math.inf if call.idempotent else self.noticed_s,
        )

    def is_long(self, call: owner_call_lib.OwnerCall) -> bool:
        """Return whether a call belongs to the long class."""
        return self._times.is_long(call.route, default=call.bulk)

    def _reserved_for_short(self, rank: owner_call_lib.Rank) -> int:
        """Return the slots that a long call leaves free (Little's law).

        Only short calls that are at least as urgent count, so that a more
        urgent long call does not wait for less urgent short ones.

        Args:
            rank: Rank of the long call.
        """
        expected = self._short_arrivals.rate(rank) * self._times.median_s
        if self.even_load:
            needed = int(expected * EVEN_RESERVE_SHARE)
        else:
            needed = math.ceil(expected * RESERVE_MARGIN)
        return min(max(1, needed), max(self.slots - 1, 0))

    def _fill_slots(
        self, decision: owner_call_lib.AdmissionDecision, now_s: float
    ) -> None:
        """Dispatch queued calls to free slots, and refuse late ones."""
        self._refuse_late(decision, now_s)
        usable = self._slots.usable
        long_running = sum(
            self._counts_as_long(running, now_s)
            for running in self.in_progress.values()
        )
        position = 0
        while position < len(self._queue) and len(self.in_progress) < usable:
            call = self._queue[position][1]
            call.is_long = self.is_long(call)
            if call.is_long and self.slots > 1:
                reserved = self._reserved_for_short(call.rank)
                if long_running >= usable - reserved:
                    position += 1
                    continue
            del self._queue[position]
            long_running += call.is_long
            call.dispatched_s = now_s
            self._pace.record(
                call.pace_class, call.queued_ahead, now_s - call.arrived_s
            )
            self.in_progress[call.owner_call_id] = call
            call.concurrency = len(self.in_progress)
            decision.dispatched.append(call)

    def _counts_as_long(
        self, call: owner_call_lib.OwnerCall, now_s: float
    ) -> bool:
        """Return whether a call in progress counts as long.

        That includes a straggler of a short route.
        """
        limit_s = service_times.LONG_FACTOR * max(
            self._times.median_s, self.expected_service_time_s(call.route)
        )
        return call.is_long or now_s - call.dispatched_s > limit_s

    def _refuse_late(
        self, decision: owner_call_lib.AdmissionDecision, now_s: float
    ) -> None:
        """Refuse queued calls that can no longer be answered in time."""
        kept = []
        for item in self._queue:
            call = item[1]
            if now_s > self._latest_start_s(call):
                decision.refused.append(
                    _make_refusal(call, outcome.Reason.DRAINING, None)
                )
                continue
            if now_s > self._expires_at_s(call):
                waited_s = now_s - call.arrived_s
                self._pace.record(call.pace_class, call.queued_ahead, waited_s)
                decision.refused.append(
                    _make_refusal(
                        call, outcome.Reason.DEADLINE, self._times.mean_s
                    )
                )
            else:
                kept.append(item)
        self._queue = kept


def _make_refusal(
    call: owner_call_lib.OwnerCall, reason: outcome.Reason, wait_s: float | None
) -> owner_call_lib.RefusedCall:
    retry_after_s = None
    if reason is outcome.Reason.BUSY:
        # The entry node gets the exact wait, and may send the call again to be
        # queued here.
        retry_after_s = wait_s
    elif wait_s is not None:
        retry_after_s = min(max(wait_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
    failure = outcome.Failure(
        outcome=outcome.Outcome.NOT_RUN,
        reason=reason,
        retry_after_s=retry_after_s,
    )
    return owner_call_lib.RefusedCall(call=call, failure=failure)
