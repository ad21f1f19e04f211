"""Estimates how much of its time a caller has already used.

Load pattern: an overload that lasts for seconds. Refused callers return with
what is left of their time. They have missed the objective, yet by earliest
deadline they would be served before new calls, so that every answer is late.
"""

from monsoonpass.core import bounded_mapping

ROUTES_MAX = 4096  # Routes whose timeouts are kept.
# Timeouts of new calls of one route differ; shorter ones than this share of
# the longest belong to calls that were sent before.
NEW_CALL_SHARE = 0.85
# Share of the longest timeout that is kept at each call, so that the estimate
# follows callers that come to use a shorter one.
LONGEST_DECAY = 0.999


class CallerTimeouts:
    """The longest timeout that callers recently set, by route."""

    def __init__(self) -> None:
        self._longest_s: dict[str, float] = {}

    def used_s(self, route: str, timeout_s: float | None) -> float:
        """Record the timeout of a call, and estimate the time it has used.

        Args:
            route: Name of the call's route.
            timeout_s: Timeout that the caller set, or None.

        Returns:
            Seconds since the caller first sent the call, at least; 0 for a new
            call.
        """
        if timeout_s is None:
            return 0.0
        longest_s = self._longest_s.get(route)
        if longest_s is None:
            bounded_mapping.evict_oldest_if_full(self._longest_s, ROUTES_MAX)
            longest_s = timeout_s
        longest_s = max(longest_s * LONGEST_DECAY, timeout_s)
        self._longest_s[route] = longest_s
        return max(NEW_CALL_SHARE * longest_s - timeout_s, 0.0)
