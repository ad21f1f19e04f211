"""Rollouts in the replicated state of the control group."""

import dataclasses
import enum

from monsoonpass import codec
from monsoonpass import immutable

# A version that was rolled back stays shut out while its upstreams may run.
REJECTED_MAX = 8
# More services than a mesh of the target size has; one rollout is kept of each.
SERVICES_MAX = 4096
# Ended rollouts that a starting node is told of; it asks about others when it
# sees their versions.
RECENT_MAX = 16


class Phase(enum.StrEnum):
    """Phase of a rollout.

    RUNNING: A bounded share of the calls goes to a few upstreams of the target.
    PROMOTED: The target was found good; its share grows to all calls.
    COMPLETED: No call is left at an upstream of another version.
    ROLLED_BACK: The target gets no calls.
    """

    RUNNING = "running"
    PROMOTED = "promoted"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_ended(self) -> bool:
        """Whether the rollout changes no more."""
        return self in (Phase.COMPLETED, Phase.ROLLED_BACK)


@immutable.dataclass
class Rollout:
    """A rollout of one service, as the control group recorded it.

    Attributes:
        service: The service.
        number: Number of the rollout of the service, from 1.
        target_version: Version that the service's upstreams move to.
        duration_s: Time from the order to the deadline.
        started_ms: Wall clock of the leader at the order.
        phase: The phase.
        step: Number of changes of this rollout; with `number`, orders records.
        share: Share of the service's calls that the target gets.
        canaries: Instances of the target that get this share; empty for all of
            them.
        changed_ms: Wall clock of the leader at the last change.
        rejected: Other versions that earlier rollouts rolled back.
    """

    service: str
    number: int
    target_version: str
    duration_s: float
    started_ms: int
    phase: Phase = Phase.RUNNING
    step: int = 0
    share: float = 0.0
    canaries: tuple[str, ...] = ()
    changed_ms: int = 0
    rejected: tuple[str, ...] = ()

    def supersedes(self, other: "Rollout | None") -> bool:
        """Return whether this record is newer than another of the service."""
        return other is None or (self.number, self.step) > (
            other.number,
            other.step,
        )

    @property
    def serves_all(self) -> bool:
        """Whether all calls go to the target."""
        return self.phase is Phase.COMPLETED or (
            self.phase is Phase.PROMOTED and self.share >= 1.0
        )

    def shuts_out(self, version: str) -> bool:
        """Return whether a version was rolled back."""
        is_target = version == self.target_version
        return version in self.rejected or (
            is_target and self.phase is Phase.ROLLED_BACK
        )

    def elapsed_s(self, wall_ms: int) -> float:
        """Return the time since the order."""
        return max(wall_ms - self.started_ms, 0) / 1000


@codec.register(140)
@immutable.dataclass
class StartRollout:
    """Command that orders a rollout.

    Attributes:
        service: The service.
        target_version: Version that its upstreams move to.
        duration_s: Time until the deadline.
        now_ms: The leader's wall clock.
    """

    service: str
    target_version: str
    duration_s: float
    now_ms: int


@codec.register(141)
@immutable.dataclass
class AdvanceRollout:
    """Command that replaces the record of a rollout by its next step."""

    rollout: Rollout


class OrderStatus(enum.StrEnum):
    """Result of an order."""

    ORDERED = "ordered"
    REPEATED = "repeated"
    CONFLICT = "conflict"
    UNKNOWN_SERVICE = "unknown-service"
    UNAVAILABLE = "unavailable"

    @property
    def is_accepted(self) -> bool:
        """Whether the order is durable."""
        return self in (OrderStatus.ORDERED, OrderStatus.REPEATED)


@immutable.dataclass
class RolloutChanged:
    """Result of a command that changed a rollout."""

    rollout: Rollout


@immutable.dataclass
class OrderRefused:
    """Result of an order that changed nothing."""

    status: OrderStatus


class StoredRollouts:
    """Deterministic store of the newest rollout of each service.

    Attributes:
        unfinished: Services whose rollout has not ended.
        last_changed_ms: When a rollout last changed, by the leader's wall
            clock; 0 without any.
    """

    def __init__(self) -> None:
        self._by_service: dict[str, Rollout] = {}
        self.unfinished: set[str] = set()
        self.last_changed_ms = 0

    def records(self) -> tuple[Rollout, ...]:
        """Return the newest rollouts, the last ordered one at the end."""
        return tuple(self._by_service.values())

    def restore(self, records: tuple[Rollout, ...]) -> None:
        """Replace all rollouts."""
        self._by_service = {}
        self.unfinished = set()
        self.last_changed_ms = 0
        for record in records:
            self._put(record)

    def recent(self) -> tuple[Rollout, ...]:
        """Return the unfinished rollouts and the last ordered ones."""
        records = self.records()
        first = len(records) - RECENT_MAX
        return tuple(
            record
            for position, record in enumerate(records)
            if position >= first or record.service in self.unfinished
        )

    def find(self, service: str) -> Rollout | None:
        """Return the newest rollout of a service, or None."""
        return self._by_service.get(service)

    def start(
        self, command: StartRollout, *, is_known_service: bool
    ) -> RolloutChanged | OrderRefused:
        """Record a new rollout, unless the order repeats or conflicts."""
        if not is_known_service:
            return OrderRefused(status=OrderStatus.UNKNOWN_SERVICE)
        last = self._by_service.get(command.service)
        if last is not None and last.target_version == command.target_version:
            return OrderRefused(status=OrderStatus.REPEATED)
        if last is not None and not last.phase.is_ended:
            return OrderRefused(status=OrderStatus.CONFLICT)
        self._by_service.pop(command.service, None)
        if len(self._by_service) >= SERVICES_MAX:
            oldest = next(iter(self._by_service))
            del self._by_service[oldest]
            self.unfinished.discard(oldest)
        rollout = Rollout(
            service=command.service,
            number=last.number + 1 if last else 1,
            target_version=command.target_version,
            duration_s=command.duration_s,
            started_ms=command.now_ms,
            changed_ms=command.now_ms,
            rejected=_rejected(last, command.target_version),
        )
        self._put(rollout)
        return RolloutChanged(rollout=rollout)

    def advance(self, command: AdvanceRollout) -> RolloutChanged | None:
        """Record the next step of a rollout; ignore any other step."""
        rollout = command.rollout
        last = self._by_service.get(rollout.service)
        if (
            last is None
            or last.phase.is_ended
            or (rollout.number, rollout.step) != (last.number, last.step + 1)
        ):
            return None
        self._put(rollout)
        return RolloutChanged(rollout=rollout)

    def _put(self, rollout: Rollout) -> None:
        self._by_service[rollout.service] = rollout
        self.last_changed_ms = max(self.last_changed_ms, rollout.changed_ms)
        if rollout.phase.is_ended:
            self.unfinished.discard(rollout.service)
        else:
            self.unfinished.add(rollout.service)


def next_step(rollout: Rollout, now_ms: int, **changes: object) -> Rollout:
    """Return the next record of a rollout, with some fields changed."""
    return dataclasses.replace(
        rollout, step=rollout.step + 1, changed_ms=now_ms, **changes
    )


def _rejected(last: Rollout | None, target_version: str) -> tuple[str, ...]:
    """Return the versions that stay shut out during a new rollout."""
    if last is None:
        return ()
    versions = list(last.rejected)
    if last.phase is Phase.ROLLED_BACK:
        versions.append(last.target_version)
    kept = [version for version in versions if version != target_version]
    return tuple(kept[-REJECTED_MAX:])
