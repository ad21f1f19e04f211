"""Notices of leaving, and the starts of an upstream to which they apply.

A process of an upstream is identified by its name and the time of its start;
notices and announcements may both omit the start. A notice without a start
refers to the process that ran under the name when the notice came, even if the
start of that process was unknown or becomes known only later. Such a notice
therefore applies to all starts up to the time of the notice, but only for as
long as a delayed announcement of them may still arrive. After that, an
announcement can only come from a running process.
"""

from collections.abc import Iterable
import dataclasses

from monsoonpass import immutable

# Longer than a lossy connection or a suspended process delays an announcement.
# Also the longest time for which a wrong clock blocks the next start.
ANNOUNCEMENT_DELAY_MAX_S = 30.0
NOTICES_MAX = 16  # Names; few upstreams leave one instance within the delay.


@immutable.dataclass
class LeaveNotice:
    """The notices of leaving under one name, merged into one.

    Notices are equal if they apply to the same known starts; `received_ms` is
    not compared.

    Attributes:
        name: Name of the upstream.
        received_ms: When the last notice came, by the wall clock of its node.
        started_ms: Latest known start of a process that gave notice, or None.
        startless_received_ms: When the last notice without a start came, or
            None.
    """

    name: str
    received_ms: int = dataclasses.field(compare=False)
    started_ms: int | None = None
    startless_received_ms: int | None = None

    def applies_to(self, started_ms: int | None, now_ms: int) -> bool:
        """Return whether the notice applies to a start under this name.

        Args:
            started_ms: Wall clock time of the start, or None if unknown.
            now_ms: Current wall clock time.
        """
        if started_ms is None:
            return _is_recent(self.received_ms, now_ms)
        if self.started_ms is not None and started_ms <= self.started_ms:
            return True
        if (
            self.startless_received_ms is None
            or started_ms > self.startless_received_ms
        ):
            return False
        return _is_recent(self.startless_received_ms, now_ms)

    def merged(self, other: "LeaveNotice") -> "LeaveNotice":
        """Return the combination of two notices under one name."""
        return LeaveNotice(
            name=self.name,
            received_ms=max(self.received_ms, other.received_ms),
            started_ms=_latest(self.started_ms, other.started_ms),
            startless_received_ms=_latest(
                self.startless_received_ms, other.startless_received_ms
            ),
        )


class LeaveNotices:
    """Notices of leaving of one instance's upstreams, by name.

    Holds at most `NOTICES_MAX` names and evicts the oldest.
    """

    def __init__(self) -> None:
        self._by_name: dict[str, LeaveNotice] = {}

    def add(self, notices: Iterable[LeaveNotice]) -> None:
        """Merge notices into the ones under their names."""
        for notice in notices:
            stored = self._by_name.pop(notice.name, notice)
            self._by_name[notice.name] = stored.merged(notice)
        while len(self._by_name) > NOTICES_MAX:
            del self._by_name[next(iter(self._by_name))]

    def get(self, name: str) -> LeaveNotice | None:
        """Return the notice under a name, or None."""
        return self._by_name.get(name)

    def applies_to(
        self, name: str, started_ms: int | None, now_ms: int
    ) -> bool:
        """Return whether a notice applies to a start of an upstream."""
        notice = self._by_name.get(name)
        return notice is not None and notice.applies_to(started_ms, now_ms)

    @property
    def all(self) -> tuple[LeaveNotice, ...]:
        """All notices, the last changed one at the end."""
        return tuple(self._by_name.values())


def _is_recent(received_ms: int, now_ms: int) -> bool:
    return now_ms - received_ms <= ANNOUNCEMENT_DELAY_MAX_S * 1000


def _latest(first_ms: int | None, second_ms: int | None) -> int | None:
    if first_ms is None or second_ms is None:
        return first_ms if second_ms is None else second_ms
    return max(first_ms, second_ms)
