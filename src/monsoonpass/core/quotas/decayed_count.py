"""An exponentially decayed count of events, for estimates of rates."""

import dataclasses
import math


@dataclasses.dataclass(kw_only=True, slots=True)
class DecayedCount:
    """A count of events that decays with a time constant.

    Attributes:
        period_s: Time constant of the decay.
        value: The count as of `updated_s`.
        updated_s: Time of the last update.
    """

    period_s: float
    value: float = 0.0
    updated_s: float = 0.0

    def add(self, count: float, now_s: float) -> None:
        """Count some events."""
        self.value = self._decayed(now_s) + count
        self.updated_s = now_s

    def rate_per_s(self, now_s: float) -> float:
        """Return the estimated rate of the events."""
        return self._decayed(now_s) / self.period_s

    def _decayed(self, now_s: float) -> float:
        if not self.value:
            return 0.0
        age_s = max(now_s - self.updated_s, 0.0)
        return self.value * math.exp(-age_s / self.period_s)
