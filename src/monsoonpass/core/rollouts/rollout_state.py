"""The state of a node about rollouts, except what the control group stores."""

import dataclasses
from typing import Any

from monsoonpass.core import address as address_lib
from monsoonpass.core.rollouts import answer_counts
from monsoonpass.core.rollouts import rollout as rollout_lib


@dataclasses.dataclass(kw_only=True, slots=True)
class KnownRollout:
    """The newest record of a service's rollouts that this node has heard of.

    Attributes:
        rollout: The record.
        heard_s: When it was last announced or confirmed.
        closes_at_s: When this node refuses calls to its own upstream of another
            version than the target, if all calls go to the target.
        credit: Calls that this node may send to the canaries.
        leader: The node that announced the record, or None.
        report_interval_s: Interval of reports on the own upstream.
    """

    rollout: rollout_lib.Rollout
    heard_s: float
    closes_at_s: float = float("inf")
    credit: int = 0
    leader: address_lib.Address | None = None
    report_interval_s: float = 0.5


@dataclasses.dataclass(kw_only=True, slots=True)
class VersionQuery:
    """A query about versions of a service that this node may not use yet.

    Attributes:
        versions: Versions that were visible when the query was sent.
        sent_s: When it was sent.
        count: Number of queries without a confirmed answer.
    """

    versions: frozenset[str]
    sent_s: float
    count: int


@dataclasses.dataclass(kw_only=True, slots=True)
class RolloutState:
    """State of a node about rollouts.

    Attributes:
        known: Newest known rollout, by service.
        established: Versions that may be served without a rollout, by service.
        queries: Unanswered queries, by service.
        counts: Counts of the own upstream's calls.
        report_timer_set: Whether the timer of the reports is running.
        plan_timer_set: Whether the leader's planning timer is running.
        plan_count: How often that timer has fired.
        trackers: At the leader: what it knows of a rollout, by service.
        requests: Orders and reads of operators at this node, by request id.
    """

    known: dict[str, KnownRollout] = dataclasses.field(default_factory=dict)
    established: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    queries: dict[str, VersionQuery] = dataclasses.field(default_factory=dict)
    counts: answer_counts.AnswerCounts = dataclasses.field(
        default_factory=answer_counts.AnswerCounts
    )
    report_timer_set: bool = False
    plan_timer_set: bool = False
    plan_count: int = 0
    trackers: dict[str, Any] = dataclasses.field(default_factory=dict)
    requests: dict[int, Any] = dataclasses.field(default_factory=dict)

    def find(self, service: str) -> rollout_lib.Rollout | None:
        """Return the newest known rollout of a service, or None."""
        known = self.known.get(service)
        return known.rollout if known is not None else None
