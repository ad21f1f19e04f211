"""Service times learned from the answers of the own upstream."""

import dataclasses

from monsoonpass.core import bounded

SMOOTHING = 0.1  # Weight of a new sample.
LONG_FACTOR = 4.0  # Routes that take so much longer than usual are long.
DEFAULT_SERVICE_TIME_S = 0.01  # Before anything is learned.
ROUTES_MAX = 4096  # Routes whose times are remembered.
CLASSIFY_MIN_SAMPLES = 3  # Samples before a route is told long or short.
MEDIAN_INTERVAL_SAMPLES = 32  # Samples between two looks at the median.
RECENT_COUNT_DECAY = 0.8  # What is left of a route's count at each look.
STRAGGLER_FACTOR = 3.0  # Samples beyond that multiple count as that much.


@dataclasses.dataclass(kw_only=True, slots=True)
class RouteTimes:
    """What was learned of a route's service time.

    Attributes:
        mean_s: Smoothed service time.
        count: Calls that it was learned from.
        recent_count: Calls lately, for the median over all routes.
    """

    mean_s: float
    count: int = 0
    recent_count: float = 0.0


class ServiceTimes:
    """Service times by route, and of all routes together.

    Attributes:
        mean_s: Smoothed time of all calls.
        median_s: The usual time: the median over recent calls.
    """

    def __init__(self) -> None:
        self.mean_s = DEFAULT_SERVICE_TIME_S
        self.median_s = DEFAULT_SERVICE_TIME_S
        self._routes: dict[str, RouteTimes] = {}
        self._sample_count = 0

    def expected_s(self, route: str) -> float:
        """Return how long a call of a route takes; 0 if nothing is known."""
        times = self._routes.get(route)
        return times.mean_s if times else 0.0

    def is_long(self, route: str, *, default: bool) -> bool:
        """Return whether a route is long, or a default before it is known."""
        times = self._routes.get(route)
        if times is None or times.count < CLASSIFY_MIN_SAMPLES:
            return default
        return times.mean_s > LONG_FACTOR * self.median_s

    def record(
        self, route: str, service_time_s: float, *, weight: float = SMOOTHING
    ) -> None:
        """Take the time that a call took.

        Args:
            route: Its route.
            service_time_s: Time from its dispatch to its end.
            weight: How much it counts against what is known, up to 1.
        """
        times = self._routes.get(route)
        if times is None:
            bounded.make_room(self._routes, ROUTES_MAX)
            times = RouteTimes(mean_s=service_time_s)
            self._routes[route] = times
        times.count += 1
        # A straggler must not make its whole route look long.
        sample_s = min(service_time_s, STRAGGLER_FACTOR * times.mean_s)
        times.mean_s += weight * (sample_s - times.mean_s)
        times.recent_count += 1.0
        self.mean_s += SMOOTHING * (service_time_s - self.mean_s)
        self._sample_count += 1
        if (
            self._sample_count % MEDIAN_INTERVAL_SAMPLES == 0
            or self._sample_count < MEDIAN_INTERVAL_SAMPLES
        ):
            self._update_median()

    def _update_median(self) -> None:
        """Take the usual service time from the median of recent calls.

        A mean would follow the long work that it is meant to tell apart.
        """
        ordered = sorted(self._routes.values(), key=lambda t: t.mean_s)
        remaining = sum(times.recent_count for times in ordered) / 2.0
        for times in ordered:
            remaining -= times.recent_count
            if remaining <= 0.0:
                self.median_s = times.mean_s
                break
        for times in ordered:
            times.recent_count *= RECENT_COUNT_DECAY
