"""The policy of calls on the reducer under a virtual clock.

Each case runs twice on the same arrivals: through the mesh's reducers, and by
round robin without admission, where each upstream queues what it gets. The
processor time of a call is not part of the virtual clock.
"""

import dataclasses
import heapq
import pathlib
import random

from tests import fake_calls
from tests import fake_mesh

from benchmarks import histogram
from monsoonpass.core.distribution import catalog

WARM_UP_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shape:
    """A group of workers of one of the first users."""

    workers: int
    slots: int
    service_s: float
    deadline_s: float

    @property
    def capacity(self) -> float:
        """Calls a second that all slots together can serve."""
        return self.workers * self.slots / self.service_s


@dataclasses.dataclass(kw_only=True)
class Arrival:
    """One call of a case.

    Attributes:
        at_s: When it arrives, from the start of the case.
        door: Number of the worker whose node it enters.
        factor: How much longer than usual it takes.
        path: Its route.
    """

    at_s: float
    door: int
    factor: float = 1.0
    path: str = "/lots"


@dataclasses.dataclass(kw_only=True)
class Outcome:
    """How one call ended: its latency, or None if it was not answered."""

    arrival: Arrival
    latency_s: float | None


def make_arrivals(
    shape: Shape,
    rates: list[tuple[float, float]],
    chance: random.Random,
    *,
    long_share: float = 0.0,
    long_factor: float = 1.0,
    long_path: str = "/lots",
) -> list[Arrival]:
    """Return Poisson arrivals for stretches of (duration, rate)."""
    arrivals = []
    now_s = 0.0
    end_s = 0.0
    for duration_s, rate in rates:
        end_s += duration_s
        while True:
            now_s += chance.expovariate(rate)
            if now_s >= end_s:
                now_s = end_s
                break
            is_long = chance.random() < long_share
            arrivals.append(
                Arrival(
                    at_s=now_s,
                    door=chance.randrange(shape.workers),
                    factor=long_factor if is_long else 1.0,
                    path=long_path if is_long else "/lots",
                )
            )
    return arrivals


def slow_worker(now_s: float, worker: int, workers: int) -> float:
    """Return the factor of a worker while a quarter are slowed in turns."""
    quarter = int(now_s) % 4
    return 5.0 if worker % 4 == quarter and workers >= 4 else 1.0


def run_mesh(
    shape: Shape, arrivals: list[Arrival], *, slowed: bool
) -> list[Outcome]:
    """Run a case through the reducers."""
    routes = (
        fake_mesh.make_route(
            path="/reports",
            methods=("GET",),
            deadline_s=60.0,
            priority=catalog.Priority.LOW,
            bulk=True,
        ),
    )
    mesh = fake_calls.make_shop(
        seed_number=7,
        nodes=shape.workers,
        slots=shape.slots,
        entries=0,
        deadline_s=shape.deadline_s,
        extra_routes=routes,
    )
    begin_s = mesh.now_s
    chance = random.Random(11)
    factors: dict[int, float] = {}
    for number in range(shape.workers):
        node = mesh.nodes[f"o{number}"]

        def service_s(
            record: fake_calls.CallRecord, worker: int = number
        ) -> float:
            factor = factors[record.number]
            if slowed:
                now_s = mesh.now_s - begin_s
                factor *= slow_worker(now_s, worker, shape.workers)
            return shape.service_s * factor * chance.uniform(0.8, 1.2)

        node.service_s = service_s
    found = []

    def arrive(arrival: Arrival) -> None:
        factors[mesh._last_number + 1] = arrival.factor
        record = mesh.call(f"o{arrival.door}", path=arrival.path)
        found.append((arrival, record))

    for arrival in arrivals:
        mesh.at(arrival.at_s, arrive, arrival)
    mesh.run(arrivals[-1].at_s + 70.0 * shape.service_s + 2.0)
    outcomes = []
    for arrival, record in found:
        latency_s = None
        if record.failure is None and record.ended_s is not None:
            latency_s = record.ended_s - record.arrived_s
        outcomes.append(Outcome(arrival=arrival, latency_s=latency_s))
    return outcomes


def run_round_robin(
    shape: Shape, arrivals: list[Arrival], *, slowed: bool
) -> list[Outcome]:
    """Run a case by round robin; each upstream queues what it gets."""
    chance = random.Random(11)
    free: list[list[float]] = [
        [0.0] * shape.slots for _ in range(shape.workers)
    ]
    outcomes = []
    for number, arrival in enumerate(arrivals):
        worker = number % shape.workers
        start_s = max(heapq.heappop(free[worker]), arrival.at_s)
        factor = arrival.factor
        if slowed:
            factor *= slow_worker(start_s, worker, shape.workers)
        service_s = shape.service_s * factor * chance.uniform(0.8, 1.2)
        heapq.heappush(free[worker], start_s + service_s)
        latency_s = start_s + service_s - arrival.at_s
        outcomes.append(Outcome(arrival=arrival, latency_s=latency_s))
    return outcomes


def in_time_rate(
    outcomes: list[Outcome], shape: Shape, begin_s: float, end_s: float
) -> float:
    """Return calls answered in time a second, of those in a stretch."""
    in_time = sum(
        outcome.latency_s is not None and outcome.latency_s <= shape.deadline_s
        for outcome in outcomes
        if begin_s <= outcome.arrival.at_s < end_s
    )
    return in_time / (end_s - begin_s)


def short_latencies(outcomes: list[Outcome]) -> list[float]:
    """Return the latencies of short calls that were answered."""
    return [
        outcome.latency_s
        for outcome in outcomes
        if outcome.latency_s is not None
        and outcome.arrival.factor == 1.0
        and outcome.arrival.at_s > WARM_UP_S
    ]


def run(options: dict[str, str], folder: pathlib.Path) -> dict[str, object]:
    """Measure the crest, long work, slowed upstreams and stragglers."""
    del folder
    result: dict[str, object] = {}
    for name, workers, slots in (("retazo", 8, 12), ("visse", 9, 9)):
        shape = Shape(
            workers=workers,
            slots=slots,
            service_s=float(options["service_ms"]) / 1000.0,
            deadline_s=float(options["deadline_ms"]) / 1000.0,
        )
        result[name] = {
            "crest": _crest(shape, float(options["crest"])),
            "long work": _long(shape, float(options["load"])),
            "slowed": _slowed(shape, float(options["load"])),
            "stragglers": _stragglers(shape, float(options["load"])),
        }
    return result


POLICIES = {"mesh": run_mesh, "round robin": run_round_robin}


def _crest(shape: Shape, crest: float) -> dict[str, object]:
    base = 0.5 * shape.capacity
    rates = [(1.0, base), (1.5, crest * shape.capacity), (1.0, base)]
    arrivals = make_arrivals(shape, rates, random.Random(1))
    result: dict[str, object] = {"capacity_per_s": round(shape.capacity)}
    for name, policy in POLICIES.items():
        outcomes = policy(shape, arrivals, slowed=False)
        at_crest = in_time_rate(outcomes, shape, 1.0, 2.5)
        after = in_time_rate(outcomes, shape, 2.5, 3.5)
        result[name] = {
            "in_time_at_crest_share": round(at_crest / shape.capacity, 3),
            "in_time_after_share": round(after / base, 3),
        }
    return result


def _compare(
    shape: Shape,
    calm: list[Arrival],
    disturbed: list[Arrival],
    *,
    slowed: bool = False,
) -> dict[str, object]:
    result: dict[str, object] = {}
    for name, policy in POLICIES.items():
        before = policy(shape, calm, slowed=False)
        after = policy(shape, disturbed, slowed=slowed)
        short_before = short_latencies(before)
        short_after = short_latencies(after)
        total = sum(a.factor == 1.0 for a in disturbed if a.at_s > WARM_UP_S)
        p99_before = histogram.summary(short_before)["p99_ms"]
        p99_after = histogram.summary(short_after)["p99_ms"]
        result[name] = {
            "p99_without_ms": p99_before,
            "p99_with_ms": p99_after,
            "factor": round(p99_after / p99_before, 2),
            "answered_share": round(len(short_after) / max(total, 1), 4),
        }
    return result


def _long(shape: Shape, load: float) -> dict[str, object]:
    rates = [(4.0, load * shape.capacity)]
    calm = make_arrivals(shape, rates, random.Random(2))
    # With 5 % of calls 20 times as long, 0.6 of the work is long.
    rate = load * shape.capacity / (0.95 + 0.05 * 20)
    disturbed = make_arrivals(
        shape,
        [(4.0, rate)],
        random.Random(2),
        long_share=0.05,
        long_factor=20.0,
        long_path="/reports",
    )
    return _compare(shape, calm, disturbed)


def _slowed(shape: Shape, load: float) -> dict[str, object]:
    rates = [(6.0, load * 0.7 * shape.capacity)]
    calm = make_arrivals(shape, rates, random.Random(3))
    return _compare(shape, calm, calm, slowed=True)


def _stragglers(shape: Shape, load: float) -> dict[str, object]:
    rates = [(4.0, load * 0.7 * shape.capacity)]
    calm = make_arrivals(shape, rates, random.Random(4))
    disturbed = make_arrivals(
        shape, rates, random.Random(4), long_share=0.005, long_factor=50.0
    )
    return _compare(shape, calm, disturbed)
