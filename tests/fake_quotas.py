"""Simulation of allocators and entry nodes with faults, in virtual time.

It runs `allocator.Allocator` and `token_holder.TokenHolder`, not the reducer,
so that 61 nodes with 72 workspaces fit into a test. Elections are modelled: a
new leader is elected 0.75 to 1.6 s after the last contact of its predecessor
with a quorum, and the predecessor allocates until its lease has ended. The
oracle is the time of each admission.
"""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random
from typing import Any

from monsoonpass.core.quotas import allocator as allocator_lib
from monsoonpass.core.quotas import limits as limits_lib
from monsoonpass.core.quotas import quota_messages as messages
from monsoonpass.core.quotas import token_holder

SLACK = limits_lib.Slack()
WAIT_S = 2.0
REGION_DELAY_S = 0.008  # One way between regions.
DELAY_S = (0.0005, 0.003)  # One way within a region, with processing.
HEARTBEAT_S = 0.15
Decision = token_holder.Decision


@dataclasses.dataclass(kw_only=True)
class Workspace:
    """A workspace and its demand.

    Attributes:
        name: Name.
        rate_per_s: Limit.
        burst: Burst of the limit.
        demand_per_s: Arrivals per second over all nodes.
    """

    name: str
    rate_per_s: float
    burst: float
    demand_per_s: float


@dataclasses.dataclass(kw_only=True)
class Leader:
    """A control node in one term as the leader.

    Attributes:
        number: Number of the control node.
        term: The term.
        start_s: Time from which it may allocate.
        lease_end_s: Time at which its authority ends; infinite if not known.
        allocator: Its allocator.
    """

    number: int
    term: int
    start_s: float
    allocator: allocator_lib.Allocator
    lease_end_s: float = float("inf")


class EntryNode:
    """An entry node, whose process can stop, freeze and lose contact."""

    def __init__(self, sim: "QuotaSim", number: int):
        self.sim = sim
        self.number = number
        self.region = number % 2
        self.alive = True
        self.frozen = False
        self.is_cut = False
        self.held_events: list[tuple[Callable[..., None], Any]] = []
        self.timer_due_s = float("inf")
        self.timer_number = 0
        self.known_leader: Leader | None = None
        self.start()

    def start(self) -> None:
        """Start a new process."""
        self.alive = True
        self.frozen = False
        self.held_events = []
        self.timer_due_s = float("inf")
        self.holder = token_holder.TokenHolder(
            incarnation=int(self.sim.now_s * 1000) + 1
        )

    def handle(self, function: Callable[..., None], *args: Any) -> None:
        """Run an event handler now, or when the process wakes up."""
        if not self.alive:
            return
        if self.frozen:
            self.held_events.append((function, args))
            return
        function(*args)

    def wake(self) -> None:
        """Wake up and handle the events in the order of their arrival."""
        self.frozen = False
        events, self.held_events = self.held_events, []
        for function, args in events:
            self.handle(function, *args)

    def call(self, workspace: str, call: "Call") -> None:
        """Handle the arrival of a call."""
        now_s = self.sim.now_s
        limit = self.sim.limits[workspace]
        waiter = token_holder.Waiter(
            call_id=call.number, until_s=now_s + WAIT_S, context=call
        )
        decision = self.holder.acquire(workspace, limit, waiter, now_s)
        if decision is Decision.ADMITTED:
            self.sim.admit(call)
        elif decision is Decision.REFUSED:
            call.retry_after_s = self.holder.retry_after_s(workspace, now_s)
            self.sim.refuse(call)
        else:
            self.pump()

    def reply(self, reply: messages.TokenReply, leader: Leader | None) -> None:
        """Handle a reply."""
        self.holder.handle_reply(reply, self.sim.now_s)
        if not reply.session:
            self.known_leader = leader
        self.serve_and_pump()

    def serve_and_pump(self) -> None:
        """Decide on the calls that wait, and ask for more tokens."""
        now_s = self.sim.now_s
        for item in self.holder.serve_waiting(self.sim.limits, now_s):
            if item.admitted:
                self.sim.admit(item.waiter.context)
            else:
                item.waiter.context.retry_after_s = item.retry_after_s
                self.sim.refuse(item.waiter.context)
        self.pump()

    def pump(self) -> None:
        """Send a request if one is due, and set the timer."""
        now_s = self.sim.now_s
        holder = self.holder
        if holder.next_request_s(now_s) <= now_s:
            request = holder.make_request(self.sim.limits, now_s)
            target = self.known_leader
            if target is None or holder.unanswered > 1:
                target = self.sim.random.choice(self.sim.leaders)
            self.sim.send_request(self, request, target)
        due_s = min(
            holder.next_request_s(now_s),
            holder.next_expiry_s(),
            holder.next_own_token_s(self.sim.limits, now_s),
        )
        if due_s < self.timer_due_s:
            self.timer_due_s = due_s
            self.timer_number += 1
            delay_s = max(due_s - now_s, 0.002)
            self.sim.call_later(
                delay_s, self.handle, self._fire, self.holder, self.timer_number
            )

    def _fire(self, holder: token_holder.TokenHolder, number: int) -> None:
        if holder is self.holder and number == self.timer_number:
            self.timer_due_s = float("inf")
            self.serve_and_pump()


@dataclasses.dataclass(kw_only=True)
class Call:
    """A call, with its result.

    Attributes:
        number: Number of the call.
        workspace: Its workspace.
        arrived_s: When it arrived.
        ended_s: When it was admitted or refused; None before.
        admitted: Whether it was admitted.
        retry_after_s: Time to come back, if it was refused.
    """

    number: int
    workspace: str
    arrived_s: float
    ended_s: float | None = None
    admitted: bool = False
    retry_after_s: float = 0.0


class QuotaSim:
    """The nodes, the leaders, the network and the oracle."""

    def __init__(
        self,
        *,
        seed: int,
        nodes: int,
        workspaces: list[Workspace],
        is_first_start: bool = True,
    ):
        self.random = random.Random(seed)
        self.now_s = 100.0
        self.workspaces = {item.name: item for item in workspaces}
        self.limits: dict[str, limits_lib.Limit] = {}
        self.set_limits()
        self._numbers = itertools.count(1)
        self._queue: list[tuple[float, int, Callable[..., None], Any]] = []
        self._stream_free_s: dict[Any, float] = {}
        self.calls: list[Call] = []
        self.admissions: dict[str, list[float]] = collections.defaultdict(list)
        self.messages = 0
        self.message_bytes = 0
        self.demand_factors: dict[str, float] = {}
        self.last_contact_s = self.now_s
        self.leaders: list[Leader] = []
        self.control_down: set[int] = set()
        self._elect(has_predecessor=not is_first_start)
        self.nodes = [EntryNode(self, number) for number in range(nodes)]
        for workspace in workspaces:
            self._schedule_call(workspace.name)

    def set_limits(self) -> None:
        """Put the limits of the workspaces in force at all nodes."""
        self.limits = {
            item.name: limits_lib.make_limit(item.rate_per_s, item.burst, SLACK)
            for item in self.workspaces.values()
        }

    @property
    def leader(self) -> Leader:
        """The leader elected last."""
        return self.leaders[-1]

    # Time.

    def call_later(
        self, delay_s: float, function: Callable[..., None], *args: Any
    ) -> None:
        """Schedule a call of a function."""
        item = (self.now_s + delay_s, next(self._numbers), function, args)
        heapq.heappush(self._queue, item)

    def run(self, duration_s: float) -> None:
        """Advance the time."""
        end_s = self.now_s + duration_s
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, function, args = heapq.heappop(self._queue)
            function(*args)
        self.now_s = end_s

    # Demand.

    def _schedule_call(self, name: str) -> None:
        rate_per_s = self.workspaces[name].demand_per_s
        rate_per_s *= self.demand_factors.get(name, 1.0)
        if rate_per_s:
            delay_s = self.random.expovariate(rate_per_s)
            if delay_s < 0.5:
                self.call_later(delay_s, self._arrive, name)
                return
        # The process has no memory, so the demand may change in between.
        self.call_later(0.5, self._schedule_call, name)

    def _arrive(self, name: str) -> None:
        self._schedule_call(name)
        alive = [node for node in self.nodes if node.alive]
        if alive:
            self.call(self.random.choice(alive), name)

    def call(self, node: EntryNode, name: str) -> Call:
        """Make a call at a node."""
        call = Call(
            number=next(self._numbers), workspace=name, arrived_s=self.now_s
        )
        self.calls.append(call)
        node.handle(node.call, name, call)
        return call

    def admit(self, call: Call) -> None:
        """Record that a call was admitted."""
        assert call.ended_s is None
        call.ended_s = self.now_s
        call.admitted = True
        self.admissions[call.workspace].append(self.now_s)

    def refuse(self, call: Call) -> None:
        """Record that a call was refused."""
        assert call.ended_s is None
        call.ended_s = self.now_s

    # Leaders.

    def _elect(self, *, has_predecessor: bool = True) -> None:
        previous = self.leaders[-1] if self.leaders else None
        numbers = [n for n in range(4) if n not in self.control_down]
        if previous is not None and len(numbers) > 1:
            numbers = [n for n in numbers if n != previous.number]
        margin_s = limits_lib.CLOCK_MARGIN_S
        start_s = self.now_s
        end_s = None
        if previous is not None:
            end_s = previous.lease_end_s + margin_s
        elif has_predecessor:
            end_s = start_s + limits_lib.ALLOCATOR_LEASE_S + margin_s
        if end_s is not None:
            start_s = max(start_s, end_s)
        self.leaders.append(
            Leader(
                number=self.random.choice(numbers),
                term=len(self.leaders) + 1,
                start_s=start_s,
                allocator=allocator_lib.Allocator(
                    session=len(self.leaders) + 1,
                    start_s=start_s,
                    predecessor_end_s=end_s,
                ),
            )
        )

    def lose_leader(self, *, crashed: bool) -> None:
        """End the leadership; a new leader is elected 0.75 to 1.6 s later.

        A leader that has not crashed, but has lost its quorum, goes on until
        its lease ends, and entry nodes still reach it.
        """
        leader = self.leader
        if leader.lease_end_s != float("inf"):
            return
        contact_s = self.now_s - self.random.uniform(0.0, HEARTBEAT_S)
        leader.lease_end_s = (
            self.now_s if crashed else contact_s + limits_lib.ALLOCATOR_LEASE_S
        )
        delay_s = self.random.uniform(0.75, 1.6)
        self.call_later(delay_s, self._elect)

    # Network.

    def send_request(
        self,
        node: EntryNode,
        request: messages.TokenRequest,
        target: Leader,
    ) -> None:
        """Send a request to the control node that led a term."""
        self.messages += 1
        self._transmit(node, True, self._receive_request, node, request, target)

    def _transmit(
        self,
        node: EntryNode,
        is_request: bool,
        function: Callable[..., None],
        *args: Any,
    ) -> None:
        delay_s = self.random.uniform(*DELAY_S)
        delay_s += REGION_DELAY_S * (node.region == 0)
        key = (node.number, is_request)
        due_s = max(
            self.now_s + delay_s, self._stream_free_s.get(key, 0.0) + 1e-9
        )
        self._stream_free_s[key] = due_s
        self.call_later(due_s - self.now_s, self._pass, node, function, *args)

    def _pass(
        self, node: EntryNode, function: Callable[..., None], *args: Any
    ) -> None:
        if not node.is_cut:
            function(*args)

    def _receive_request(
        self, node: EntryNode, request: messages.TokenRequest, target: Leader
    ) -> None:
        current = self.leader
        is_leader = target.start_s <= self.now_s < target.lease_end_s
        if not is_leader:
            if target.lease_end_s <= self.now_s and target is current:
                return  # The crashed leader is not replaced yet.
            self.messages += 1
            reply = messages.TokenReply(
                number=request.number,
                session=0,
                sent_s=self.now_s,
                share=0.0,
                retry_s=0.03 if target is not current else 0.15,
                leader=None,
            )
            self._transmit(node, False, node.handle, node.reply, reply, current)
            return
        reply = target.allocator.handle(
            request,
            instance=f"n{node.number}",
            now_s=self.now_s,
            limits=self.limits,
        )
        if reply is not None:
            self.messages += 1
            self._transmit(node, False, node.handle, node.reply, reply, None)

    # Checks.

    def held(self, name: str) -> float:
        """Return the tokens of a workspace at all nodes that are still valid.

        Frozen nodes count: they may wake up at any time.
        """
        total = 0.0
        for node in self.nodes:
            tokens = node.holder.tokens.get(name)
            if tokens is None or not node.alive:
                continue
            if self.now_s < node.holder.valid_until_s:
                total += tokens.held
        return total

    def check_capacity(self) -> None:
        """Check that no more tokens exist than the capacity allows."""
        for name, limit in self.limits.items():
            held = self.held(name)
            assert held <= limit.held_max + 1e-6, (
                f"{name}: {held} tokens exist, {limit.held_max} may"
            )

    def check_bound(self, names: list[str] | None = None) -> None:
        """Check the promise for each workspace and each window."""
        for name, times in self.admissions.items():
            if names is not None and name not in names:
                continue
            item = self.workspaces[name]
            allowed = limits_lib.admitted_max(
                item.rate_per_s, item.burst, SLACK
            )
            worst = max_in_window(times, limits_lib.WINDOW_S)
            assert worst <= allowed, f"{name}: {worst} admitted, {allowed} may"

    def passed_share(self, begin_s: float, end_s: float) -> float:
        """Return the share of the calls of an interval that were admitted."""
        calls = [c for c in self.calls if begin_s <= c.arrived_s < end_s]
        return sum(c.admitted for c in calls) / max(len(calls), 1)


def max_in_window(times: list[float], window_s: float) -> int:
    """Return the largest number of times within a window."""
    worst = 0
    first = 0
    for position, time_s in enumerate(times):
        while times[first] < time_s - window_s:
            first += 1
        worst = max(worst, position - first + 1)
    return worst


def make_workspaces(
    *, count: int = 72, rate_max: float = 280.0, burst_s: float = 0.0
) -> list[Workspace]:
    """Return workspaces with Zipf-distributed limits and 0.6 of them as demand.

    Args:
        count: Number of workspaces.
        rate_max: Limit of the largest.
        burst_s: Burst, as seconds of the limit.
    """
    result = []
    for rank in range(1, count + 1):
        rate_per_s = max(rate_max * rank**-1.2, 2.0)
        result.append(
            Workspace(
                name=f"w{rank}",
                rate_per_s=rate_per_s,
                burst=burst_s * rate_per_s,
                demand_per_s=0.6 * rate_per_s,
            )
        )
    return result
