"""Pseudo-random numbers derived from the random bits of an event."""

from collections.abc import Sequence
from typing import TypeVar

_Item = TypeVar("_Item")

_MASK = (1 << 64) - 1


class SeededRandom:
    """A deterministic generator (splitmix64) seeded with 64 random bits.

    >>> SeededRandom(bits=7).below(10) == SeededRandom(bits=7).below(10)
    True
    """

    def __init__(self, *, bits: int):
        self._state = bits & _MASK

    def bits64(self) -> int:
        """Return the next 64 bits."""
        self._state = (self._state + 0x9E3779B97F4A7C15) & _MASK
        value = self._state
        value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
        value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
        return value ^ (value >> 31)

    def below(self, limit: int) -> int:
        """Return an integer from 0 up to, not including, `limit`."""
        return self.bits64() % limit

    def uniform(self, low: float, high: float) -> float:
        """Return a float between two bounds."""
        return low + (high - low) * (self.bits64() / (_MASK + 1))

    def choice(self, items: Sequence[_Item]) -> _Item:
        """Return one item of a non-empty sequence."""
        return items[self.below(len(items))]

    def sample(self, items: Sequence[_Item], count: int) -> list[_Item]:
        """Return up to `count` distinct items, in random order."""
        pool = list(items)
        picked = []
        while pool and len(picked) < count:
            picked.append(pool.pop(self.below(len(pool))))
        return picked
