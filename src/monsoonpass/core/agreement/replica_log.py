"""The in-memory log of a replica after its last snapshot."""

from collections.abc import Sequence

from monsoonpass.core.agreement import consensus_records as records


class ReplicaLog:
    """Entries after the base, the last entry that the snapshot includes.

    Attributes:
        base_index: Index of the last entry that the snapshot includes.
        base_term: Term of the entry at `base_index`.
    """

    def __init__(self, *, base_index: int = 0, base_term: int = 0):
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[records.Entry] = []

    @property
    def last_index(self) -> int:
        """Index of the last entry; `base_index` if there is none."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry; `base_term` if there is none."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def entries(self) -> tuple[records.Entry, ...]:
        """All entries after the base."""
        return tuple(self._entries)

    def term_at(self, index: int) -> int | None:
        """Return the term at an index, or None if it is not in the log."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def entry(self, index: int) -> records.Entry:
        """Return the entry at an index after the base."""
        return self._entries[index - self.base_index - 1]

    def batch(
        self, first_index: int, limit_bytes: int
    ) -> tuple[records.Entry, ...]:
        """Return consecutive entries that start at an index.

        Args:
            first_index: Index of the first entry.
            limit_bytes: Maximum size of the entries' data. The first entry is
                returned even if it is larger.

        Returns:
            At least one entry, if the log reaches `first_index`.
        """
        batch = []
        size_bytes = 0
        for entry in self._entries[first_index - self.base_index - 1 :]:
            size_bytes += len(entry.data)
            if batch and size_bytes > limit_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def append(self, entries: Sequence[records.Entry]) -> None:
        """Append entries whose indexes follow the last entry."""
        self._entries.extend(entries)

    def truncate_from(self, index: int) -> None:
        """Remove the entry at an index and all later entries."""
        del self._entries[index - self.base_index - 1 :]

    def compact_to(self, index: int, term: int) -> None:
        """Make an entry the base and discard all entries up to it.

        Later entries are discarded too unless the entry at `index` has the
        given term.
        """
        if self.term_at(index) == term:
            del self._entries[: index - self.base_index]
        else:
            self._entries.clear()
        self.base_index = index
        self.base_term = term
