"""Counts of ended calls at an upstream, by version and route.

Service times are counted in buckets, a quarter of an octave wide. That is
enough to find the median within 19 % and to tell times that are several times
as long.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import math

from monsoonpass.core.rollouts import rollout_messages

BUCKETS_PER_OCTAVE = 4
BUCKETS = 80
FIRST_BUCKET_S = 0.001
ROUTES_MAX = 64
OTHER_ROUTES = ""  # Name under which further routes are counted.


def bucket(service_time_s: float) -> int:
    """Return the bucket of a service time.

    >>> bucket(0.002) - bucket(0.001)
    4
    """
    octaves = math.log2(max(service_time_s / FIRST_BUCKET_S, 1.0))
    return min(int(octaves * BUCKETS_PER_OCTAVE), BUCKETS - 1)


def pairs(histogram: tuple[int, ...]) -> Iterator[tuple[int, int]]:
    """Return the buckets and counts of an encoded histogram."""
    for position in range(0, len(histogram) - 1, 2):
        number, count = histogram[position : position + 2]
        if 0 <= number < BUCKETS:
            yield number, count


@dataclasses.dataclass(kw_only=True, slots=True)
class _Counts:
    failed: int = 0
    timed_out: int = 0
    answered: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    cancelled: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )


class AnswerCounts:
    """Counts of the ended calls of one version, since they were last reset.

    Attributes:
        version: The version.
        rollout_number: The rollout during which the calls are counted.
    """

    def __init__(self) -> None:
        self.version = ""
        self.rollout_number = 0
        self._by_route: dict[str, _Counts] = {}

    def reset(self, version: str, rollout_number: int) -> None:
        """Start again for another version or rollout; else do nothing."""
        if (version, rollout_number) == (self.version, self.rollout_number):
            return
        self.version = version
        self.rollout_number = rollout_number
        self._by_route = {}

    def add_answer(
        self, route: str, service_time_s: float, *, failed: bool
    ) -> None:
        """Count a complete answer."""
        counts = self._counts(route)
        if failed:
            counts.failed += 1
        else:
            counts.answered[bucket(service_time_s)] += 1

    def add_timeout(self, route: str) -> None:
        """Count a call without an answer at its deadline."""
        self._counts(route).timed_out += 1

    def add_cancelled(self, route: str, service_time_s: float) -> None:
        """Count a call that was cancelled before its answer."""
        self._counts(route).cancelled[bucket(service_time_s)] += 1

    def report(
        self, running: Iterable[tuple[str, float]] = ()
    ) -> tuple[rollout_messages.RouteCounts, ...]:
        """Return all counts for a report.

        Args:
            running: Route and time so far of each call in progress.
        """
        running_times: dict[str, collections.Counter[int]] = {}
        for route, elapsed_s in running:
            self._counts(route)
            times = running_times.setdefault(route, collections.Counter())
            times[bucket(elapsed_s)] += 1
        return tuple(
            rollout_messages.RouteCounts(
                route=route,
                failed=counts.failed,
                timed_out=counts.timed_out,
                answered=_flatten(counts.answered),
                cancelled=_flatten(counts.cancelled),
                running=_flatten(
                    running_times.get(route, collections.Counter())
                ),
            )
            for route, counts in self._by_route.items()
        )

    def _counts(self, route: str) -> _Counts:
        if route not in self._by_route and len(self._by_route) >= ROUTES_MAX:
            route = OTHER_ROUTES
        return self._by_route.setdefault(route, _Counts())


def _flatten(histogram: collections.Counter[int]) -> tuple[int, ...]:
    return tuple(
        number for item in sorted(histogram.items()) for number in item
    )
