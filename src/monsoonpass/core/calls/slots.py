"""The slots of the own upstream that are in use.

Load patterns: an upstream that runs fewer calls than it announced sheds the
rest; one that sheds at random still runs others beside as many; one that has
just started is slow for seconds.
"""

import math

SHED_FACTOR = 0.8  # Slots left after the upstream shed load.
SHED_FLOOR_SHARE = (
    0.25  # Part of the slots that are used however much it sheds.
)
PROVEN_TTL_S = 2.0  # Time for which a number of calls at once counts as proved.
SLOW_START_S = 5.0  # Where the upstream does not tell how long it is cold.
SLOW_START_SHARE = 0.25  # Part of the slots that a cold upstream gets first.


class Slots:
    """How many calls the upstream is given at once.

    Attributes:
        announced: Calls that it said it runs at once.
    """

    def __init__(self) -> None:
        self.announced = 0
        self._limit = math.inf
        self._proven_concurrency = 0
        self._proven_at_s = -math.inf
        self._cold_since_s = -math.inf
        self._slow_start_s = SLOW_START_S

    def announce(
        self, announced: int, *, cold: bool, cold_s: float, now_s: float
    ) -> None:
        """Begin anew with what an upstream announced.

        Args:
            announced: Calls that it runs at once.
            cold: Whether it is slow at first.
            cold_s: How much longer; 0 for the usual time.
            now_s: Time of the event.
        """
        self.announced = announced
        self._limit = float(announced)
        self._cold_since_s = now_s if cold else -math.inf
        self._slow_start_s = cold_s or SLOW_START_S

    @property
    def usable(self) -> int:
        """Slots in use.

        An upstream that sheds load loses a part of them and gets them back as
        it answers.
        """
        return int(min(self.announced, self._limit))

    def reroutable_limit(self, now_s: float) -> int:
        """Return the slots for work that has somewhere else to go.

        A cold upstream among warm ones gets its share step by step; where all
        are cold, a slow slot serves better than a refusal.
        """
        cold_for_s = now_s - self._cold_since_s
        if cold_for_s >= self._slow_start_s:
            return self.usable
        share = SLOW_START_SHARE + (1 - SLOW_START_SHARE) * (
            cold_for_s / self._slow_start_s
        )
        return max(1, int(self.usable * share))

    def record_answer(self, concurrency: int, now_s: float) -> None:
        """Note an answer and how many calls ran beside it, itself included."""
        self._limit += 1.0 / self._limit
        self._limit = min(self._limit, float(self.announced))
        is_expired = now_s - self._proven_at_s > PROVEN_TTL_S
        if is_expired or concurrency >= self._proven_concurrency:
            self._proven_concurrency = concurrency
            self._proven_at_s = now_s

    def record_shed(self, now_s: float) -> None:
        """Use fewer, but no fewer than it was seen to run at once lately.

        One that turns calls away at random would only turn more away.
        """
        floor = self.announced * SHED_FLOOR_SHARE
        if now_s - self._proven_at_s <= PROVEN_TTL_S:
            floor = max(floor, float(self._proven_concurrency))
        reduced = max(self._limit * SHED_FACTOR, floor)
        self._limit = min(self._limit, reduced)
