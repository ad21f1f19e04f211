"""Simulates callers of two services at peak load, by kind of call.

The admission controller of each owner is the real one; the upstreams and the
callers are modelled. Service "shop" serves the calls "browse" and "confirm".
Service "desk" serves "upload", "refund", and the lookups that browse calls
make while they hold a slot of "shop". Owners differ in speed and are slowed
at random intervals. The arrival rate of callers follows a cosine wave; a
refused caller waits for the time in `Retry-After` and retries once. Time is
virtual and the random numbers are seeded, so equal seeds give equal results.
"""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import math
import pathlib
import random
from typing import Any

from monsoonpass.core.calls import admission as admission_lib
from monsoonpass.core.calls import outcome
from monsoonpass.core.calls import owner_call as owner_call_lib
from monsoonpass.core.calls import retry_after

WAVE_PERIOD_S = 15.0  # Period of the arrival rate.
ARRIVALS_END_S = 30.0  # Two periods.
ROUND_TRIP_S = 0.004  # Network round trip to an owner.
SLOWDOWN_SHARE = 0.15  # Share of intervals in which an owner is slowed.
SLOWDOWN_FACTOR = 2.5  # Service time in a slowed interval, as a multiple.
SLOWDOWN_INTERVAL_S = 0.6  # An owner is slowed or not for a whole interval.
TAIL_SHARE = 0.03  # Share of calls with a long service time.
TAIL_FACTOR = 7.0  # Service time of these calls, as a multiple.


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallKind:
    """Parameters of one kind of call.

    Attributes:
        name: Name of the route.
        service: Service that answers the calls.
        share: Share of all calls that callers make; 0 for lookups.
        priority: Order of admission, lowest first.
        mean_s: Base service time at an owner of speed 1; the service time is
            drawn around it.
        objective_s: Response time up to which an answer has its full value.
        deadline_s: Time from the first attempt after which the caller stops
            waiting.
        value: Value of an answer within the objective.
        late_value: Value of an answer after the objective and before the
            deadline.
        lookup_share: Share of the calls that make a lookup at "desk".
        made_by_callers: Whether callers make the calls; lookups are made by
            other calls.
    """

    name: str
    service: str
    share: float = 0.0
    priority: int = 2
    mean_s: float
    objective_s: float
    deadline_s: float
    value: float = 1.0
    late_value: float = 0.1
    lookup_share: float = 0.0
    made_by_callers: bool = True


LOOKUP = CallKind(
    name="lookup",
    service="desk",
    priority=1,
    mean_s=0.022,
    objective_s=0.1,
    deadline_s=0.25,
    made_by_callers=False,
)
KINDS = (
    CallKind(
        name="browse",
        service="shop",
        share=0.53,
        mean_s=0.076,
        objective_s=0.3,
        deadline_s=1.2,
        lookup_share=0.7,
    ),
    CallKind(
        name="confirm",
        service="shop",
        share=0.31,
        priority=1,
        mean_s=0.1,
        objective_s=0.4,
        deadline_s=1.5,
        value=2.0,
        late_value=0.2,
    ),
    CallKind(
        name="upload",
        service="desk",
        share=0.07,
        priority=1,
        mean_s=0.094,
        objective_s=0.4,
        deadline_s=1.5,
        value=2.0,
        late_value=0.2,
    ),
    CallKind(
        name="refund",
        service="desk",
        share=0.09,
        mean_s=0.061,
        objective_s=0.25,
        deadline_s=1.0,
    ),
)


@dataclasses.dataclass(kw_only=True)
class Call:
    """One attempt of a call.

    Attributes:
        kind: Kind of the call.
        first_sent_s: When the first attempt was sent.
        sent_s: When this attempt was sent.
        attempt: Number of this attempt, from 1.
        on_result: Resumes the call that made this lookup and is passed
            whether the lookup succeeded; None for a call of a caller.
    """

    kind: CallKind
    first_sent_s: float
    sent_s: float
    attempt: int = 1
    on_result: Callable[[bool], None] | None = None
    looked_up: bool = False

    @property
    def deadline_at_s(self) -> float:
        """Time at which the caller stops waiting."""
        return self.first_sent_s + self.kind.deadline_s


class Owner:
    """An owner node: a real admission controller and a modelled upstream.

    Attributes:
        simulation: Simulation that the owner belongs to.
        speed: Speed of the upstream, relative to the service times of kinds.
        calls: Calls in progress or queued, by number.
        slowdowns: Factor of service times by interval of the clock.
        expiry_s: When queued calls are next checked for expiry; infinite if
            no check is scheduled.
        admission: Admission controller of the owner.
    """

    def __init__(self, *, simulation: "Simulation", service: str, speed: float):
        self.simulation = simulation
        self.speed = speed
        self.calls: dict[int, Call] = {}
        self.slowdowns: dict[int, float] = {}
        self.expiry_s = math.inf
        self.admission = admission_lib.Admission()
        self.admission.announce(service=service, slots=9, cold=False, now_s=0.0)

    @property
    def pending_calls(self) -> int:
        """Number of calls in progress or queued."""
        return len(self.admission.in_progress) + self.admission.queued

    def offer(self, call: Call) -> None:
        """Pass an arrived call to admission and apply the decision."""
        now_s = self.simulation.now_s
        number = next(self.simulation.numbers)
        self.calls[number] = call
        kind = call.kind
        decision = self.admission.offer(
            owner_call_lib.OwnerCall(
                owner_call_id=number,
                priority=kind.priority,
                deadline_s=call.deadline_at_s,
                bulk=False,
                route=kind.name,
                arrived_s=now_s,
                objective_deadline_s=call.sent_s + kind.objective_s,
            ),
            now_s,
        )
        self.apply(decision)

    def apply(self, decision: owner_call_lib.AdmissionDecision) -> None:
        """Refuse and run calls as admission decided."""
        for refused in decision.refused:
            call = self.calls.pop(refused.call.owner_call_id)
            self.simulation.handle_refusal(call, refused.failure)
        for owner_call in decision.dispatched:
            self._run(owner_call.owner_call_id)
        next_s = self.admission.next_expiry_at_s() + 0.001
        if next_s < self.expiry_s:
            self.expiry_s = next_s
            self.simulation.call_later(
                next_s - self.simulation.now_s, self._expire
            )

    def _expire(self) -> None:
        self.expiry_s = math.inf
        self.apply(self.admission.expire(self.simulation.now_s))

    def _run(self, number: int) -> None:
        call = self.calls[number]
        started_s = self.simulation.now_s
        kind = call.kind
        looks_up = self.simulation.rng.random() < kind.lookup_share

        def done(succeeded: bool) -> None:
            self._finish(number, started_s, succeeded)

        if looks_up:
            half_service_s = self._draw_service_s(kind) / 2.0

            def resume(succeeded: bool) -> None:
                if succeeded:
                    self.simulation.call_later(half_service_s, done, True)
                else:
                    done(False)

            self.simulation.call_later(
                half_service_s, self.simulation.start_lookup, call, resume
            )
        else:
            self.simulation.call_later(self._draw_service_s(kind), done, True)

    def _draw_service_s(self, kind: CallKind) -> float:
        rng = self.simulation.rng
        service_s = kind.mean_s * rng.uniform(0.6, 1.2) / self.speed
        if rng.random() < TAIL_SHARE:
            service_s *= TAIL_FACTOR
        interval = int(self.simulation.now_s / SLOWDOWN_INTERVAL_S)
        if interval not in self.slowdowns:
            slowed = rng.random() < SLOWDOWN_SHARE
            self.slowdowns[interval] = SLOWDOWN_FACTOR if slowed else 1.0
        return service_s * self.slowdowns[interval]

    def _finish(self, number: int, started_s: float, succeeded: bool) -> None:
        call = self.calls.pop(number)
        now_s = self.simulation.now_s
        decision = self.admission.finish(
            number, service_time_s=now_s - started_s, ok=True, now_s=now_s
        )
        self.simulation.handle_answer(call, succeeded)
        self.apply(decision)


class Simulation:
    """Event simulation of the owners and their callers in virtual time.

    Attributes:
        rng: Source of all random numbers.
        now_s: Virtual time.
        numbers: Numbers of calls and of events, which order events due at
            the same time.
        rate: Mean arrival rate of calls, per second.
        swing: Amplitude of the arrival rate, as a share of the mean.
        owners: Owners of each service.
        counts: Calls by kind and result; key "all" counts every call.
        refused_after_s: Time from sending to refusal of each refused attempt.
        earned_value: Value of the answers that callers received.
        offered_value: Value of the same calls if all were answered in time.
    """

    def __init__(
        self, *, shop: int, desk: int, rate: float, swing: float, seed: int
    ):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.numbers = itertools.count(1)
        self.rate = rate
        self.swing = swing
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        speeds = itertools.cycle((0.6, 1.0, 1.4))
        self.owners = {
            "shop": [
                self._make_owner("shop", next(speeds)) for _ in range(shop)
            ],
            "desk": [
                self._make_owner("desk", next(speeds)) for _ in range(desk)
            ],
        }
        self.counts: dict[str, collections.Counter[str]] = {
            kind.name: collections.Counter() for kind in (*KINDS, LOOKUP)
        }
        self.refused_after_s: list[float] = []
        self.earned_value = 0.0
        self.offered_value = 0.0

    def call_later(
        self, delay_s: float, callback: Callable[..., None], *args: Any
    ) -> None:
        """Schedule a callback after a delay of virtual time."""
        item = (self.now_s + delay_s, next(self.numbers), callback, args)
        heapq.heappush(self._events, item)

    def run(self) -> dict[str, Any]:
        """Run all arrivals and return the results."""
        while self.now_s < ARRIVALS_END_S:
            phase = 2.0 * math.pi * self.now_s / WAVE_PERIOD_S
            rate = self.rate * (1.0 - self.swing * math.cos(phase))
            gap_s = self.rng.expovariate(rate)
            self._run_events_until(self.now_s + gap_s)
            weights = [kind.share for kind in KINDS]
            kind = self.rng.choices(KINDS, weights)[0]
            self.offered_value += kind.value
            self.counts[kind.name]["all"] += 1
            self._send(
                Call(kind=kind, first_sent_s=self.now_s, sent_s=self.now_s)
            )
        self._run_events_until(ARRIVALS_END_S + 3.0)
        return self._summarize()

    def start_lookup(
        self, caller: Call, on_result: Callable[[bool], None]
    ) -> None:
        """Send a lookup for a running call, unless its deadline has passed."""
        if self.now_s >= caller.deadline_at_s:
            on_result(False)
            return
        self.counts[LOOKUP.name]["all"] += 1
        self._send(
            Call(
                kind=LOOKUP,
                first_sent_s=self.now_s,
                sent_s=self.now_s,
                on_result=on_result,
            )
        )

    def handle_refusal(self, call: Call, failure: outcome.Failure) -> None:
        """Handle a refusal; a caller retries once if time is left."""
        self.refused_after_s.append(self.now_s - call.sent_s)
        if call.on_result is not None:
            self.counts[call.kind.name]["refused"] += 1
            self.call_later(ROUND_TRIP_S, call.on_result, False)
            return
        random_bits = self.rng.getrandbits(64)
        retry_after_s = (
            retry_after.with_retry_after(failure, random_bits).retry_after_s
            or 0.0
        )
        remaining_s = call.deadline_at_s - self.now_s
        if call.attempt > 1 or remaining_s <= 0.0:
            self.counts[call.kind.name]["refused"] += 1
            return
        wait_s = min(retry_after_s, remaining_s / 3.0)
        self.call_later(ROUND_TRIP_S + wait_s, self._retry, call)

    def handle_answer(self, call: Call, succeeded: bool) -> None:
        """Count an answer by its response time and add its value."""
        kind = call.kind
        if call.on_result is not None:
            in_time = succeeded and self.now_s <= call.deadline_at_s
            self.counts[kind.name]["in time" if in_time else "failed"] += 1
            self.call_later(ROUND_TRIP_S, call.on_result, in_time)
            return
        took_s = self.now_s + ROUND_TRIP_S - call.first_sent_s
        if not succeeded or took_s > kind.deadline_s:
            self.counts[kind.name]["failed"] += 1
        elif took_s <= kind.objective_s:
            self.counts[kind.name]["in time"] += 1
            self.earned_value += kind.value
        else:
            self.counts[kind.name]["late"] += 1
            self.earned_value += kind.late_value

    def _make_owner(self, service: str, speed: float) -> Owner:
        return Owner(simulation=self, service=service, speed=speed)

    def _retry(self, call: Call) -> None:
        retry = dataclasses.replace(
            call, sent_s=self.now_s, attempt=call.attempt + 1
        )
        self._send(retry)

    def _send(self, call: Call) -> None:
        """Send a call to the less loaded of two random owners."""
        first, second = self.rng.sample(self.owners[call.kind.service], 2)
        less_loaded = min(
            first, second, key=lambda owner: owner.pending_calls / owner.speed
        )
        self.call_later(ROUND_TRIP_S / 2.0, less_loaded.offer, call)

    def _run_events_until(self, end_s: float) -> None:
        while self._events and self._events[0][0] <= end_s:
            due_s, _, callback, args = heapq.heappop(self._events)
            self.now_s = max(self.now_s, due_s)
            callback(*args)
        self.now_s = end_s

    def _summarize(self) -> dict[str, Any]:
        waits_s = sorted(self.refused_after_s) or [0.0]
        result: dict[str, Any] = {
            "earned": round(self.earned_value / self.offered_value, 3),
            "refusals": len(self.refused_after_s),
            "held_p50_ms": round(1000 * waits_s[len(waits_s) // 2]),
            "held_p90_ms": round(1000 * waits_s[len(waits_s) * 9 // 10]),
        }
        for name, counts in self.counts.items():
            total = max(counts["all"], 1)
            result[name] = {
                key: round(counts[key] / total, 3)
                for key in ("in time", "late", "refused", "failed")
            }
        return result


def run(options: dict[str, str], folder: pathlib.Path) -> dict[str, object]:
    """Simulate each load case and return the results by case."""
    del folder
    cases = {
        "shop short of room": {"shop": 9, "desk": 5, "rate": 600.0},
        "desk short of room": {"shop": 11, "desk": 2, "rate": 560.0},
        "both short of room": {"shop": 9, "desk": 2, "rate": 667.0},
    }
    swing = float(options["swing"])
    seed = int(options["seed"])
    return {
        name: Simulation(swing=swing, seed=seed, **case).run()
        for name, case in cases.items()
    }
