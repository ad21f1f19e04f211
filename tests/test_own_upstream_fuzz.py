"""Stateful fuzz test of announcements and notices of the own upstream.

An upstream starts, announces itself, gives notice, ends and starts again under
either of two names, while its node is killed, stopped, restarted and
disconnected, or all nodes are killed. Messages may arrive seconds late. The
oracle records the starts
whose notice of leaving was acknowledged; none of them may be offered again. An
upstream that runs and has not given notice must be offered once its
announcement arrives.

Each check fails if one of the lines that guard it is removed:

    never offered again     LeaveNotice.applies_to: each of its three rules
                            own_upstream: `if _has_given_notice(state, event)`
                            own_upstream._record_notice:
                                `gossip.update_own_record`
                            own_upstream.merge_stored_notices: `_record_notice`
                            gossip.merge: `_store_notice`
                            cold_start: `merge_durable_notices`
    offered once announced  LeaveNotice.applies_to:
                                `started_ms > self.startless_received_ms`
"""

import dataclasses
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from monsoonpass.core import events
from monsoonpass.core.calls import outcome
from monsoonpass.core.membership import leave_notice as notice_lib
from tests import fake_topologies

NODE = "n4"
DELAYS_S = (0.0, 0.2, 1.0, 2.5)
RESTART_S = 0.4  # Shorter than a process takes to start.


@dataclasses.dataclass(kw_only=True)
class Process:
    """One start of an upstream.

    Attributes:
        name: Name of the upstream.
        started_ms: Wall clock time of the start.
        sequence: Number of the last announcement.
        has_given_notice: Whether the process has given notice of leaving.
        is_acknowledged: Whether the node acknowledged the notice and still
            has it, or could have sent it to the members.
        is_stored: Whether the node confirmed that the notice is durable.
    """

    name: str
    started_ms: int
    sequence: int = 0
    has_given_notice: bool = False
    is_acknowledged: bool = False
    is_stored: bool = False


class UpstreamMachine(stateful.RuleBasedStateMachine):
    """One node with its upstream, and members that store its notices."""

    @stateful.initialize(seed=st.integers(0, 2**32), sends_start=st.booleans())
    def start_mesh(self, seed, sends_start):
        self.sends_start = sends_start
        self.mesh = fake_topologies.make_unstarted_mesh(5, seed)
        for node in self.mesh.nodes.values():
            node.start()
        self.mesh.run(3)
        self.node = self.mesh.nodes[NODE]
        self.processes: list[Process] = []
        self.running: Process | None = None
        self.notices: dict[int, Process] = {}
        self.request_count = 0
        self.random_actions(seed)

    @stateful.rule(seed=st.integers(0, 2**32))
    def random_actions(self, seed):
        """Run many random actions."""
        rng = random.Random(seed)
        actions = {
            lambda: self.announce(rng.choice(DELAYS_S)): 16,
            lambda: self.start_upstream(rng.choice("ab")): 8,
            lambda: self.leave(rng.choice(DELAYS_S), True): 6,
            lambda: self.leave(rng.choice(DELAYS_S), False): 3,
            self.end_upstream: 3,
            self.kill_node: 6,
            self.stop_node: 1,
            self.start_node: 12,
            self.kill_all_nodes: 2,
            self.disconnect_node: 1,
            self.mesh.cut_links.clear: 6,
            lambda: self.fail(outcome.Reason.UPSTREAM_UNREACHABLE): 1,
            lambda: self.fail(outcome.Reason.UPSTREAM_REPLACED): 1,
        }
        drawn = rng.choices(list(actions), list(actions.values()), k=120)
        for action in drawn:
            action()
            self.run(rng.choice((0.01, 0.1, 0.4)))

    @stateful.rule(name=st.sampled_from("ab"))
    def start_upstream(self, name):
        if self.running is None:
            self.run(0.01)
            process = Process(name=name, started_ms=self.mesh.wall_ms())
            self.running = process
            self.processes.append(process)

    @stateful.rule()
    def end_upstream(self):
        self.running = None

    @stateful.rule(delay_s=st.sampled_from(DELAYS_S))
    def announce(self, delay_s):
        """Let the upstream announce that it is ready."""
        process = self.running
        if process is not None and not process.has_given_notice:
            process.sequence += 1
            self.mesh.call_later(
                delay_s, self.deliver, process, process.sequence, False
            )

    @stateful.rule(delay_s=st.sampled_from(DELAYS_S), by_notice=st.booleans())
    def leave(self, delay_s, by_notice):
        """Let the upstream give notice of leaving."""
        process = self.running
        if process is None:
            return
        process.has_given_notice = True
        process.sequence += 1
        if by_notice:
            self.mesh.call_later(delay_s, self.deliver_notice, process)
        else:
            self.mesh.call_later(
                delay_s, self.deliver, process, process.sequence, True
            )

    def deliver(self, process, sequence, draining):
        """Deliver an announcement to the node, if the node runs."""
        if not self.node.alive:
            return
        process.is_acknowledged |= draining
        self.node.feed(
            events.UpstreamAnnounced,
            service="shop",
            slots=4,
            cold=False,
            port=9000,
            draining=draining,
            upstream_id=process.name,
            started_ms=process.started_ms if self.sends_start else None,
            sequence=sequence,
            request_id=self.next_request(process) if draining else 0,
        )
        self.check()

    def next_request(self, process) -> int:
        """Return the request id for a notice of a process."""
        self.request_count += 1
        request_id = self.request_count
        self.notices[request_id] = process
        return request_id

    def deliver_notice(self, process):
        """Deliver a notice with only the name of the upstream to the node."""
        if self.node.alive and process is self.running:
            process.is_acknowledged = True
            self.node.feed(
                events.UpstreamDraining,
                upstream_id=process.name,
                request_id=self.next_request(process),
            )
            self.check()

    @stateful.rule()
    def kill_node(self):
        if not self.node.alive:
            return
        self.node.crash()
        if self.mesh.cut_links:
            # The node could not send its notices to any member.
            self.clear_acknowledged()

    @stateful.rule()
    def disconnect_node(self):
        self.mesh.split({NODE})
        if self.node.alive and self.node.state.config.confirmed_version is None:
            # The control group can no longer send the notices.
            self.clear_acknowledged()

    @stateful.rule()
    def kill_all_nodes(self):
        """Kill all nodes and start them again: only disks are kept."""
        self.take_replies()
        for process in self.processes:
            process.is_acknowledged = process.is_stored
        for node in self.mesh.nodes.values():
            node.crash()
        self.run(RESTART_S)
        if self.mesh.cut_links:
            self.clear_acknowledged()
        for node in self.mesh.nodes.values():
            node.start()

    @stateful.rule()
    def stop_node(self):
        if self.node.alive:
            self.node.feed(events.StopRequested)

    @stateful.rule()
    def start_node(self):
        if self.node.alive and not self.node.state.stopping:
            return
        self.kill_node()
        self.run(RESTART_S)
        if self.mesh.cut_links:
            # No member can send the notices to the new process.
            self.clear_acknowledged()
        self.node.start()

    @stateful.rule(
        reason=st.sampled_from(
            (
                outcome.Reason.UPSTREAM_UNREACHABLE,
                outcome.Reason.UPSTREAM_REPLACED,
            )
        )
    )
    def fail(self, reason):
        """Let up to three calls fail with a reason."""
        failure = outcome.Failure(
            outcome=outcome.Outcome.NOT_RUN, reason=reason
        )
        for number in range(3):
            self.node.feed(
                events.PeerCallArrived,
                owner_call_id=number,
                service="shop",
                timeout_s=5.0,
                priority=1,
                bulk=False,
                route="r",
            )
        if not self.node.alive:
            return
        for number in list(self.node.state.admission.in_progress):
            self.node.feed(
                events.OwnerCallFinished,
                owner_call_id=number,
                service_time_s=0.1,
                failure=failure,
            )

    @stateful.rule(span_s=st.sampled_from((0.05, 0.5, 3.0, 40.0)))
    def run(self, span_s):
        """Advance the time, with checks in between."""
        for _ in range(4):
            self.mesh.run(span_s / 4)
            self.check()

    def clear_acknowledged(self):
        """Clear acknowledged notices that the node can no longer know of."""
        for process in self.processes:
            process.is_acknowledged = False
            process.is_stored = False
        self.notices.clear()

    def take_replies(self):
        """Record the notices that the node has confirmed as durable."""
        for request_id in list(self.notices):
            reply = self.node.replies.pop(request_id, None)
            if reply is not None and reply.stored:
                process = self.notices[request_id]
                process.is_stored = process.is_acknowledged = True

    def check(self):
        """Check that the offered upstream has no acknowledged notice."""
        self.take_replies()
        if not self.node.alive or not self.node.state.admission.accepts_calls:
            return
        upstream = self.node.state.upstream
        if self.sends_start:
            for process in self.processes:
                if (process.name, process.started_ms) == (
                    upstream.name,
                    upstream.started_ms,
                ):
                    assert not process.is_acknowledged, "offered again"
            return
        last = [p for p in self.processes if p.name == upstream.name][-1]
        assert not last.is_acknowledged, "offered again"

    def teardown(self):
        """Check that an upstream without notice is offered once announced."""
        if not hasattr(self, "mesh"):
            return
        self.mesh.heal()
        self.start_node()
        if not self.sends_start:
            self.run(notice_lib.ANNOUNCEMENT_DELAY_MAX_S)
        self.run(3.0)
        if self.running is None:
            self.start_upstream("a")
        elif self.running.has_given_notice:
            return
        self.announce(0.0)
        self.run(2.0)
        assert self.node.state.admission.accepts_calls, "not offered"
        assert self.node.state.upstream.name == self.running.name


TestOwnUpstreamFuzz = UpstreamMachine.TestCase
TestOwnUpstreamFuzz.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=8
)
