"""The state of the own upstream: its current process and its phase."""

import dataclasses
import enum

from monsoonpass.core import events
from monsoonpass.core.membership import notice as notice_lib
from monsoonpass.core.membership import phase as phase_lib


class Order(enum.Enum):
    """Order of an announcement relative to the last accepted one."""

    OLD = "old"  # From an earlier process, or out of order.
    NEWS = "news"  # From the current process.
    NEXT = "next"  # From a process that replaced the current one.


@dataclasses.dataclass(kw_only=True, slots=True)
class OwnUpstream:
    """State of the own upstream.

    Attributes:
        phase: Phase of the upstream.
        announced: Last accepted announcement, or None.
        number: Number of the current process; increased with each new process
            or port.
        fresh: Whether the current process has not been offered yet.
        heard_s: When the upstream last announced itself or answered a call.
        failures: Number of failed connections in a row.
        withdrawals: Number of withdrawals in a row because of failed
            connections.
        notices: Notices of leaving of this and earlier processes.
    """

    phase: phase_lib.Phase = phase_lib.Phase.ABSENT
    announced: events.UpstreamAnnounced | None = None
    number: int = 0
    fresh: bool = False
    heard_s: float = float("-inf")
    failures: int = 0
    withdrawals: int = 0
    notices: notice_lib.Notices = dataclasses.field(
        default_factory=notice_lib.Notices
    )

    @property
    def name(self) -> str:
        """Name of the upstream; empty if unnamed or not announced."""
        return self.announced.upstream_id if self.announced else ""

    @property
    def born_ms(self) -> int | None:
        """Wall clock time of the upstream's start, or None if unknown."""
        return self.announced.born_ms if self.announced else None

    def order(self, event: events.UpstreamAnnounced) -> Order:
        """Compare an announcement with the last accepted one.

        A delayed announcement may arrive after its sender has ended and
        another process has replaced it.
        """
        known = self.announced
        if known is None:
            return Order.NEXT
        if event.born_ms != known.born_ms:
            return _compare_starts(event.born_ms, known.born_ms)
        if event.upstream_id != known.upstream_id:
            return Order.NEXT
        is_counted = event.sequence is not None and known.sequence is not None
        if is_counted and event.sequence <= known.sequence:
            return self._order_of_overtaken(event)
        return Order.NEWS if event.service == known.service else Order.NEXT

    def _order_of_overtaken(self, event: events.UpstreamAnnounced) -> Order:
        """Distinguish a late announcement from one of a new process.

        The sequence starts again with each process. If announcements omit the
        start, only the time since the last one tells the two cases apart.
        """
        quiet_s = event.now_s - self.announced.now_s
        is_late = quiet_s <= notice_lib.ANNOUNCEMENT_DELAY_MAX_S
        is_same = event.born_ms is not None
        return Order.OLD if is_same or is_late else Order.NEXT

    def leaves(self, now_ms: int) -> bool:
        """Return whether a notice of leaving applies to the current process."""
        return self.notices.binds(self.name, self.born_ms, now_ms)


def _compare_starts(born_ms: int | None, known_ms: int | None) -> Order:
    """Compare the start in an announcement with a different current start.

    An upstream sends its start with all of its announcements or with none, so
    an announcement without a start cannot be from a process that has sent one.
    """
    if known_ms is None or (born_ms is not None and born_ms > known_ms):
        return Order.NEXT
    return Order.OLD
