"""Effects that wait until earlier records are durable."""

import collections
from collections.abc import Sequence
from typing import Any

from monsoonpass.core import effects


class DiskQueue:
    """Numbers the journal's writes and holds back what depends on them.

    Attributes:
        synced: Number of the last write that is durable.
        last_sequence: Number of the last write requested.
    """

    def __init__(self) -> None:
        self._waiting: collections.deque[
            tuple[int, Sequence[effects.Effect]]
        ] = collections.deque()
        self.last_sequence = 0
        self.synced = 0

    def write(
        self, records: Sequence[Any], *, replace: bool = False
    ) -> effects.WriteDisk:
        """Return the effect that writes records, with the next number."""
        self.last_sequence += 1
        return effects.WriteDisk(
            sequence=self.last_sequence,
            records=tuple(records),
            replace=replace,
        )

    def after_sync(
        self, dependents: Sequence[effects.Effect]
    ) -> list[effects.Effect]:
        """Hold effects back until every write so far is durable.

        Args:
            dependents: The effects that depend on the writes.

        Returns:
            The effects themselves if nothing is outstanding, else none.
        """
        if self.synced >= self.last_sequence:
            return list(dependents)
        self._waiting.append((self.last_sequence, dependents))
        return []

    def release(self, sequence: int) -> list[effects.Effect]:
        """Return the effects that a completed write sets free."""
        self.synced = max(self.synced, sequence)
        released: list[effects.Effect] = []
        while self._waiting and self._waiting[0][0] <= self.synced:
            released.extend(self._waiting.popleft()[1])
        return released
