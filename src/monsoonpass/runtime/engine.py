"""The engine: feeds events to the reducer and performs its effects."""

import collections
from collections.abc import Callable
import random
import time
from typing import Any

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core import reducer


class Engine:
    """One node's reducer with its clock, randomness and performers.

    Attributes:
        state: The node's state.
    """

    def __init__(self, *, state: node.Node):
        self.state = state
        self._performers: dict[type, Callable[[Any], None]] = {}
        self._inbox: collections.deque[events.Event] = collections.deque()
        self._running = False
        self._random = random.Random()

    def on(self, effect_type: type, performer: Callable[[Any], None]) -> None:
        """Name the function that performs an effect of a type."""
        self._performers[effect_type] = performer

    def feed(self, make: Callable[..., events.Event], **fields: Any) -> None:
        """Make an event, stamp it and run the reducer until nothing is left.

        Args:
            make: The event's class.
            **fields: Its fields, without time and random bits.
        """
        stamped = make(
            now_s=now_s(), random_bits=self._random.getrandbits(64), **fields
        )
        self._inbox.append(stamped)
        if self._running:
            return
        self._running = True
        try:
            while self._inbox:
                event = self._inbox.popleft()
                for effect in reducer.step(event, self.state):
                    self._perform(effect)
        finally:
            self._running = False

    def _perform(self, effect: effects.Effect) -> None:
        self._performers[type(effect)](effect)


def now_s() -> float:
    """Return a time that never goes back and counts suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
