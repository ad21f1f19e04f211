"""Runs the timers that the reducer sets, in one task."""

import asyncio
import heapq
import itertools

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import timers
from monsoonpass.runtime import engine as engine_lib

STALE_ENTRIES_MIN = 1024  # With fewer stale entries the heap is not rebuilt.


class Timers:
    """Performs `SetTimer` and `CancelTimer`, and feeds `TimerFired`.

    Setting a timer replaces an equal one. Entries of replaced and cancelled
    timers stay in the heap as stale entries, which are skipped when due. A
    cancellation rebuilds the heap if more than half of its entries are stale.
    """

    def __init__(self, *, engine: engine_lib.Engine):
        self._engine = engine
        self._deadlines: dict[timers.Timer, tuple[float, int]] = {}
        self._heap: list[tuple[float, int, timers.Timer]] = []
        self._entry_numbers = itertools.count()
        self._wake_at_s = 0.0
        self._wakeup: asyncio.Future[None] | None = None
        engine.set_performer(effects.SetTimer, self._perform_set)
        engine.set_performer(effects.CancelTimer, self._perform_cancel)

    async def run(self) -> None:
        """Fire timers until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._fire_due()
            now_s = engine_lib.now_s()
            self._wake_at_s = self._heap[0][0] if self._heap else now_s + 3600.0
            # Cheaper than a cancel scope and an event; an entry node waits here
            # 1.5 times a call.
            self._wakeup = loop.create_future()
            handle = loop.call_later(self._wake_at_s - now_s, self._wake)
            try:
                await self._wakeup
            finally:
                handle.cancel()

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)

    def _perform_set(self, effect: effects.SetTimer) -> None:
        deadline_s = engine_lib.now_s() + effect.delay_s
        number = next(self._entry_numbers)
        self._deadlines[effect.timer] = (deadline_s, number)
        heapq.heappush(self._heap, (deadline_s, number, effect.timer))
        if deadline_s < self._wake_at_s:
            self._wake()

    def _perform_cancel(self, effect: effects.CancelTimer) -> None:
        self._deadlines.pop(effect.timer, None)
        stale_entries = len(self._heap) - len(self._deadlines)
        if (
            stale_entries > STALE_ENTRIES_MIN
            and stale_entries > len(self._heap) // 2
        ):
            self._heap = [
                (deadline_s, number, timer)
                for timer, (deadline_s, number) in self._deadlines.items()
            ]
            heapq.heapify(self._heap)

    def _fire_due(self) -> None:
        now_s = engine_lib.now_s()
        while self._heap and self._heap[0][0] <= now_s:
            deadline_s, number, timer = heapq.heappop(self._heap)
            if self._deadlines.get(timer) != (deadline_s, number):
                continue
            del self._deadlines[timer]
            self._engine.feed(events.TimerFired, timer=timer)
