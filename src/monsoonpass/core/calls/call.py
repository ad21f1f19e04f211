"""One call in progress through this node."""

import dataclasses

from monsoonpass.core.calls import outcome
from monsoonpass.core.distribution import catalog
from monsoonpass.core.distribution import host_route

NOT_RUN = outcome.Outcome.NOT_RUN


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """One try of a call on one upstream instance.

    Attributes:
        instance: The instance.
        started_s: When it was sent there.
    """

    instance: str
    started_s: float


@dataclasses.dataclass(kw_only=True, slots=True)
class Call:
    """A call in progress through this node.

    Attributes:
        call_id: Its number.
        service: Service called.
        route: Its route in the version in force when it began.
        route_name: Names the route for what is learned of it.
        arrived_s: When it arrived.
        deadline_s: When its answer must be complete.
        best_before_s: When its answer is worth most.
        tried: Instances that refused or failed it.
        attempts: Attempts under way, by number.
        attempt_count: Number of the last attempt.
        answering_attempt: Attempt whose answer is being passed on, or 0.
        may_have_run: Whether an upstream may have run it.
        hedged: Whether a second attempt runs beside a slow one.
        upstreams_reached: Attempts that have ended and may have reached an
            upstream.
    """

    call_id: int
    service: str
    route: catalog.Route | host_route.HostRoute
    route_name: str
    arrived_s: float
    deadline_s: float
    best_before_s: float
    tried: set[str] = dataclasses.field(default_factory=set)
    attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    attempt_count: int = 0
    answering_attempt: int = 0
    may_have_run: bool = False
    hedged: bool = False
    upstreams_reached: int = 0

    @property
    def may_try_another_upstream(self) -> bool:
        """Whether its route allows it to be sent to one more upstream."""
        return (
            self.upstreams_reached + len(self.attempts)
            < self.route.attempts_max
        )


def not_run_failure(
    reason: outcome.Reason, retry_after_s: float | None
) -> outcome.Failure:
    """Return the failure of a call that no upstream has run."""
    return outcome.Failure(
        outcome=NOT_RUN, reason=reason, retry_after_s=retry_after_s
    )
