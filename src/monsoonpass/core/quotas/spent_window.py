"""Counts of tokens spent within the window of the promise."""

import dataclasses

from monsoonpass.core.quotas import limits as limits_lib

SLOT_S = 0.25  # Resolution of the times at which counts leave the window.


@dataclasses.dataclass(kw_only=True, slots=True)
class SpentWindow:
    """A count of spent tokens; each leaves it when the window has passed.

    Attributes:
        total: Tokens in the window.
        slots: Counts by the number of the slot in which they leave.
    """

    total: int = 0
    slots: dict[int, int] = dataclasses.field(default_factory=dict)

    def add(self, count: int, now_s: float, age_s: float = 0.0) -> None:
        """Count tokens that were spent `age_s` ago or later."""
        leaves_s = now_s + limits_lib.WINDOW_S - age_s
        slot = int(leaves_s / SLOT_S) + 1
        self.slots[slot] = self.slots.get(slot, 0) + count
        self.total += count

    def count(self, now_s: float) -> int:
        """Return the tokens spent within the window."""
        current = int(now_s / SLOT_S)
        if self.total:
            for slot in [slot for slot in self.slots if slot <= current]:
                self.total -= self.slots.pop(slot)
        return self.total

    def next_leave_s(self) -> float:
        """Return when the count falls next; infinite if it is zero."""
        return min(self.slots, default=float("inf")) * SLOT_S

    def by_age(self, now_s: float) -> tuple[int, ...]:
        """Return the counts by age in units of `SLOT_S`, rounded down."""
        if not self.count(now_s):
            return ()
        ages = [0] * (int(limits_lib.WINDOW_S / SLOT_S) + 1)
        for slot, count in self.slots.items():
            age_s = now_s + limits_lib.WINDOW_S - slot * SLOT_S
            ages[max(int(age_s / SLOT_S), 0)] += count
        while not ages[-1]:
            ages.pop()
        return tuple(ages)
