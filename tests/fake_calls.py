"""Calls over fake nodes with fake upstreams in virtual time, and an oracle.

The oracle counts the dispatches of each call and key and records every final
answer. `check_finals` compares the two.
"""

import collections
from collections.abc import Callable
import dataclasses
from typing import Any

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core.calls import outcome
from monsoonpass.core.keys import ledger
from tests import fake_mesh

NOT_RUN = outcome.Outcome.NOT_RUN
UNKNOWN = outcome.Outcome.UNKNOWN


@dataclasses.dataclass(kw_only=True)
class CallRecord:
    """The oracle's record of a call.

    Attributes:
        number: Number of the call at its entry node.
        entry: Name of the entry node.
        kind: Kind of the request, such as its path.
        idempotent: Whether the call may run more than once.
        key: Idempotency key, or empty.
        arrived_s: When the call arrived.
        ended_s: When the call got its final answer or failure, or None.
        answer: Number of the call whose answer it got, or None.
        failure: Final failure, or None.
        runs: How often the call was dispatched to an upstream.
    """

    number: int
    entry: str
    kind: str
    idempotent: bool
    key: str
    arrived_s: float
    ended_s: float | None = None
    answer: int | None = None
    failure: outcome.Failure | None = None
    runs: int = 0


@dataclasses.dataclass(kw_only=True)
class PeerCall:
    """A forwarded call at its owner node."""

    entry: "CallNode"
    start_count: int
    call_id: int
    attempt: int
    cancelled: bool = False


class CallNode(fake_mesh.FakeNode):
    """A fake node with a fake upstream."""

    def __init__(self, **fields: Any):
        super().__init__(**fields)
        self.service_s: Callable[[CallRecord], float] = lambda _: 0.01
        self.should_fail: Callable[[CallRecord], bool] = lambda _: False
        self.peer_calls: dict[int, PeerCall] = {}
        self.running: set[int] = set()
        self.draining = False
        self.dispatched_after_drain = 0
        self.max_running = 0

    def start(self) -> None:
        """Start a new process, whose upstream runs no calls."""
        self.peer_calls = {}
        self.running = set()
        self.draining = False
        super().start()

    def announce(self, slots: int, service: str = "shop") -> None:
        """Announce the upstream."""
        self.draining = False
        self.feed(
            events.UpstreamAnnounced, service=service, slots=slots, cold=False
        )

    def drain(self) -> None:
        """Announce that the upstream is draining."""
        self.feed(events.UpstreamDraining)
        self.draining = True

    def _perform(self, effect: effects.Effect) -> None:
        if isinstance(effect, effects.Forward):
            self._forward(effect)
        elif isinstance(effect, effects.Dispatch):
            self._dispatch(effect.owner_call_id)
        elif isinstance(effect, effects.FailCall):
            self._fail_call(effect)
        elif isinstance(effect, effects.CancelForward):
            self._cancel_forward(effect)
        elif isinstance(effect, effects.AbortDispatch):
            self.mesh.call_later(
                0.0, self._abort, self.start_count, effect.owner_call_id
            )
        elif isinstance(effect, effects.ReplayAnswer):
            record = self.mesh.calls[effect.call_id]
            self.mesh.end(record, answer=int(effect.body))
        else:
            super()._perform(effect)

    def _forward(self, effect: effects.Forward) -> None:
        target = self.mesh.nodes[effect.to.instance]
        self.mesh.deliver(self, target, self._deliver_to, target, effect)

    def _deliver_to(self, target: "CallNode", effect: effects.Forward) -> None:
        if not target.alive or target.suspended:
            self._link_lost(target, effect)
            return
        number = self.mesh.next_number()
        target.peer_calls[number] = PeerCall(
            entry=self,
            start_count=self.start_count,
            call_id=effect.call_id,
            attempt=effect.attempt,
        )
        target.feed(
            events.PeerCallArrived,
            owner_call_id=number,
            service="shop",
            timeout_s=effect.timeout_s,
            priority=effect.priority,
            bulk=effect.bulk,
            route=effect.route,
            reroutable=effect.reroutable,
            objective_s=effect.objective_s,
            route_priority=effect.route_priority,
        )

    def _link_lost(self, target: "CallNode", effect: effects.Forward) -> None:
        self.feed(events.LinkLost, instance=target.name)
        self._attempt_ended(
            self.start_count,
            effect.call_id,
            effect.attempt,
            _LINK_LOST,
            None,
            0,
        )

    def _cancel_forward(self, effect: effects.CancelForward) -> None:
        for node in self.mesh.nodes.values():
            for number, peer_call in node.peer_calls.items():
                matches = (
                    peer_call.entry,
                    peer_call.call_id,
                    peer_call.attempt,
                ) == (
                    self,
                    effect.call_id,
                    effect.attempt,
                )
                if matches:
                    peer_call.cancelled = True
                    self.mesh.deliver(self, node, node.cancel, number)

    def cancel(self, number: int) -> None:
        """Handle the cancellation of a forwarded call."""
        self.feed(events.PeerCallCancelled, owner_call_id=number)

    def _record(self, owner_call_id: int) -> CallRecord:
        peer_call = self.peer_calls.get(owner_call_id)
        return self.mesh.calls[
            peer_call.call_id if peer_call else owner_call_id
        ]

    def _dispatch(self, owner_call_id: int) -> None:
        record = self._record(owner_call_id)
        record.runs += 1
        if record.key:
            self.mesh.runs_by_key[record.key] += 1
        self.dispatched_after_drain += self.draining
        self.running.add(owner_call_id)
        self.max_running = max(self.max_running, len(self.running))
        service_s = self.service_s(record)
        self.mesh.call_later(
            service_s,
            self._finish,
            self.start_count,
            owner_call_id,
            self.mesh.now_s,
        )

    def _finish(
        self, start_count: int, owner_call_id: int, started_s: float
    ) -> None:
        if start_count != self.start_count or not self.alive:
            return
        if owner_call_id not in self.running:
            return
        self.running.discard(owner_call_id)
        record = self._record(owner_call_id)
        failure = _BROKEN if self.should_fail(record) else None
        self._end_call(owner_call_id, failure, started_s)

    def _abort(self, start_count: int, owner_call_id: int) -> None:
        if start_count != self.start_count or owner_call_id not in self.running:
            return
        self.running.discard(owner_call_id)
        self._end_call(owner_call_id, _CANCELLED, self.mesh.now_s)

    def _end_call(
        self,
        owner_call_id: int,
        failure: outcome.Failure | None,
        started_s: float,
    ) -> None:
        record = self._record(owner_call_id)
        # Like the runtime, drop every answer after the first one.
        is_expected = owner_call_id in self.state.calls
        self.feed(
            events.OwnerCallFinished,
            owner_call_id=owner_call_id,
            service_time_s=self.mesh.now_s - started_s,
            failure=failure,
        )
        peer_call = self.peer_calls.pop(owner_call_id, None)
        if peer_call is not None:
            self._send_result(peer_call, failure, record.number)
        elif failure is None and is_expected:
            self._end_with_answer(record, record.number)

    def _send_result(
        self, peer_call: PeerCall, failure: outcome.Failure | None, answer: int
    ) -> None:
        if peer_call.cancelled:
            return
        load = self.state.admission.load(self.mesh.now_s)
        self.mesh.deliver(
            self,
            peer_call.entry,
            peer_call.entry._attempt_ended,
            peer_call.start_count,
            peer_call.call_id,
            peer_call.attempt,
            failure,
            load,
            answer,
        )

    def _attempt_ended(
        self,
        start_count: int,
        call_id: int,
        attempt: int,
        failure: outcome.Failure | None,
        load: outcome.Load | None,
        answer: int,
    ) -> None:
        if start_count != self.start_count or not self.alive:
            return
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
            self._end_with_answer(self.mesh.calls[call_id], answer)

    def _end_with_answer(self, record: CallRecord, answer: int) -> None:
        self.mesh.end(record, answer=answer)
        if record.key:
            self.feed(
                events.KeyedCallAnswered,
                call_id=record.number,
                status=200,
                headers=(),
                body=str(answer).encode(),
            )

    def _fail_call(self, effect: effects.FailCall) -> None:
        peer_call = self.peer_calls.pop(effect.call_id, None)
        if peer_call is not None:
            self._send_result(peer_call, effect.failure, 0)
            return
        record = self.mesh.calls.get(effect.call_id)
        if record is not None:
            self.mesh.end(record, failure=effect.failure)


class CallMesh(fake_mesh.FakeMesh):
    """A fake mesh that carries calls."""

    node_class = CallNode

    def __init__(self, *, seed: int, faults: Any = None):
        super().__init__(seed=seed, faults=faults)
        self.calls: dict[int, CallRecord] = {}
        self.runs_by_key: collections.Counter[str] = collections.Counter()
        self.last_call_number = 0

    def next_number(self) -> int:
        """Return an unused call number."""
        self.last_call_number += 1
        return self.last_call_number

    def call(
        self,
        name: str,
        *,
        path: str = "/lots",
        key: str = "",
        timeout_s: float | None = None,
        host: str = "shop",
        workspace_key: bytes | None = None,
    ) -> CallRecord:
        """Send a call to a node and return its record."""
        node = self.nodes[name]
        catalog = node.state.config.catalog
        workspace = None
        if catalog.workspaces and workspace_key is not None:
            workspace = catalog.find_workspace(workspace_key)
        record = CallRecord(
            number=self.next_number(),
            entry=name,
            kind=path,
            idempotent=path.startswith("/lots"),
            key=key,
            arrived_s=self.now_s,
        )
        self.calls[record.number] = record
        node.feed(
            events.CallArrived,
            call_id=record.number,
            host=host,
            method="GET" if record.idempotent else "POST",
            path=path,
            timeout_s=timeout_s,
            key=key or None,
            fingerprint=b"f",
            workspace=workspace,
            has_unknown_key=bool(catalog.workspaces)
            and workspace_key is not None
            and workspace is None,
        )
        return record

    def deliver(
        self,
        sender: CallNode,
        target: CallNode,
        handler: Callable[..., None],
        *args: Any,
    ) -> None:
        """Deliver a message of a call; a lost message breaks the link."""
        delay_s = self.random.uniform(*fake_mesh.DELAY_S)
        if sender.settings.data_centre != target.settings.data_centre:
            delay_s += 0.008
        lost = self.random.random() < self.faults.drop_probability
        if lost or self.is_cut(sender.name, target.name):
            self.call_later(delay_s, self._break_link, sender, target)
            self.call_later(delay_s, self._break_link, target, sender)
            return
        self.call_later(delay_s, handler, *args)

    def _break_link(self, node: CallNode, other: CallNode) -> None:
        """Report a broken link to a node and end the attempts on the link."""
        if not node.alive:
            return
        node.feed(events.LinkLost, instance=other.name)
        for call_id, call in list(node.state.calls.items()):
            for attempt_number, attempt in list(call.attempts.items()):
                if attempt.instance == other.name:
                    node._attempt_ended(
                        node.start_count,
                        call_id,
                        attempt_number,
                        _LINK_LOST,
                        None,
                        0,
                    )

    def end(
        self,
        record: CallRecord,
        *,
        answer: int | None = None,
        failure: outcome.Failure | None = None,
    ) -> None:
        """Record the final answer or failure of a call; there is only one."""
        assert record.ended_s is None, "a call got two final answers"
        record.ended_s = self.now_s
        record.answer = answer
        record.failure = failure

    def check_invariants(self, node: fake_mesh.FakeNode) -> None:
        """Check the invariants of a node after each of its events."""
        super().check_invariants(node)
        admission = node.state.admission
        assert len(admission.in_progress) <= max(admission.slots, 0), (
            "too many calls in progress"
        )
        assert admission.queued <= admission.queue_limit, (
            "the queue exceeds its bound"
        )

    def check_finals(self) -> None:
        """Compare all final answers with the calls that upstreams ran."""
        for record in self.calls.values():
            entry = self.nodes[record.entry]
            if record.failure is not None:
                if record.failure.outcome is NOT_RUN:
                    assert record.runs == 0, "reported as not run, but ran"
            elif record.answer is not None and not record.key:
                assert record.answer == record.number, (
                    "the caller got the answer to another call"
                )
            if not record.idempotent:
                assert record.runs <= 1, "a non-idempotent call ran twice"
            assert record.ended_s is not None or entry.start_count > 1, (
                "no final answer"
            )
        for key, runs in self.runs_by_key.items():
            assert runs <= 1, f"a call with key {key} ran {runs} times"
        for node in self.nodes.values():
            assert node.dispatched_after_drain == 0, (
                "dispatched after the upstream announced that it leaves"
            )


_LINK_LOST = outcome.Failure(outcome=UNKNOWN, reason=outcome.Reason.LINK_LOST)
_BROKEN = outcome.Failure(
    outcome=UNKNOWN, reason=outcome.Reason.UPSTREAM_BROKE_OFF
)
_CANCELLED = outcome.Failure(outcome=UNKNOWN, reason=outcome.Reason.CANCELLED)


def make_call_mesh(
    *,
    seed_number: int,
    nodes: int = 4,
    slots: int = 3,
    entries: int = 1,
    deadline_s: float = 2.0,
    queue_limit: int = 256,
    extra_routes: tuple[Any, ...] = (),
) -> CallMesh:
    """Return a mesh of a voter, owners of service "shop" and entry nodes."""
    mesh = CallMesh(seed=seed_number)
    names = [f"o{number}" for number in range(nodes)]
    entry_names = [f"e{number}" for number in range(entries)]
    seeds = tuple(
        fake_mesh.make_seed(name) for name in ("v0", *names, *entry_names)
    )
    mesh.add("v0", disk=True, seeds=seeds, voters=("v0",))
    for name in (*names, *entry_names):
        mesh.add(
            name,
            disk=False,
            seeds=seeds,
            voters=("v0",),
            queue_limit=queue_limit,
        )
    for node in mesh.nodes.values():
        node.start()
    mesh.run(4)
    catalog = fake_mesh.make_shop_catalog(deadline_s, extra_routes)
    mesh.submit("v0", catalog)
    for name in names:
        mesh.nodes[name].announce(slots)
    mesh.run(4)
    return mesh


assert ledger  # The ledger's commands are registered by this import.
