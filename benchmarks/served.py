"""A model of the served systems at the worst of their load.

Two services stand behind the real admission of each of their owners: one that
callers browse and confirm on, and one that takes uploads and refunds and
answers the lookups that browsing makes while it holds a slot. Owners differ
in speed and slow down for moments; callers come in a wave, honour
`Retry-After`, and come back once. Time is virtual and all chance is seeded.
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
from monsoonpass.core.calls import returns
from monsoonpass.core.calls import work as work_lib

WAVE_S = 15.0  # Period of the users' waves.
LENGTH_S = 30.0  # Two waves.
HOP_S = 0.004  # Way to an owner and back.
NOISE_SHARE = 0.15  # Part of the time in which an owner is slowed.
NOISE_FACTOR = 2.5  # How much slower it is then.
NOISE_S = 0.6  # Time between two looks at whether it is slowed.
TAIL_SHARE = 0.03  # Part of the calls that take long.
TAIL_FACTOR = 7.0  # How much longer they take.


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """A kind of call.

    Attributes:
        name: Its route.
        service: The service that answers it.
        share: Part of all callers' calls.
        priority: Order of admission, lowest first.
        mean_s: Time that it takes on an owner of the usual speed.
        objective_s: Time within which its answer earns all.
        deadline_s: Time after which its caller leaves.
        worth: What an answer in time earns.
        late_worth: What a later one earns.
        lookup_share: Part of its calls that look up at the other service.
        callers: Whether callers make it, and come back.
    """

    name: str
    service: str
    share: float = 0.0
    priority: int = 2
    mean_s: float
    objective_s: float
    deadline_s: float
    worth: float = 1.0
    late_worth: float = 0.1
    lookup_share: float = 0.0
    callers: bool = True


LOOKUP = Kind(
    name="lookup",
    service="desk",
    priority=1,
    mean_s=0.022,
    objective_s=0.1,
    deadline_s=0.25,
    callers=False,
)
KINDS = (
    Kind(
        name="browse",
        service="shop",
        share=0.53,
        mean_s=0.076,
        objective_s=0.3,
        deadline_s=1.2,
        lookup_share=0.7,
    ),
    Kind(
        name="confirm",
        service="shop",
        share=0.31,
        priority=1,
        mean_s=0.1,
        objective_s=0.4,
        deadline_s=1.5,
        worth=2.0,
        late_worth=0.2,
    ),
    Kind(
        name="upload",
        service="desk",
        share=0.07,
        priority=1,
        mean_s=0.094,
        objective_s=0.4,
        deadline_s=1.5,
        worth=2.0,
        late_worth=0.2,
    ),
    Kind(
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
    """One call; a caller's second try is another with the same start."""

    kind: Kind
    began_s: float
    arrived_s: float
    tries: int = 1
    parent: Callable[[bool], None] | None = None
    looked_up: bool = False

    @property
    def gone_s(self) -> float:
        """When its caller leaves."""
        return self.began_s + self.kind.deadline_s


class Owner:
    """One owner: the real admission before a modelled upstream."""

    def __init__(self, *, model: "Model", service: str, speed: float):
        self.model = model
        self.speed = speed
        self.calls: dict[int, Call] = {}
        self.noise: dict[int, float] = {}
        self.expiry_s = math.inf
        self.admission = admission_lib.Admission()
        self.admission.announce(service=service, slots=9, cold=False, now_s=0.0)

    @property
    def crowd(self) -> int:
        """Calls that run or wait."""
        return len(self.admission.in_progress) + self.admission.queued

    def offer(self, call: Call) -> None:
        """Take a call."""
        now_s = self.model.now_s
        number = next(self.model.numbers)
        self.calls[number] = call
        kind = call.kind
        decision = self.admission.offer(
            work_lib.Work(
                work_id=number,
                priority=kind.priority,
                deadline_s=call.gone_s,
                bulk=False,
                route=kind.name,
                arrived_s=now_s,
                best_before_s=call.arrived_s + kind.objective_s,
            ),
            now_s,
        )
        self.perform(decision)

    def perform(self, decision: work_lib.Decision) -> None:
        """Run and refuse what admission decided."""
        for refused in decision.refused:
            call = self.calls.pop(refused.work.work_id)
            self.model.refused(call, refused.failure)
        for work in decision.dispatch:
            self._run(work.work_id)
        next_s = self.admission.next_expiry_s() + 0.001
        if next_s < self.expiry_s:
            self.expiry_s = next_s
            self.model.at(next_s - self.model.now_s, self._expire)

    def _expire(self) -> None:
        self.expiry_s = math.inf
        self.perform(self.admission.expire(self.model.now_s))

    def _run(self, number: int) -> None:
        call = self.calls[number]
        started_s = self.model.now_s
        kind = call.kind
        looks_up = self.model.chance.random() < kind.lookup_share

        def done(ok: bool) -> None:
            self._finish(number, started_s, ok)

        if looks_up:
            half_s = self._service_s(kind) / 2.0

            def answered(ok: bool) -> None:
                if ok:
                    self.model.at(half_s, done, True)
                else:
                    done(False)

            self.model.at(half_s, self.model.look_up, call, answered)
        else:
            self.model.at(self._service_s(kind), done, True)

    def _service_s(self, kind: Kind) -> float:
        chance = self.model.chance
        service_s = kind.mean_s * chance.uniform(0.6, 1.2) / self.speed
        if chance.random() < TAIL_SHARE:
            service_s *= TAIL_FACTOR
        moment = int(self.model.now_s / NOISE_S)
        if moment not in self.noise:
            slowed = chance.random() < NOISE_SHARE
            self.noise[moment] = NOISE_FACTOR if slowed else 1.0
        return service_s * self.noise[moment]

    def _finish(self, number: int, started_s: float, ok: bool) -> None:
        call = self.calls.pop(number)
        now_s = self.model.now_s
        decision = self.admission.finish(
            number, service_time_s=now_s - started_s, ok=True, now_s=now_s
        )
        self.model.answered(call, ok)
        self.perform(decision)


class Model:
    """The owners, their callers and the clock."""

    def __init__(
        self, *, shop: int, desk: int, rate: float, swing: float, seed: int
    ):
        self.chance = random.Random(seed)
        self.now_s = 0.0
        self.numbers = itertools.count(1)
        self.rate = rate
        self.swing = swing
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        speeds = itertools.cycle((0.6, 1.0, 1.4))
        self.owners = {
            "shop": [self._owner("shop", next(speeds)) for _ in range(shop)],
            "desk": [self._owner("desk", next(speeds)) for _ in range(desk)],
        }
        self.counts: dict[str, collections.Counter[str]] = {
            kind.name: collections.Counter() for kind in (*KINDS, LOOKUP)
        }
        self.held_s: list[float] = []
        self.earned = 0.0
        self.owed = 0.0

    def at(self, delay_s: float, call: Callable[..., None], *args: Any) -> None:
        """Call a function after a delay."""
        item = (self.now_s + delay_s, next(self.numbers), call, args)
        heapq.heappush(self._events, item)

    def run(self) -> dict[str, Any]:
        """Play the waves; return what callers got."""
        while self.now_s < LENGTH_S:
            phase = 2.0 * math.pi * self.now_s / WAVE_S
            rate = self.rate * (1.0 - self.swing * math.cos(phase))
            gap_s = self.chance.expovariate(rate)
            self._play_until(self.now_s + gap_s)
            weights = [kind.share for kind in KINDS]
            kind = self.chance.choices(KINDS, weights)[0]
            self.owed += kind.worth
            self.counts[kind.name]["all"] += 1
            self._send(
                Call(kind=kind, began_s=self.now_s, arrived_s=self.now_s)
            )
        self._play_until(LENGTH_S + 3.0)
        return self._result()

    def look_up(self, parent: Call, then: Callable[[bool], None]) -> None:
        """Make the call of a running one."""
        if self.now_s >= parent.gone_s:
            then(False)
            return
        self.counts[LOOKUP.name]["all"] += 1
        self._send(
            Call(
                kind=LOOKUP,
                began_s=self.now_s,
                arrived_s=self.now_s,
                parent=then,
            )
        )

    def refused(self, call: Call, failure: outcome.Failure) -> None:
        """Take a refusal; its caller may come back once."""
        self.held_s.append(self.now_s - call.arrived_s)
        if call.parent is not None:
            self.counts[call.kind.name]["refused"] += 1
            self.at(HOP_S, call.parent, False)
            return
        random_bits = self.chance.getrandbits(64)
        told = returns.with_time(failure, random_bits).retry_after_s or 0.0
        left_s = call.gone_s - self.now_s
        if call.tries > 1 or left_s <= 0.0:
            self.counts[call.kind.name]["refused"] += 1
            return
        wait_s = min(told, left_s / 3.0)
        self.at(HOP_S + wait_s, self._return, call)

    def answered(self, call: Call, ok: bool) -> None:
        """Take an answer."""
        kind = call.kind
        if call.parent is not None:
            in_time = ok and self.now_s <= call.gone_s
            self.counts[kind.name]["in time" if in_time else "failed"] += 1
            self.at(HOP_S, call.parent, in_time)
            return
        took_s = self.now_s + HOP_S - call.began_s
        if not ok or took_s > kind.deadline_s:
            self.counts[kind.name]["failed"] += 1
        elif took_s <= kind.objective_s:
            self.counts[kind.name]["in time"] += 1
            self.earned += kind.worth
        else:
            self.counts[kind.name]["late"] += 1
            self.earned += kind.late_worth

    def _owner(self, service: str, speed: float) -> Owner:
        return Owner(model=self, service=service, speed=speed)

    def _return(self, call: Call) -> None:
        again = dataclasses.replace(
            call, arrived_s=self.now_s, tries=call.tries + 1
        )
        self._send(again)

    def _send(self, call: Call) -> None:
        """Place a call on the better of two owners."""
        one, other = self.chance.sample(self.owners[call.kind.service], 2)
        better = min(one, other, key=lambda owner: owner.crowd / owner.speed)
        self.at(HOP_S / 2.0, better.offer, call)

    def _play_until(self, end_s: float) -> None:
        while self._events and self._events[0][0] <= end_s:
            due_s, _, call, args = heapq.heappop(self._events)
            self.now_s = max(self.now_s, due_s)
            call(*args)
        self.now_s = end_s

    def _result(self) -> dict[str, Any]:
        held = sorted(self.held_s) or [0.0]
        result: dict[str, Any] = {
            "earned": round(self.earned / self.owed, 3),
            "refusals": len(self.held_s),
            "held_p50_ms": round(1000 * held[len(held) // 2]),
            "held_p90_ms": round(1000 * held[len(held) * 9 // 10]),
        }
        for name, counts in self.counts.items():
            total = max(counts["all"], 1)
            result[name] = {
                key: round(counts[key] / total, 3)
                for key in ("in time", "late", "refused", "failed")
            }
        return result


def run(options: dict[str, str], folder: pathlib.Path) -> dict[str, object]:
    """Play each case of load."""
    del folder
    cases = {
        "shop short of room": {"shop": 9, "desk": 5, "rate": 600.0},
        "desk short of room": {"shop": 11, "desk": 2, "rate": 560.0},
        "both short of room": {"shop": 9, "desk": 2, "rate": 667.0},
    }
    swing = float(options["swing"])
    seed = int(options["seed"])
    return {
        name: Model(swing=swing, seed=seed, **case).run()
        for name, case in cases.items()
    }
