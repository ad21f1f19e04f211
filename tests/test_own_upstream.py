"""Tests of announcements and notices of leaving of the own upstream."""

import dataclasses

import pytest

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core.membership import leave_notice as notice_lib
from monsoonpass.core.membership import member as member_lib
from monsoonpass.core.membership import own_upstream
from monsoonpass.core.membership import own_upstream_state
from monsoonpass.core.membership import upstream_transition
from tests import fake_mesh
from tests import fake_topologies

UpstreamState = member_lib.UpstreamState


class Scene:
    """A single node without a disk, and helpers that feed events to it."""

    def __init__(self, **settings):
        self.mesh = fake_mesh.FakeMesh(seed=1)
        self.node = self.mesh.add(
            "n", disk=False, seeds=(), voters=(), **settings
        )
        self.node.start()
        self.state = self.node.state
        self.calls: list[int] = []

    def call(self, service: str = "shop") -> None:
        """Let a peer forward a call to the node."""
        self.calls.append(len(self.calls) + 1)
        self.node.feed(
            events.PeerCallArrived,
            owner_call_id=self.calls[-1],
            service=service,
            timeout_s=5.0,
            priority=1,
            bulk=False,
            route="r",
        )

    def dispatched(self) -> list[int]:
        """Return the numbers of the calls dispatched to an upstream."""
        return [
            effect.owner_call_id
            for effect in self.node.performed_effects
            if isinstance(effect, effects.Dispatch)
        ]

    def announce(
        self, name="i-1", *, started_ms=1, sequence=1, **changes
    ) -> bool:
        """Announce an upstream and return whether that was accepted."""
        fields = {
            "service": "shop",
            "slots": 4,
            "cold": False,
            "port": 9000,
            "upstream_id": name,
            "started_ms": started_ms,
            "sequence": sequence,
            "request_id": 1,
        }
        self.node.feed(events.UpstreamAnnounced, **{**fields, **changes})
        result = self.node.replies.pop(1)
        assert isinstance(result, own_upstream_state.AnnouncementResult)
        return result.accepted

    def fail(self, reason) -> None:
        """Let the oldest call in progress fail without having run."""
        failure = own_upstream.outcome.Failure(
            outcome=own_upstream.outcome.Outcome.NOT_RUN, reason=reason
        )
        owner_call_id = min(self.state.admission.in_progress)
        self.node.feed(
            events.OwnerCallFinished,
            owner_call_id=owner_call_id,
            service_time_s=0.1,
            failure=failure,
        )

    def withdraw(self) -> None:
        """Let as many connections fail as withdraw the upstream."""
        for _ in range(own_upstream.CONNECTION_FAILURES_MAX):
            self.call()
            self.fail(own_upstream.Reason.UPSTREAM_UNREACHABLE)
        assert self.state.admission.upstream is UpstreamState.NONE

    def used_upstreams(self) -> list[str]:
        """Return the names of the upstreams used, in order."""
        return [
            effect.upstream_id
            for effect in self.node.performed_effects
            if isinstance(effect, effects.SwitchUpstream)
        ]

    def log_fields(self, code) -> list[dict[str, object]]:
        """Return the fields of the log events of one code, in order."""
        return [
            effect.fields
            for effect in self.node.performed_effects
            if isinstance(effect, effects.Log) and effect.code is code
        ]


def announce(node, *, started_ms=1, sequence=1) -> None:
    """Announce an upstream to a node of a mesh."""
    node.feed(
        events.UpstreamAnnounced,
        service="shop",
        slots=4,
        cold=False,
        port=9000,
        upstream_id="i-1",
        started_ms=started_ms,
        sequence=sequence,
    )


class TestLogEvents:
    """Log events on notices and announcements."""

    def test_notice_is_logged_if_no_upstream_is_known(self):
        scene = Scene()
        scene.node.feed(events.UpstreamDraining, upstream_id="i-1")
        (line,) = scene.log_fields(log_events.Code.UPSTREAM_NOTICE)
        assert line["upstream"] == "i-1"
        assert line["known"] == ""
        assert line["known_phase"] == "absent"

    def test_logged_announcement_has_its_start_and_whether_a_notice_is_stored(
        self,
    ):
        scene = Scene()
        scene.announce("i-1", started_ms=10, sequence=4)
        scene.node.feed(
            events.UpstreamDraining, upstream_id="i-1", started_ms=10
        )
        scene.announce("i-1", started_ms=20, sequence=1)
        first, second = scene.log_fields(log_events.Code.UPSTREAM_ANNOUNCED)
        assert (first["born"], first["sequence"]) == (10, 4)
        assert not first["has_notice"]
        assert (second["born"], second["has_notice"]) == (20, True)


class TestIdentity:
    def test_late_announcement_of_an_earlier_start_is_ignored(self):
        """Guard: `_compare_starts` in own_upstream_state."""
        scene = Scene()
        assert scene.announce("i-1", started_ms=10, sequence=5)
        assert scene.announce("i-2", started_ms=20, sequence=1, port=9001)
        assert not scene.announce("i-1", started_ms=10, sequence=6)
        assert scene.state.upstream.name == "i-2"
        assert scene.used_upstreams() == ["i-1", "i-2"]

    def test_new_start_under_an_old_name_restarts_the_sequence(self):
        scene = Scene()
        assert scene.announce("i-1", started_ms=10, sequence=50)
        assert scene.announce("i-1", started_ms=20, sequence=1)
        assert not scene.announce("i-1", started_ms=10, sequence=51)

    def test_new_start_is_detected_by_time_if_starts_are_omitted(self):
        """A low sequence means a late announcement, or a restart if later."""
        scene = Scene()
        scene.announce(started_ms=None, sequence=9)
        assert not scene.announce(started_ms=None, sequence=1)
        scene.mesh.run(notice_lib.ANNOUNCEMENT_DELAY_MAX_S + 1)
        assert scene.announce(started_ms=None, sequence=2)

    def test_other_name_without_a_start_replaces_the_upstream(self):
        scene = Scene()
        scene.announce("i-1", started_ms=None, sequence=9)
        assert scene.announce("i-2", started_ms=None, sequence=1)

    def test_out_of_order_announcement_of_one_start_is_ignored(self):
        scene = Scene()
        assert scene.announce(sequence=4)
        assert not scene.announce(sequence=3, slots=9)
        assert scene.state.admission.slots == 4


class TestLeaving:
    def test_draining_upstream_gets_no_new_calls(self):
        scene = Scene()
        scene.announce(sequence=1)
        assert scene.announce(sequence=2, draining=True)
        assert scene.state.admission.upstream is UpstreamState.DRAINING
        assert (
            scene.state.membership.own_record.upstream is UpstreamState.DRAINING
        )

    def test_late_ready_announcement_after_a_notice_is_ignored(self):
        """Guard: `_has_given_notice` in own_upstream."""
        scene = Scene()
        scene.announce(sequence=1)
        scene.node.feed(
            events.UpstreamDraining, upstream_id="i-1", started_ms=1
        )
        assert not scene.announce(sequence=2)
        assert scene.state.admission.upstream is UpstreamState.DRAINING

    def test_notice_of_an_earlier_start_does_not_affect_the_new_one(self):
        scene = Scene()
        scene.announce("i-1", started_ms=10)
        scene.announce("i-1", started_ms=20)
        scene.node.feed(
            events.UpstreamDraining, upstream_id="i-1", started_ms=10
        )
        assert scene.state.admission.accepts_calls

    @pytest.mark.parametrize("stop_after_s", [0.0, 2.0])
    def test_stopping_node_acknowledges_announcements_without_offering(
        self, stop_after_s
    ):
        """A rejected upstream would back off and reach the next process late.

        Guard: `state.stopping` in the handler of UpstreamAnnounced.
        """
        scene = Scene(stop_after_s=stop_after_s)
        scene.announce(sequence=1)
        scene.node.feed(events.StopRequested)
        scene.mesh.run(1.5)
        assert scene.announce(sequence=2)
        assert not scene.announce(sequence=1)
        own = scene.state.membership.own_record
        assert own.upstream is UpstreamState.DRAINING
        assert not scene.announce("i-2", started_ms=2)
        assert scene.used_upstreams() == ["i-1"]

    def test_stopping_node_accepts_a_notice_of_leaving(self):
        scene = Scene(stop_after_s=2.0)
        scene.announce(sequence=1)
        scene.node.feed(events.StopRequested)
        assert scene.announce(sequence=3, draining=True)
        assert not scene.announce(sequence=4)
        assert not scene.state.admission.accepts_calls

    def test_late_draining_of_an_earlier_start_does_not_affect_the_next(self):
        scene = Scene()
        scene.announce(started_ms=10, sequence=1)
        scene.node.feed(
            events.UpstreamDraining, upstream_id="i-1", started_ms=10
        )
        scene.announce(started_ms=20, sequence=1)
        assert scene.announce(started_ms=10, sequence=3, draining=True)
        assert scene.state.admission.accepts_calls
        assert scene.state.upstream.started_ms == 20

    def test_draining_applies_though_it_arrives_out_of_order(self):
        scene = Scene()
        scene.announce(sequence=6)
        assert scene.announce(sequence=5, draining=True)
        assert not scene.announce(sequence=7)
        assert not scene.state.admission.accepts_calls

    def test_repeated_draining_is_published_once(self):
        """Guard: `notice == previous` in own_upstream._record_notice."""
        scene = Scene()
        scene.announce(sequence=1)
        scene.announce(sequence=2, draining=True)
        published = scene.state.membership.own_record
        scene.mesh.run(1)
        assert scene.announce(sequence=3, draining=True)
        assert scene.state.membership.own_record == published

    def test_notice_without_a_name_applies_to_the_current_start(self):
        scene = Scene()
        scene.announce(sequence=1)
        scene.node.feed(events.UpstreamDraining)
        assert not scene.announce(sequence=2)
        assert not scene.state.admission.accepts_calls

    @pytest.mark.parametrize("message", ["notice", "draining"])
    def test_withdrawn_upstream_that_leaves_is_not_offered_again(self, message):
        """Guard: `Cause.LEAVES` in upstream_phase, for a withdrawn upstream."""
        scene = Scene()
        scene.announce(sequence=1)
        scene.withdraw()
        if message == "notice":
            scene.node.feed(
                events.UpstreamDraining, upstream_id="i-1", started_ms=1
            )
        else:
            scene.announce(sequence=2, draining=True)
        scene.mesh.run(40)
        assert scene.state.admission.upstream is UpstreamState.DRAINING
        assert (
            scene.state.membership.own_record.upstream is UpstreamState.DRAINING
        )

    def test_late_announcement_with_sequence_zero_after_draining_is_ignored(
        self,
    ):
        """Guard: `_record_notice` in own_upstream._handle_draining."""
        scene = Scene()
        scene.announce(sequence=1)
        scene.announce(sequence=2, draining=True)
        assert not scene.announce(sequence=0)
        assert not scene.state.admission.accepts_calls

    def test_notice_without_a_start_applies_to_the_current_start(self):
        """Guard: `started_ms = upstream.started_ms` in own_upstream."""
        scene = Scene()
        scene.announce(sequence=1, started_ms=7)
        scene.node.feed(events.UpstreamDraining, upstream_id="i-1")
        assert not scene.announce(sequence=2, started_ms=7)
        assert not scene.state.admission.accepts_calls


class TestNoticeWithoutStart:
    """Notices that name the upstream but omit its start."""

    STARTED_MS = 990_000  # Ten seconds before the test begins.

    def send_notice(self, node) -> None:
        node.feed(events.UpstreamDraining, upstream_id="i-1")

    def test_notice_before_any_announcement_applies_to_a_late_one(self):
        """The node knows no upstream and the announcement is seconds late."""
        scene = Scene()
        self.send_notice(scene.node)
        scene.mesh.run(2.2)
        assert not scene.announce(started_ms=self.STARTED_MS, sequence=40)
        assert not scene.state.admission.accepts_calls

    def test_notice_applies_to_an_upstream_that_waits_for_members(self):
        mesh = fake_topologies.make_two_regions(3)
        node = mesh.nodes["s2-1"]
        node.crash()
        mesh.split({"s2-1"})
        node.start()
        announce(node, started_ms=self.STARTED_MS)
        mesh.run(0.1)
        self.send_notice(node)
        for _ in range(40):
            mesh.run(0.1)
            assert not node.state.admission.accepts_calls

    @pytest.mark.parametrize("after_s", [0.0, 0.2, 2.0])
    def test_members_return_the_notice_to_a_restarted_node(self, after_s):
        mesh = fake_topologies.make_two_regions(3)
        node = mesh.nodes["s2-1"]
        self.send_notice(node)
        mesh.run(0.5)
        node.crash()
        mesh.run(0.2)
        node.start()
        mesh.run(after_s)
        announce(node, started_ms=self.STARTED_MS)
        for _ in range(40):
            mesh.run(0.1)
            assert not node.state.admission.accepts_calls

    def test_members_return_the_notice_that_a_stopping_node_received(self):
        """Guard: `if not changes` in own_upstream._record_notice."""
        mesh = fake_topologies.make_two_regions(3)
        node = mesh.nodes["s2-1"]
        announce(node, started_ms=self.STARTED_MS)
        node.feed(events.StopRequested)
        self.send_notice(node)
        mesh.run(0.5)
        node.crash()
        node.start()
        announce(node, started_ms=self.STARTED_MS, sequence=2)
        mesh.run(2 * upstream_transition.JOIN_WAIT_S)
        assert not node.state.admission.accepts_calls

    def test_node_that_has_not_joined_sends_the_notice_to_seeds(self):
        """Guard: `request_sync_from_missing_seeds` in `_record_notice`."""
        mesh = fake_topologies.make_two_regions(3)
        node = mesh.nodes["s2-1"]
        node.crash()
        node.start()
        self.send_notice(node)
        mesh.run(0.02)
        node.crash()
        mesh.run(0.3)
        node.start()
        announce(node, started_ms=self.STARTED_MS)
        mesh.run(2 * upstream_transition.JOIN_WAIT_S)
        assert not node.state.admission.accepts_calls

    def test_restarted_node_returns_the_notice_to_restarted_members(self):
        """Guard: `_record_notice` in own_upstream.merge_stored_notices."""
        mesh = fake_topologies.make_two_regions(3)
        node = mesh.nodes["s2-1"]
        self.send_notice(node)
        mesh.run(0.5)
        node.crash()
        node.start()
        mesh.run(5.0)
        for seed in ("n1-0", "n2-0", "s1-0"):
            mesh.nodes[seed].crash()
            mesh.nodes[seed].start()
            mesh.run(2.0)
        node.crash()
        node.start()
        announce(node, started_ms=self.STARTED_MS)
        mesh.run(2 * upstream_transition.JOIN_WAIT_S)
        assert not node.state.admission.accepts_calls

    def test_notice_applies_to_a_successor_of_the_current_start(self):
        """The current process ended without notice; its successor leaves."""
        scene = Scene()
        scene.announce(started_ms=self.STARTED_MS - 5000)
        self.send_notice(scene.node)
        assert not scene.announce(started_ms=self.STARTED_MS)
        assert not scene.state.admission.accepts_calls

    def test_next_start_under_the_name_is_offered(self):
        scene = Scene()
        self.send_notice(scene.node)
        scene.mesh.run(3.0)
        started_ms = int(scene.mesh.now_s * 1000)
        scene.mesh.run(0.1)
        assert scene.announce(started_ms=started_ms, sequence=1)
        assert scene.state.admission.accepts_calls


class TestNodeRestart:
    """The node restarts while its upstream keeps running."""

    def make_mesh_after_notice(self) -> fake_mesh.FakeMesh:
        """Return a mesh where s2-1 restarts after its upstream gave notice."""
        mesh = fake_topologies.make_two_regions(3)
        node = mesh.nodes["s2-1"]
        announce(node, sequence=3)
        mesh.run(2)
        node.feed(events.UpstreamDraining, upstream_id="i-1", started_ms=1)
        mesh.run(0.3)
        node.crash()
        mesh.run(0.2)
        node.start()
        return mesh

    def make_isolated_node(
        self,
    ) -> tuple[fake_mesh.FakeMesh, fake_mesh.FakeNode]:
        """Return a mesh and a node that restarts cut off, with an upstream."""
        mesh = self.make_mesh_after_notice()
        node = mesh.nodes["s2-1"]
        node.crash()
        mesh.split({"s2-1"})
        node.start()
        announce(node, sequence=1, started_ms=2)
        return mesh, node

    @pytest.mark.parametrize("after_s", [0.0, 0.2, 2.0])
    def test_late_announcement_after_a_notice_is_not_offered(self, after_s):
        """Guard: `notices` in SyncReply, and `_must_wait_for_members`."""
        mesh = self.make_mesh_after_notice()
        node = mesh.nodes["s2-1"]
        mesh.run(after_s)
        announce(node, sequence=4)
        for _ in range(40):
            mesh.run(0.1)
            assert not node.state.admission.accepts_calls

    def test_planned_stop_of_the_node_is_not_a_notice_of_its_upstream(self):
        """The node's record must not name the current start as leaving.

        Guard: `last_notice = notice or` in upstream_transition.
        """
        mesh = fake_topologies.make_two_regions(3)
        node = mesh.nodes["s2-1"]
        announce(node, sequence=1)
        node.feed(events.StopRequested)
        mesh.run(0.5)
        node.crash()
        node.start()
        announce(node, sequence=2)
        mesh.run(upstream_transition.JOIN_WAIT_S)
        assert node.state.admission.accepts_calls

    def test_next_start_under_the_same_name_is_offered(self):
        mesh = self.make_mesh_after_notice()
        node = mesh.nodes["s2-1"]
        announce(node, sequence=1, started_ms=2)
        mesh.run(upstream_transition.JOIN_WAIT_S)
        assert node.state.admission.accepts_calls

    @pytest.mark.parametrize("stop_after_s", [0.0, 2.0])
    def test_stopping_node_does_not_offer_a_waiting_upstream(
        self, stop_after_s
    ):
        """Guard: `state.stopping` in own_upstream._offer_waiting."""
        mesh, node = self.make_isolated_node()
        node.state.settings = dataclasses.replace(
            node.state.settings, stop_after_s=stop_after_s
        )
        node.feed(events.StopRequested)
        mesh.run(2 * upstream_transition.JOIN_WAIT_S)
        assert not node.state.admission.accepts_calls

    def test_notice_without_a_name_applies_to_the_waiting_start(self):
        mesh, node = self.make_isolated_node()
        node.feed(events.UpstreamDraining)
        mesh.run(3)
        assert not node.state.admission.accepts_calls

    def test_late_announcement_does_not_displace_a_waiting_upstream(self):
        """An upstream waits until members had time to return their notices."""
        mesh, node = self.make_isolated_node()
        announce(node, sequence=9, started_ms=1)
        mesh.run(upstream_transition.JOIN_WAIT_S)
        assert node.state.upstream.started_ms == 2

    def test_upstream_is_offered_if_no_member_answers(self):
        mesh, node = self.make_isolated_node()
        assert not node.state.admission.accepts_calls
        mesh.run(upstream_transition.CONTROL_GROUP_WAIT_S)
        assert node.state.admission.accepts_calls


class TestRecheck:
    def test_unreachable_upstream_is_offered_again(self):
        scene = Scene()
        scene.announce(sequence=1)
        scene.withdraw()
        scene.mesh.run(3)
        assert scene.state.admission.accepts_calls

    def test_upstream_that_fails_for_long_is_still_rechecked(self):
        """Failure: the node ended when the delay of the recheck overflowed.

        Guard: `backoff.doubled_s` in _withdraw.
        """
        scene = Scene()
        scene.announce(sequence=1)
        scene.state.upstream.withdrawals = 1100
        scene.withdraw()
        scene.mesh.run(upstream_transition.RECHECK_MAX_S + 1.0)
        assert scene.state.admission.accepts_calls

    def test_replaced_upstream_is_not_offered_by_an_older_recheck(self):
        """Guard: the row of `LOST` in upstream_phase."""
        scene = Scene()
        scene.announce(sequence=1)
        scene.withdraw()
        scene.announce(sequence=2)
        scene.call()
        scene.fail(own_upstream.Reason.UPSTREAM_REPLACED)
        scene.mesh.run(40)
        assert scene.state.admission.upstream is UpstreamState.NONE

    def test_unreachable_upstream_that_was_replaced_is_not_offered(self):
        scene = Scene()
        scene.announce(sequence=1)
        scene.call()
        scene.call()
        scene.withdraw()
        scene.fail(own_upstream.Reason.UPSTREAM_REPLACED)
        scene.mesh.run(40)
        assert scene.state.admission.upstream is UpstreamState.NONE

    def test_unreachable_upstream_that_falls_silent_is_not_offered(self):
        scene = Scene(silence_s=1.0)
        scene.announce(sequence=1)
        scene.withdraw()
        scene.mesh.run(40)
        assert scene.state.admission.upstream is UpstreamState.NONE

    def test_silent_upstream_is_not_offered_by_an_older_recheck(self):
        scene = Scene(silence_s=1.0)
        scene.announce(sequence=1)
        scene.withdraw()
        scene.announce(sequence=2)
        scene.mesh.run(40)
        assert scene.state.admission.upstream is UpstreamState.NONE


class TestSilence:
    def test_silent_upstream_is_withdrawn_until_it_announces_itself(self):
        """Guard: the timer set in own_upstream._store_announcement."""
        scene = Scene(silence_s=5.0)
        scene.announce(sequence=1)
        scene.mesh.run(4.0)
        assert scene.state.admission.accepts_calls
        scene.mesh.run(2.0)
        assert scene.state.admission.upstream is UpstreamState.NONE
        assert scene.announce(sequence=2)
        assert scene.state.admission.accepts_calls

    def test_replaced_upstream_is_withdrawn_at_once(self):
        scene = Scene()
        scene.announce(sequence=1)
        scene.call()
        scene.fail(own_upstream.Reason.UPSTREAM_REPLACED)
        assert scene.state.admission.upstream is UpstreamState.NONE


class TestProcessChange:
    """Failures and queued calls of a process do not affect the next one."""

    @pytest.mark.parametrize(
        "reason",
        [
            own_upstream.Reason.UPSTREAM_REPLACED,
            own_upstream.Reason.UPSTREAM_UNREACHABLE,
        ],
    )
    def test_failure_of_an_earlier_process_does_not_withdraw_the_next(
        self, reason
    ):
        """Guard: `owner_call.process_number` in OwnerCallFinished's handler."""
        scene = Scene()
        scene.announce("i-1", started_ms=10)
        for _ in range(own_upstream.CONNECTION_FAILURES_MAX):
            scene.call()
        scene.announce("i-2", started_ms=20)
        for _ in range(own_upstream.CONNECTION_FAILURES_MAX):
            scene.fail(reason)
        assert scene.state.admission.accepts_calls

    def test_queued_call_is_not_dispatched_to_another_service(self):
        """Guard: the refusal in upstream_transition._offer."""
        scene = Scene()
        scene.announce("i-1", started_ms=10, slots=1)
        scene.call()
        scene.call()
        scene.announce("i-2", started_ms=20, slots=1, service="till")
        scene.fail(own_upstream.Reason.UPSTREAM_UNREACHABLE)
        assert scene.dispatched() == [1]

    def test_queued_call_is_dispatched_to_the_next_process_of_its_service(self):
        scene = Scene()
        scene.announce("i-1", started_ms=10, slots=1)
        scene.call()
        scene.call()
        scene.announce("i-2", started_ms=20, slots=1)
        scene.fail(own_upstream.Reason.UPSTREAM_UNREACHABLE)
        assert scene.dispatched() == [1, 2]
