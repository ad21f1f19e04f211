"""Notices of leaving, and the starts of an upstream to which they apply.

A process of an upstream is identified by its name and the time of its start;
notices and announcements may both omit the start. A notice without a start
means the process that ran under the name when the notice came, even if the
start of that process was unknown or becomes known only later. Such a notice
therefore applies to all starts up to the time of the notice, but only for as
long as a delayed announcement of them may still arrive. After that, an
announcement can only come from a running process.
"""

from collections.abc import Iterable
import dataclasses

# Longer than a lossy connection or a suspended process delays an announcement.
# Also the longest time for which a wrong clock blocks the next start.
ANNOUNCEMENT_DELAY_MAX_S = 30.0
NOTICES_MAX = 16  # Names; few upstreams leave one instance in that time.


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Notice:
    """The notices of leaving under one name, merged into one.

    Notices are equal if they apply to the same known starts; `taken_ms` is
    not compared.

    Attributes:
        name: Name of the upstream.
        taken_ms: When the last notice came, by the wall clock of its node.
        born_ms: Latest start that is known to leave, or None.
        open_ms: When the last notice without a start came, or None.
    """

    name: str
    taken_ms: int = dataclasses.field(compare=False)
    born_ms: int | None = None
    open_ms: int | None = None

    def binds(self, born_ms: int | None, now_ms: int) -> bool:
        """Return whether the notice applies to a start under this name.

        Args:
            born_ms: Wall clock time of the start, or None if unknown.
            now_ms: Current wall clock time.
        """
        if born_ms is None:
            return _is_recent(self.taken_ms, now_ms)
        if self.born_ms is not None and born_ms <= self.born_ms:
            return True
        if self.open_ms is None or born_ms > self.open_ms:
            return False
        return _is_recent(self.open_ms, now_ms)

    def merged(self, other: "Notice") -> "Notice":
        """Return the combination of two notices under one name."""
        return Notice(
            name=self.name,
            taken_ms=max(self.taken_ms, other.taken_ms),
            born_ms=_latest(self.born_ms, other.born_ms),
            open_ms=_latest(self.open_ms, other.open_ms),
        )


class Notices:
    """Notices of leaving of one instance's upstreams, by name.

    Holds at most `NOTICES_MAX` names and evicts the oldest.
    """

    def __init__(self) -> None:
        self._by_name: dict[str, Notice] = {}

    def add(self, notices: Iterable[Notice]) -> None:
        """Merge notices into the ones under their names."""
        for notice in notices:
            known = self._by_name.pop(notice.name, notice)
            self._by_name[notice.name] = known.merged(notice)
        while len(self._by_name) > NOTICES_MAX:
            del self._by_name[next(iter(self._by_name))]

    def get(self, name: str) -> Notice | None:
        """Return the notice under a name, or None."""
        return self._by_name.get(name)

    def binds(self, name: str, born_ms: int | None, now_ms: int) -> bool:
        """Return whether a notice applies to a start of an upstream."""
        notice = self._by_name.get(name)
        return notice is not None and notice.binds(born_ms, now_ms)

    @property
    def all(self) -> tuple[Notice, ...]:
        """All notices, the last changed one at the end."""
        return tuple(self._by_name.values())


def _is_recent(taken_ms: int, now_ms: int) -> bool:
    return now_ms - taken_ms <= ANNOUNCEMENT_DELAY_MAX_S * 1000


def _latest(one_ms: int | None, other_ms: int | None) -> int | None:
    if one_ms is None or other_ms is None:
        return one_ms if other_ms is None else other_ms
    return max(one_ms, other_ms)
