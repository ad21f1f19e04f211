"""A fake mesh that carries a load through a rollout, and its oracle.

The oracle counts what each version's upstreams were sent. Upstreams of the
target may be bad in the ways that `Fault` describes.
"""

from collections.abc import Callable
import dataclasses
import functools
import math
from typing import Any

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core.calls import outcome
from monsoonpass.core.rollouts import rollout as rollout_lib
from monsoonpass.core.rollouts import rollout_messages as messages
from tests import fake_calls
from tests import fake_mesh

SERVICE = "shop"
OLD = "1.0"
NEW = "2.0"
VOTERS = ("v0", "v1", "v2")
ROUTES = ("/lots", "/payments")
ROUTE_S = {"/lots": 0.08, "/payments": 0.11}
PAYMENTS_SHARE = 0.3
SOUND_ERRORS = 0.004
BAD_SHARE = 0.5
SLOW_FACTOR = 8.0
DURATION_S = 12.0
Phase = rollout_lib.Phase


@dataclasses.dataclass(kw_only=True)
class Fault:
    """A fault of a bad version, in `BAD_SHARE` of its requests.

    Attributes:
        slow: Whether these are slow; else they fail.
        after_s: Time after the order from which the fault shows.
        route: Route on which it shows; empty for all.
        load_min: Calls in progress at an upstream from which it shows.
    """

    slow: bool = False
    after_s: float = 0.0
    route: str = ""
    load_min: int = 0


class RolloutNode(fake_calls.CallNode):
    """A node whose upstream has a version, a speed and perhaps a fault.

    Attributes:
        version: Version of the upstream; None for a node without one.
        speed: Speed of the upstream, as a multiple of the mean.
        slow_until_s: Until when a disruption slows the upstream down.
        fault: Fault of the upstream, or None.
    """

    def __init__(self, **fields: Any):
        super().__init__(**fields)
        self.version: str | None = None
        self.speed = 1.0
        self.slow_until_s = -math.inf
        self.fault: Fault | None = None
        self.started_s: dict[int, float] = {}
        self.bad_calls: set[int] = set()
        self.service_s = self._service_s

    def announce_version(self, version: str, **fields: Any) -> None:
        """Announce the upstream with its version."""
        self.version = version
        announced = {"service": SERVICE, "slots": 5, "cold": False}
        self.feed(
            events.UpstreamAnnounced,
            **{**announced, "version": version, **fields},
        )

    def _service_s(self, record: fake_calls.CallRecord) -> float:
        rng = self.mesh.random
        time_s = ROUTE_S[record.kind] * rng.lognormvariate(0.0, 0.35)
        time_s /= self.speed
        if self.mesh.now_s < self.slow_until_s:
            time_s *= 6.0
        if self._is_bad_now(record) and self.fault.slow:
            time_s *= SLOW_FACTOR
            self.bad_calls.add(record.number)
        return time_s

    def _is_bad_now(self, record: fake_calls.CallRecord) -> bool:
        fault = self.fault
        return (
            fault is not None
            and self.mesh.now_s >= self.mesh.ordered_s + fault.after_s
            and fault.route in ("", record.kind)
            and len(self.running) >= fault.load_min
            and self.mesh.random.random() < BAD_SHARE
        )

    def _dispatch(self, owner_call_id: int) -> None:
        self.started_s[owner_call_id] = self.mesh.now_s
        self.mesh.note_sent(self, self._record(owner_call_id))
        super()._dispatch(owner_call_id)

    def _perform(self, effect: effects.Effect) -> None:
        if isinstance(effect, effects.Log):
            self.mesh.logs.append((self.mesh.now_s, effect))
        super()._perform(effect)

    def _end_call(
        self,
        owner_call_id: int,
        failure: outcome.Failure | None,
        started_s: float,
    ) -> None:
        """End a call as the runtime does, with the status of its answer."""
        record = self._record(owner_call_id)
        status = 200
        is_failed = self.mesh.random.random() < SOUND_ERRORS
        if self.fault is not None and not self.fault.slow:
            is_failed = is_failed or self._is_bad_now(record)
        if failure is None and is_failed:
            status = 500
            self.bad_calls.add(record.number)
        if failure is None and record.number in self.bad_calls:
            self.mesh.note_bad(self)
        is_expected = owner_call_id in self.state.calls
        self.feed(
            events.OwnerCallFinished,
            owner_call_id=owner_call_id,
            service_time_s=self.mesh.now_s - self.started_s[owner_call_id],
            failure=failure,
            silent=failure is not None,
            status=status if failure is None else 0,
        )
        peer_call = self.peer_calls.pop(owner_call_id, None)
        if peer_call is not None:
            self._send_result(peer_call, failure, record.number)
        elif failure is None and is_expected:
            self._end_with_answer(record, record.number)


class RolloutMesh(fake_calls.CallMesh):
    """The mesh, its load and the oracle.

    Attributes:
        ordered_s: When the rollout was ordered.
        sent: Time, version and node of each call sent to an upstream.
        bad_s: Times of the target's bad answers.
        logs: Log events of all nodes, with their times.
        rate: Calls a second over all entry nodes.
        unaware: Nodes that receive no messages about rollouts.
        drops_announcements: Whether all announcements are lost.
    """

    node_class = RolloutNode

    def __init__(self, *, seed: int):
        super().__init__(seed=seed)
        self.ordered_s = math.inf
        self.sent: list[tuple[float, str, str]] = []
        self.bad_s: list[float] = []
        self.logs: list[tuple[float, effects.Log]] = []
        self.rate = 0.0
        self.entries: list[str] = []
        self.seeds: tuple[Any, ...] = ()
        self.unaware: set[str] = set()
        self.drops_announcements = False

    def transmit(self, sender: fake_mesh.FakeNode, effect: Any) -> None:
        """Deliver a message, unless the receiver is to remain unaware."""
        is_about = isinstance(
            effect.message, messages.Announcement | messages.RolloutReadReply
        )
        if is_about and effect.to.instance in self.unaware:
            return
        is_announcement = isinstance(effect.message, messages.Announcement)
        if is_announcement and self.drops_announcements:
            return
        super().transmit(sender, effect)

    def note_sent(
        self, node: RolloutNode, record: fake_calls.CallRecord
    ) -> None:
        """Note a call that an upstream was sent."""
        self.sent.append((self.now_s, node.version, node.name))

    def note_bad(self, node: RolloutNode) -> None:
        """Note a bad answer."""
        if node.version == NEW:
            self.bad_s.append(self.now_s)

    def add_diskless(self, name: str, **limits: Any) -> RolloutNode:
        """Add and start a node without a disk."""
        node = self.add(
            name, disk=False, seeds=self.seeds, voters=VOTERS, **limits
        )
        node.start()
        return node

    def add_target(
        self,
        count: int,
        *,
        fault: Fault | None = None,
        speeds: Callable[[int], float] = lambda _: 1.0,
        cold_s: float = 1.5,
        version: str = NEW,
        prefix: str = "p",
    ) -> list[RolloutNode]:
        """Start upstreams of the target, each with its own node."""
        nodes = []
        for number in range(count):
            node = self.add_diskless(f"{prefix}{number}")
            node.fault = fault
            node.speed = speeds(number)
            nodes.append(node)
            announce = functools.partial(
                node.announce_version,
                version,
                cold=cold_s > 0,
                cold_s=cold_s,
            )
            self.call_later(0.5 + self.random.uniform(0, 0.5), announce)
        return nodes

    def start_load(self, rate: float) -> None:
        """Send calls from random entry nodes, at random intervals."""
        is_idle = not self.rate
        self.rate = rate
        if is_idle:
            self._send_next()

    def _send_next(self) -> None:
        if not self.rate:
            return
        alive = [
            name
            for name in self.entries
            if self.nodes[name].alive
            and not self.nodes[name].suspended
            and self.nodes[name].state.config.can_route
        ]
        if alive:
            path = ROUTES[self.random.random() < PAYMENTS_SHARE]
            self.call(self.random.choice(alive), path=path)
        self.call_later(self.random.expovariate(self.rate), self._send_next)

    def order(
        self,
        name: str = "e0",
        *,
        target: str = NEW,
        duration_s: float = DURATION_S,
        service: str = SERVICE,
    ) -> int:
        """Order a rollout at a node and return the request id."""
        request_id = next(self._requests)
        self.ordered_s = min(self.ordered_s, self.now_s)
        self.nodes[name].feed(
            events.RolloutRequested,
            request_id=request_id,
            service=service,
            target_version=target,
            duration_s=duration_s,
        )
        return request_id

    def order_and_wait(self, name: str = "e0", **fields: Any) -> Any:
        """Order a rollout and return the reply."""
        request_id = self.order(name, **fields)
        self.run_until(lambda: self.result(name, request_id) is not None, 4)
        return self.result(name, request_id)

    def read(self, name: str, service: str = SERVICE) -> Any:
        """Read the newest rollout at a node and return the result."""
        request_id = next(self._requests)
        self.nodes[name].feed(
            events.RolloutReadRequested, request_id=request_id, service=service
        )
        self.run_until(lambda: self.result(name, request_id) is not None, 3)
        return self.result(name, request_id)

    def stored(self) -> rollout_lib.Rollout | None:
        """Return the rollout with the newest record on any live voter."""
        found = [
            self.nodes[name].state.control.state_machine.rollouts.find(SERVICE)
            for name in VOTERS
            if self.nodes[name].alive
        ]
        return max(
            (item for item in found if item is not None),
            key=lambda item: (item.number, item.step),
            default=None,
        )

    def phase(self) -> Phase | None:
        """Return the recorded phase."""
        stored = self.stored()
        return stored.phase if stored is not None else None

    def run_until_ended(self, limit_s: float = 2 * DURATION_S) -> bool:
        """Run until the rollout has ended; return whether it has."""

        def is_ended() -> bool:
            phase = self.phase()
            return phase is not None and phase.is_ended

        return self.run_until(is_ended, limit_s)

    def logged_s(self, name: str) -> float:
        """Return when an event was first logged; infinite if never."""
        return min(
            (at_s for at_s, log in self.logs if log.code.name == name),
            default=math.inf,
        )

    def sent_to(self, version: str, since_s: float = -math.inf) -> int:
        """Return the number of calls sent to a version since a time."""
        return sum(
            item[1] == version and item[0] >= since_s for item in self.sent
        )

    def check_exposure(self) -> None:
        """Check the bound on the target's calls until the verdict.

        All calls between the order and the deadline count, or those until now
        if the deadline has not passed.
        """
        deadline_s = self.ordered_s + DURATION_S
        until_s = min(self.logged_s("ROLLOUT_PROMOTED"), self.now_s)
        total = sum(
            self.ordered_s <= at_s <= deadline_s for at_s, _, _ in self.sent
        )
        exposed = sum(
            version == NEW and at_s <= until_s for at_s, version, _ in self.sent
        )
        assert exposed <= 0.1 * total + 50, (exposed, total)

    def running_at(self, version: str) -> int:
        """Return the calls in progress at the upstreams of a version."""
        return sum(
            len(node.running)
            for node in self.nodes.values()
            if node.version == version and node.alive
        )

    def check_rolled_back(self) -> None:
        """Check that a bad version is no longer sent calls in time."""
        assert self.phase() is Phase.ROLLED_BACK
        self.check_exposure()
        if len(self.bad_s) >= 50:
            last_s = max(at_s for at_s, v, _ in self.sent if v == NEW)
            assert last_s <= self.bad_s[49] + 5.0


def make_rollout_mesh(
    *,
    seed: int = 1,
    old: int = 12,
    entries: int = 4,
    rate: float = 220.0,
    speeds: Callable[[int], float] = lambda _: 1.0,
    **limits: Any,
) -> RolloutMesh:
    """Return a running mesh whose old upstreams carry a load."""
    mesh = RolloutMesh(seed=seed)
    mesh.entries = [f"e{number}" for number in range(entries)]
    mesh.seeds = tuple(fake_mesh.make_seed(name) for name in VOTERS)
    for name in VOTERS:
        mesh.add(name, disk=True, seeds=mesh.seeds, voters=VOTERS, **limits)
        mesh.nodes[name].start()
    for name in mesh.entries:
        mesh.add_diskless(name, **limits)
    owners = [
        mesh.add_diskless(f"o{number}", **limits) for number in range(old)
    ]
    mesh.run(3)
    mesh.submit("v0", fake_mesh.make_shop_catalog(3.0))
    for number, node in enumerate(owners):
        node.speed = speeds(number)
        node.announce_version(OLD)
    mesh.run(3)
    mesh.start_load(rate)
    mesh.run(2)
    return mesh
