"""State of a call in progress at its entry node."""

import dataclasses

from monsoonpass import immutable
from monsoonpass.core.calls import outcome
from monsoonpass.core.distribution import catalog
from monsoonpass.core.distribution import host_route

NOT_RUN = outcome.Outcome.NOT_RUN


@immutable.dataclass
class Attempt:
    """An attempt to run a call on one upstream instance.

    Attributes:
        instance: Name of the instance.
        started_s: When the attempt was sent.
    """

    instance: str
    started_s: float


@dataclasses.dataclass(kw_only=True, slots=True)
class Call:
    """A call in progress at its entry node.

    Attributes:
        call_id: Number of the call at this node.
        service: Service called.
        route: Route of the call, from the configuration version in force when
            the call arrived.
        statistics_key: Key under which statistics of the route are kept.
        arrived_s: When the call arrived.
        deadline_s: When the answer must be complete.
        objective_deadline_s: When the response time objective of the route
            ends, counted from when the caller first sent the call; in the past
            for a call that returned too late.
        tried: Instances that refused or failed the call.
        attempts: Attempts in progress, by number.
        attempt_count: Number of the last attempt.
        answering_attempt: Number of the attempt whose answer is being passed
            on, or 0.
        may_have_run: Whether an upstream may have run the call.
        hedged: Whether a hedge was sent.
        upstreams_reached: Count of ended attempts that may have reached an
            upstream.
        body_rest_bytes: Length of the part of the request body that had not
            arrived with the call.
        workspace: Name of the caller's workspace, or empty.
        workspace_priority: Priority of the workspace, or None if the route's
            applies.
        holds_token: Whether the call took a token of its workspace.
    """

    call_id: int
    service: str
    route: catalog.Route | host_route.HostRoute
    statistics_key: str
    arrived_s: float
    deadline_s: float
    objective_deadline_s: float
    tried: set[str] = dataclasses.field(default_factory=set)
    attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    attempt_count: int = 0
    answering_attempt: int = 0
    may_have_run: bool = False
    hedged: bool = False
    upstreams_reached: int = 0
    body_rest_bytes: int = 0
    workspace: str = ""
    workspace_priority: int | None = None
    holds_token: bool = False

    @property
    def priority(self) -> int:
        """Priority of the workspace if it has one, else of the route."""
        if self.workspace_priority is None:
            return self.route.priority
        return self.workspace_priority

    @property
    def route_priority(self) -> int | None:
        """Priority of the route if `priority` is the workspace's, else None."""
        if self.workspace_priority is None:
            return None
        return self.route.priority

    @property
    def may_try_another_upstream(self) -> bool:
        """Whether the attempt limit of the route allows another upstream."""
        return (
            self.upstreams_reached + len(self.attempts)
            < self.route.attempts_max
        )


def not_run_failure(
    reason: outcome.Reason, retry_after_s: float | None
) -> outcome.Failure:
    """Return the failure of a call that no upstream has run.

    Args:
        reason: Why the call failed.
        retry_after_s: Time after which a retry may succeed, or None.
    """
    return outcome.Failure(
        outcome=NOT_RUN, reason=reason, retry_after_s=retry_after_s
    )
