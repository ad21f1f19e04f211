"""Writes and syncs the journal in batches."""

import collections
from typing import Any

import anyio
import anyio.to_thread

from monsoonpass import errors
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.formats import journal as journal_lib
from monsoonpass.runtime import engine as engine_lib
from monsoonpass.runtime import metrics as metrics_lib

RETRY_INTERVAL_S = 0.25  # Delay before a failed write is retried.


class JournalWriter:
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
        self._writes_queued = anyio.Event()
        engine.set_performer(effects.WriteDisk, self._queue_write)

    async def run(self) -> None:
        """Write queued batches until cancelled, retrying failed writes."""
        while True:
            await self._writes_queued.wait()
            self._writes_queued = anyio.Event()
            while self._writes:
                batch = list(self._writes)
                self._writes.clear()
                started_s = engine_lib.now_s()
                await self._write_with_retries(batch)
                self._metrics.disk_sync_duration.observe(
                    engine_lib.now_s() - started_s
                )
                self._engine.feed(
                    events.DiskSynced, sequence=batch[-1].sequence
                )

    async def _write_with_retries(self, batch: list[effects.WriteDisk]) -> None:
        failed = False
        while True:
            try:
                if failed:
                    await anyio.to_thread.run_sync(self._remove_failed_write)
                await anyio.to_thread.run_sync(self._write_batch, batch)
            except errors.DiskError as error:
                if not failed:
                    self._engine.feed(events.DiskFailed, detail=str(error))
                failed = True
                await anyio.sleep(RETRY_INTERVAL_S)
                continue
            if failed:
                self._engine.feed(events.DiskRecovered)
            return

    def _queue_write(self, effect: effects.WriteDisk) -> None:
        self._writes.append(effect)
        self._writes_queued.set()

    def _write_batch(self, batch: list[effects.WriteDisk]) -> None:
        """Write and sync a batch; runs in a worker thread.

        Raises:
            DiskError: The node has no data folder, or the disk failed.
        """
        if self._journal is None:
            raise errors.DiskError("this node has no data folder")
        records_to_append: list[Any] = []
        for write in batch:
            if write.replace:
                records_to_append = []
                self._journal.replace(write.records)
            else:
                records_to_append += write.records
        if records_to_append:
            # One append for the whole batch: after a power loss, a gap between
            # two appends would look like a damaged journal.
            self._journal.append(records_to_append)
            self._journal.sync()

    def _remove_failed_write(self) -> None:
        self._journal.truncate_to_last_sync()
