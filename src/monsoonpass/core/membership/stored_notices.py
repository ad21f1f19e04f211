"""Notices of leaving in the replicated state of the control group.

An acknowledged notice of leaving must outlive the node that acknowledged it,
also when all nodes are killed together. Nodes without a disk therefore have
the control group store each notice before they acknowledge it.
"""

from monsoonpass import codec
from monsoonpass import immutable
from monsoonpass.core import address as address_lib
from monsoonpass.core.membership import leave_notice as notice_lib

# Much longer than an announcement may be delayed.
RETENTION_MS = 3_600_000
# More instances than a fleet of the target size replaces in that time.
INSTANCES_MAX = 32_768


@codec.register(74)
@immutable.dataclass
class RecordNotice:
    """Command that stores a notice of leaving.

    Attributes:
        instance: Instance of the upstream.
        notice: The notice.
        now_ms: The leader's wall clock.
    """

    instance: str
    notice: notice_lib.LeaveNotice
    now_ms: int


@immutable.dataclass
class InstanceNotices:
    """Stored notices of one instance's upstreams.

    Attributes:
        instance: Name of the instance.
        notices: The notices, the last changed one at the end.
        recorded_ms: When the last one was stored, by the leader's wall clock.
    """

    instance: str
    notices: tuple[notice_lib.LeaveNotice, ...]
    recorded_ms: int


@codec.register(114)
@immutable.dataclass
class StoreNotice:
    """Asks the leader to store a notice from an upstream of the sender."""

    notice: notice_lib.LeaveNotice


@codec.register(115)
@immutable.dataclass
class StoreNoticeReply:
    """Answers a `StoreNotice`.

    Attributes:
        notice: The notice in the request.
        stored: Whether it is durable; False if the node asked is not the
            leader or cannot reach a quorum.
        leader: Address of the leader, if known.
    """

    notice: notice_lib.LeaveNotice
    stored: bool
    leader: address_lib.Address | None


class StoredNotices:
    """Deterministic store of notices, bounded by count and time."""

    def __init__(self) -> None:
        self._by_instance: dict[str, InstanceNotices] = {}

    def records(self) -> tuple[InstanceNotices, ...]:
        """Return all notices by instance, the last changed instance last."""
        return tuple(self._by_instance.values())

    def restore(self, records: tuple[InstanceNotices, ...]) -> None:
        """Replace all notices."""
        self._by_instance = {record.instance: record for record in records}

    def record(self, command: RecordNotice) -> None:
        """Merge a notice into those of its instance, and drop old ones."""
        merged = notice_lib.LeaveNotices()
        merged.add(self.find(command.instance))
        merged.add([command.notice])
        self._by_instance.pop(command.instance, None)
        self._by_instance[command.instance] = InstanceNotices(
            instance=command.instance,
            notices=merged.all,
            recorded_ms=command.now_ms,
        )
        oldest = next(iter(self._by_instance.values()))
        while (
            len(self._by_instance) > INSTANCES_MAX
            or command.now_ms - oldest.recorded_ms > RETENTION_MS
        ):
            del self._by_instance[oldest.instance]
            oldest = next(iter(self._by_instance.values()))

    def find(self, instance: str) -> tuple[notice_lib.LeaveNotice, ...]:
        """Return the stored notices of an instance's upstreams."""
        stored = self._by_instance.get(instance)
        return stored.notices if stored is not None else ()
