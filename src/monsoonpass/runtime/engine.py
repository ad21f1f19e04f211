"""Feeds events to the reducer and performs the effects that it returns."""

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
    """Runs one node's reducer, supplying the time and random bits.

    Attributes:
        state: The node's state, which the reducer changes.
    """

    def __init__(self, *, state: node.Node):
        self.state = state
        self._performers: dict[type, Callable[[Any], None]] = {}
        self._pending_events: collections.deque[events.Event] = (
            collections.deque()
        )
        self._is_running = False
        self._random = random.Random()

    def set_performer(
        self, effect_type: type, performer: Callable[[Any], None]
    ) -> None:
        """Set the function that performs the effects of one type."""
        self._performers[effect_type] = performer

    def feed(
        self, event_type: Callable[..., events.Event], **fields: Any
    ) -> None:
        """Create an event and run the reducer until no event is pending.

        An event that is fed while an effect is performed is queued, and
        handled before the outer call returns.

        Args:
            event_type: The event's class.
            **fields: The event's fields except `now_s` and `random_bits`, which
                are added here.
        """
        new_event = event_type(
            now_s=now_s(), random_bits=self._random.getrandbits(64), **fields
        )
        self._pending_events.append(new_event)
        if self._is_running:
            return
        self._is_running = True
        try:
            while self._pending_events:
                event = self._pending_events.popleft()
                for effect in reducer.step(event, self.state):
                    self._perform(effect)
        finally:
            self._is_running = False

    def _perform(self, effect: effects.Effect) -> None:
        self._performers[type(effect)](effect)


def now_s() -> float:
    """Return monotonic time in seconds, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
