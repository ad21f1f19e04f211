"""What a node has learned of upstreams by using them."""

import dataclasses
import math

from monsoonpass.core import bounded
from monsoonpass.core.calls import outcome
from monsoonpass.core.calls import shares as shares_lib

SMOOTHING = 0.2
LOAD_FRESH_S = 1.0
DEFAULT_SERVICE_TIME_S = 0.01
EJECT_AFTER_FAILURES = 3
EJECT_S = 2.0
EJECT_MAX_S = 30.0
PEERS_MAX = 8192
CONTENTION_FACTOR = 0.1
DEFAULT_SLOTS = 4  # Slots of an upstream before its node has told.
MEDIAN_STEP = 0.03


@dataclasses.dataclass(kw_only=True, slots=True)
class Peer:
    """One upstream instance as seen from here.

    Attributes:
        in_flight: Calls of this node that it has not answered.
        load: The load it reported last.
        load_s: When it reported.
        sent_since: Calls sent to it since that report.
        latency_s: Smoothed time from forwarding to the answer's head.
        consecutive_failures: Failures in a row.
        consecutive_ejections: Times in a row that it was ejected.
        ejected_until_s: No calls before this time.
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
    """Bounds retries to a share of the calls of a service.

    Attributes:
        ratio: Retries for each call.
        max_tokens: Retries at once, after a time without any.
        tokens: Retries that are left.
    """

    ratio: float
    max_tokens: float
    tokens: float

    def deposit(self) -> None:
        """Count a call."""
        self.tokens = min(self.tokens + self.ratio, self.max_tokens)

    def withdraw(self) -> bool:
        """Take the price of one retry; False if there is none left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclasses.dataclass(kw_only=True, slots=True)
class MedianLatency:
    """A running estimate of a route's median latency.

    The median stays put while a quarter of the upstreams are slow, which a
    high percentile does not.
    """

    value_s: float = 0.0
    count: int = 0

    def add(self, latency_s: float) -> None:
        """Count one latency, by stochastic approximation."""
        self.count += 1
        if self.count == 1:
            self.value_s = latency_s
            return
        step_s = max(self.value_s, 1e-4) * MEDIAN_STEP
        self.value_s += step_s if latency_s > self.value_s else -step_s


class RoutingTable:
    """Peers by instance, retry budgets by service, medians by route."""

    def __init__(self) -> None:
        self.peers: dict[str, Peer] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.medians: dict[str, MedianLatency] = {}
        self.parked: dict[str, list[int]] = {}
        self.shares: dict[str, shares_lib.Turns] = {}

    def peer(self, instance: str) -> Peer:
        """Return what is known of an instance, new if nothing is."""
        peer = self.peers.get(instance)
        if peer is None:
            bounded.make_room(self.peers, PEERS_MAX)
            peer = Peer()
            self.peers[instance] = peer
        return peer

    def budget(
        self, service: str, *, ratio: float, max_tokens: float
    ) -> RetryBudget:
        """Return the retry budget of a service.

        Args:
            service: The service.
            ratio: Retries for each call.
            max_tokens: Retries at once.

        Returns:
            The budget, with these bounds.
        """
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                ratio=ratio, max_tokens=max_tokens, tokens=max_tokens
            )
            self.budgets[service] = budget
        budget.max_tokens = max_tokens
        return budget

    def median(self, route: str) -> MedianLatency:
        """Return the median latency of a route."""
        return self.medians.setdefault(route, MedianLatency())

    def sent(self, instance: str) -> None:
        """Count a call that was forwarded."""
        peer = self.peer(instance)
        peer.in_flight += 1
        peer.sent_since += 1

    def reported(
        self, instance: str, load: outcome.Load | None, now_s: float
    ) -> None:
        """Take the load that an answer carried."""
        if load is None:
            return
        peer = self.peer(instance)
        peer.load = load
        peer.load_s = now_s
        peer.sent_since = 0

    def answered(self, instance: str, latency_s: float) -> None:
        """Count a whole answer."""
        peer = self.peer(instance)
        peer.in_flight = max(peer.in_flight - 1, 0)
        peer.consecutive_failures = 0
        peer.consecutive_ejections = 0
        if peer.latency_s == 0.0:
            peer.latency_s = latency_s
        peer.latency_s += SMOOTHING * (latency_s - peer.latency_s)

    def refused(self, instance: str) -> None:
        """Count a refusal, which says nothing against the upstream."""
        peer = self.peer(instance)
        peer.in_flight = max(peer.in_flight - 1, 0)

    def failed(self, instance: str, now_s: float) -> None:
        """Count a failure; several in a row eject the instance."""
        peer = self.peer(instance)
        peer.in_flight = max(peer.in_flight - 1, 0)
        peer.consecutive_failures += 1
        if peer.consecutive_failures >= EJECT_AFTER_FAILURES:
            peer.consecutive_failures = 0
            peer.consecutive_ejections += 1
            ejected_for_s = min(
                EJECT_S * 2**peer.consecutive_ejections, EJECT_MAX_S
            )
            peer.ejected_until_s = now_s + ejected_for_s

    def offered_anew(self, instance: str) -> None:
        """Judge an instance anew that takes work again.

        What was seen of it before is of another process, or of a time that is
        over by its own word.
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
        """Eject an instance whose node cannot be reached, for a moment."""
        peer = self.peer(instance)
        peer.ejected_until_s = max(peer.ejected_until_s, now_s + EJECT_S)

    def predict_s(self, instance: str, link_s: float, now_s: float) -> float:
        """Predict the time until a call sent now would be answered.

        Args:
            instance: The candidate.
            link_s: Round trip to its data centre.
            now_s: Time of the event.

        Returns:
            Seconds; relative order matters more than the value.
        """
        peer = self.peers.get(instance)
        if peer is None:
            return link_s + DEFAULT_SERVICE_TIME_S
        load = peer.load
        if load is None or now_s - peer.load_s > LOAD_FRESH_S:
            service_s = peer.latency_s or DEFAULT_SERVICE_TIME_S
            slots = max(load.slots, 1) if load is not None else DEFAULT_SLOTS
            waiting = max(peer.in_flight + 1 - slots, 0)
            contention = CONTENTION_FACTOR * peer.in_flight / slots
            return link_s + service_s * (1 + contention + waiting / slots)
        return link_s + predict_at_load_s(load, peer.sent_since)


def predict_at_load_s(load: outcome.Load, sent_since: int) -> float:
    """Predict how long a call takes at a load.

    Args:
        load: The load as reported.
        sent_since: Calls sent there since.

    Returns:
        Seconds until the answer.
    """
    slots = max(load.slots, 1)
    busy = load.in_progress + load.queued + sent_since
    waiting = max(busy + 1 - slots, 0)
    service_s = max(load.service_time_s, 1e-4)
    return service_s * (1 + CONTENTION_FACTOR * busy / slots + waiting / slots)
