"""Numbering of journal writes, and effects that wait for them."""

import collections
from collections.abc import Sequence
from typing import Any

from monsoonpass.core import effects


class WriteBarrier:
    """Numbers journal writes and defers effects until they are durable.

    Attributes:
        synced_sequence: Sequence number of the last durable write.
        last_sequence: Sequence number of the last requested write.
    """

    def __init__(self) -> None:
        self._deferred: collections.deque[
            tuple[int, Sequence[effects.Effect]]
        ] = collections.deque()
        self.last_sequence = 0
        self.synced_sequence = 0

    def write(
        self, records: Sequence[Any], *, replace: bool = False
    ) -> effects.WriteDisk:
        """Return an effect that writes records, with the next sequence number.

        Args:
            records: Records to append.
            replace: Whether the records replace the whole journal.

        Returns:
            The effect.
        """
        self.last_sequence += 1
        return effects.WriteDisk(
            sequence=self.last_sequence,
            records=tuple(records),
            replace=replace,
        )

    def after_sync(
        self, dependents: Sequence[effects.Effect]
    ) -> list[effects.Effect]:
        """Defer effects until all requested writes are durable.

        Args:
            dependents: Effects that depend on the writes.

        Returns:
            The effects if all writes are durable already, else none.
        """
        if self.synced_sequence >= self.last_sequence:
            return list(dependents)
        self._deferred.append((self.last_sequence, dependents))
        return []

    def release(self, sequence: int) -> list[effects.Effect]:
        """Mark writes as durable and return the effects that waited for them.

        Args:
            sequence: Sequence number of the last completed write.

        Returns:
            The effects, in the order in which they were deferred.
        """
        self.synced_sequence = max(self.synced_sequence, sequence)
        released: list[effects.Effect] = []
        while self._deferred and self._deferred[0][0] <= self.synced_sequence:
            released.extend(self._deferred.popleft()[1])
        return released
