"""Tests of the parts of a rollout: counts, evidence, plan and spreading."""

import dataclasses
import random

from monsoonpass.core import events
from monsoonpass.core import node as node_lib
from monsoonpass.core.calls import outcome
from monsoonpass.core.calls import owner_call as owner_call_lib
from monsoonpass.core.rollouts import answer_counts
from monsoonpass.core.rollouts import evidence as evidence_lib
from monsoonpass.core.rollouts import knowledge
from monsoonpass.core.rollouts import owner
from monsoonpass.core.rollouts import plan
from monsoonpass.core.rollouts import rollout as rollout_lib
from monsoonpass.core.rollouts import rollout_messages as messages
from monsoonpass.core.rollouts import rollout_state
from monsoonpass.core.rollouts import version_choice
from tests import fake_mesh
from tests import fake_topologies

ROUTE = "shop/lots"
USUAL_S = 0.1
UNKNOWN = outcome.Outcome.UNKNOWN


def make_rollout(**changes) -> rollout_lib.Rollout:
    """Return a running rollout."""
    rollout = rollout_lib.Rollout(
        service="shop",
        number=1,
        target_version="2",
        duration_s=12.0,
        started_ms=1_000_000,
    )
    return dataclasses.replace(rollout, **changes)


def make_counts(*times_s: float, failed: int = 0) -> messages.RouteCounts:
    """Return counts of answers with some service times, and of failures."""
    counts = answer_counts.AnswerCounts()
    for time_s in times_s:
        counts.add_answer(ROUTE, time_s, failed=False)
    for _ in range(failed):
        counts.add_answer(ROUTE, 0.0, failed=True)
    return counts.report()[0]


class Comparison:
    """Evidence that is fed with reports at a constant interval."""

    def __init__(self) -> None:
        self.evidence = evidence_lib.Evidence()
        self.now_s = 100.0

    def feed(self, rounds: int, *, others, **targets) -> None:
        """Add reports of the other versions, and of canaries by name."""
        for _ in range(rounds):
            self.now_s += 0.5
            self.evidence.add_other(others)
            for name, counts in targets.items():
                self.evidence.add_target(name, counts, self.now_s)
            self.evidence.advance(self.now_s, is_comparable=True)
        self.now_s += 1.0
        self.evidence.advance(self.now_s, is_comparable=True)


SOUND = make_counts(*[USUAL_S] * 9, USUAL_S * 1.6)
OTHERS = make_counts(*[USUAL_S] * 200)
HALF_SLOW = make_counts(*[USUAL_S] * 5, *[USUAL_S * 8] * 5)


class TestEvidence:
    def test_sound_answers_prove_a_route(self):
        comparison = Comparison()
        comparison.feed(4, others=OTHERS, p1=SOUND, p2=SOUND)
        assert not comparison.evidence.is_suspect()
        assert comparison.evidence.unproven_routes(0.05) == []

    def test_sum_over_many_sound_answers_does_not_hide_a_late_fault(self):
        """Guard: `max(..., 0.0)` in Evidence._score."""
        comparison = Comparison()
        comparison.feed(20, others=OTHERS, p1=SOUND)
        comparison.feed(1, others=OTHERS, p1=make_counts(USUAL_S, failed=4))
        assert comparison.evidence.is_bad(is_promoted=False)

    def test_one_slow_upstream_of_several_is_not_the_version(self):
        """Guard: `slow_without` in Evidence._exceeds."""
        comparison = Comparison()
        comparison.feed(6, others=OTHERS, p1=HALF_SLOW, p2=SOUND, p3=SOUND)
        assert not comparison.evidence.is_bad(is_promoted=False)
        comparison.feed(3, others=OTHERS, p1=SOUND, p2=HALF_SLOW, p3=HALF_SLOW)
        assert comparison.evidence.is_bad(is_promoted=False)

    def test_failures_and_slow_answers_of_all_versions_do_not_count(self):
        """Guard: the rates of the others in Evidence._score."""
        comparison = Comparison()
        others = make_counts(*[USUAL_S] * 120, *[USUAL_S * 8] * 40, failed=40)
        target = make_counts(*[USUAL_S] * 6, *[USUAL_S * 8] * 2, failed=2)
        comparison.feed(1, others=OTHERS, p1=SOUND, p2=SOUND)
        comparison.feed(8, others=others, p1=target, p2=target)
        assert not comparison.evidence.is_bad(is_promoted=False)

    def test_false_alarms_are_rare(self):
        """400 sound rollouts with 0.4 % errors and a tail of slow answers."""
        rng = random.Random(7)
        alarms = 0
        for _ in range(400):
            comparison = Comparison()
            for _ in range(12):
                batches = [
                    make_counts(
                        *(
                            USUAL_S * rng.lognormvariate(0, 0.5)
                            for _ in range(size)
                        ),
                        failed=sum(rng.random() < 0.004 for _ in range(size)),
                    )
                    for size in (200, 8, 8)
                ]
                comparison.feed(
                    1, others=batches[0], p1=batches[1], p2=batches[2]
                )
            alarms += comparison.evidence.is_bad(is_promoted=False)
        assert alarms <= 4

    def test_cancelled_call_counts_only_if_it_was_slow(self):
        """Guard: `cancelled` in evidence.make_tally."""
        counts = answer_counts.AnswerCounts()
        counts.add_cancelled(ROUTE, USUAL_S)
        counts.add_cancelled(ROUTE, USUAL_S * 8)
        counts.add_timeout(ROUTE)
        median = answer_counts.bucket(USUAL_S)
        tally = evidence_lib.make_tally(counts.report()[0], median)
        assert (tally.answers, tally.slow) == (2.0, 2.0)


class TestTracker:
    def make_report(self, count: int, **changes) -> messages.UpstreamReport:
        """Return a report of a canary with some answers since its start."""
        report = messages.UpstreamReport(
            service="shop",
            number=1,
            version="2",
            epoch=1,
            slots=5,
            ready=True,
            closed=False,
            routes=(make_counts(*[USUAL_S] * count),),
        )
        return dataclasses.replace(report, **changes)

    def test_counts_of_a_repeated_or_restarted_owner_count_once(self):
        """Guard: the comparison of epochs in Tracker.add_report."""
        rollout = make_rollout()
        tracker = plan.Tracker(rollout, 100.0)
        for now_s, report in (
            (100.0, self.make_report(4)),
            (100.5, self.make_report(4)),
            (101.0, self.make_report(10)),
            (101.5, self.make_report(3, epoch=2)),
        ):
            tracker.add_report(rollout, "p1", report, now_s)
        tracker.evidence.advance(110.0, is_comparable=True)
        assert tracker.evidence.total == 13


class TestShare:
    def test_share_leaves_room_for_the_drawn_credits(self):
        """Six standard deviations fit, for any number of calls.

        Guard: `DRAW_SPREAD` in plan.share_max.
        """
        for exposed, slack in ((0.1, 50.0), (0.05, 20.0), (0.3, 5.0)):
            settings = node_lib.Settings(
                address=fake_mesh.make_address("n"),
                data_centre="a",
                region="a",
                has_disk=False,
                seeds=(),
                bootstrap_voters=(),
                exposed_share=exposed,
                exposed_slack=slack,
            )
            share = plan.share_max(settings)
            assert 0 < share <= 0.8 * exposed
            for calls in (10, 100, 1000, 10_000, 100_000):
                mean = share * calls
                assert mean + 6 * mean**0.5 <= exposed * calls + slack


def make_owner(version: str) -> fake_mesh.FakeNode:
    """Return a started node whose upstream has a version."""
    mesh = fake_mesh.FakeMesh(seed=1)
    node = mesh.add("p1", disk=False, seeds=(), voters=())
    node.start()
    node.feed(
        events.UpstreamAnnounced,
        service="shop",
        slots=4,
        cold=False,
        version=version,
    )
    mesh.run(5)
    return node


def learn(node: fake_mesh.FakeNode, rollout: rollout_lib.Rollout) -> None:
    """Announce a rollout to a node."""
    node.feed(
        events.PeerMessage,
        sender=fake_mesh.make_address("v0"),
        message=messages.Announcement(
            rollout=rollout,
            leader=fake_mesh.make_address("v0"),
            report_interval_s=0.5,
        ),
    )


class TestOwner:
    def finish(self, node, *, silent=False, failure=None, **fields) -> None:
        """End a call of the own upstream."""
        now_s = node.mesh.now_s
        call = owner_call_lib.OwnerCall(
            owner_call_id=5,
            priority=1,
            deadline_s=now_s + 1.0,
            bulk=False,
            route=ROUTE,
            arrived_s=now_s,
            process_number=node.state.upstream.process_number,
        )
        node.state.admission.in_progress[5] = call
        node.feed(
            events.OwnerCallFinished,
            owner_call_id=5,
            service_time_s=USUAL_S,
            failure=failure,
            silent=silent,
            **fields,
        )

    def test_what_counts_as_a_failure_of_the_version(self):
        """Guards against overload and lost processes blamed on a version.

        Guard: `owner.record_finished`.
        """
        node = make_owner("2")
        learn(node, make_rollout())
        broken = outcome.Failure(
            outcome=UNKNOWN, reason=outcome.Reason.UPSTREAM_BROKE_OFF
        )
        self.finish(node, status=200)
        self.finish(node, status=404)
        self.finish(node, status=500)
        self.finish(node, status=503, failure=broken)
        self.finish(node, status=503, shed=True)
        self.finish(node, failure=broken)
        self.finish(node, silent=True, failure=broken)
        (counts,) = node.state.rollouts.counts.report()
        assert counts.failed == 2
        assert counts.timed_out == 0
        assert counts.answered[1::2] == (2,)
        assert counts.cancelled[1::2] == (1,)

    def test_other_versions_close_only_after_all_calls_go_to_the_target(self):
        """Guard: `closes_at_s` in owner.handle_known."""
        node = make_owner("1")
        learn(node, make_rollout())
        promoted = make_rollout(
            phase=rollout_lib.Phase.PROMOTED, step=1, share=0.4
        )
        learn(node, promoted)
        node.mesh.run(2.0)
        assert not owner.refuses_calls(node.state, node.mesh.now_s)
        learn(node, dataclasses.replace(promoted, step=2, share=1.0))
        assert not owner.refuses_calls(node.state, node.mesh.now_s)
        node.mesh.run(owner.CLOSE_DELAY_S)
        assert owner.refuses_calls(node.state, node.mesh.now_s)

    def test_older_records_are_ignored(self):
        """A leader that was frozen announces what it knew.

        Guard: the first condition in knowledge.learn.
        """
        node = make_owner("2")
        back = make_rollout(phase=rollout_lib.Phase.ROLLED_BACK, step=3)
        learn(node, back)
        learn(node, make_rollout(step=2, canaries=("p1",), share=0.08))
        assert node.state.rollouts.find("shop") == back
        assert owner.refuses_calls(node.state, node.mesh.now_s)


class TestSpread:
    def test_announcement_reaches_many_members_through_a_few(self):
        """Guard: the ranges in knowledge.spread."""
        mesh = fake_mesh.FakeMesh(seed=1)
        node = mesh.add("n0", disk=False, seeds=(), voters=())
        node.start()
        names = [f"m{number:04}" for number in range(1300)]
        announcement = messages.Announcement(
            rollout=make_rollout(),
            leader=fake_mesh.make_address("v0"),
            report_interval_s=0.5,
        )
        event = events.Event(now_s=mesh.now_s, random_bits=3)
        sends = knowledge.spread(
            node.state,
            event,
            announcement,
            [fake_mesh.make_address(name) for name in names],
        )
        assert len(sends) <= 40
        reached = [
            name
            for send in sends
            for name in names
            if send.message.first <= name <= send.message.last
        ]
        assert reached == names

    def test_few_members_get_it_directly(self):
        mesh = fake_mesh.make_group(3)
        mesh.run(3)
        mesh.submit("n0", fake_mesh.make_shop_catalog(1.0))
        mesh.run(1)
        mesh.nodes["n1"].feed(
            events.RolloutRequested,
            request_id=77,
            service="shop",
            target_version="2",
            duration_s=12.0,
        )
        mesh.run(1)
        for node in mesh.nodes.values():
            known = node.state.rollouts.known["shop"]
            assert isinstance(known, rollout_state.KnownRollout)


class TestOtherDataCentres:
    def test_nodes_of_other_data_centres_hear_of_it(self):
        """Guard: `Reach.DATA_CENTRE` in leader._announce."""
        mesh = fake_topologies.make_serving_data_centres()
        mesh.nodes["a0"].feed(
            events.RolloutRequested,
            request_id=77,
            service="x",
            target_version="2",
            duration_s=12.0,
        )
        mesh.run(2)
        for node in mesh.nodes.values():
            assert node.state.rollouts.find("x") is not None, node.name


class TestCredit:
    def test_canaries_get_the_share_of_the_answered_calls(self):
        """Guards against a share that the slack of short tests would hide.

        Guard: the draw in version_choice.record_answer.
        """
        node = make_owner("2")
        state = node.state
        learn(node, make_rollout(step=1, share=0.08, canaries=("p1",)))
        state.membership.table.put(
            dataclasses.replace(
                state.membership.own_record,
                address=fake_mesh.make_address("o1"),
                version="1",
            ),
            node.mesh.now_s,
        )
        rng = random.Random(3)
        calls, sent = 20_000, 0
        for _ in range(calls):
            event = events.Event(
                now_s=node.mesh.now_s, random_bits=rng.getrandbits(64)
            )
            choice = version_choice.choose(state, event, "shop", set())
            if choice.target is not None:
                sent += 1
                version_choice.record_sent_to_target(state, "shop")
            version_choice.record_answer(state, event, "shop")
        assert 0.07 * calls < sent < 0.09 * calls

    def test_second_attempts_do_not_go_to_a_canary(self):
        """Guard: `tried` in version_choice._canaries."""
        node = make_owner("2")
        learn(node, make_rollout(step=1, share=0.08, canaries=("p1",)))
        known = node.state.rollouts.known["shop"]
        known.credit = 1
        event = events.Event(now_s=node.mesh.now_s, random_bits=1)
        first = version_choice.choose(node.state, event, "shop", set())
        second = version_choice.choose(node.state, event, "shop", {"o1"})
        assert first.target is not None
        assert second.target is None


class TestVerdict:
    """The next step of a rollout at 0.7 of its duration."""

    def next_step(
        self, *, target: messages.RouteCounts, slots: int = 5
    ) -> rollout_lib.Rollout | None:
        """Feed four seconds of reports and return the next step."""
        node = make_owner("2")
        now_s = node.mesh.now_s
        started_ms = node.state.wall_ms(now_s) - 4400
        rollout = make_rollout(
            started_ms=started_ms, step=2, share=0.08, canaries=("p1", "p2")
        )
        tracker = plan.Tracker(rollout, now_s)
        totals = {"p1": 0, "p2": 0, "o1": 0, "o2": 0}
        planned = None
        for _ in range(8):
            now_s += 0.5
            for name in totals:
                totals[name] += 1
                is_target = name.startswith("p")
                counts = target if is_target else OTHERS
                report = messages.UpstreamReport(
                    service="shop",
                    number=1,
                    version="2" if is_target else "1",
                    epoch=totals[name],
                    slots=slots if is_target else 5,
                    ready=True,
                    closed=False,
                    routes=(counts,),
                )
                tracker.add_report(rollout, name, report, now_s)
            planned = plan.next_step(node.state, rollout, tracker, now_s)
        return planned

    def test_sound_version_is_promoted(self):
        planned = self.next_step(target=SOUND)
        assert planned.phase is rollout_lib.Phase.PROMOTED

    def test_too_few_answers_are_no_verdict(self):
        """Guard: `unproven_routes` and `SAMPLES_MIN` in plan._is_proven."""
        planned = self.next_step(target=make_counts(USUAL_S))
        assert planned is None or planned.phase is rollout_lib.Phase.RUNNING

    def test_frequent_route_without_answers_is_no_verdict(self):
        """Guard: `unproven_routes` in plan._is_proven."""
        target = dataclasses.replace(SOUND, route="shop/other")
        planned = self.next_step(target=target)
        assert planned is None or planned.phase is rollout_lib.Phase.RUNNING

    def test_slow_calls_in_progress_delay_the_verdict(self):
        """Slow answers come later than others of the same period.

        Guard: `slow_running` in plan._is_proven.
        """
        running = (answer_counts.bucket(USUAL_S * 5), 1)
        target = dataclasses.replace(SOUND, running=running)
        planned = self.next_step(target=target)
        assert planned is None or planned.phase is rollout_lib.Phase.RUNNING

    def test_target_with_too_few_slots_is_not_promoted_yet(self):
        """Guard: `SLOTS_NEEDED` in plan._is_proven."""
        planned = self.next_step(target=SOUND, slots=4)
        assert planned is None or planned.phase is rollout_lib.Phase.RUNNING
