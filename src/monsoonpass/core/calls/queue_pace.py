"""Estimates queueing time per route from the waits of earlier calls.

Load pattern: a peak that lasts seconds, during which more urgent calls keep
arriving and overtake queued ones. The queue length on arrival then
underestimates the wait, while the waits of earlier calls include the
overtaking.
"""

from monsoonpass.core import bounded_mapping

SMOOTHING = 0.3  # Weight of a new wait; a load peak lasts only seconds.
ROUTES_MAX = 4096  # Routes whose pace is kept.


class QueuePace:
    """Smoothed time in which the queue of a route advances by one call."""

    def __init__(self) -> None:
        self._seconds_per_position: dict[str, float] = {}

    def expected_wait_s(self, route: str, queued_ahead: int) -> float:
        """Return the expected wait of a call, from the waits of earlier ones.

        Args:
            route: Name of the call's route.
            queued_ahead: Calls of the route that are queued already.

        Returns:
            The wait in seconds. It is 0 if nothing is known, and also for the
            first queued call of a route: while a route is starved, only the
            wait of a queued call shows when slots are free again.
        """
        if not queued_ahead:
            return 0.0
        return (queued_ahead + 1) * self._seconds_per_position.get(route, 0.0)

    def record(self, route: str, queued_ahead: int, waited_s: float) -> None:
        """Record the wait of a call that got a slot or was refused.

        Args:
            route: Name of the call's route.
            queued_ahead: Queued calls of the route when the call arrived.
            waited_s: How long the call waited.
        """
        sample_s = waited_s / (queued_ahead + 1)
        mean_s = self._seconds_per_position.get(route)
        if mean_s is None:
            bounded_mapping.evict_oldest_if_full(
                self._seconds_per_position, ROUTES_MAX
            )
            mean_s = sample_s
        self._seconds_per_position[route] = mean_s + SMOOTHING * (
            sample_s - mean_s
        )
