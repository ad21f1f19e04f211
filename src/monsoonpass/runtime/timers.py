"""Runs the timers that the reducer sets, in one task."""

import heapq
import itertools

import anyio

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import timers
from monsoonpass.runtime import engine as engine_lib

STALE_MIN = 1024  # With fewer stale entries the heap is not rebuilt.


class Timers:
    """Performs `SetTimer` and `CancelTimer`, and feeds `TimerFired`.

    Setting a timer replaces an equal one. Entries of replaced and cancelled
    timers stay in the heap as stale entries, which are skipped when due and
    removed in bulk once they are more than half of the heap.
    """

    def __init__(self, *, engine: engine_lib.Engine):
        self._engine = engine
        self._due: dict[timers.Timer, tuple[float, int]] = {}
        self._heap: list[tuple[float, int, timers.Timer]] = []
        self._numbers = itertools.count()
        self._earlier = anyio.Event()
        self._waiting_until_s = 0.0
        engine.on(effects.SetTimer, self._set)
        engine.on(effects.CancelTimer, self._cancel)

    async def run(self) -> None:
        """Fire timers until cancelled."""
        while True:
            self._fire_due()
            self._earlier = anyio.Event()
            now_s = engine_lib.now_s()
            self._waiting_until_s = (
                self._heap[0][0] if self._heap else now_s + 3600.0
            )
            with anyio.move_on_after(self._waiting_until_s - now_s):
                await self._earlier.wait()

    def _set(self, effect: effects.SetTimer) -> None:
        due_s = engine_lib.now_s() + effect.delay_s
        number = next(self._numbers)
        self._due[effect.timer] = (due_s, number)
        heapq.heappush(self._heap, (due_s, number, effect.timer))
        if due_s < self._waiting_until_s:
            self._earlier.set()

    def _cancel(self, effect: effects.CancelTimer) -> None:
        self._due.pop(effect.timer, None)
        stale = len(self._heap) - len(self._due)
        if stale > STALE_MIN and stale > len(self._heap) // 2:
            self._heap = [
                (due_s, number, timer)
                for timer, (due_s, number) in self._due.items()
            ]
            heapq.heapify(self._heap)

    def _fire_due(self) -> None:
        now_s = engine_lib.now_s()
        while self._heap and self._heap[0][0] <= now_s:
            due_s, number, timer = heapq.heappop(self._heap)
            if self._due.get(timer) != (due_s, number):
                continue
            del self._due[timer]
            self._engine.feed(events.TimerFired, timer=timer)
