"""Writes and syncs the journal in batches."""

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

RETRY_S = 0.25  # Delay before a failed write is retried.


class Disk:
    """Performs `WriteDisk` effects, with one sync for all queued writes.

    Writes and syncs run in an anyio worker thread, as anyio's own file I/O
    does, so that a slow disk does not block the event loop. Events are fed to
    the reducer on the event loop only.
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
        """Write queued batches until cancelled, retrying failed writes."""
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
        """Write and sync a batch; runs in a worker thread.

        Raises:
            DiskError: The node has no data folder, or the disk failed.
        """
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
            # One append for the whole batch: after a power loss, a gap between
            # two appends would look like a damaged journal.
            self._journal.append(waiting)
            self._journal.sync()

    def _undo(self) -> None:
        self._journal.undo()
