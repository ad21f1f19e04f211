"""Tells refused callers how long an overload may still last.

Load pattern: a service has lost upstreams, and calls exceed its slots for many
seconds. The queue is short, since new calls leave room in it only while they
can meet their objective, so its length says nothing about when there will be
room for a caller that returns. An overload that has lasted for some time is
expected to last as long again.
"""

import math

from monsoonpass.core.calls import owner_call

# Without a refusal for this time, an overload is over. It is longer than the
# pauses between refusals at a small share of calls in excess.
QUIET_S = 0.5


class OverloadAge:
    """Measures for how long calls of one rank or above were refused."""

    def __init__(self) -> None:
        self._since_s: dict[owner_call.Rank, float] = {}
        self._last_s: dict[owner_call.Rank, float] = {}

    def record_refusal(self, rank: owner_call.Rank, now_s: float) -> float:
        """Record the refusal of a call, and return the age of the overload.

        Args:
            rank: owner_call.Rank of the call.
            now_s: Time of the event.

        Returns:
            Seconds since calls of this rank began to be refused.
        """
        if now_s - self._last_s.get(rank, -math.inf) > QUIET_S:
            self._since_s[rank] = now_s
        self._last_s[rank] = now_s
        return now_s - self._since_s[rank]
