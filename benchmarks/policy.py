"""Compares the mesh's load balancing and admission with round robin.

Each case runs with the same arrivals through the reducers of a simulated mesh
and by round robin without admission, where each upstream queues every call
that is sent to it. Time is virtual; the processor time that the nodes need for
a call is not included.
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
class WorkerGroup:
    """Workers of one service, each with an upstream beside its node.

    Attributes:
        workers: Number of workers.
        slots: Calls that one upstream runs at once.
        service_s: Mean service time of a short call.
        deadline_s: Deadline of a call.
    """

    workers: int
    slots: int
    service_s: float
    deadline_s: float

    @property
    def capacity(self) -> float:
        """Short calls per second that all slots together can serve."""
        return self.workers * self.slots / self.service_s


@dataclasses.dataclass(kw_only=True)
class Arrival:
    """Arrival of one call.

    Attributes:
        at_s: Time of arrival, from the start of the case.
        entry_worker: Number of the worker whose node is the entry node.
        duration_factor: Service time of the call, as a multiple of that of a
            short call.
        path: Path of the call, which selects its route.
    """

    at_s: float
    entry_worker: int
    duration_factor: float = 1.0
    path: str = "/lots"


@dataclasses.dataclass(kw_only=True)
class Outcome:
    """Outcome of one call.

    Attributes:
        arrival: Arrival of the call.
        latency_s: Time until the answer, or None without an answer.
    """

    arrival: Arrival
    latency_s: float | None


def make_arrivals(
    group: WorkerGroup,
    phases: list[tuple[float, float]],
    rng: random.Random,
    *,
    long_share: float = 0.0,
    long_factor: float = 1.0,
    long_path: str = "/lots",
) -> list[Arrival]:
    """Return Poisson arrivals for consecutive phases of load.

    Args:
        group: Workers that the calls enter at.
        phases: Duration in seconds and arrival rate per second of each phase.
        rng: Source of random numbers.
        long_share: Share of long calls.
        long_factor: Service time of a long call, as a multiple of that of a
            short call.
        long_path: Path of long calls.

    Returns:
        The arrivals in order of time.
    """
    arrivals = []
    now_s = 0.0
    end_s = 0.0
    for duration_s, rate in phases:
        end_s += duration_s
        while True:
            now_s += rng.expovariate(rate)
            if now_s >= end_s:
                now_s = end_s
                break
            is_long = rng.random() < long_share
            arrivals.append(
                Arrival(
                    at_s=now_s,
                    entry_worker=rng.randrange(group.workers),
                    duration_factor=long_factor if is_long else 1.0,
                    path=long_path if is_long else "/lots",
                )
            )
    return arrivals


def slowdown_factor(now_s: float, worker: int, workers: int) -> float:
    """Return the service time factor of a worker at a time.

    A quarter of the workers is slowed at a time, each quarter for a second in
    turn. Groups of fewer than four workers are never slowed.
    """
    quarter = int(now_s) % 4
    return 5.0 if worker % 4 == quarter and workers >= 4 else 1.0


def run_mesh(
    group: WorkerGroup, arrivals: list[Arrival], *, slowed: bool
) -> list[Outcome]:
    """Run the arrivals through the reducers of a simulated mesh."""
    routes = (
        fake_mesh.make_route(
            path="/reports",
            methods=("GET",),
            deadline_s=60.0,
            priority=catalog.Priority.LOW,
            bulk=True,
        ),
    )
    mesh = fake_calls.make_call_mesh(
        seed_number=7,
        nodes=group.workers,
        slots=group.slots,
        entries=0,
        deadline_s=group.deadline_s,
        extra_routes=routes,
    )
    begin_s = mesh.now_s
    rng = random.Random(11)
    duration_factors: dict[int, float] = {}
    for number in range(group.workers):
        node = mesh.nodes[f"o{number}"]

        def service_s(
            record: fake_calls.CallRecord, worker: int = number
        ) -> float:
            duration_factor = duration_factors[record.number]
            if slowed:
                now_s = mesh.now_s - begin_s
                duration_factor *= slowdown_factor(now_s, worker, group.workers)
            return group.service_s * duration_factor * rng.uniform(0.8, 1.2)

        node.service_s = service_s
    records = []

    def start_call(arrival: Arrival) -> None:
        duration_factors[mesh.last_call_number + 1] = arrival.duration_factor
        record = mesh.call(f"o{arrival.entry_worker}", path=arrival.path)
        records.append((arrival, record))

    for arrival in arrivals:
        mesh.call_later(arrival.at_s, start_call, arrival)
    mesh.run(arrivals[-1].at_s + 70.0 * group.service_s + 2.0)
    outcomes = []
    for arrival, record in records:
        latency_s = None
        if record.failure is None and record.ended_s is not None:
            latency_s = record.ended_s - record.arrived_s
        outcomes.append(Outcome(arrival=arrival, latency_s=latency_s))
    return outcomes


def run_round_robin(
    group: WorkerGroup, arrivals: list[Arrival], *, slowed: bool
) -> list[Outcome]:
    """Run the arrivals by round robin, with an unlimited queue per upstream."""
    rng = random.Random(11)
    free_at_s: list[list[float]] = [
        [0.0] * group.slots for _ in range(group.workers)
    ]
    outcomes = []
    for number, arrival in enumerate(arrivals):
        worker = number % group.workers
        start_s = max(heapq.heappop(free_at_s[worker]), arrival.at_s)
        duration_factor = arrival.duration_factor
        if slowed:
            duration_factor *= slowdown_factor(start_s, worker, group.workers)
        service_s = group.service_s * duration_factor * rng.uniform(0.8, 1.2)
        heapq.heappush(free_at_s[worker], start_s + service_s)
        latency_s = start_s + service_s - arrival.at_s
        outcomes.append(Outcome(arrival=arrival, latency_s=latency_s))
    return outcomes


def goodput_per_s(
    outcomes: list[Outcome], group: WorkerGroup, begin_s: float, end_s: float
) -> float:
    """Return the rate of calls of an interval that met their deadline.

    Args:
        outcomes: Outcomes of all calls of a case.
        group: Workers, with the deadline of the calls.
        begin_s: Start of the interval of arrivals.
        end_s: End of the interval of arrivals.

    Returns:
        Calls per second.
    """
    in_time = sum(
        outcome.latency_s is not None and outcome.latency_s <= group.deadline_s
        for outcome in outcomes
        if begin_s <= outcome.arrival.at_s < end_s
    )
    return in_time / (end_s - begin_s)


def short_call_latencies_s(outcomes: list[Outcome]) -> list[float]:
    """Return the latencies of answered short calls after the warm-up."""
    return [
        outcome.latency_s
        for outcome in outcomes
        if outcome.latency_s is not None
        and outcome.arrival.duration_factor == 1.0
        and outcome.arrival.at_s > WARM_UP_S
    ]


def run(options: dict[str, str], folder: pathlib.Path) -> dict[str, object]:
    """Measure peak load, long calls, slowed upstreams and stragglers.

    The two groups have the sizes of services of the first users.
    """
    del folder
    result: dict[str, object] = {}
    for name, workers, slots in (("retazo", 8, 12), ("visse", 9, 9)):
        group = WorkerGroup(
            workers=workers,
            slots=slots,
            service_s=float(options["service_ms"]) / 1000.0,
            deadline_s=float(options["deadline_ms"]) / 1000.0,
        )
        result[name] = {
            "crest": _measure_peak(group, float(options["crest"])),
            "long work": _measure_long_calls(group, float(options["load"])),
            "slowed": _measure_slowed_workers(group, float(options["load"])),
            "stragglers": _measure_stragglers(group, float(options["load"])),
        }
    return result


POLICIES = {"mesh": run_mesh, "round robin": run_round_robin}


def _measure_peak(group: WorkerGroup, peak_load: float) -> dict[str, object]:
    """Measure goodput during and after a peak, as a multiple of capacity."""
    base_rate = 0.5 * group.capacity
    phases = [
        (1.0, base_rate),
        (1.5, peak_load * group.capacity),
        (1.0, base_rate),
    ]
    arrivals = make_arrivals(group, phases, random.Random(1))
    result: dict[str, object] = {"capacity_per_s": round(group.capacity)}
    for name, policy in POLICIES.items():
        outcomes = policy(group, arrivals, slowed=False)
        goodput_at_peak = goodput_per_s(outcomes, group, 1.0, 2.5)
        goodput_after = goodput_per_s(outcomes, group, 2.5, 3.5)
        result[name] = {
            "in_time_at_crest_share": round(
                goodput_at_peak / group.capacity, 3
            ),
            "in_time_after_share": round(goodput_after / base_rate, 3),
        }
    return result


def _compare_with_baseline(
    group: WorkerGroup,
    baseline_arrivals: list[Arrival],
    disturbed_arrivals: list[Arrival],
    *,
    slowed: bool = False,
) -> dict[str, object]:
    """Compare short calls with and without a disturbance, for each policy."""
    result: dict[str, object] = {}
    for name, policy in POLICIES.items():
        before = policy(group, baseline_arrivals, slowed=False)
        after = policy(group, disturbed_arrivals, slowed=slowed)
        short_before = short_call_latencies_s(before)
        short_after = short_call_latencies_s(after)
        total = sum(
            a.duration_factor == 1.0
            for a in disturbed_arrivals
            if a.at_s > WARM_UP_S
        )
        p99_before = histogram.summarize(short_before)["p99_ms"]
        p99_after = histogram.summarize(short_after)["p99_ms"]
        result[name] = {
            "p99_without_ms": p99_before,
            "p99_with_ms": p99_after,
            "factor": round(p99_after / p99_before, 2),
            "answered_share": round(len(short_after) / max(total, 1), 4),
        }
    return result


def _measure_long_calls(group: WorkerGroup, load: float) -> dict[str, object]:
    phases = [(4.0, load * group.capacity)]
    baseline_arrivals = make_arrivals(group, phases, random.Random(2))
    # 5 % of the calls take 20 times as long. The lower rate keeps the offered
    # load; long calls then make up about half of the load (1 / 1.95).
    rate = load * group.capacity / (0.95 + 0.05 * 20)
    disturbed_arrivals = make_arrivals(
        group,
        [(4.0, rate)],
        random.Random(2),
        long_share=0.05,
        long_factor=20.0,
        long_path="/reports",
    )
    return _compare_with_baseline(group, baseline_arrivals, disturbed_arrivals)


def _measure_slowed_workers(
    group: WorkerGroup, load: float
) -> dict[str, object]:
    phases = [(6.0, load * 0.7 * group.capacity)]
    baseline_arrivals = make_arrivals(group, phases, random.Random(3))
    return _compare_with_baseline(
        group, baseline_arrivals, baseline_arrivals, slowed=True
    )


def _measure_stragglers(group: WorkerGroup, load: float) -> dict[str, object]:
    phases = [(4.0, load * 0.7 * group.capacity)]
    baseline_arrivals = make_arrivals(group, phases, random.Random(4))
    disturbed_arrivals = make_arrivals(
        group, phases, random.Random(4), long_share=0.005, long_factor=50.0
    )
    return _compare_with_baseline(group, baseline_arrivals, disturbed_arrivals)
