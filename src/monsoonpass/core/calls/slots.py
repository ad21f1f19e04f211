"""The limit of concurrent calls to this node's upstream.

Load patterns: an upstream that runs fewer calls than it announced sheds the
rest. An upstream that sheds at random still completes other calls at the same
concurrency. An upstream that has just started is slow for seconds.
"""

import math

SHED_FACTOR = 0.8  # Share of the slots that is left after a call was shed.
SHED_FLOOR_SHARE = 0.25  # Share of the announced slots that is always used.
PROVEN_TTL_S = 2.0  # Time for which an answer proves its concurrency.
SLOW_START_S = 5.0  # Used if the upstream does not say how long it is cold.
SLOW_START_SHARE = 0.25  # Share of the slots that a cold upstream starts with.
SHED_SMOOTHING = 0.1  # Weight of an ended call in the share of shed calls.
SHED_SHARE_HALF_LIFE_S = 1.0  # Without calls, nothing shows a recovery.


class Slots:
    """Limits the calls in progress at the upstream.

    Attributes:
        announced: Calls that the upstream announced it runs at once.
    """

    def __init__(self) -> None:
        self.announced = 0
        self._limit = math.inf
        self._proven_concurrency = 0
        self._proven_at_s = -math.inf
        self._cold_since_s = -math.inf
        self._slow_start_s = SLOW_START_S
        self._shed_share = 0.0
        self._shed_share_at_s = -math.inf

    def announce(
        self, announced: int, *, cold: bool, cold_s: float, now_s: float
    ) -> None:
        """Reset the limit to what an upstream announced.

        Args:
            announced: Calls that the upstream runs at once.
            cold: Whether the upstream has just started and is still slow.
            cold_s: Time in seconds for which it remains slow; 0 for
                `SLOW_START_S`.
            now_s: Time of the event.
        """
        self.announced = announced
        self._limit = float(announced)
        self._cold_since_s = now_s if cold else -math.inf
        self._slow_start_s = cold_s or SLOW_START_S
        self._shed_share = 0.0

    @property
    def usable(self) -> int:
        """Number of slots that may be used now.

        Shed calls lower the number, answers raise it again. It stays at one or
        more, since only an answer can raise it.
        """
        if not self.announced:
            return 0
        return max(int(min(self.announced, self._limit)), 1)

    def is_cold(self, now_s: float) -> bool:
        """Return whether the upstream is still slow after its start."""
        return now_s - self._cold_since_s < self._slow_start_s

    def reroutable_limit(self, now_s: float) -> int:
        """Return the number of slots for calls that other instances may serve.

        A cold upstream gets such calls gradually. Calls that no other instance
        can take are not limited: where all upstreams are cold, a slow slot is
        better than a refusal.
        """
        cold_for_s = now_s - self._cold_since_s
        if cold_for_s >= self._slow_start_s:
            return self.usable
        share = SLOW_START_SHARE + (1 - SLOW_START_SHARE) * (
            cold_for_s / self._slow_start_s
        )
        return max(1, int(self.usable * share))

    def record_answer(self, concurrency: int, now_s: float) -> None:
        """Record an answer, and raise the limit.

        Args:
            concurrency: Calls in progress when the answered call was
                dispatched, including that call.
            now_s: Time of the event.
        """
        self._update_shed_share(0.0, now_s)
        self._limit += 1.0 / self._limit
        self._limit = min(self._limit, float(self.announced))
        is_expired = now_s - self._proven_at_s > PROVEN_TTL_S
        if is_expired or concurrency >= self._proven_concurrency:
            self._proven_concurrency = concurrency
            self._proven_at_s = now_s

    def record_shed(self, now_s: float) -> None:
        """Lower the limit, but not below a recently answered concurrency.

        An upstream that sheds at random would shed the same share of calls at
        any limit, so a lower one would only cause more refusals.
        """
        self._update_shed_share(1.0, now_s)
        floor = max(self.announced * SHED_FLOOR_SHARE, 1.0)
        if now_s - self._proven_at_s <= PROVEN_TTL_S:
            floor = max(floor, float(self._proven_concurrency))
        reduced = max(self._limit * SHED_FACTOR, floor)
        self._limit = min(self._limit, reduced)

    def shed_share(self, now_s: float) -> float:
        """Return the share of recent calls that the upstream has shed."""
        if not self._shed_share:
            return 0.0
        age_s = now_s - self._shed_share_at_s
        return self._shed_share * 0.5 ** (age_s / SHED_SHARE_HALF_LIFE_S)

    def _update_shed_share(self, shed: float, now_s: float) -> None:
        share = self.shed_share(now_s)
        self._shed_share = share + SHED_SMOOTHING * (shed - share)
        self._shed_share_at_s = now_s
