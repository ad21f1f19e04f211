"""How fast the waiting calls of a route get slots, learned from their waits.

Load pattern: a crest that lasts seconds, in which more urgent work keeps
arriving. What stands ahead of a call when it comes says too little then: it
is overtaken while it waits. The waits of those before it tell.
"""

from monsoonpass.core import bounded

SMOOTHING = 0.3  # Weight of a new wait; the crest of a wave takes seconds.
ROUTES_MAX = 4096  # Routes whose pace is remembered.


class QueuePace:
    """The time that a route's queue takes to move on by one call."""

    def __init__(self) -> None:
        self._seconds_per_place: dict[str, float] = {}

    def expected_wait_s(self, route: str, queued_ahead: int) -> float:
        """Return how long a call waits, by those before it.

        Args:
            route: Its route.
            queued_ahead: Calls of the route that wait already.

        Returns:
            The wait in seconds; 0 if nothing is known, and for the first that
            waits: it tells when a starved route has room again.
        """
        if not queued_ahead:
            return 0.0
        return (queued_ahead + 1) * self._seconds_per_place.get(route, 0.0)

    def record(self, route: str, queued_ahead: int, waited_s: float) -> None:
        """Take the wait of a call that got a slot, or was given up.

        Args:
            route: Its route.
            queued_ahead: Calls of the route that waited when it came.
            waited_s: How long it waited.
        """
        sample_s = waited_s / (queued_ahead + 1)
        mean_s = self._seconds_per_place.get(route)
        if mean_s is None:
            bounded.make_room(self._seconds_per_place, ROUTES_MAX)
            mean_s = sample_s
        self._seconds_per_place[route] = mean_s + SMOOTHING * (
            sample_s - mean_s
        )
