"""Statistics of upstream instances, services and routes, learned from calls."""

import dataclasses
import math
from typing import Any

from monsoonpass.core import backoff
from monsoonpass.core import bounded_mapping
from monsoonpass.core.calls import caller_timeouts
from monsoonpass.core.calls import longest_time
from monsoonpass.core.calls import outcome
from monsoonpass.core.calls import weighted_round_robin

SMOOTHING = 0.2  # Weight of a new latency.
LOAD_FRESH_S = 1.0  # Of older load reports, only the slots are used.
DEFAULT_SERVICE_TIME_S = 0.01  # Assumed until the first answer.
EJECT_AFTER_FAILURES = 3
# Ejection of an unreachable instance. The first ejection for failures lasts
# twice as long, and each consecutive one twice as long as the one before.
EJECT_UNIT_S = 2.0
EJECT_MAX_S = 30.0
PEERS_MAX = 8192  # Instances whose statistics are kept.
CONTENTION_FACTOR = 0.1  # Rise of the service time when all slots are used.
DEFAULT_SLOTS = 4  # Assumed slots of an upstream that has not reported a load.
MEDIAN_STEP = 0.03  # Step of the estimate, as a share of its value.


@dataclasses.dataclass(kw_only=True, slots=True)
class Peer:
    """Statistics of an upstream instance at this node.

    Attributes:
        in_flight: Calls from this node that the instance has not answered.
        load: Last reported load, or None.
        load_s: When the load was reported.
        sent_since: Calls sent to the instance since that report.
        latency_s: Smoothed time from forwarding a call to its complete answer.
        consecutive_failures: Failures since the last answer or ejection.
        consecutive_ejections: Ejections since the last answer.
        ejected_until_s: Time until which the instance gets no calls.
    """

    in_flight: int = 0
    load: outcome.Load | None = None
    load_s: float = -math.inf
    sent_since: int = 0
    latency_s: float = 0.0
    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until_s: float = -math.inf


@dataclasses.dataclass(kw_only=True, slots=True)
class RetryBudget:
    """Token bucket that bounds retries to a share of a service's calls.

    Attributes:
        ratio: Tokens added per call.
        max_tokens: Capacity of the bucket.
        tokens: Tokens left; a retry costs one.
    """

    ratio: float
    max_tokens: float
    tokens: float

    def deposit(self) -> None:
        """Add the tokens of one call."""
        self.tokens = min(self.tokens + self.ratio, self.max_tokens)

    def withdraw(self) -> bool:
        """Take the token of one retry, and return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclasses.dataclass(kw_only=True, slots=True)
class MedianLatency:
    """Running estimate of the median latency of a route.

    The median hardly changes while a quarter of the upstreams are slow; a high
    percentile would rise.

    Attributes:
        value_s: The estimate.
        count: Number of samples.
        longest: Longest of the last samples.
    """

    value_s: float = 0.0
    count: int = 0
    longest: longest_time.LongestTime = dataclasses.field(
        default_factory=longest_time.LongestTime
    )

    def add(self, latency_s: float) -> None:
        """Add a sample to the estimate, by stochastic approximation."""
        self.longest.add(latency_s)
        self.count += 1
        if self.count == 1:
            self.value_s = latency_s
            return
        step_s = max(self.value_s, 1e-4) * MEDIAN_STEP
        self.value_s += step_s if latency_s > self.value_s else -step_s


class RoutingTable:
    """Statistics that routing decisions are based on.

    Attributes:
        peers: Statistics of instances, by name.
        budgets: Retry budgets, by service.
        medians: Median latencies, by route.
        awaiting_endpoints: Ids of the calls that wait for remote endpoints, by
            service.
        round_robin: Weighted round robin state, by route.
        caller_timeouts: Timeouts that callers set, by route.
        pools: State of the even placement, by service; see `even_placement`.
    """

    def __init__(self) -> None:
        self.peers: dict[str, Peer] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.medians: dict[str, MedianLatency] = {}
        self.awaiting_endpoints: dict[str, list[int]] = {}
        self.round_robin: dict[str, weighted_round_robin.RoundRobinState] = {}
        self.caller_timeouts = caller_timeouts.CallerTimeouts()
        self.pools: dict[str, Any] = {}

    def peer(self, instance: str) -> Peer:
        """Return the statistics of an instance; new ones if there are none."""
        peer = self.peers.get(instance)
        if peer is None:
            bounded_mapping.evict_oldest_if_full(self.peers, PEERS_MAX)
            peer = Peer()
            self.peers[instance] = peer
        return peer

    def budget(
        self, service: str, *, ratio: float, max_tokens: float
    ) -> RetryBudget:
        """Return the retry budget of a service.

        Args:
            service: Name of the service.
            ratio: Tokens added per call.
            max_tokens: Capacity of the budget.

        Returns:
            The budget, with that ratio and capacity.
        """
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                ratio=ratio, max_tokens=max_tokens, tokens=max_tokens
            )
            self.budgets[service] = budget
        budget.ratio = ratio
        budget.max_tokens = max_tokens
        return budget

    def median(self, route: str) -> MedianLatency:
        """Return the median latency of a route."""
        return self.medians.setdefault(route, MedianLatency())

    def record_sent(self, instance: str) -> None:
        """Record that a call was forwarded to an instance."""
        peer = self.peer(instance)
        peer.in_flight += 1
        peer.sent_since += 1

    def record_load(
        self, instance: str, load: outcome.Load | None, now_s: float
    ) -> None:
        """Record the load that came with an answer, if any."""
        if load is None:
            return
        peer = self.peer(instance)
        peer.load = load
        peer.load_s = now_s
        peer.sent_since = 0

    def record_answer(self, instance: str, latency_s: float) -> None:
        """Record a complete answer of an instance."""
        peer = self.peer(instance)
        peer.in_flight = max(peer.in_flight - 1, 0)
        peer.consecutive_failures = 0
        peer.consecutive_ejections = 0
        if peer.latency_s == 0.0:
            peer.latency_s = latency_s
        peer.latency_s += SMOOTHING * (latency_s - peer.latency_s)

    def record_end_without_failure(self, instance: str) -> None:
        """Record a refused or cancelled call, which is not a failure."""
        peer = self.peer(instance)
        peer.in_flight = max(peer.in_flight - 1, 0)

    def record_failure(self, instance: str, now_s: float) -> None:
        """Record that a call failed; several consecutive ones eject."""
        self.record_end_without_failure(instance)
        self.record_timeout(instance, now_s)

    def record_timeout(self, instance: str, now_s: float) -> None:
        """Count a failure of a call that is still in flight.

        Several consecutive failures eject the instance.
        """
        peer = self.peer(instance)
        peer.consecutive_failures += 1
        if peer.consecutive_failures >= EJECT_AFTER_FAILURES:
            peer.consecutive_failures = 0
            peer.consecutive_ejections += 1
            ejected_for_s = backoff.doubled_s(
                EJECT_UNIT_S, peer.consecutive_ejections, EJECT_MAX_S
            )
            peer.ejected_until_s = now_s + ejected_for_s

    def reset_observations(self, instance: str) -> None:
        """Discard the failures and load of an instance that takes calls again.

        They belong to an earlier process, or to a time before the instance
        announced that it accepts calls again.
        """
        peer = self.peers.get(instance)
        if peer is None:
            return
        peer.consecutive_failures = 0
        peer.consecutive_ejections = 0
        peer.ejected_until_s = -math.inf
        peer.load = None
        peer.load_s = -math.inf
        peer.sent_since = 0

    def mark_unreachable(self, instance: str, now_s: float) -> None:
        """Eject an instance whose node is unreachable, for `EJECT_UNIT_S`."""
        peer = self.peer(instance)
        peer.ejected_until_s = max(peer.ejected_until_s, now_s + EJECT_UNIT_S)

    def predict_s(self, instance: str, rtt_s: float, now_s: float) -> float:
        """Predict the latency of a call that is sent to an instance now.

        Args:
            instance: Name of the instance.
            rtt_s: Round trip to its data centre, in seconds.
            now_s: Time of the event.

        Returns:
            Seconds until the answer. Values serve to compare instances.
        """
        peer = self.peers.get(instance)
        if peer is None:
            return rtt_s + DEFAULT_SERVICE_TIME_S
        load = peer.load
        if load is None or now_s - peer.load_s > LOAD_FRESH_S:
            service_s = peer.latency_s or DEFAULT_SERVICE_TIME_S
            slots = max(load.slots, 1) if load is not None else DEFAULT_SLOTS
            waiting = max(peer.in_flight + 1 - slots, 0)
            contention = CONTENTION_FACTOR * peer.in_flight / slots
            return rtt_s + service_s * (1 + contention + waiting / slots)
        return rtt_s + predict_at_load_s(load, peer.sent_since)


def predict_at_load_s(load: outcome.Load, sent_since: int) -> float:
    """Predict the latency of a call on an upstream with a given load.

    Args:
        load: Reported load of the upstream.
        sent_since: Calls sent to the upstream since the report.

    Returns:
        Seconds until the answer.
    """
    slots = max(load.slots, 1)
    busy = load.in_progress + load.queued + sent_since
    waiting = max(busy + 1 - slots, 0)
    service_s = max(load.service_time_s, 1e-4)
    return service_s * (1 + CONTENTION_FACTOR * busy / slots + waiting / slots)
