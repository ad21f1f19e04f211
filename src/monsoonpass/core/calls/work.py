"""Work that wants a slot, and what admission decides of it."""

import dataclasses
import math

from monsoonpass.core.calls import outcome

LATE_ANSWER_SHARE = (
    0.25  # Part of the time past the objective that work may wait.
)


@dataclasses.dataclass(kw_only=True, slots=True)
class Work:
    """One call that wants a slot.

    Attributes:
        work_id: The call's number at this node.
        priority: Order of admission, lowest first.
        deadline_s: When its answer must be complete.
        bulk: Whether its route is declared bulk.
        route: Name of the route, for the learned service time.
        arrived_s: When it arrived.
        reroutable: Whether another instance may serve it sooner.
        idempotent: Whether it may be sent to an upstream again.
        dispatched_s: When it got a slot; infinite before.
        is_long: Its class when it got a slot.
        best_before_s: When its answer is worth most; infinite if always.
        concurrency: Calls in progress when it got a slot, itself included.
        queued_ahead: Calls of its route that waited when it came.
        is_probe: Whether it runs to learn how long its route takes now.
        upstream: Number of the process that it was given to.
    """

    work_id: int
    priority: int
    deadline_s: float
    bulk: bool
    route: str
    arrived_s: float
    reroutable: bool = False
    idempotent: bool = True
    dispatched_s: float = math.inf
    is_long: bool = False
    best_before_s: float = math.inf
    concurrency: int = 0
    queued_ahead: int = 0
    is_probe: bool = False
    upstream: int = 0

    @property
    def useful_until_s(self) -> float:
        """When its answer must be complete to be worth the wait.

        Work that was overtaken until its objective passed would take the
        slot of work that can still meet one.
        """
        if self.best_before_s >= self.deadline_s:
            return self.deadline_s
        spare_s = self.deadline_s - self.best_before_s
        return self.best_before_s + LATE_ANSWER_SHARE * spare_s

    @property
    def queue_key(self) -> tuple[int, float, int]:
        """Place in the queue: priority, then earliest deadline."""
        return (self.priority, self.deadline_s, self.work_id)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """Work that is refused and will never be dispatched."""

    work: Work
    failure: outcome.Failure


@dataclasses.dataclass(kw_only=True, slots=True)
class Decision:
    """What admission decided.

    Attributes:
        dispatch: Work that gets a slot now.
        refused: Work that is refused now.
    """

    dispatch: list[Work] = dataclasses.field(default_factory=list)
    refused: list[Refused] = dataclasses.field(default_factory=list)
