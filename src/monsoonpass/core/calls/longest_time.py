"""The longest of the last times of a route.

Load pattern: most calls of a route are short and a few take hundreds of times
as long, so that neither the mean nor the median tells of them.
"""

import dataclasses

WINDOW_SAMPLES = 256


@dataclasses.dataclass(kw_only=True, slots=True)
class LongestTime:
    """The longest of the last 256 to 512 times; see `WINDOW_SAMPLES`.

    Attributes:
        previous_s: Longest time of the window before.
        current_s: Longest time of the window in progress.
        count: Number of times in the window in progress.
    """

    previous_s: float = 0.0
    current_s: float = 0.0
    count: int = 0

    @property
    def value_s(self) -> float:
        """The longest time in seconds; 0 without any."""
        return max(self.previous_s, self.current_s)

    def add(self, time_s: float) -> None:
        """Add a time."""
        if self.count == WINDOW_SAMPLES:
            self.previous_s, self.current_s, self.count = self.current_s, 0.0, 0
        self.current_s = max(self.current_s, time_s)
        self.count += 1
