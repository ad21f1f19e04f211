"""Tests of quotas: the promise, the usual case, leaders, and calls."""

import random

import pytest

from monsoonpass.core import timers
from monsoonpass.core.agreement import consensus_records as records
from monsoonpass.core.calls import outcome
from monsoonpass.core.distribution import catalog as catalog_lib
from monsoonpass.core.quotas import allocator as allocator_lib
from monsoonpass.core.quotas import authority
from monsoonpass.core.quotas import limits as limits_lib
from monsoonpass.core.quotas import quota_messages as messages
from monsoonpass.core.quotas import spent_window
from monsoonpass.core.quotas import token_holder
from monsoonpass.formats import header_names as header_names_lib
from monsoonpass.formats import settings as settings_lib
from monsoonpass.runtime import caller_http
from tests import fake_calls
from tests import fake_mesh
from tests import fake_quotas
from tests import test_formats

OVER_QUOTA = outcome.Reason.OVER_QUOTA
CHAOS_SEEDS = range(10)


def run_chaos(seed: int) -> fake_quotas.QuotaSim:
    """Run drawn demand and faults, checking the promise and the tokens."""
    rng = random.Random(seed)
    workspaces = [
        fake_quotas.Workspace(
            name=f"w{rate_per_s}",
            rate_per_s=rate_per_s,
            burst=rng.choice((0.0, 0.5, 2.0)) * rate_per_s,
            demand_per_s=rng.choice((0.1, 0.6, 1.0, 3.0, 8.0)) * rate_per_s,
        )
        for rate_per_s in (2.0, 9.0, 40.0)
    ]
    sim = fake_quotas.QuotaSim(
        seed=seed,
        nodes=rng.choice((1, 3, 8)),
        workspaces=workspaces,
        is_first_start=rng.random() < 0.7,
    )
    for _ in range(50):
        disturb(sim, rng)
        sim.run(rng.uniform(0.1, 1.5))
        sim.check_capacity()
    sim.check_bound()
    return sim


def disturb(sim: fake_quotas.QuotaSim, rng: random.Random) -> None:
    """Draw one fault, recovery or change of demand."""
    draw = rng.random()
    node = rng.choice(sim.nodes)
    if draw < 0.08:
        sim.lose_leader(crashed=rng.random() < 0.5)
    elif draw < 0.2:
        for other in sim.nodes:
            other.is_cut = rng.random() < 0.4
    elif draw < 0.3:
        for other in sim.nodes:
            other.is_cut = False
    elif draw < 0.4:
        node.alive = False
        sim.call_later(rng.uniform(0.3, 3.0), node.start)
    elif draw < 0.5 and node.alive and not node.frozen:
        node.frozen = True
        sim.call_later(rng.uniform(0.2, 12.0), wake, node, node.holder)
    elif draw < 0.8:
        workspace = rng.choice(list(sim.workspaces))
        sim.demand_factors[workspace] = rng.choice((0.0, 0.1, 1.0, 4.0, 8.0))


def wake(node: fake_quotas.EntryNode, holder: token_holder.TokenHolder) -> None:
    """Wake a process up if it still runs."""
    if node.holder is holder and node.alive and node.frozen:
        node.wake()


class TestPromise:
    @pytest.mark.parametrize("seed", CHAOS_SEEDS)
    def test_holds_under_drawn_demand_and_faults(self, seed):
        """Guards against more requests in a window than promised.

        Cuts, restarts, freezes of up to 12 s, and leaders that crash or are
        deposed and go on until their lease ends. Guards: `Allocator._room`,
        `TokenHolder._expire`, `TokenHolder._own_share_starts_s`.
        """
        run_chaos(seed)

    @pytest.mark.parametrize("seed", range(3))
    def test_holds_when_hoarded_tokens_meet_a_change_of_leader(self, seed):
        """Guards against a successor that adds to its predecessor's tokens.

        The workspace is idle until the nodes and the bucket are full, all its
        tokens are spent as the leader changes, and the demand stays high.
        Guards: `handed_over` and `HELD_EXTRA_S` in `Allocator._room`.
        """
        sim = small_sim(seed, nodes=8, rate_per_s=40.0, demand=0.3)
        sim.run(10.0)
        sim.demand_factors["w"] = 30.0
        sim.run(0.1 * seed)
        for _ in range(3):
            sim.lose_leader(crashed=False)
            sim.run(2.5)
            sim.check_capacity()
        sim.run(8.0)
        sim.check_bound()

    def test_holds_when_nodes_leave_their_own_shares(self):
        """Guards against own shares spent beside the allocator's tokens.

        Frozen nodes wake up, spend their own share before they hear of an
        allocator, and then get tokens. Guards: `handover` of `spent` in
        `TokenHolder.handle_reply`, `handed_over` in `Allocator._room`.
        """
        sim = small_sim(5, nodes=3, rate_per_s=120.0, demand=1.0)
        sim.run(4.0)
        for node in sim.nodes:
            node.frozen = True
        sim.lose_leader(crashed=True)
        sim.run(10.0)
        sim.demand_factors["w"] = 8.0
        for node in sim.nodes:
            sim.run(0.7)
            node.wake()
        sim.run(6.0)
        sim.check_bound()

    def test_frozen_node_does_not_spend_old_tokens(self):
        """Guards against tokens that the allocator has granted to others.

        Guard: `valid_until_s` in `TokenHolder._expire`, on a clock that runs
        while the process is frozen.
        """
        sim = small_sim(1, nodes=2, rate_per_s=50.0, demand=0.6)
        sim.run(5.0)
        node = sim.nodes[0]
        assert node.holder.tokens["w"].held > 0
        node.frozen = True
        sim.run(limits_lib.LOAN_S + 0.1)
        node.frozen = False
        node.is_cut = True
        call = sim.call(node, "w")
        assert call.ended_s is None
        assert node.holder.tokens["w"].held == 0


def small_sim(
    seed: int, *, nodes: int, rate_per_s: float, demand: float, burst: float = 0
) -> fake_quotas.QuotaSim:
    """Return a simulation with one workspace, "w"."""
    workspace = fake_quotas.Workspace(
        name="w",
        rate_per_s=rate_per_s,
        burst=burst,
        demand_per_s=demand * rate_per_s,
    )
    return fake_quotas.QuotaSim(seed=seed, nodes=nodes, workspaces=[workspace])


class TestUsualCase:
    def test_61_nodes_and_72_workspaces(self):
        """Guards against refusals below the limit, and against chatter.

        Guards: the waiting in `TokenHolder.acquire`; `ADVANCE_S` and
        `HELD_EXTRA_S`, without which most calls need an exchange.
        """
        sim = fake_quotas.QuotaSim(
            seed=1, nodes=61, workspaces=fake_quotas.make_workspaces()
        )
        sim.run(6.0)
        before, begin_s = sim.messages, sim.now_s
        sim.run(5.0)
        messages_per_s = (sim.messages - before) / 5.0
        end_s = sim.now_s
        sim.run(2.0)
        assert sim.passed_share(begin_s, end_s) > 0.995
        assert messages_per_s < 450
        sim.check_bound()

    def test_demand_at_the_limit(self):
        """Guards against reports that come too late to mint at the full rate.

        Guard: `SATURATED_WAIT_MIN_S` and the renewal keep unreported tokens
        below the slack.
        """
        sim = small_sim(2, nodes=20, rate_per_s=100.0, demand=1.3)
        sim.run(10.0)
        begin_s = sim.now_s
        sim.run(10.0)
        admitted = sum(time_s >= begin_s for time_s in sim.admissions["w"])
        assert admitted / 10.0 > 97.0
        sim.check_bound()

    def test_large_workspace_above_its_limit_leaves_others_alone(self):
        """Guards against a flood of requests by nodes without tokens.

        Guard: `blocked_until_s` in `TokenHolder.next_request_s`.
        """
        workspaces = fake_quotas.make_workspaces(count=10, burst_s=0.5)
        sim = fake_quotas.QuotaSim(seed=3, nodes=30, workspaces=workspaces)
        sim.run(6.0)
        sim.demand_factors["w2"] = 7.5
        before, begin_s = sim.messages, sim.now_s
        sim.run(5.0)
        messages_per_s = (sim.messages - before) / 5.0
        others = [
            call
            for call in sim.calls
            if call.workspace != "w2"
            and begin_s <= call.arrived_s < sim.now_s - 1.0
        ]
        assert sum(call.admitted for call in others) > 0.99 * len(others)
        assert messages_per_s < 30 * 2 * 5
        admitted = sum(time_s >= begin_s for time_s in sim.admissions["w2"])
        assert admitted / 5.0 > sim.workspaces["w2"].rate_per_s
        sim.check_bound()

    def test_loss_of_the_leader_is_bridged(self):
        """Guards against refusals below the limit during an election.

        Guards: tokens in advance, waiting for a grant, and `handed_over`.
        """
        sim = fake_quotas.QuotaSim(
            seed=4,
            nodes=61,
            workspaces=fake_quotas.make_workspaces(count=30, burst_s=0.5),
        )
        sim.run(6.0)
        begin_s = sim.now_s
        sim.lose_leader(crashed=True)
        sim.run(5.0)
        end_s = sim.now_s
        sim.run(2.5)
        assert sim.passed_share(begin_s, end_s) > 0.98
        sim.check_bound()

    def test_few_calls_need_few_messages(self):
        """Guards against nodes that renew tokens which nobody needs.

        Guard: `KEEP_RATE_PER_S` in `TokenHolder.make_request`.
        """
        sim = small_sim(6, nodes=20, rate_per_s=100.0, demand=0.01)
        sim.run(20.0)
        before, calls = sim.messages, len(sim.calls)
        sim.run(20.0)
        calls = len(sim.calls) - calls
        assert sim.messages - before <= 2.5 * calls
        sim.demand_factors["w"] = 0.0
        sim.run(5.0)
        before = sim.messages
        sim.run(20.0)
        assert sim.messages == before


class TestLimitChanges:
    def test_lowered_limit_binds_after_one_window(self):
        """Guards against tokens of the old limit that stay in use.

        Guard: `_start_recall` in `Allocator.handle`.
        """
        sim = small_sim(7, nodes=10, rate_per_s=200.0, demand=0.9)
        sim.run(8.0)
        sim.workspaces["w"].rate_per_s = 10.0
        sim.set_limits()
        sim.run(2.5 + limits_lib.WINDOW_S)
        begin_s = sim.now_s
        sim.run(10.0)
        times = [t for t in sim.admissions["w"] if t >= begin_s]
        worst = fake_quotas.max_in_window(times, limits_lib.WINDOW_S)
        assert worst <= limits_lib.admitted_max(10.0, 0.0, fake_quotas.SLACK)
        assert len(times) > 0.9 * 10.0 * 10.0


class TestOwnShare:
    def test_serves_a_partitioned_node_in_the_end(self):
        """Guards against a partition that refuses all calls for its length.

        Guard: the own share in `TokenHolder._take`.
        """
        sim = small_sim(8, nodes=4, rate_per_s=100.0, demand=0.5)
        sim.run(5.0)
        for node in sim.nodes:
            node.is_cut = True
        sim.run(10.0)
        begin_s = sim.now_s
        sim.run(10.0)
        end_s = sim.now_s
        sim.run(2.5)
        assert sim.passed_share(begin_s, end_s) > 0.6
        sim.check_bound()

    def test_allocator_does_not_mint_a_silent_nodes_share(self):
        """Guards against a rate that is used twice.

        Guard: `is_lent` in `Allocator._update_fraction`.
        """
        sim = small_sim(9, nodes=4, rate_per_s=100.0, demand=0.5)
        sim.run(5.0)
        assert sim.leader.allocator.fraction == pytest.approx(1.0)
        sim.nodes[0].is_cut = True
        sim.run(4.0)
        share = sim.nodes[0].holder.share
        assert share == pytest.approx(limits_lib.SHARES_TOTAL / 4)
        fraction = sim.leader.allocator.fraction
        assert fraction == pytest.approx(1.0 - share)


class TestRetryAfter:
    @pytest.mark.parametrize("rate_per_s", [2.0, 10.0, 50.0])
    def test_call_that_returns_when_told_is_admitted(self, rate_per_s):
        """Guards against a Retry-After that is a guess.

        Guard: `TokenHolder.retry_after_s` spreads calls at the rate at which
        the node gets tokens.
        """
        sim = small_sim(10, nodes=1, rate_per_s=rate_per_s, demand=0.0)
        sim.run(1.0)
        node = sim.nodes[0]
        made = [sim.call(node, "w") for _ in range(int(rate_per_s * 6) + 60)]
        sim.run(0.8)
        refused = [call for call in made if not call.admitted]
        assert len(refused) > 10
        returned = []
        for call in refused[:10]:
            due_s = call.ended_s + call.retry_after_s
            sim.call_later(
                max(due_s - sim.now_s, 0.0),
                lambda: returned.append(sim.call(node, "w")),
            )
        sim.run(15.0)
        assert len(returned) == len(refused[:10])
        assert sum(call.admitted for call in returned) >= 0.9 * len(returned)

    def test_status_and_header(self):
        """Guards against 503 for a call over its quota."""
        failure = outcome.Failure(
            outcome=outcome.Outcome.NOT_RUN,
            reason=OVER_QUOTA,
            retry_after_s=0.423,
        )
        names = header_names_lib.HeaderNames(retry_after_decimals=2)
        status, headers, _ = caller_http.failure_response(failure, names)
        assert status == 429
        assert dict(headers)[b"retry-after"] == b"0.43"
        assert dict(headers)[b"monsoonpass-outcome"] == b"not-run"


class TestSettings:
    def test_quotas_section(self):
        """Guards against settings that do not reach the reducer."""
        text = test_formats.VALID_SETTINGS
        text += "[quotas]\nwait_s = 0.5\nslack_ratio = 0.2\nslack_tokens = 5\n"
        parsed = settings_lib.parse(text).reducer_settings()
        assert parsed.quota_wait_s == 0.5
        assert parsed.quota_slack == limits_lib.Slack(ratio=0.2, tokens=5.0)
        limit = limits_lib.make_limit(10.0, 3.0, parsed.quota_slack)
        promised = limits_lib.admitted_max(10.0, 3.0, parsed.quota_slack)
        assert promised == pytest.approx(53.0 * 1.2 + 5.0)
        assert 53.0 < limit.window_max < promised


class TestMessages:
    LIMITS = {
        "w": limits_lib.make_limit(100.0, 0.0, limits_lib.Slack()),
    }

    def make_pair(self):
        allocator = allocator_lib.Allocator(
            session=3, start_s=0.0, predecessor_end_s=None
        )
        holder = token_holder.TokenHolder(incarnation=1)
        now_s = 10.0
        holder.acquire("w", self.LIMITS["w"], waiter(1, 20.0), now_s)
        self.exchange(allocator, holder, now_s)
        self.exchange(allocator, holder, now_s)
        return allocator, holder

    def exchange(self, allocator, holder, now_s):
        request = holder.make_request(self.LIMITS, now_s)
        reply = self.handle(allocator, request, now_s)
        holder.handle_reply(reply, now_s)
        return request, reply

    def handle(self, allocator, request, now_s):
        return allocator.handle(
            request, instance="n", now_s=now_s, limits=self.LIMITS
        )

    def test_lost_reply_does_not_lose_or_double_tokens(self):
        """Guards against grants that count twice after a request is repeated.

        Guard: `reported` in `TokenHolder._report`, absolute counts in
        `Allocator._set_held`.
        """
        allocator, holder = self.make_pair()
        holder.serve_waiting(self.LIMITS, 10.0)
        for call_id in (2, 3):
            holder.tokens["w"].waiting.append(waiter(call_id, 20.0))
        late = self.handle(
            allocator, holder.make_request(self.LIMITS, 10.1), 10.1
        )
        request, _ = self.exchange(allocator, holder, 10.2)
        assert [report.waiting for report in request.reports] == [2]
        held = holder.tokens["w"].held
        assert not holder.handle_reply(late, 10.3)
        assert holder.tokens["w"].held == held
        record = allocator._nodes["n"]
        assert record.held["w"] == held

    def test_repeated_request_is_ignored(self):
        """Guards against a duplicate that takes tokens for nobody."""
        allocator, holder = self.make_pair()
        request = holder.make_request(self.LIMITS, 10.1)
        assert self.handle(allocator, request, 10.1) is not None
        assert self.handle(allocator, request, 10.1) is None

    def test_stale_reply_grants_nothing(self):
        """Guards against a reply that lay in a buffer of a frozen process.

        Guard: `is_valid` in `TokenHolder.handle_reply`.
        """
        allocator, holder = self.make_pair()
        holder.serve_waiting(self.LIMITS, 10.0)
        holder.tokens["w"].waiting.append(waiter(2, 90.0))
        request = holder.make_request(self.LIMITS, 10.1)
        reply = self.handle(allocator, request, 10.1)
        assert reply.grants[0].tokens == 1
        holder.handle_reply(reply, 10.1 + limits_lib.LOAN_S)
        assert holder.tokens["w"].held == 0

    def test_request_from_a_buffer_does_not_lend_a_share(self):
        """Guards against a frozen allocator that counts a share as lent.

        Guard: `echo_s` in `Allocator.handle` is the time of a reply, not of
        the arrival of the request.
        """
        allocator, holder = self.make_pair()
        holder.calls.add(100, 10.0)
        self.exchange(allocator, holder, 10.1)
        self.exchange(allocator, holder, 10.2)
        assert allocator.fraction == pytest.approx(1.0)
        request = holder.make_request(self.LIMITS, 10.3)
        self.handle(allocator, request, 10.3 + limits_lib.LOAN_S)
        assert allocator.fraction == pytest.approx(1.0 - holder.share)

    def test_restarted_node_starts_without_tokens(self):
        """Guards against tokens that nobody holds and that block others."""
        allocator, holder = self.make_pair()
        holder.serve_waiting(self.LIMITS, 10.0)
        holder.tokens["w"].waiting.append(waiter(2, 20.0))
        self.exchange(allocator, holder, 10.1)
        assert allocator._buckets["w"].granted == 1
        restarted = token_holder.TokenHolder(incarnation=2)
        self.exchange(allocator, restarted, 10.2)
        assert allocator._buckets["w"].granted == 0
        assert allocator._buckets["w"].spent.count(10.2) == 2

    def test_spent_tokens_leave_the_window_after_its_length(self):
        """Guards against spendings that are forgotten too early."""
        window = spent_window.SpentWindow()
        window.add(3, 100.0)
        window.add(2, 100.0, 2.0)
        assert window.count(102.9) == 5
        assert window.count(104.9) == 3
        assert window.count(105.6) == 0

    def test_counts_by_age_round_the_age_down(self):
        window = spent_window.SpentWindow()
        window.add(3, 100.0)
        window.add(2, 103.1)
        assert sum(window.by_age(104.0)) == 5
        slots_per_s = int(1.0 / spent_window.SLOT_S)
        assert sum(window.by_age(104.0)[: 1 * slots_per_s]) == 2
        assert sum(window.by_age(104.0)[3 * slots_per_s :]) == 3


class TestSuccessor:
    """An allocator whose predecessor ended at 10 s, with 100 tokens a second.

    Its only node hands over nothing that is still valid unless a test says so.
    """

    LIMITS = TestMessages.LIMITS

    def make(self, *, held=0, spent=(), unreported=0, own=False):
        allocator = allocator_lib.Allocator(
            session=3, start_s=10.0, predecessor_end_s=10.0
        )
        for number, is_handover in ((1, False), (2, True)):
            report = messages.TokenReport(
                workspace="w",
                held=held,
                waiting=0,
                wanted=0,
                calls=0,
                spent=tuple(spent),
                unreported=unreported,
            )
            request = messages.TokenRequest(
                incarnation=1,
                number=number,
                session=3 if is_handover else 2,
                echo_s=10.0,
                share=limits_lib.SHARES_TOTAL,
                wants_share=True,
                handover=is_handover,
                used_own_share=own,
                released=False,
                reports=(report,) if is_handover else (),
            )
            self.handle(allocator, request, 10.0)
        assert allocator.fraction == pytest.approx(1.0)
        return allocator

    def handle(self, allocator, request, now_s):
        return allocator.handle(
            request, instance="n", now_s=now_s, limits=self.LIMITS
        )

    def tokens_at(self, allocator, now_s):
        """Return the tokens that exist once the node has asked again."""
        number = allocator._nodes["n"].number + 1
        report = messages.TokenReport(
            workspace="w", held=0, waiting=0, wanted=0, calls=0
        )
        request = messages.TokenRequest(
            incarnation=1,
            number=number,
            session=3,
            echo_s=now_s,
            share=limits_lib.SHARES_TOTAL,
            wants_share=True,
            handover=False,
            used_own_share=False,
            released=False,
            reports=(report,),
        )
        self.handle(allocator, request, now_s)
        return allocator.outstanding("w")

    def test_grants_what_was_handed_over(self):
        assert self.tokens_at(self.make(held=30), 10.1) == 30

    def test_mints_nothing_beside_unknown_tokens(self):
        """Guards against more tokens than `held_max` in a change of leader.

        The node spent 80 tokens 4.5 s ago, which leave the window soon, but
        others may hold tokens for 2 s. Guard: `held_before`.
        """
        spent = (0,) * 18 + (80,)
        assert self.tokens_at(self.make(spent=spent), 11.9) == 0
        held = self.tokens_at(self.make(spent=spent, unreported=20), 11.9)
        assert held == pytest.approx(20)

    def test_mints_again_what_has_left_the_window(self):
        """Guards against requests that wait though what ran is known."""
        spent = (0,) * 18 + (80,)
        allocator = self.make(spent=spent)
        assert self.tokens_at(allocator, 12.1) > 75

    @pytest.mark.parametrize("now_s", [12.2, 13.0, 14.5, 16.9])
    def test_mints_at_the_rate_after_a_pause(self, now_s):
        """Guards against the predecessor's tokens and a full bucket at once.

        Guards: `pause_s` and `unspent_max` in `Allocator._room`.
        """
        tokens = self.tokens_at(self.make(), now_s)
        limit = self.LIMITS["w"]
        unspent = limit.held_max - 100.0 * limits_lib.HELD_EXTRA_S
        pause_end_s = 10.0 + limits_lib.HELD_EXTRA_S
        assert 0 < tokens <= min(100.0 * (now_s - pause_end_s), unspent) + 1e-6

    def test_counts_own_shares_as_minted(self):
        """Guards against a share that its node and the allocator have used.

        Guard: `used_own_share` in `Allocator._take_over`.
        """
        allocator = self.make(spent=(60,), own=True)
        assert self.tokens_at(allocator, 12.1) == 0
        assert self.tokens_at(allocator, 12.6) == pytest.approx(50)

    def test_knows_the_window_after_its_length(self):
        allocator = self.make()
        full = self.LIMITS["w"].held_max
        assert self.tokens_at(allocator, 17.2) == pytest.approx(full)


class TestHolder:
    LIMITS = TestMessages.LIMITS

    def make(self):
        """Return a holder with a share, whose loan ends at 12 s."""
        holder = token_holder.TokenHolder(incarnation=1, session=3)
        holder.share = 0.1
        holder.share_until_s = 40.0
        holder.lent_until_s = 12.0
        return holder

    def acquire(self, holder, now_s):
        limit = self.LIMITS["w"]
        return holder.acquire("w", limit, waiter(1, now_s), now_s)

    def reply(self, holder, now_s, session=3):
        return messages.TokenReply(
            number=holder.number,
            session=session,
            sent_s=5.0,
            share=0.1,
            retry_s=0.0,
            leader=None,
        )

    def test_own_share_starts_late_enough(self):
        """Guards against own shares beside tokens that count on them.

        Guard: `TokenHolder._own_share_starts_s`.
        """
        start_s = 12.0 + limits_lib.LOAN_S + limits_lib.WINDOW_S
        admitted = token_holder.Decision.ADMITTED
        assert self.acquire(self.make(), start_s - 0.1) is not admitted
        assert self.acquire(self.make(), start_s + 0.1) is admitted
        assert self.acquire(self.make(), 40.1) is not admitted

    def test_own_share_is_bounded_by_its_part_of_the_window(self):
        holder = self.make()
        decisions = [self.acquire(holder, 20.0) for _ in range(100)]
        admitted = decisions.count(token_holder.Decision.ADMITTED)
        assert admitted == int(self.LIMITS["w"].window_max * 0.1)

    def test_spent_own_share_is_handed_over(self):
        """Guards against an allocator that does not count these requests.

        Guard: `is_on_own_share` in `TokenHolder.handle_reply`.
        """
        holder = self.make()
        self.acquire(holder, 20.0)
        holder.make_request(self.LIMITS, 20.1)
        holder.handle_reply(self.reply(holder, 20.2), 20.2)
        request = holder.make_request(self.LIMITS, 20.2)
        assert request.handover
        assert request.used_own_share
        assert sum(request.reports[0].spent) == 1

    def test_handover_is_repeated_until_an_allocator_replies(self):
        """Guards against tokens and spendings that nobody counts.

        Guards: `must_hand_over` and `handed_over` are kept until the reply.
        """
        holder = self.make()
        holder.must_hand_over = True
        holder.valid_until_s = 22.0
        holder.tokens["w"] = token_holder.Tokens(held=4)
        first = holder.make_request(self.LIMITS, 20.0)
        holder.handle_reply(self.reply(holder, 20.1, session=0), 20.1)
        second = holder.make_request(self.LIMITS, 20.2)
        assert holder.tokens["w"].held == 0
        for request in (first, second):
            assert request.handover
            assert request.reports[0].held == 4
        holder.handle_reply(self.reply(holder, 20.3), 20.3)
        assert not holder.make_request(self.LIMITS, 20.4).handover

    def test_lost_request_is_repeated_with_all_that_changed(self):
        """Guards against tokens that the allocator never counts as spent.

        Guard: `was_reported` in `TokenHolder._report`.
        """
        holder = self.make()
        holder.valid_until_s = 22.0
        holder.tokens["w"] = token_holder.Tokens(held=4)
        self.acquire(holder, 20.0)
        first = holder.make_request(self.LIMITS, 20.1)
        second = holder.make_request(self.LIMITS, 20.4)
        assert [report.held for report in first.reports] == [3]
        assert [report.held for report in second.reports] == [3]
        holder.handle_reply(self.reply(holder, 20.5), 20.5)
        assert not holder.make_request(self.LIMITS, 20.6).reports

    def test_recalled_tokens_are_dropped(self):
        """Guards against tokens of a limit that was lowered.

        Guards: `held_max` in `Allocator._grant_all`, also for workspaces that
        the request does not report, and in `TokenHolder.handle_reply`.
        """
        pair = TestMessages()
        allocator, holder = pair.make_pair()
        holder.serve_waiting(self.LIMITS, 10.0)
        holder.calls.add(100, 10.0)
        holder.tokens["w"].demand.add(100, 10.0)
        holder.tokens["w"].changed = True
        pair.exchange(allocator, holder, 10.1)
        assert holder.tokens["w"].held > 25
        lowered = {"w": limits_lib.make_limit(1.0, 0.0, limits_lib.Slack())}
        request = holder.make_request(self.LIMITS, 10.3)
        assert not request.reports
        reply = allocator.handle(
            request, instance="n", now_s=10.3, limits=lowered
        )
        holder.handle_reply(reply, 10.3)
        assert holder.tokens["w"].held <= lowered["w"].held_max


def waiter(call_id: int, until_s: float) -> token_holder.Waiter:
    return token_holder.Waiter(call_id=call_id, until_s=until_s)


def make_limited_mesh(
    *, rate_per_s: float, seed_number: int = 1, voters: int = 3
) -> fake_calls.CallMesh:
    """Return a mesh of voters, owners and entry nodes with a workspace."""
    mesh = fake_calls.CallMesh(seed=seed_number)
    voter_names = tuple(f"v{number}" for number in range(voters))
    others = ("o0", "o1", "e0", "e1")
    seeds = tuple(fake_mesh.make_seed(name) for name in (*voter_names, *others))
    for name in (*voter_names, *others):
        mesh.add(name, disk=name[0] == "v", seeds=seeds, voters=voter_names)
    for node in mesh.nodes.values():
        node.start()
    mesh.run(4)
    submit_limit(mesh, version=1, rate_per_s=rate_per_s)
    for name in ("o0", "o1"):
        mesh.nodes[name].announce(40)
    mesh.run(4)
    return mesh


def submit_limit(
    mesh: fake_calls.CallMesh, *, version: int, rate_per_s: float | None
) -> None:
    """Submit a shop with one workspace, whose key is b"k"."""
    shop = fake_mesh.make_shop_catalog(5.0)
    workspace = catalog_lib.Workspace(
        name="w", keys=("k",), rate_per_s=rate_per_s
    )
    mesh.submit(
        mesh.leader().name,
        catalog_lib.Catalog(
            version=version,
            services=shop.services,
            workspaces=(workspace,),
        ),
    )


def sent_quota_messages(mesh: fake_calls.CallMesh) -> int:
    """Return how many messages of quotas were sent."""
    kinds = messages.TokenRequest | messages.TokenReply
    return sum(
        isinstance(getattr(effect, "message", None), kinds)
        for node in mesh.nodes.values()
        for effect in node.performed_effects
    )


class TestCalls:
    @pytest.mark.parametrize("rate_per_s", [None, 0.0])
    def test_no_message_and_no_timer_without_a_limit(self, rate_per_s):
        """Guards against a cost for deployments without limited workspaces.

        Guard: `limit is None` in `quota_handlers.acquire`.
        """
        mesh = make_limited_mesh(rate_per_s=rate_per_s)
        records_made = [mesh.call("e0", workspace_key=b"k") for _ in range(30)]
        mesh.run(3)
        assert all(record.failure is None for record in records_made)
        assert sent_quota_messages(mesh) == 0
        for node in mesh.nodes.values():
            assert timers.QuotaDue() not in node.timers

    def test_calls_over_the_limit_are_refused_and_have_not_run(self):
        """Guards against a limit that each entry node grants anew."""
        mesh = make_limited_mesh(rate_per_s=10.0)
        made = []
        for _ in range(120):
            for name in ("e0", "e1", "v0"):
                made.append(mesh.call(name, workspace_key=b"k"))
            mesh.run(0.04)
        mesh.run(6)
        admitted = [record for record in made if record.failure is None]
        allowed = limits_lib.admitted_max(10.0, 0.0, limits_lib.Slack())
        assert 45 <= len(admitted) <= allowed
        for record in made:
            if record.failure is not None:
                assert record.failure.reason is OVER_QUOTA
                assert record.failure.retry_after_s > 0
        mesh.check_finals()

    def test_calls_within_the_limit_pass_while_a_leader_is_elected(self):
        """Guards against 429 for want of a leader, over real elections."""
        mesh = make_limited_mesh(rate_per_s=40.0, seed_number=3)
        made = []
        for number in range(200):
            if number == 80:
                mesh.leader().crash()
            made.append(
                mesh.call(f"e{number % 2}", workspace_key=b"k", timeout_s=5.0)
            )
            mesh.run(0.05)
        mesh.run(6)
        refused = [record for record in made if record.failure is not None]
        assert len(refused) <= 2
        mesh.check_finals()

    def test_deposed_leader_does_not_allocate(self):
        """Guards against two allocators at once.

        The old leader still reaches an entry node, but no quorum. Guard: the
        lease in `authority.find_allocator`.
        """
        mesh = make_limited_mesh(rate_per_s=20.0, seed_number=4)
        mesh.call("e0", workspace_key=b"k")
        mesh.run(0.5)
        old = mesh.leader()
        for node in list(mesh.nodes.values()):
            if node is not old and node.name != "e0":
                mesh.cut_links.add(frozenset((old.name, node.name)))
        mesh.run(limits_lib.ALLOCATOR_LEASE_S + 0.1)
        found, _ = authority.find_allocator(old.state, mesh.now_s)
        assert found is None
        mesh.run(3.0)
        new = mesh.leader()
        assert new is not old
        mesh.call("e1", workspace_key=b"k")
        mesh.run(1.0)
        found, _ = authority.find_allocator(new.state, mesh.now_s)
        assert found is not None

    def test_successor_waits_for_the_lease_of_a_restarted_voter(self):
        """Guards against two allocators when a voter forgets its leader.

        A voter that restarts votes at once. Guard: `started_s` in
        `Replica.last_contact_s`, and the wait in `authority.start_s`.
        """
        mesh = make_limited_mesh(rate_per_s=20.0, seed_number=5)
        old = mesh.leader()
        followers = [
            node
            for node in mesh.nodes.values()
            if node.name.startswith("v") and node is not old
        ]
        isolated, restarted = followers
        mesh.split({isolated.name})
        mesh.run(2.0)
        mesh.cut_links.clear()
        mesh.split({old.name})
        restarted.crash()
        restarted.start()
        begin_s = mesh.now_s
        assert mesh.run_until(
            lambda: mesh.leader() is not None and mesh.leader() is not old, 5.0
        )
        replica = mesh.leader().state.control.replica
        start_s = authority.start_s(replica)
        assert start_s >= begin_s + limits_lib.ALLOCATOR_LEASE_S

    def test_vote_tells_the_contact_only_with_workspaces(self):
        """Guards against changed messages in deployments without workspaces."""
        mesh = fake_mesh.make_group(3)
        mesh.run(5)
        mesh.leader().crash()
        mesh.run(5)
        replies = [
            effect.message
            for node in mesh.nodes.values()
            for effect in node.performed_effects
            if isinstance(getattr(effect, "message", None), records.VoteReply)
        ]
        assert replies
        assert all(reply.contact_age_s == 0.0 for reply in replies)

    def test_refused_call_returns_its_token(self):
        """Guards against a quota that is used up by calls that never ran.

        Guard: `attempts.return_token`.
        """
        mesh = make_limited_mesh(rate_per_s=5.0)
        for name in ("o0", "o1"):
            mesh.nodes[name].drain()
        mesh.run(2.0)
        made = []
        for _ in range(100):
            made.append(mesh.call("e0", workspace_key=b"k"))
            mesh.run(0.02)
        mesh.run(2.0)
        assert all(record.failure is not None for record in made)
        assert not any(record.failure.reason is OVER_QUOTA for record in made)

    def test_call_whose_caller_leaves_while_it_waits_takes_no_token(self):
        """Guards against a token for a call that is gone.

        Guard: `call is None` in `_serve_waiting_for_tokens`.
        """
        mesh = make_limited_mesh(rate_per_s=5.0)
        made = mesh.call("e0", workspace_key=b"k")
        entry = mesh.nodes["e0"]
        assert made.number in entry.state.calls
        del entry.state.calls[made.number]
        mesh.run(1.0)
        assert made.runs == 0
        assert entry.state.quotas.holder.tokens["w"].held == 1

    def test_limit_is_lifted(self):
        """Guards against a limit that stays after it was removed."""
        mesh = make_limited_mesh(rate_per_s=1.0)
        for _ in range(40):
            mesh.call("e0", workspace_key=b"k")
        mesh.run(1.0)
        refused = [mesh.call("e0", workspace_key=b"k") for _ in range(5)]
        mesh.run(0.5)
        assert any(record.failure is not None for record in refused)
        submit_limit(mesh, version=2, rate_per_s=None)
        mesh.run(2.0)
        made = [mesh.call("e0", workspace_key=b"k") for _ in range(40)]
        mesh.run(2.0)
        assert all(record.failure is None for record in made)
