"""Rates at which calls of each rank arrive."""

from monsoonpass.core.calls import owner_call

WINDOW_S = 0.5  # Window in which arrivals are counted.


class ArrivalRates:
    """Smoothed arrivals a second, by rank."""

    def __init__(self) -> None:
        self._rates: dict[owner_call.Rank, float] = {}
        self._counts: dict[owner_call.Rank, int] = {}
        self._window_start_s = 0.0

    def advance(self, now_s: float) -> None:
        """Update the rates at the end of a window."""
        elapsed_s = now_s - self._window_start_s
        if elapsed_s < WINDOW_S:
            return
        for rank, count in self._counts.items():
            previous = self._rates.get(rank, 0.0)
            self._rates[rank] = (count / elapsed_s + previous) / 2.0
            self._counts[rank] = 0
        self._window_start_s = now_s

    def count(self, rank: owner_call.Rank) -> None:
        """Count the arrival of a call."""
        self._counts[rank] = self._counts.get(rank, 0) + 1

    def rate(self, rank: owner_call.Rank) -> float:
        """Return the arrivals a second of this rank and all above it."""
        return sum(rate for other, rate in self._rates.items() if other <= rank)
