"""A model of two deployments under load, over the real reducers of all nodes.

Routing, admission, retries and hedging are the real code; the network, the
upstreams and the callers are modelled. Every node is an entry node with one
upstream, and all nodes share one member table. A refused caller waits for the
time in `Retry-After` and returns once. Time is virtual and the random numbers
are seeded, so equal seeds give equal results.
"""

import collections
from collections.abc import Callable
import dataclasses
import math
import random
import statistics
from typing import Any

from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import node as node_lib
from monsoonpass.core.calls import outcome
from monsoonpass.core.distribution import catalog as catalog_lib
from monsoonpass.core.distribution import host_route
from monsoonpass.core.membership import member as member_lib
from monsoonpass.core.membership import member_table
from tests import fake_mesh

NODE_DELAY_S = 0.0005  # Processing of a message at a node, one way.
SAMPLE_S = 0.05  # Interval at which the load of upstreams is sampled.
SPREAD_WINDOW_S = 1.0  # Window over which the load of an upstream is averaged.
HEAD_BYTES = 400  # Size of a message with the head of a request or an answer.
REFUSAL_BYTES = 120  # Size of a message with a refusal.
RETURN_SHARE = 1 / 3  # A caller waits for this share of its time at most.
REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
DATA_CENTRES = tuple(REGIONS)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """Parameters of one kind of request.

    Attributes:
        name: Name of the route.
        service: Service that answers the requests.
        rate: Requests of callers a second; 0 for inner calls.
        priority: Order of admission, lowest first.
        work_s: Mean service time at an upstream of speed 1.
        objective_s: Response time objective.
        deadline_s: Time after which the caller stops waiting.
        route_kind: Execution guarantee.
        body_bytes: Length of the request body.
        answer_bytes: Length of the answer body.
        inner: Name of the kind of inner calls, or empty.
        inner_share: Share of the requests that make inner calls.
        inner_count: Inner calls that such a request makes, one by one.
        worth: Worth of an answer within the objective.
    """

    name: str
    service: str
    rate: float = 0.0
    priority: int = 1
    work_s: float
    objective_s: float
    deadline_s: float
    route_kind: host_route.RouteKind = host_route.RouteKind.IDEMPOTENT
    body_bytes: int = 200
    answer_bytes: int = 2000
    inner: str = ""
    inner_share: float = 0.0
    inner_count: int = 1
    worth: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Peak:
    """A time in which requests of one kind arrive at a multiple of their rate.

    Attributes:
        kind: Kind of the requests.
        start_s: Start of the peak.
        end_s: End of the peak.
        factor: Multiple of the usual rate.
    """

    kind: str
    start_s: float
    end_s: float
    factor: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shedding:
    """A time in which an upstream refuses a share of its calls at random."""

    upstream: int
    start_s: float
    end_s: float
    share: float = 0.55


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """Parameters of a deployment and its load.

    Attributes:
        upstreams: Number of upstreams by service.
        slots: Calls that an upstream runs at once.
        kinds: Kinds of requests.
        same_region_s: One-way latency between data centres of a region.
        other_region_s: One-way latency between regions.
        slow_share: Share of upstreams that are slow at a time.
        slow_factor: Service time at a slow upstream, as a multiple.
        slow_interval_s: Time for which an upstream is slow.
        swing: Amplitude of the demand of a data centre, as a share.
        swing_period_s: Period of that demand.
        load: Factor of the rates of all kinds.
        peaks: Peaks of the load.
        shedding: Times in which upstreams shed.
    """

    upstreams: dict[str, int]
    slots: int
    kinds: tuple[Kind, ...]
    same_region_s: float
    other_region_s: float
    slow_share: float = 0.0
    slow_factor: float = 2.5
    slow_interval_s: float = 0.6
    swing: float = 0.0
    swing_period_s: float = 16.0
    load: float = 1.0
    peaks: tuple[Peak, ...] = ()
    shedding: tuple[Shedding, ...] = ()


@dataclasses.dataclass(kw_only=True)
class Request:
    """A request of a caller, or an inner call of a running one.

    Attributes:
        kind: Kind of the request.
        entry: Entry node.
        first_sent_s: When it was first sent.
        attempt: Number of times that it was sent.
        on_result: Resumes the request that made this inner call, and is passed
            whether the call succeeded; None for a request of a caller.
        busy_s: Service time that upstreams spent on it.
    """

    kind: Kind
    entry: "LoadNode"
    first_sent_s: float
    attempt: int = 1
    on_result: Callable[[bool], None] | None = None
    busy_s: float = 0.0


class LoadNode(fake_mesh.FakeNode):
    """A node with a modelled upstream."""

    mesh: "LoadMesh"

    def __init__(self, **fields: Any):
        super().__init__(**fields)
        self.service = ""
        self.speed = 1.0
        self.slow_by_interval: dict[int, bool] = {}
        self.slow_until_s = -math.inf
        self.shed_share = 0.0
        self.requests: dict[int, Request] = {}
        self.peer_calls: dict[int, tuple[LoadNode, int, int]] = {}
        self.owner_ids: dict[tuple[str, int, int], int] = {}
        self.running: dict[int, float] = {}
        self.busy_s = 0.0
        self.runs = 0

    def boot(self) -> None:
        """Start with a configuration in force and all members known."""
        self.start_count += 1
        self.alive = True
        self.state = node_lib.Node(settings=self.settings)
        self.state.membership.table = self.mesh.table
        self.state.config.catalog = self.mesh.catalog
        self.state.config.ready = True
        self.state.admission.even_load = self.settings.even_load

    def announce(self, *, cold_s: float = 0.0) -> None:
        """Announce the upstream, and publish it to all nodes."""
        self.state.admission.announce(
            service=self.service,
            slots=self.mesh.deployment.slots,
            cold=cold_s > 0.0,
            cold_s=cold_s,
            now_s=self.mesh.now_s,
        )
        ready = member_lib.UpstreamState.READY
        self.mesh.publish(self, ready)

    def send(self, request: Request, timeout_s: float) -> None:
        """Feed a request of a caller or of the own upstream."""
        call_id = next(self.mesh.numbers)
        self.requests[call_id] = request
        self.feed(
            events.CallArrived,
            call_id=call_id,
            host="mesh",
            method="GET",
            path=f"/{request.kind.name}",
            timeout_s=timeout_s,
            key=None,
        )

    def _perform(self, effect: effects.Effect) -> None:
        if isinstance(effect, effects.Forward):
            self._forward(effect)
        elif isinstance(effect, effects.Dispatch):
            self._dispatch(effect.owner_call_id)
        elif isinstance(effect, effects.FailCall):
            self._fail_call(effect)
        elif isinstance(effect, effects.CancelForward):
            target = self.mesh.target_of[self.name, effect.call_id]
            delay_s = self.mesh.delay_s(self, target)
            key = (self.name, effect.call_id, effect.attempt)
            self.mesh.call_later(delay_s, target.cancel, key)
        elif isinstance(effect, effects.AbortDispatch):
            self.mesh.call_later(0.0, self._abort, effect.owner_call_id)
        elif isinstance(effect, effects.SetTimer):
            self._set_timer(effect)
        elif isinstance(effect, effects.CancelTimer):
            self.timers.pop(effect.timer, None)

    def _forward(self, effect: effects.Forward) -> None:
        target = self.mesh.nodes[effect.to.instance]
        self.mesh.target_of[self.name, effect.call_id] = target
        request = self.requests[effect.call_id]
        self.mesh.count_bytes(self, target, HEAD_BYTES, "calls")
        delay_s = self.mesh.delay_s(self, target)
        self.mesh.hops += 1
        self.mesh.call_later(delay_s, target.receive, self, effect, request)

    def receive(
        self, entry: "LoadNode", effect: effects.Forward, request: Request
    ) -> None:
        """Handle a forwarded call."""
        number = next(self.mesh.numbers)
        key = (entry.name, effect.call_id, effect.attempt)
        self.requests[number] = request
        self.peer_calls[number] = (entry, effect.call_id, effect.attempt)
        self.owner_ids[key] = number
        self.feed(
            events.PeerCallArrived,
            owner_call_id=number,
            service=effect.service,
            timeout_s=effect.timeout_s,
            priority=effect.priority,
            bulk=effect.bulk,
            route=effect.route,
            reroutable=effect.reroutable,
            idempotent=effect.idempotent,
            objective_s=effect.objective_s,
        )

    def cancel(self, key: tuple[str, int, int]) -> None:
        """Handle the cancellation of a forwarded call."""
        number = self.owner_ids.get(key)
        if number is not None:
            self.feed(events.PeerCallCancelled, owner_call_id=number)

    def _dispatch(self, number: int) -> None:
        request = self.requests[number]
        now_s = self.mesh.now_s
        self.running[number] = now_s
        self.runs += 1
        peer_call = self.peer_calls.get(number)
        if peer_call is not None:
            body_bytes = request.kind.body_bytes
            self.mesh.count_bytes(peer_call[0], self, body_bytes, "")
        if self.mesh.random.random() < self.shed_share:
            self.mesh.call_later(0.001, self._finish, number, "shed")
            return
        kind = request.kind
        work_s = self._draw_service_s(kind)
        inner_count = 0
        if self.mesh.random.random() < kind.inner_share:
            inner_count = kind.inner_count
        part_s = work_s / (inner_count + 1)
        request.busy_s += work_s
        self.mesh.call_later(part_s, self._proceed, number, part_s, inner_count)

    def _proceed(self, number: int, part_s: float, inner_left: int) -> None:
        """Make the next inner call of a running request, or end it."""
        if number not in self.running:
            return
        if not inner_left:
            self._finish(number, "ok")
            return
        kind = self.mesh.kinds[self.requests[number].kind.inner]

        def resume(succeeded: bool) -> None:
            if not succeeded:
                self._finish(number, "failed")
                return
            self.mesh.call_later(
                part_s, self._proceed, number, part_s, inner_left - 1
            )

        inner = Request(
            kind=kind,
            entry=self,
            first_sent_s=self.mesh.now_s,
            on_result=resume,
        )
        self.mesh.counts[kind.name]["all"] += 1
        self.send(inner, kind.deadline_s)

    def _draw_service_s(self, kind: Kind) -> float:
        rng = self.mesh.random
        deployment = self.mesh.deployment
        service_s = kind.work_s * rng.uniform(0.6, 1.4) / self.speed
        interval = int(self.mesh.now_s / deployment.slow_interval_s)
        is_slow = self.slow_by_interval.get(interval)
        if is_slow is None:
            is_slow = rng.random() < deployment.slow_share
            self.slow_by_interval[interval] = is_slow
        if is_slow or self.mesh.now_s < self.slow_until_s:
            service_s *= deployment.slow_factor
        return service_s

    def _finish(self, number: int, result: str) -> None:
        started_s = self.running.pop(number, None)
        if started_s is None:
            return
        duration_s = self.mesh.now_s - started_s
        self.busy_s += duration_s
        failure = _SHED if result == "shed" else None
        request = self.requests.pop(number)
        is_own = number in self.state.calls
        if failure is not None and is_own:
            self.requests[number] = request
        self.feed(
            events.OwnerCallFinished,
            owner_call_id=number,
            service_time_s=duration_s,
            failure=failure,
            shed=result == "shed",
        )
        peer_call = self.peer_calls.pop(number, None)
        if peer_call is not None:
            self._send_result(peer_call, failure, request, result)
        elif is_own and failure is None:
            self.mesh.handle_answer(request, result)

    def _abort(self, number: int) -> None:
        started_s = self.running.pop(number, None)
        if started_s is None:
            return
        self.requests.pop(number, None)
        self.feed(
            events.OwnerCallFinished,
            owner_call_id=number,
            service_time_s=self.mesh.now_s - started_s,
            failure=_CANCELLED,
        )
        peer_call = self.peer_calls.pop(number, None)
        if peer_call is not None:
            self.owner_ids.pop((peer_call[0].name, *peer_call[1:]), None)

    def _send_result(
        self,
        peer_call: tuple["LoadNode", int, int],
        failure: outcome.Failure | None,
        request: Request,
        result: str,
    ) -> None:
        entry, call_id, attempt = peer_call
        self.owner_ids.pop((entry.name, call_id, attempt), None)
        size_bytes = REFUSAL_BYTES
        if failure is None:
            size_bytes = HEAD_BYTES + request.kind.answer_bytes
        self.mesh.count_bytes(self, entry, size_bytes, "")
        load = self.state.admission.load(self.mesh.now_s)
        self.mesh.call_later(
            self.mesh.delay_s(self, entry),
            entry.attempt_ended,
            call_id,
            attempt,
            failure,
            load,
            result,
        )

    def attempt_ended(
        self,
        call_id: int,
        attempt: int,
        failure: outcome.Failure | None,
        load: outcome.Load,
        result: str,
    ) -> None:
        """Handle the end of an attempt at another node."""
        call = self.state.calls.get(call_id)
        is_expected = call is not None and attempt in call.attempts
        self.feed(
            events.AttemptEnded,
            call_id=call_id,
            attempt=attempt,
            failure=failure,
            load=load,
        )
        if failure is None and is_expected:
            request = self.requests.pop(call_id)
            self.mesh.target_of.pop((self.name, call_id), None)
            self.mesh.handle_answer(request, result)

    def _fail_call(self, effect: effects.FailCall) -> None:
        request = self.requests.pop(effect.call_id, None)
        peer_call = self.peer_calls.pop(effect.call_id, None)
        if peer_call is not None:
            self.mesh.refused_hops += 1
            self._send_result(peer_call, effect.failure, request, "refused")
        elif request is not None:
            self.mesh.target_of.pop((self.name, effect.call_id), None)
            self.mesh.handle_failure(request, effect.failure)


class LoadMesh(fake_mesh.FakeMesh):
    """The nodes, callers and counts of a deployment.

    Attributes:
        counts: Requests by kind and result; key "all" counts every request.
        hops: Calls forwarded between nodes.
        refused_hops: Forwarded calls that their owner refused.
        moved: Calls and bytes between data centres and between regions.
    """

    node_class = LoadNode

    def __init__(self, deployment: Deployment, *, seed: int, **settings: Any):
        super().__init__(seed=seed)
        self.now_s = 0.0
        self.deployment = deployment
        self.kinds = {kind.name: kind for kind in deployment.kinds}
        self.table = member_table.MemberTable()
        self.catalog = _make_catalog(deployment)
        self.counts: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )
        self.latencies_s: dict[str, list[float]] = collections.defaultdict(list)
        self.target_of: dict[tuple[str, int], LoadNode] = {}
        self.hops = 0
        self.refused_hops = 0
        self.returned = 0
        self.returned_refused = 0
        self.refused_while_free = 0
        self.refused = 0
        self.moved: collections.Counter[str] = collections.Counter()
        self.samples: list[dict[str, list[float]]] = []
        self._rng = random.Random(seed)
        self._speeds = random.Random(seed + 1)
        for service, count in deployment.upstreams.items():
            for number in range(count):
                self.add_node(service, number, **settings)

    def check_invariants(self, node: fake_mesh.FakeNode) -> None:
        """Check nothing; other tests check the invariants of a node."""

    def add_node(
        self, service: str, number: int, *, cold_s: float = 0.0, **settings: Any
    ) -> LoadNode:
        """Add a node with an upstream that takes calls."""
        name = f"{service}{number}"
        data_centre = DATA_CENTRES[len(self.nodes) % len(DATA_CENTRES)]
        node = LoadNode(
            mesh=self,
            settings=node_lib.Settings(
                address=address_lib.Address(
                    instance=name, host="127.0.0.1", port=1
                ),
                data_centre=data_centre,
                region=REGIONS[data_centre],
                has_disk=False,
                seeds=(),
                bootstrap_voters=(),
                flat=True,
                **settings,
            ),
        )
        node.service = service
        node.speed = self._speeds.uniform(0.5, 1.6)
        self.nodes[name] = node
        node.boot()
        node.announce(cold_s=cold_s)
        return node

    def publish(
        self, node: LoadNode, upstream: member_lib.UpstreamState
    ) -> None:
        """Publish the state of a node's upstream to all nodes."""
        known = self.table.get(node.name)
        self.table.put(
            member_lib.Member(
                address=node.settings.address,
                data_centre=node.settings.data_centre,
                region=node.settings.region,
                incarnation=known.incarnation + 1 if known else 1,
                state=member_lib.MemberState.ALIVE,
                has_disk=False,
                service=node.service,
                slots=self.deployment.slots,
                upstream=upstream,
            ),
            self.now_s,
        )

    def delay_s(self, sender: LoadNode, target: LoadNode) -> float:
        """Return the one-way delay of a message between two nodes."""
        one, other = sender.settings, target.settings
        if one.data_centre == other.data_centre:
            return NODE_DELAY_S
        if one.region == other.region:
            return NODE_DELAY_S + self.deployment.same_region_s
        return NODE_DELAY_S + self.deployment.other_region_s

    def count_bytes(
        self, sender: LoadNode, target: LoadNode, size_bytes: int, calls: str
    ) -> None:
        """Count a message between data centres or regions."""
        one, other = sender.settings, target.settings
        if one.data_centre == other.data_centre:
            return
        border = "regions" if one.region != other.region else "data centres"
        self.moved[f"KB between {border}"] += size_bytes / 1000
        if calls:
            self.moved[f"calls between {border}"] += 1

    def play(self, duration_s: float) -> dict[str, Any]:
        """Run the load for a time and return the results."""
        self.start_load(duration_s)
        self.run(duration_s + 4.0)
        return self.summary()

    def start_load(self, duration_s: float) -> None:
        """Schedule the arrivals and faults of a time that begins now."""
        deployment = self.deployment
        end_s = self.now_s + duration_s
        for shedding in deployment.shedding:
            node = list(self.nodes.values())[shedding.upstream]
            self.call_later(shedding.start_s, self._set_shed, node, shedding)
            self.call_later(shedding.end_s, self._set_shed, node, None)
        for kind in deployment.kinds:
            if kind.rate:
                self.call_later(0.0, self._arrive, kind, end_s)
        self.call_later(SAMPLE_S, self._sample, end_s)

    def _set_shed(self, node: LoadNode, shedding: Shedding | None) -> None:
        node.shed_share = shedding.share if shedding else 0.0

    def _arrive(self, kind: Kind, end_s: float) -> None:
        """Send a request and schedule the next one, by thinning."""
        if self.now_s >= end_s:
            return
        deployment = self.deployment
        peaks = [p for p in deployment.peaks if p.kind == kind.name]
        most = max((p.factor for p in peaks), default=1.0)
        now = max(
            (p.factor for p in peaks if p.start_s <= self.now_s < p.end_s),
            default=1.0,
        )
        rate = kind.rate * deployment.load * most
        if self._rng.random() < now / most:
            entry = self._choose_entry()
            request = Request(kind=kind, entry=entry, first_sent_s=self.now_s)
            self.counts[kind.name]["all"] += 1
            entry.send(request, kind.deadline_s)
        self.call_later(self._rng.expovariate(rate), self._arrive, kind, end_s)

    def _choose_entry(self) -> LoadNode:
        swing = self.deployment.swing
        nodes = [n for n in self.nodes.values() if n.alive]
        if not swing:
            return self._rng.choice(nodes)
        turn = 2 * math.pi * self.now_s / self.deployment.swing_period_s
        weights = [
            1 + swing * math.sin(turn + math.pi / 2 * number)
            for number in range(len(DATA_CENTRES))
        ]
        data_centre = self._rng.choices(DATA_CENTRES, weights)[0]
        return self._rng.choice(
            [n for n in nodes if n.settings.data_centre == data_centre]
        )

    def handle_answer(self, request: Request, result: str) -> None:
        """Count an answer by its response time."""
        kind = request.kind
        took_s = self.now_s - request.first_sent_s
        if request.on_result is not None:
            self.counts[kind.name]["served"] += took_s <= kind.objective_s
            request.on_result(True)
            return
        if result != "ok":
            self.counts[kind.name]["failed"] += 1
            return
        self.latencies_s[kind.name].append(took_s)
        is_in_time = took_s <= kind.objective_s
        self.counts[kind.name]["served" if is_in_time else "late"] += 1

    def handle_failure(
        self, request: Request, failure: outcome.Failure
    ) -> None:
        """Handle a failure; a refused caller returns once if it has time."""
        kind = request.kind
        if failure.outcome is not outcome.Outcome.NOT_RUN:
            self.counts[kind.name]["failed"] += 1
            if request.on_result is not None:
                request.on_result(False)
            return
        self.refused += 1
        self.refused_while_free += self._has_room(kind.service)
        if request.on_result is not None:
            self.counts[kind.name]["refused"] += 1
            request.on_result(False)
            return
        left_s = request.first_sent_s + kind.deadline_s - self.now_s
        wait_s = failure.retry_after_s or 0.0
        if request.attempt > 1 or left_s <= 0.0:
            self.returned_refused += request.attempt > 1
            self.counts[kind.name]["refused"] += 1
            return
        self.returned += 1
        wait_s = min(wait_s, left_s * RETURN_SHARE)
        self.call_later(wait_s, self._return, request)

    def _return(self, request: Request) -> None:
        request.attempt += 1
        request.entry = self._choose_entry()
        left_s = request.first_sent_s + request.kind.deadline_s - self.now_s
        request.entry.send(request, left_s)

    def _has_room(self, service: str) -> bool:
        """Return whether a twentieth of a service's slots is free."""
        nodes = [n for n in self.nodes.values() if n.service == service]
        slots = self.deployment.slots
        free = sum(
            max(slots - len(n.running), 0) for n in nodes if not n.shed_share
        )
        return free >= len(nodes) * slots / 20

    def _sample(self, end_s: float) -> None:
        sample: dict[str, list[float]] = collections.defaultdict(list)
        for node in self.nodes.values():
            pending = len(node.running) + node.state.admission.queued
            sample[node.service].append(pending / self.deployment.slots)
        self.samples.append(sample)
        if self.now_s < end_s:
            self.call_later(SAMPLE_S, self._sample, end_s)

    def spread(self, service: str) -> float:
        """Return the deviation of the load over the upstreams of a service.

        It is the standard deviation over the upstreams of the pending calls
        per slot, averaged over windows of `SPREAD_WINDOW_S`.
        """
        per_window = round(SPREAD_WINDOW_S / SAMPLE_S)
        deviations = []
        for start in range(0, len(self.samples) - per_window + 1, per_window):
            window = self.samples[start : start + per_window]
            loads = [s[service] for s in window]
            size = min(len(load) for load in loads)
            means = [
                statistics.fmean(load[i] for load in loads) for i in range(size)
            ]
            deviations.append(statistics.pstdev(means))
        return statistics.fmean(deviations)

    def summary(self) -> dict[str, Any]:
        """Return the results."""
        result: dict[str, Any] = {}
        earned = owed = 0.0
        for kind in self.deployment.kinds:
            counts = self.counts[kind.name]
            total = max(counts["all"], 1)
            shares = {
                key: round(counts[key] / total, 3)
                for key in ("served", "late", "refused", "failed")
            }
            if kind.rate:
                owed += kind.worth * counts["all"]
                earned += kind.worth * counts["served"]
                latencies_s = sorted(self.latencies_s[kind.name]) or [0.0]
                for name, share in (("p50_ms", 0.5), ("p95_ms", 0.95)):
                    rank = min(
                        int(share * len(latencies_s)), len(latencies_s) - 1
                    )
                    shares[name] = round(latencies_s[rank] * 1000)
            result[kind.name] = shares
        callers = [k.name for k in self.deployment.kinds if k.rate]
        total = sum(self.counts[name]["all"] for name in callers)
        result["served worth"] = round(earned / max(owed, 1.0), 3)
        for key in ("refused", "failed"):
            count = sum(self.counts[name][key] for name in callers)
            result[key] = round(count / max(total, 1), 3)
        result["refused while free"] = round(
            self.refused_while_free / max(self.refused, 1), 3
        )
        result["refusals"] = self.refused
        result["hops refused"] = round(self.refused_hops / max(self.hops, 1), 3)
        result["hops"] = round(self.hops / max(total, 1), 3)
        result["returned refused"] = self.returned_refused
        result["returned"] = self.returned
        result["spread"] = {
            service: round(self.spread(service), 3)
            for service in self.deployment.upstreams
        }
        result["moved"] = {
            key: round(value) for key, value in self.moved.items()
        }
        return result


_SHED = outcome.Failure(
    outcome=outcome.Outcome.NOT_RUN, reason=outcome.Reason.UPSTREAM_SHED
)
_CANCELLED = outcome.Failure(
    outcome=outcome.Outcome.UNKNOWN, reason=outcome.Reason.CANCELLED
)


def _make_catalog(deployment: Deployment) -> catalog_lib.Catalog:
    routes = tuple(
        host_route.HostRoute(
            name=kind.name,
            host="mesh",
            path=f"/{kind.name}",
            kind=kind.route_kind,
            deadline_s=kind.deadline_s,
            objective_s=kind.objective_s,
            priority=kind.priority,
            attempts_max=2,
            service=kind.service,
        )
        for kind in deployment.kinds
    )
    services = {
        name: catalog_lib.Service(name=name, depends_on=(), routes=())
        for name in deployment.upstreams
    }
    return catalog_lib.Catalog(version=1, services=services, routes=routes)


ONCE = host_route.RouteKind.ONCE
UPLOAD = host_route.RouteKind.UPLOAD

DEPLOYMENT_A = Deployment(
    upstreams={"front": 48, "back": 13},
    slots=5,
    same_region_s=0.0005,
    other_region_s=0.008,
    kinds=(
        Kind(
            name="front-read",
            service="front",
            rate=542.0,
            work_s=0.167,
            objective_s=0.6,
            deadline_s=2.4,
            inner="back-inner",
            inner_share=0.7,
            inner_count=2,
        ),
        Kind(
            name="front-write",
            service="front",
            rate=224.0,
            work_s=0.222,
            objective_s=0.8,
            deadline_s=3.0,
            route_kind=ONCE,
            worth=2.0,
        ),
        Kind(
            name="back-upload",
            service="back",
            rate=55.0,
            priority=2,
            work_s=0.2,
            objective_s=0.8,
            deadline_s=3.0,
            route_kind=UPLOAD,
            body_bytes=60_000,
            worth=2.0,
        ),
        Kind(
            name="back-read",
            service="back",
            rate=121.0,
            priority=0,
            work_s=0.068,
            objective_s=0.25,
            deadline_s=1.0,
        ),
        Kind(
            name="back-inner",
            service="back",
            work_s=0.042,
            objective_s=0.16,
            deadline_s=0.6,
        ),
    ),
)

DEPLOYMENT_B = Deployment(
    upstreams={"tiles": 32, "notices": 20, "tides": 29},
    slots=6,
    same_region_s=0.0049,
    other_region_s=0.008,
    slow_share=0.15,
    swing=0.55,
    kinds=(
        Kind(
            name="tile-read",
            service="tiles",
            rate=467.0,
            work_s=0.17,
            objective_s=0.6,
            deadline_s=2.4,
            inner="notice-inner",
            inner_share=0.5,
        ),
        Kind(
            name="notice-issue",
            service="notices",
            rate=156.0,
            work_s=0.22,
            objective_s=0.8,
            deadline_s=3.0,
            route_kind=ONCE,
            inner="tile-inner",
            inner_share=0.5,
            worth=2.0,
        ),
        Kind(
            name="tide-read",
            service="tides",
            rate=192.0,
            priority=2,
            work_s=0.42,
            objective_s=1.5,
            deadline_s=5.0,
        ),
        Kind(
            name="tile-inner",
            service="tiles",
            work_s=0.05,
            objective_s=0.18,
            deadline_s=0.7,
        ),
        Kind(
            name="notice-inner",
            service="notices",
            work_s=0.05,
            objective_s=0.18,
            deadline_s=0.7,
        ),
    ),
)

# Load peaks and a shedding upstream, as in the runs under load.
LOADED_A = dataclasses.replace(
    DEPLOYMENT_A,
    load=1.1,
    peaks=(
        Peak(kind="front-read", start_s=3.0, end_s=8.0, factor=2.2),
        Peak(kind="back-upload", start_s=5.0, end_s=11.0, factor=2.5),
        Peak(kind="front-write", start_s=11.0, end_s=16.0, factor=2.2),
        Peak(kind="front-read", start_s=13.0, end_s=17.0, factor=1.6),
        Peak(kind="back-read", start_s=15.0, end_s=18.0, factor=2.0),
    ),
    shedding=(Shedding(upstream=50, start_s=8.0, end_s=16.5),),
)
LOADED_B = dataclasses.replace(
    DEPLOYMENT_B,
    load=1.1,
    peaks=(
        Peak(kind="tile-read", start_s=3.0, end_s=9.0, factor=2.5),
        Peak(kind="notice-issue", start_s=7.0, end_s=13.0, factor=2.5),
        Peak(kind="tide-read", start_s=13.0, end_s=17.0, factor=1.5),
        Peak(kind="tile-read", start_s=14.0, end_s=18.0, factor=2.0),
    ),
    shedding=(Shedding(upstream=35, start_s=8.0, end_s=16.5),),
)
