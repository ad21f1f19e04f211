"""Rates at which calls of each priority arrive."""

WINDOW_S = 0.5  # Window in which arrivals are counted.


class ArrivalRates:
    """Smoothed arrivals a second, by priority."""

    def __init__(self) -> None:
        self._rates: dict[int, float] = {}
        self._counts: dict[int, int] = {}
        self._window_start_s = 0.0

    def advance(self, now_s: float) -> None:
        """Update the rates at the end of a window."""
        elapsed_s = now_s - self._window_start_s
        if elapsed_s < WINDOW_S:
            return
        for priority, count in self._counts.items():
            previous = self._rates.get(priority, 0.0)
            self._rates[priority] = (count / elapsed_s + previous) / 2.0
            self._counts[priority] = 0
        self._window_start_s = now_s

    def count(self, priority: int) -> None:
        """Count the arrival of a call."""
        self._counts[priority] = self._counts.get(priority, 0) + 1

    def rate(self, priority: int) -> float:
        """Return the arrivals a second of this priority and all above it."""
        return sum(
            rate for other, rate in self._rates.items() if other <= priority
        )
