"""Tests of rollouts under load, without a network."""

import dataclasses

import pytest

from monsoonpass import codec
from monsoonpass.core import events
from monsoonpass.core.agreement import control_state_machine
from monsoonpass.core.rollouts import requests
from monsoonpass.core.rollouts import rollout as rollout_lib
from monsoonpass.core.rollouts import rollout_messages as messages
from monsoonpass.core.rollouts import version_choice
from tests import fake_mesh
from tests import rollout_mesh

NEW = rollout_mesh.NEW
OLD = rollout_mesh.OLD
SERVICE = rollout_mesh.SERVICE
Fault = rollout_mesh.Fault
Phase = rollout_lib.Phase
Status = rollout_lib.OrderStatus

BAD_VERSIONS = {
    "errors": Fault(),
    "slow": Fault(slow=True),
    "late errors": Fault(after_s=5.0),
    "late and slow": Fault(after_s=4.0, slow=True),
    "errors under load": Fault(load_min=2),
    "slow under load": Fault(load_min=2, slow=True),
    "errors on one route": Fault(route="/payments"),
    "slow on one route": Fault(route="/payments", slow=True),
}


def uneven(number: int) -> float:
    """Return the speed of an upstream, from 0.5 to 1.6 of the mean."""
    return (1.0, 0.5, 1.6, 0.8, 1.3, 0.65, 1.1)[number % 7]


def slow_down_upstreams(mesh: rollout_mesh.RolloutMesh) -> None:
    """Slow down another 15 % of all upstreams every 0.6 s."""
    for node in mesh.nodes.values():
        if node.version is not None and mesh.random.random() < 0.15:
            node.slow_until_s = mesh.now_s + 0.6
    mesh.call_later(0.6, slow_down_upstreams, mesh)


def start_rollout(
    mesh: rollout_mesh.RolloutMesh, fault: Fault | None = None, count: int = 12
) -> None:
    """Order a rollout and start the target's upstreams."""
    assert mesh.order_and_wait() is Status.ORDERED
    mesh.add_target(count, fault=fault, speeds=uneven)


def check_completed(mesh: rollout_mesh.RolloutMesh, limit_s: float) -> None:
    """Check the state at the moment of completion, and the time after it."""
    assert mesh.run_until(lambda: mesh.phase() is Phase.COMPLETED, limit_s)
    assert mesh.running_at(OLD) == 0
    completed_s = mesh.now_s
    mesh.run(1.0)
    assert mesh.sent_to(OLD, completed_s) == 0
    mesh.check_exposure()


class TestBadVersion:
    @pytest.mark.parametrize("kind", BAD_VERSIONS)
    def test_bad_version_is_rolled_back_within_its_exposure(self, kind):
        """Guards against a bad version that gets the callers' traffic.

        Guards: `_exceeds` and `is_proven` in evidence, `_is_proven` in plan.
        """
        mesh = rollout_mesh.make_rollout_mesh(speeds=uneven, rate=300.0)
        start_rollout(mesh, BAD_VERSIONS[kind])
        assert mesh.run_until_ended()
        mesh.run(3.0)
        mesh.check_rolled_back()
        assert mesh.bad_s

    def test_rolled_back_version_gets_no_calls(self):
        """Guard: `shuts_out` in version_choice.choose and owner."""
        mesh = rollout_mesh.make_rollout_mesh()
        start_rollout(mesh, Fault())
        mesh.run_until_ended()
        mesh.run(0.6)
        since_s = mesh.now_s
        mesh.run(3.0)
        assert mesh.sent_to(NEW, since_s) == 0
        assert mesh.sent_to(OLD, since_s) > 500

    def test_rolled_back_version_gets_no_calls_in_the_next_rollout(self):
        """Guard: `rejected` in the record."""
        mesh = rollout_mesh.make_rollout_mesh()
        start_rollout(mesh, Fault())
        mesh.run_until_ended()
        mesh.run(1.0)
        assert mesh.order_and_wait("e1", target="3.0") is Status.ORDERED
        since_s = mesh.now_s
        mesh.add_target(12, version="3.0", prefix="q")
        mesh.run_until(lambda: mesh.phase() is Phase.COMPLETED, 14.0)
        assert mesh.phase() is Phase.COMPLETED
        assert mesh.sent_to(NEW, since_s) == 0

    def test_without_a_verdict_by_the_deadline_it_is_rolled_back(self):
        """The target never starts."""
        mesh = rollout_mesh.make_rollout_mesh()
        mesh.order_and_wait()
        mesh.run(rollout_mesh.DURATION_S - 0.5)
        assert mesh.phase() is Phase.RUNNING
        mesh.run(1.0)
        assert mesh.phase() is Phase.ROLLED_BACK


class TestGoodVersion:
    def test_it_is_completed_in_time_with_uneven_and_slowed_upstreams(self):
        """Guards against disruptions that are blamed on the version.

        Guard: `slow_without` in evidence.
        """
        mesh = rollout_mesh.make_rollout_mesh(speeds=uneven)
        slow_down_upstreams(mesh)
        start_rollout(mesh)
        check_completed(mesh, rollout_mesh.DURATION_S)

    def test_it_is_completed_in_time_during_a_load_peak(self):
        mesh = rollout_mesh.make_rollout_mesh(speeds=uneven)
        start_rollout(mesh)
        mesh.call_later(4.0, mesh.start_load, 450.0)
        mesh.call_later(9.0, mesh.start_load, 220.0)
        check_completed(mesh, rollout_mesh.DURATION_S)

    def test_it_is_completed_although_old_upstreams_are_killed(self):
        """Guard: `is_gone` and `silent` in plan._is_closed."""
        mesh = rollout_mesh.make_rollout_mesh(speeds=uneven)
        start_rollout(mesh)
        mesh.run(6.0)
        mesh.nodes["o3"].crash()
        mesh.run(2.0)
        mesh.nodes["o4"].crash()
        check_completed(mesh, 6.0)

    def test_cold_upstreams_are_not_flooded(self):
        """Guard: `ready` of the reports, in plan._ready_targets."""
        mesh = rollout_mesh.make_rollout_mesh()
        mesh.order_and_wait()
        mesh.add_target(12, cold_s=3.0)
        mesh.run(3.2)
        assert mesh.sent_to(NEW) == 0
        mesh.run(3.0)
        assert mesh.sent_to(NEW) > 20

    def test_a_canary_gets_about_as_much_as_under_full_load(self):
        """Guard: `wanted` and `TURN_S` in plan._canary_step."""
        mesh = rollout_mesh.make_rollout_mesh(rate=300.0)
        mesh.order_and_wait()
        mesh.add_target(12, cold_s=0.5)
        mesh.run_until(lambda: mesh.stored().share > 0.05, 5.0)
        mesh.run(0.2)
        since_s = mesh.now_s
        mesh.run(3.0)
        used = {
            name
            for at_s, version, name in mesh.sent
            if version == NEW and at_s >= since_s
        }
        assert 2 <= len(used) <= 5
        per_canary = mesh.sent_to(NEW, since_s) / 3.0
        assert 0.6 * 25 <= per_canary <= 1.5 * 25


class TestLeaderLost:
    STAGES = {
        "ordered": lambda r: r.step == 0,
        "first canary": lambda r: r.step == 1,
        "full share": lambda r: r.step == 3,
        "promoted": lambda r: r.phase is Phase.PROMOTED,
        "all calls": lambda r: r.serves_all,
    }

    def lose_leader(self, mesh, stage, form):
        """Run until a stage, then lose the leader in one of three ways."""
        is_reached = self.STAGES[stage]
        assert mesh.run_until(lambda: is_reached(mesh.stored()), 14.0)
        leader = mesh.leader()
        if form == "crash":
            leader.crash()
        elif form == "freeze":
            leader.suspended = True
            mesh.call_later(4.0, leader.resume)
        else:
            mesh.split({leader.name})
            mesh.call_later(4.0, mesh.cut_links.clear)

    @pytest.mark.parametrize("form", ["crash", "freeze", "cut off"])
    @pytest.mark.parametrize("stage", STAGES)
    def test_next_leader_completes_a_good_version(self, stage, form):
        """Guards against a rollout that stops with its leader.

        Guards: `leader.arm` for a new leader, counts since the order in the
        reports.
        """
        mesh = rollout_mesh.make_rollout_mesh()
        start_rollout(mesh)
        self.lose_leader(mesh, stage, form)
        check_completed(mesh, 16.0)

    @pytest.mark.parametrize("form", ["crash", "freeze", "cut off"])
    @pytest.mark.parametrize("stage", ["ordered", "first canary", "full share"])
    def test_bad_version_is_rolled_back_by_the_next_leader(self, stage, form):
        mesh = rollout_mesh.make_rollout_mesh()
        start_rollout(mesh, Fault(after_s=5.0))
        self.lose_leader(mesh, stage, form)
        assert mesh.run_until_ended()
        mesh.run(4.0)
        mesh.check_rolled_back()


class TestOrder:
    def test_repeated_order_on_another_node_changes_nothing(self):
        """An order whose acknowledgement was lost is sent again elsewhere."""
        mesh = rollout_mesh.make_rollout_mesh()
        assert mesh.order_and_wait("e0") is Status.ORDERED
        mesh.run(2.0)
        assert mesh.order_and_wait("o5") is Status.REPEATED
        assert mesh.order_and_wait("v2") is Status.REPEATED
        assert mesh.stored().number == 1
        mesh.run_until_ended()
        assert mesh.order_and_wait("e1") is Status.REPEATED
        assert mesh.phase() is Phase.ROLLED_BACK

    def test_order_that_reaches_two_leaders_in_turn_starts_one_rollout(self):
        mesh = rollout_mesh.make_rollout_mesh()
        request_id = mesh.order("e0")
        mesh.run(0.003)
        mesh.leader().crash()
        mesh.run(5.0)
        if mesh.result("e0", request_id) is Status.UNAVAILABLE:
            mesh.order_and_wait("e1")
        assert mesh.stored().number == 1

    def test_other_target_is_refused_only_while_one_is_running(self):
        mesh = rollout_mesh.make_rollout_mesh()
        mesh.order_and_wait()
        assert mesh.order_and_wait("e1", target="3.0") is Status.CONFLICT
        mesh.run_until_ended()
        assert mesh.order_and_wait("e1", target="3.0") is Status.ORDERED
        assert mesh.stored().number == 2

    def test_unknown_service_is_refused(self):
        mesh = rollout_mesh.make_rollout_mesh()
        status = mesh.order_and_wait(service="nowhere")
        assert status is Status.UNKNOWN_SERVICE
        assert mesh.read("e0", "nowhere").rollout is None

    def test_without_a_quorum_nothing_is_acknowledged_or_read(self):
        mesh = rollout_mesh.make_rollout_mesh()
        mesh.order_and_wait()
        for name in ("v1", "v2"):
            mesh.nodes[name].crash()
        mesh.run(1.0)
        assert mesh.order_and_wait("e1") is Status.UNAVAILABLE
        result = mesh.read("e0")
        assert isinstance(result, requests.RolloutUnavailable)

    @pytest.mark.parametrize("name", ["e0", "o0", "v0", "v1", "v2"])
    def test_read_at_any_node_returns_the_last_record(self, name):
        mesh = rollout_mesh.make_rollout_mesh()
        mesh.order_and_wait()
        assert mesh.read(name).rollout.target_version == NEW


class TestPowerLoss:
    def test_acknowledged_order_survives_the_loss_of_all_nodes(self):
        """Guard: the commands in the control group's log."""
        mesh = rollout_mesh.make_rollout_mesh()
        assert mesh.order_and_wait() is Status.ORDERED
        for node in mesh.nodes.values():
            node.crash()
        for node in mesh.nodes.values():
            node.start()
            if node.version is not None:
                node.announce_version(OLD)
        mesh.run(1.0)
        mesh.add_target(12)
        mesh.run(1.0)
        assert mesh.read("e0").rollout.target_version == NEW
        check_completed(mesh, 14.0)

    def test_rolled_back_version_gets_no_calls_after_it(self):
        mesh = rollout_mesh.make_rollout_mesh()
        start_rollout(mesh, Fault())
        mesh.run_until_ended()
        mesh.run(1.0)
        versions = {name: n.version for name, n in mesh.nodes.items()}
        for node in mesh.nodes.values():
            node.crash()
        since_s = mesh.now_s
        for name, node in mesh.nodes.items():
            node.start()
            if versions[name] is not None:
                node.announce_version(versions[name])
        mesh.run(6.0)
        assert mesh.sent_to(NEW, since_s) == 0
        assert mesh.sent_to(OLD, since_s) > 300


class TestUnawareEntry:
    def test_unaware_entry_node_sends_no_call_to_the_target(self):
        """Guards against a new version that gets a node's normal traffic.

        Guard: `_established` in version_choice.
        """
        mesh = rollout_mesh.make_rollout_mesh(entries=2)
        mesh.unaware = {"e1"}
        start_rollout(mesh, Fault())
        sent = []
        mesh.note_sent = lambda node, record: sent.append(
            (record.entry, node.version)
        )
        mesh.run(8.0)
        assert ("e0", NEW) in sent
        assert ("e1", OLD) in sent
        assert ("e1", NEW) not in sent

    def test_entry_node_that_missed_all_announcements_asks(self):
        """Guard: `knowledge.refresh`."""
        mesh = rollout_mesh.make_rollout_mesh(entries=2)
        mesh.unaware = {"e1"}
        start_rollout(mesh)
        mesh.run(4.0)
        entry = mesh.nodes["e1"].state.rollouts
        assert entry.find(SERVICE) is None
        mesh.unaware = set()
        mesh.drops_announcements = True
        mesh.run(0.5)
        assert entry.find(SERVICE).target_version == NEW

    def test_owner_node_refuses_what_a_wrong_entry_node_sends(self):
        """Guard: `owner.refuses_calls` in the handler of PeerCallArrived."""
        mesh = rollout_mesh.make_rollout_mesh()
        start_rollout(mesh)
        mesh.run_until(lambda: mesh.stored().share > 0, 6.0)
        canaries = mesh.stored().canaries
        for node in list(mesh.nodes.values()):
            if node.version != NEW or node.name in canaries:
                continue
            node.feed(
                events.PeerCallArrived,
                owner_call_id=10**9,
                service=SERVICE,
                timeout_s=1.0,
                priority=1,
                bulk=False,
                route="r",
            )
            assert node.state.admission.is_idle, node.name

    def test_restarted_entry_node_stays_within_the_exposure(self):
        """Guards against a share that starts again with each process."""
        mesh = rollout_mesh.make_rollout_mesh()
        start_rollout(mesh, Fault(after_s=5.5))
        for _ in range(12):
            mesh.run(0.4)
            for name in ("e1", "e2"):
                mesh.nodes[name].crash()
                mesh.nodes[name].start()
        assert mesh.run_until_ended()
        mesh.run(3.0)
        mesh.check_rolled_back()

    def test_starting_node_learns_of_the_rollout_with_its_first_version(self):
        """Guard: the rollouts in ColdReadReply."""
        mesh = rollout_mesh.make_rollout_mesh()
        start_rollout(mesh)
        mesh.unaware = {"e1"}
        entry = mesh.nodes["e1"]
        entry.crash()
        entry.start()
        assert mesh.run_until(lambda: entry.state.config.can_route, 3.0)
        assert entry.state.rollouts.find(SERVICE) is not None

    def test_entry_node_that_starts_after_a_rollback_sends_none(self):
        mesh = rollout_mesh.make_rollout_mesh()
        start_rollout(mesh, Fault())
        mesh.run_until_ended()
        mesh.run(1.0)
        since_s = mesh.now_s
        mesh.nodes["e1"].crash()
        mesh.nodes["e1"].start()
        mesh.run(3.0)
        assert mesh.nodes["e1"].state.rollouts.find(SERVICE) is not None
        assert mesh.sent_to(NEW, since_s) == 0


class TestWithoutRollout:
    def test_all_versions_are_served_alike(self):
        """Guard: the confirmed reply in knowledge.handle_query_reply."""
        mesh = rollout_mesh.make_rollout_mesh()
        mesh.add_target(12, cold_s=0.0)
        mesh.run(3.0)
        since_s = mesh.now_s
        mesh.run(3.0)
        new, old = mesh.sent_to(NEW, since_s), mesh.sent_to(OLD, since_s)
        assert 0.7 < new / old < 1.4

    def test_one_version_costs_no_messages(self):
        mesh = rollout_mesh.make_rollout_mesh()
        kinds = (messages.Announcement, messages.RolloutRead)
        for node in mesh.nodes.values():
            for effect in node.performed_effects:
                assert not isinstance(getattr(effect, "message", None), kinds)


class TestStoredState:
    def test_state_without_rollouts_has_the_bytes_of_earlier_builds(self):
        """Guard: StateWithRollouts only with rollouts in `snapshot`."""
        machine = control_state_machine.ControlStateMachine()
        earlier = control_state_machine.MachineState(
            snapshot=machine.catalog.snapshot(), recent=(), keys=(), notices=()
        )
        assert machine.snapshot() == codec.encode(earlier)
        restored = control_state_machine.ControlStateMachine()
        restored.restore(codec.encode(earlier))
        assert restored.rollouts.records() == ()

    def test_rollouts_are_part_of_a_snapshot(self):
        machine = control_state_machine.ControlStateMachine()
        machine.catalog = fake_mesh.make_shop_catalog(1.0)
        command = rollout_lib.StartRollout(
            service=SERVICE, target_version=NEW, duration_s=12.0, now_ms=5
        )
        machine.apply(codec.encode(command))
        restored = control_state_machine.ControlStateMachine()
        restored.restore(machine.snapshot())
        assert restored.rollouts.records() == machine.rollouts.records()
        assert restored.rollouts.unfinished == {SERVICE}
        restored.restore(b"")
        assert restored.rollouts.records() == ()

    def test_only_the_next_step_is_applied(self):
        """Two leaders may propose the same step.

        Guard: the condition in StoredRollouts.advance.
        """
        store = rollout_lib.StoredRollouts()
        start = rollout_lib.StartRollout(
            service=SERVICE, target_version=NEW, duration_s=12.0, now_ms=5
        )
        rollout = store.start(start, is_known_service=True).rollout
        step = rollout_lib.next_step(rollout, 6, share=0.04, canaries=("p1",))
        command = rollout_lib.AdvanceRollout(rollout=step)
        assert store.advance(command) is not None
        assert store.advance(command) is None
        end = rollout_lib.next_step(step, 7, phase=Phase.ROLLED_BACK)
        assert store.advance(rollout_lib.AdvanceRollout(rollout=end))
        late = rollout_lib.next_step(end, 8, phase=Phase.PROMOTED)
        assert store.advance(rollout_lib.AdvanceRollout(rollout=late)) is None

    def test_messages_survive_the_codec(self):
        rollout = rollout_lib.Rollout(
            service=SERVICE,
            number=2,
            target_version=NEW,
            duration_s=12.0,
            started_ms=1,
            canaries=("p1",),
            rejected=("1.5",),
        )
        counts = messages.RouteCounts(
            route="r", failed=1, timed_out=0, answered=(3, 4), cancelled=()
        )
        for message in (
            messages.Announcement(
                rollout=rollout,
                leader=fake_mesh.make_address("v0"),
                report_interval_s=0.5,
                reach=messages.Reach.RANGE,
            ),
            messages.UpstreamReport(
                service=SERVICE,
                number=2,
                version=NEW,
                epoch=1,
                slots=5,
                ready=True,
                closed=False,
                routes=(counts,),
            ),
            messages.RolloutReadReply(
                read_id=1,
                service=SERVICE,
                confirmed=True,
                rollout=rollout,
                leader=None,
            ),
        ):
            assert codec.decode(codec.encode(message)) == message


class TestStaleShare:
    def test_share_of_a_silent_leader_is_not_used(self):
        """Guard: `HEARD_SHARE` in version_choice._canaries."""
        mesh = rollout_mesh.make_rollout_mesh(entries=2)
        start_rollout(mesh)
        mesh.run_until(lambda: mesh.stored().share > 0, 6.0)
        mesh.run(0.5)
        state = mesh.nodes["e0"].state
        known = state.rollouts.known[SERVICE]
        known.credit = 1
        event = events.Event(now_s=mesh.now_s, random_bits=1)
        choice = version_choice.choose(state, event, SERVICE, set())
        assert choice.target is not None
        later = dataclasses.replace(event, now_s=known.heard_s + 3.1)
        choice = version_choice.choose(state, later, SERVICE, set())
        assert choice.target is None
