"""Service times learned from the answers of this node's upstream."""

import dataclasses

from monsoonpass.core import bounded_mapping
from monsoonpass.core.calls import longest_time

SMOOTHING = 0.1  # Weight of a new sample.
LONG_FACTOR = 4.0  # Multiple of the median from which a route is long.
DEFAULT_SERVICE_TIME_S = 0.01  # Used until the first sample.
ROUTES_MAX = 4096  # Routes whose service times are kept.
CLASSIFY_MIN_SAMPLES = 3  # Samples before a route is classed as long or short.
MEDIAN_INTERVAL_SAMPLES = 32  # Samples between two updates of the median.
RECENT_COUNT_DECAY = 0.8  # Factor of the recent counts at each update.
STRAGGLER_FACTOR = 3.0  # Samples are capped at this multiple of the mean.


@dataclasses.dataclass(kw_only=True, slots=True)
class RouteTimes:
    """Service time statistics of a route.

    Attributes:
        mean_s: Smoothed service time.
        count: Number of samples.
        recent_count: Decaying number of samples, the weight of the route in the
            median over all routes.
        longest: Longest of the last samples.
    """

    mean_s: float
    count: int = 0
    recent_count: float = 0.0
    longest: longest_time.LongestTime = dataclasses.field(
        default_factory=longest_time.LongestTime
    )


class ServiceTimes:
    """Service times by route, and over all routes.

    Attributes:
        mean_s: Smoothed service time of all calls.
        median_s: Median service time of recent calls.
    """

    def __init__(self) -> None:
        self.mean_s = DEFAULT_SERVICE_TIME_S
        self.median_s = DEFAULT_SERVICE_TIME_S
        self._routes: dict[str, RouteTimes] = {}
        self._sample_count = 0

    def expected_s(self, route: str) -> float:
        """Return the mean service time of a route, or 0 without samples."""
        times = self._routes.get(route)
        return times.mean_s if times else 0.0

    def longest_s(self, route: str) -> float:
        """Return the longest of a route's last times, or 0 without samples."""
        times = self._routes.get(route)
        return times.longest.value_s if times else 0.0

    def is_long(self, route: str, *, default: bool) -> bool:
        """Return whether a route is long, or `default` with too few samples."""
        times = self._routes.get(route)
        if times is None or times.count < CLASSIFY_MIN_SAMPLES:
            return default
        return times.mean_s > LONG_FACTOR * self.median_s

    def record(
        self, route: str, service_time_s: float, *, weight: float = SMOOTHING
    ) -> None:
        """Record the service time of a call.

        Args:
            route: Name of the call's route.
            service_time_s: Time from dispatch to end of the call.
            weight: Weight of the sample in the route's mean, from 0 to 1.
        """
        times = self._routes.get(route)
        if times is None:
            bounded_mapping.evict_oldest_if_full(self._routes, ROUTES_MAX)
            times = RouteTimes(mean_s=service_time_s)
            self._routes[route] = times
        times.count += 1
        times.longest.add(service_time_s)
        # A single straggler must not class its route as long.
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
        """Update the median over recent calls, weighted by route.

        A mean would be raised by the very routes that it should class as long.
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
