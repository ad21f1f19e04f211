"""The disk task: writes and syncs the journal in groups."""

import collections
from typing import Any

import anyio
import anyio.to_thread

from monsoonpass import errors
from monsoonpass.border import journal as journal_lib
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.runtime import engine as engine_lib
from monsoonpass.runtime import metrics as metrics_lib

RETRY_S = 0.25  # Time between two tries of a write that a disk refuses.


class Disk:
    """Performs `WriteDisk`, with one sync for all writes that wait.

    The sync runs in anyio's worker thread, as anyio's own file I/O does, so
    that a slow disk does not stop the loop; decisions stay on the loop.
    """

    def __init__(
        self,
        *,
        engine: engine_lib.Engine,
        journal: journal_lib.Journal | None,
        metrics: metrics_lib.Metrics,
    ):
        self._engine = engine
        self._journal = journal
        self._metrics = metrics
        self._writes: collections.deque[effects.WriteDisk] = collections.deque()
        self._wanted = anyio.Event()
        engine.on(effects.WriteDisk, self._write)

    async def run(self) -> None:
        """Write until cancelled; what a disk refuses is tried again."""
        while True:
            await self._wanted.wait()
            self._wanted = anyio.Event()
            while self._writes:
                group = list(self._writes)
                self._writes.clear()
                started_s = engine_lib.now_s()
                await self._write_until_taken(group)
                self._metrics.disk_sync.observe(engine_lib.now_s() - started_s)
                self._engine.feed(
                    events.DiskSynced, sequence=group[-1].sequence
                )

    async def _write_until_taken(self, group: list[effects.WriteDisk]) -> None:
        failed = False
        while True:
            try:
                if failed:
                    await anyio.to_thread.run_sync(self._undo)
                await anyio.to_thread.run_sync(self._write_group, group)
            except errors.DiskError as error:
                if not failed:
                    self._engine.feed(events.DiskFailed, detail=str(error))
                failed = True
                await anyio.sleep(RETRY_S)
                continue
            if failed:
                self._engine.feed(events.DiskRecovered)
            return

    def _write(self, effect: effects.WriteDisk) -> None:
        self._writes.append(effect)
        self._wanted.set()

    def _write_group(self, group: list[effects.WriteDisk]) -> None:
        """Write a group and sync it; runs in a worker thread."""
        if self._journal is None:
            raise errors.DiskError("this node has no data folder")
        waiting: list[Any] = []
        for write in group:
            if write.replace:
                waiting = []
                self._journal.replace(write.records)
            else:
                waiting += write.records
        if waiting:
            # One write for all, so that a loss of power leaves no gap that
            # looks like damage.
            self._journal.append(waiting)
            self._journal.sync()

    def _undo(self) -> None:
        self._journal.undo()
