"""Notices of leaving, and which starts of an upstream they bind.

An upstream is known by its name and the time of its start, and either party
may leave the start out. A notice without a start is of the process that ran
under the name when the notice came, whatever of it is known then or later; so
for as long as one of its announcements may still be under way, it binds each
start that is not later than the notice. After that, an announcement can only
come from a process that runs.
"""

from collections.abc import Iterable
import dataclasses

# Longer than a lossy connection or a suspended process holds an announcement
# back; the longest time for which a wrong clock keeps out the next start.
ANNOUNCEMENT_DELAY_MAX_S = 30.0
NOTICES_MAX = 16  # Names; few upstreams leave one instance within that time.


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Notice:
    """What the notices of leaving under one name have told.

    Two are equal if they bind the same starts that tell when they began.

    Attributes:
        name: Name of the upstream.
        taken_ms: When the last one came, by the wall clock of its node.
        born_ms: Latest start that is known to leave, or None.
        open_ms: When the last one came that left its start out, or None.
    """

    name: str
    taken_ms: int = dataclasses.field(compare=False)
    born_ms: int | None = None
    open_ms: int | None = None

    def binds(self, born_ms: int | None, now_ms: int) -> bool:
        """Return whether a start under this name is one that leaves.

        Args:
            born_ms: The start, or None if it is not told.
            now_ms: Wall clock now.
        """
        if born_ms is None:
            return _is_recent(self.taken_ms, now_ms)
        if self.born_ms is not None and born_ms <= self.born_ms:
            return True
        if self.open_ms is None or born_ms > self.open_ms:
            return False
        return _is_recent(self.open_ms, now_ms)

    def merged(self, other: "Notice") -> "Notice":
        """Return what two notices under one name tell together."""
        return Notice(
            name=self.name,
            taken_ms=max(self.taken_ms, other.taken_ms),
            born_ms=_latest(self.born_ms, other.born_ms),
            open_ms=_latest(self.open_ms, other.open_ms),
        )


class Notices:
    """The notices of one instance's upstreams, the newest ones by name."""

    def __init__(self) -> None:
        self._by_name: dict[str, Notice] = {}

    def add(self, notices: Iterable[Notice]) -> None:
        """Take in notices, whether they are known or not."""
        for notice in notices:
            known = self._by_name.pop(notice.name, notice)
            self._by_name[notice.name] = known.merged(notice)
        while len(self._by_name) > NOTICES_MAX:
            del self._by_name[next(iter(self._by_name))]

    def get(self, name: str) -> Notice | None:
        """Return the notice under a name, or None."""
        return self._by_name.get(name)

    def binds(self, name: str, born_ms: int | None, now_ms: int) -> bool:
        """Return whether a start of an upstream is one that leaves."""
        notice = self._by_name.get(name)
        return notice is not None and notice.binds(born_ms, now_ms)

    @property
    def all(self) -> tuple[Notice, ...]:
        """All notices, the newest last."""
        return tuple(self._by_name.values())


def _is_recent(taken_ms: int, now_ms: int) -> bool:
    return now_ms - taken_ms <= ANNOUNCEMENT_DELAY_MAX_S * 1000


def _latest(one_ms: int | None, other_ms: int | None) -> int | None:
    if one_ms is None or other_ms is None:
        return one_ms if other_ms is None else other_ms
    return max(one_ms, other_ms)
