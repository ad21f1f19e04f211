"""Calls at their owner node, and the decisions of admission about them."""

import dataclasses
import math

from monsoonpass import immutable
from monsoonpass.core.calls import outcome

# Share of the time between objective and deadline in which a late answer is
# still worth its slot.
LATE_ANSWER_SHARE = 0.25

# Priority, then the priority of the route; see `OwnerCall.rank`.
Rank = tuple[int, int]
# Rank, whether the call is late, deadline, number; see `OwnerCall.queue_key`.
QueueKey = tuple[Rank, bool, float, int]


@dataclasses.dataclass(kw_only=True, slots=True)
class OwnerCall:
    """A call at its owner node that is queued for a slot or holds one.

    Attributes:
        owner_call_id: Number of the call at this node.
        priority: Order of admission, lowest first.
        deadline_s: When the answer must be complete.
        bulk: Whether the route is declared bulk; classes the call as long until
            enough service times of the route are known.
        route: Name of the route, under which service times are learned.
        arrived_s: When the call arrived.
        reroutable: Whether another instance may serve the call sooner.
        idempotent: Whether the call may be sent to an upstream again.
        dispatched_s: When the call got a slot; infinite before that.
        is_long: Whether the call was classed as long when it got a slot.
        objective_deadline_s: When the response time objective ends; infinite
            without an objective, in the past if the call returned too late.
        is_late: Whether the call could not meet its objective when it arrived,
            even with a free slot.
        concurrency: Calls in progress when this one got a slot, including
            this one.
        queued_ahead: Queued calls of the same pace class that were before this
            one when it arrived.
        is_probe: Whether the call runs to measure the current service time of
            its route, although the learned one predicts a late answer.
        process_number: Number of the upstream process that runs the call.
        route_priority: Priority of the route if `priority` is that of a
            workspace, else None.
    """

    owner_call_id: int
    priority: int
    deadline_s: float
    bulk: bool
    route: str
    arrived_s: float
    reroutable: bool = False
    idempotent: bool = True
    dispatched_s: float = math.inf
    is_long: bool = False
    objective_deadline_s: float = math.inf
    is_late: bool = False
    concurrency: int = 0
    queued_ahead: int = 0
    is_probe: bool = False
    process_number: int = 0
    route_priority: int | None = None

    @property
    def useful_until_s(self) -> float:
        """Time after which the answer is no longer worth a slot.

        A call that was overtaken in the queue until its objective has passed
        would take the slot of a call that can still meet its own.
        """
        if self.objective_deadline_s >= self.deadline_s:
            return self.deadline_s
        objective_s = max(self.objective_deadline_s, self.arrived_s)
        spare_s = self.deadline_s - objective_s
        return objective_s + LATE_ANSWER_SHARE * spare_s

    @property
    def has_returned_late(self) -> bool:
        """Whether the objective had ended before the call arrived."""
        return self.objective_deadline_s <= self.arrived_s

    @property
    def rank(self) -> Rank:
        """Urgency of the call, lowest first.

        By priority, and among calls of equal workspace priority by that of the
        route.
        """
        if self.route_priority is None:
            return (self.priority, self.priority)
        return (self.priority, self.route_priority)

    @property
    def queue_key(self) -> QueueKey:
        """Sort key of the queue.

        By rank, then calls that can meet their objective before those that
        cannot, then the earliest deadline.
        """
        return (
            self.rank,
            self.is_late,
            self.deadline_s,
            self.owner_call_id,
        )

    @property
    def pace_class(self) -> tuple[str, bool]:
        """Class of calls that wait about equally long in the queue."""
        return (self.route, self.is_late)


@immutable.dataclass
class RefusedCall:
    """A call that is refused and will not be dispatched."""

    call: OwnerCall
    failure: outcome.Failure


@dataclasses.dataclass(kw_only=True, slots=True)
class AdmissionDecision:
    """A decision of admission.

    Attributes:
        dispatched: Calls that get a slot now.
        refused: Calls that are refused now.
    """

    dispatched: list[OwnerCall] = dataclasses.field(default_factory=list)
    refused: list[RefusedCall] = dataclasses.field(default_factory=list)
