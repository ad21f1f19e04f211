"""How fast the waiting calls of a route get slots, learned from their waits.

Load pattern: a crest that lasts seconds, in which more urgent work keeps
arriving. What stands ahead of a call when it comes says too little then: it
is overtaken while it waits. The waits of those before it tell.
"""

from monsoonpass.core import bounded

SMOOTHING = 0.3  # Weight of a new wait; the crest of a wave takes seconds.
ROUTES_MAX = 4096  # Routes whose pace is remembered.


class Pace:
    """The time that a route's queue takes to move on by one call."""

    def __init__(self) -> None:
        self._step_s: dict[str, float] = {}

    def wait_s(self, route: str, ahead: int) -> float:
        """Return how long a call waits, by those before it.

        Args:
            route: Its route.
            ahead: Calls of the route that wait already.

        Returns:
            The wait in seconds; 0 if nothing is known, and for the first that
            waits: it tells when a starved route has room again.
        """
        if not ahead:
            return 0.0
        return (ahead + 1) * self._step_s.get(route, 0.0)

    def learn(self, route: str, ahead: int, waited_s: float) -> None:
        """Take the wait of a call that got a slot, or was given up.

        Args:
            route: Its route.
            ahead: Calls of the route that waited when it came.
            waited_s: How long it waited.
        """
        step_s = waited_s / (ahead + 1)
        known_s = self._step_s.get(route)
        if known_s is None:
            bounded.make_room(self._step_s, ROUTES_MAX)
            known_s = step_s
        self._step_s[route] = known_s + SMOOTHING * (step_s - known_s)
