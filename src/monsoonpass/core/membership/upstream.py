"""The state of the own upstream: which start it is and what is done with it."""

import dataclasses
import enum

from monsoonpass.core import events
from monsoonpass.core.membership import notice as notice_lib
from monsoonpass.core.membership import phase as phase_lib


class Order(enum.Enum):
    """How an announcement relates to what is known of the upstream."""

    OLD = "old"  # Of an earlier start, or overtaken by a later one.
    NEWS = "news"  # Of the known start.
    NEXT = "next"  # Of another start that has taken its place.


@dataclasses.dataclass(kw_only=True, slots=True)
class OwnUpstream:
    """The own upstream.

    Attributes:
        phase: What is done with it.
        announced: Its last announcement, or None.
        number: Counts the processes known so far; that of this one.
        fresh: Whether it was not offered yet since it took its place.
        heard_s: When it was last heard, by announcement or answer.
        failures: Failed connections in a row.
        withdrawals: Times in a row that it was withdrawn for that.
        notices: Notices of leaving, of this and earlier upstreams.
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
        """Its name; empty if it has none or there is none."""
        return self.announced.upstream_id if self.announced else ""

    @property
    def born_ms(self) -> int | None:
        """Its start, or None if it is not told."""
        return self.announced.born_ms if self.announced else None

    def order(self, event: events.UpstreamAnnounced) -> Order:
        """Compare an announcement with the last one.

        One that was delayed may arrive after its sender has ended and another
        process has taken its place.
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
        """Tell a late announcement from one of a start that counts anew.

        A start that is not told shows only by its time.
        """
        quiet_s = event.now_s - self.announced.now_s
        is_late = quiet_s <= notice_lib.ANNOUNCEMENT_DELAY_MAX_S
        is_same = event.born_ms is not None
        return Order.OLD if is_same or is_late else Order.NEXT

    def leaves(self, now_ms: int) -> bool:
        """Return whether a notice binds the known start."""
        return self.notices.binds(self.name, self.born_ms, now_ms)


def _compare_starts(born_ms: int | None, known_ms: int | None) -> Order:
    """Compare two starts that differ.

    An upstream that tells its start does so each time, so an announcement
    without one comes from elsewhere.
    """
    if known_ms is None or (born_ms is not None and born_ms > known_ms):
        return Order.NEXT
    return Order.OLD
