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
from monsoonpass.runtime import effect_failures


class Engine:
    """Runs one node's reducer, supplying the time and random bits.

    Attributes:
        state: The node's state, which the reducer changes.
        fatal_error: Error after which the state cannot be trusted, or None.
    """

    def __init__(self, *, state: node.Node):
        self.state = state
        self._performers: dict[type, Callable[[Any], None]] = {}
        self._pending_events: collections.deque[events.Event] = (
            collections.deque()
        )
        self._is_running = False
        self._random = random.Random()
        self._failure_handler: Callable[[dict[str, Any]], None] = _ignore
        self._fatal_handler: Callable[[], None] = _ignore
        self.fatal_error: Exception | None = None

    def set_performer(
        self, effect_type: type, performer: Callable[[Any], None]
    ) -> None:
        """Set the function that performs the effects of one type."""
        self._performers[effect_type] = performer

    def set_failure_handler(
        self, handler: Callable[[dict[str, Any]], None]
    ) -> None:
        """Set the function called with the log fields of a failure."""
        self._failure_handler = handler

    def set_fatal_handler(self, handler: Callable[[], None]) -> None:
        """Set the function that ends the process after a fatal error."""
        self._fatal_handler = handler

    def report_failure(self, fields: dict[str, Any]) -> None:
        """Report a failure that does not end the node, with its log fields."""
        self._failure_handler(fields)

    def feed(
        self, event_type: Callable[..., events.Event], **fields: Any
    ) -> None:
        """Create an event and run the reducer until no event is pending.

        An event that is fed while an effect is performed is queued, and
        handled before the outer call returns.

        After a fatal error, events are ignored: the process is ending.

        Args:
            event_type: The event's class.
            **fields: The event's fields except `now_s` and `random_bits`, which
                are added here.

        Raises:
            Exception: The reducer failed, or an effect that the node does not
                survive. The process ends, even if the caller catches the
                error.
        """
        if self.fatal_error is not None:
            return
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
        except Exception as error:
            self.fatal_error = error
            self._fatal_handler()
            raise
        finally:
            self._is_running = False

    def _perform(self, effect: effects.Effect) -> None:
        """Perform an effect; a failure that concerns one call stays with it.

        Raises:
            Exception: The effect failed, and the node's state no longer agrees
                with what was done.
        """
        try:
            self._performers[type(effect)](effect)
        except Exception as error:
            if not isinstance(effect, effect_failures.CONFINED):
                raise
            self.report_failure(effect_failures.describe_effect(effect, error))
            follow_up = effect_failures.follow_up(effect)
            if follow_up is not None:
                self.feed(follow_up.event_type, **follow_up.fields)


def _ignore(*arguments: Any) -> None:
    """Handle failures until a handler is set."""


def now_s() -> float:
    """Return monotonic time in seconds, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
