"""The state of the own upstream: its current process and its phase."""

import dataclasses
import enum

from monsoonpass import immutable
from monsoonpass.core import events
from monsoonpass.core.membership import leave_notice as notice_lib
from monsoonpass.core.membership import upstream_phase as phase_lib


class AnnouncementOrder(enum.Enum):
    """Order of an announcement relative to the last accepted one."""

    STALE = "old"  # From an earlier process, or out of order.
    CURRENT = "news"  # From the current process.
    SUCCESSOR = "next"  # From a process that replaced the current one.


@immutable.dataclass
class AnnouncementResult:
    """Result of an announcement or a notice of leaving.

    Attributes:
        accepted: Whether it was accepted.
        stored: For a notice of leaving, whether it is durable.
    """

    accepted: bool
    stored: bool = True


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingNotice:
    """A notice of leaving that is not known to be durable.

    Attributes:
        notice: The notice.
        arrived_s: When the requests that wait for a reply arrived, by request
            id.
        send_count: How often the notice was sent to the control group.
        hint_followed_s: When a hint to the leader was last followed.
    """

    notice: notice_lib.LeaveNotice
    arrived_s: dict[int, float] = dataclasses.field(default_factory=dict)
    send_count: int = 0
    hint_followed_s: float = float("-inf")


@dataclasses.dataclass(kw_only=True, slots=True)
class OwnUpstream:
    """State of the own upstream.

    Attributes:
        phase: Phase of the upstream.
        last_announcement: Last accepted announcement, or None.
        process_number: Number of the current process; increased with each
            new process or port.
        is_new_process: Whether the current process has not been offered yet.
        heard_s: When the upstream last announced itself or answered a call.
        failures: Number of failed connections in a row.
        withdrawals: Number of withdrawals in a row because of failed
            connections.
        notices: Notices of leaving of this and earlier processes.
        stored_notices: Those that the control group has stored.
        pending_notices: Those that are being stored, by name.
    """

    phase: phase_lib.Phase = phase_lib.Phase.ABSENT
    last_announcement: events.UpstreamAnnounced | None = None
    process_number: int = 0
    is_new_process: bool = False
    heard_s: float = float("-inf")
    failures: int = 0
    withdrawals: int = 0
    notices: notice_lib.LeaveNotices = dataclasses.field(
        default_factory=notice_lib.LeaveNotices
    )
    stored_notices: notice_lib.LeaveNotices = dataclasses.field(
        default_factory=notice_lib.LeaveNotices
    )
    pending_notices: dict[str, PendingNotice] = dataclasses.field(
        default_factory=dict
    )

    @property
    def name(self) -> str:
        """Name of the upstream; empty if unnamed or not announced."""
        return (
            self.last_announcement.upstream_id if self.last_announcement else ""
        )

    @property
    def started_ms(self) -> int | None:
        """Wall clock time of the upstream's start, or None if unknown."""
        return (
            self.last_announcement.started_ms
            if self.last_announcement
            else None
        )

    def order(self, event: events.UpstreamAnnounced) -> AnnouncementOrder:
        """Compare an announcement with the last accepted one.

        A delayed announcement may arrive after its sender has ended and
        another process has replaced it.
        """
        last = self.last_announcement
        if last is None:
            return AnnouncementOrder.SUCCESSOR
        if event.started_ms != last.started_ms:
            return _compare_starts(event.started_ms, last.started_ms)
        if event.upstream_id != last.upstream_id:
            return AnnouncementOrder.SUCCESSOR
        has_sequences = event.sequence is not None and last.sequence is not None
        if has_sequences and event.sequence <= last.sequence:
            return self._order_by_time(event)
        return (
            AnnouncementOrder.CURRENT
            if event.service == last.service
            else AnnouncementOrder.SUCCESSOR
        )

    def _order_by_time(
        self, event: events.UpstreamAnnounced
    ) -> AnnouncementOrder:
        """Distinguish a late announcement from one of a new process.

        The sequence starts again with each process. If announcements omit the
        start, only the time since the last one tells the two cases apart.
        """
        quiet_s = event.now_s - self.last_announcement.now_s
        is_late = quiet_s <= notice_lib.ANNOUNCEMENT_DELAY_MAX_S
        has_start = event.started_ms is not None
        return (
            AnnouncementOrder.STALE
            if has_start or is_late
            else AnnouncementOrder.SUCCESSOR
        )

    def is_leaving(self, now_ms: int) -> bool:
        """Return whether a notice of leaving applies to the current process."""
        return self.notices.applies_to(self.name, self.started_ms, now_ms)


def _compare_starts(
    started_ms: int | None, last_ms: int | None
) -> AnnouncementOrder:
    """Compare the start in an announcement with a different current start.

    An upstream sends its start with all of its announcements or with none, so
    an announcement without a start cannot be from a process that has sent one.
    """
    if last_ms is None or (started_ms is not None and started_ms > last_ms):
        return AnnouncementOrder.SUCCESSOR
    return AnnouncementOrder.STALE
