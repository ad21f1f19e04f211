"""Tests of idempotency keys: the ledger, and keyed calls on real nodes."""

import pathlib

import anyio

from monsoonpass.core import events
from monsoonpass.core import reducer
from monsoonpass.core.calls import outcome
from monsoonpass.core.keys import ledger
from monsoonpass.standin import local_mesh
from tests import fake_calls
from tests import test_end_to_end

Verdict = ledger.Verdict


def claim(key_ledger, *, call_id=1, key="k", fingerprint=b"f", now_ms=0):
    """Claim a key and return the verdict."""
    command = ledger.ClaimKey(
        service="shop",
        key=key,
        fingerprint=fingerprint,
        claimant=ledger.Claimant(instance="n0", call_id=call_id),
        now_ms=now_ms,
    )
    return key_ledger.claim(command).verdict


def settle(
    key_ledger,
    *,
    call_id=1,
    key="k",
    released=False,
    status=200,
    now_ms=0,
    headers=(),
):
    """Settle a key as the given call."""
    key_ledger.settle(
        ledger.SettleKey(
            service="shop",
            key=key,
            claimant=ledger.Claimant(instance="n0", call_id=call_id),
            released=released,
            status=status,
            headers=headers,
            body=b"",
            stored=True,
            now_ms=now_ms,
        )
    )


class TestLedger:
    def test_heads_count_towards_the_size_of_all_answers(self):
        """Failure: long heads of a faulty upstream filled the voters' memory.

        Guard: the headers in _answer_bytes.
        """
        key_ledger = ledger.Ledger()
        headers = ((b"a", bytes(60_000)),)
        fitting = ledger.STORED_TOTAL_MAX_BYTES // 60_001
        for number in range(fitting + 1):
            claim(key_ledger, key=f"k{number}")
            settle(key_ledger, key=f"k{number}", headers=headers)
        stored = [record.stored for record in key_ledger.records()]
        assert stored == [True] * fitting + [False]
        copy = ledger.Ledger()
        copy.restore(key_ledger.records())
        claim(copy, key="further")
        settle(copy, key="further", headers=headers)
        assert not copy.records()[-1].stored

    def test_key_is_granted_once(self):
        key_ledger = ledger.Ledger()
        assert claim(key_ledger, call_id=1) is Verdict.GRANTED
        assert claim(key_ledger, call_id=2) is Verdict.IN_PROGRESS
        settle(key_ledger, call_id=1)
        assert claim(key_ledger, call_id=3) is Verdict.FINISHED

    def test_repeated_claim_of_the_same_call_is_granted_again(self):
        key_ledger = ledger.Ledger()
        assert claim(key_ledger, call_id=1) is Verdict.GRANTED
        assert claim(key_ledger, call_id=1) is Verdict.GRANTED

    def test_released_key_can_be_claimed_again(self):
        key_ledger = ledger.Ledger()
        claim(key_ledger, call_id=1)
        settle(key_ledger, call_id=1, released=True)
        assert claim(key_ledger, call_id=2) is Verdict.GRANTED

    def test_only_the_claimant_settles(self):
        key_ledger = ledger.Ledger()
        claim(key_ledger, call_id=1)
        settle(key_ledger, call_id=2, released=True)
        assert claim(key_ledger, call_id=3) is Verdict.IN_PROGRESS

    def test_late_release_does_not_free_a_finished_key(self):
        key_ledger = ledger.Ledger()
        claim(key_ledger, call_id=1)
        settle(key_ledger, call_id=1)
        settle(key_ledger, call_id=1, released=True)
        assert claim(key_ledger, call_id=2) is Verdict.FINISHED

    def test_key_with_unknown_outcome_is_not_granted_again(self):
        key_ledger = ledger.Ledger()
        claim(key_ledger, call_id=1)
        settle(key_ledger, call_id=1, status=0)
        assert claim(key_ledger, call_id=2) is Verdict.UNKNOWN

    def test_unsettled_claim_becomes_unknown_after_its_lease(self):
        key_ledger = ledger.Ledger()
        claim(key_ledger, call_id=1)
        later_ms = ledger.CLAIM_LEASE_MS + 1
        assert claim(key_ledger, call_id=2, now_ms=later_ms) is Verdict.UNKNOWN

    def test_other_request_with_the_key_is_a_mismatch(self):
        key_ledger = ledger.Ledger()
        claim(key_ledger, call_id=1)
        assert (
            claim(key_ledger, call_id=2, fingerprint=b"g") is Verdict.MISMATCH
        )

    def test_key_expires_after_a_day(self):
        key_ledger = ledger.Ledger()
        claim(key_ledger, call_id=1)
        settle(key_ledger, call_id=1)
        assert (
            claim(key_ledger, call_id=2, now_ms=ledger.RECORD_TTL_MS)
            is Verdict.GRANTED
        )

    def test_clock_going_backwards_does_not_expire_a_claim(self):
        key_ledger = ledger.Ledger()
        claim(key_ledger, call_id=1, now_ms=10**9)
        assert claim(key_ledger, call_id=2, now_ms=5) is Verdict.IN_PROGRESS

    def test_full_ledger_refuses_new_keys(self, monkeypatch):
        monkeypatch.setattr(ledger, "KEYS_MAX", 2)
        key_ledger = ledger.Ledger()
        claim(key_ledger, key="a")
        claim(key_ledger, key="b")
        assert claim(key_ledger, key="c") is Verdict.FULL
        assert claim(key_ledger, key="a", call_id=2) is Verdict.IN_PROGRESS

    def test_snapshot_keeps_the_records(self):
        key_ledger, copy = ledger.Ledger(), ledger.Ledger()
        claim(key_ledger)
        settle(key_ledger)
        copy.restore(key_ledger.records())
        assert claim(copy, call_id=9) is Verdict.FINISHED


def pay(mesh, node, key, target="/payments", **options):
    """Send a payment with an idempotency key."""
    return mesh.http.post(
        node.caller_url + target,
        headers={"host": "shop", "idempotency-key": key},
        **options,
    )


class TestKeyedCalls:
    def test_resend_to_any_node_gets_the_stored_answer(
        self, tmp_path: pathlib.Path
    ):
        async def check(mesh):
            target = "/payments?id=p"
            first = await pay(mesh, mesh.nodes[0], "k1", target, content=b"5")
            for node in mesh.nodes:
                again = await pay(mesh, node, "k1", target, content=b"5")
                assert again.status_code == 200
                assert again.content == first.content
            runs = sum(node.upstream.runs["p"] for node in mesh.nodes)
            assert runs == 1

        test_end_to_end.run_mesh(tmp_path, test_end_to_end.THREE_NODES, check)

    def test_same_key_at_two_nodes_at_once_runs_once(self, tmp_path):
        async def check(mesh):
            statuses = []

            async def send_payment(node):
                target = "/payments?id=d&ms=100"
                response = await pay(mesh, node, "k2", target)
                statuses.append(response.status_code)

            async with anyio.create_task_group() as group:
                for node in mesh.nodes:
                    group.start_soon(send_payment, node)
                    group.start_soon(send_payment, node)
            assert sum(n.upstream.runs["d"] for n in mesh.nodes) == 1
            assert sorted(set(statuses)) in ([200, 409], [200])

        test_end_to_end.run_mesh(tmp_path, test_end_to_end.THREE_NODES, check)

    def test_failed_call_is_reported_as_unknown_and_not_run_again(
        self, tmp_path
    ):
        async def check(mesh):
            target = "/payments?id=u&fault=reset"
            first = await pay(mesh, mesh.nodes[0], "k3", target)
            assert first.headers["monsoonpass-outcome"] == "unknown"
            while True:
                again = await pay(mesh, mesh.nodes[0], "k3", target)
                assert again.status_code == 409
                if "retry-after" not in again.headers:
                    break
            assert again.headers["monsoonpass-outcome"] == "unknown"
            assert sum(n.upstream.runs["u"] for n in mesh.nodes) == 1

        test_end_to_end.run_mesh(tmp_path, test_end_to_end.TWO_NODES, check)

    def test_without_a_quorum_a_keyed_call_is_not_run(self, tmp_path):
        specs = [
            local_mesh.NodeSpec(instance=f"n{number}", service="shop")
            for number in range(3)
        ]

        async def run():
            mesh = local_mesh.LocalMesh(
                specs=specs, voters=["n0", "n1", "n2"], folder=tmp_path
            )
            async with mesh:
                await mesh.submit(mesh.nodes[0], test_end_to_end.OPERATOR_TEXT)
                await mesh.wait_for_version(1)
                for node in mesh.nodes[1:]:
                    node.daemon.stop()
                for node in mesh.nodes[1:]:
                    while node.daemon.engine.state.stopping is False:
                        await anyio.sleep(0.01)
                await anyio.sleep(1.0)
                response = await pay(
                    mesh, mesh.nodes[0], "k4", "/payments?id=q"
                )
                assert response.headers["monsoonpass-outcome"] == "not-run"
                assert sum(n.upstream.runs["q"] for n in mesh.nodes) == 0

        anyio.run(run)

    def test_caller_that_disconnects_can_resend(self, tmp_path):
        async def check(mesh):
            target = "/payments?id=v&ms=300"
            with anyio.move_on_after(0.15):
                await pay(mesh, mesh.nodes[0], "k5", target)
            while True:
                again = await pay(mesh, mesh.nodes[0], "k5", target)
                if again.status_code == 200:
                    break
                assert again.status_code == 409
                await anyio.sleep(0.05)
            assert sum(n.upstream.runs["v"] for n in mesh.nodes) == 1

        test_end_to_end.run_mesh(tmp_path, test_end_to_end.TWO_NODES, check)


class TestEmptyKey:
    def test_empty_key_is_told_as_such(self):
        """Guard: `Reason.EMPTY_KEY` in the handler of CallArrived."""
        mesh = fake_calls.make_call_mesh(seed_number=2)
        event = events.CallArrived(
            now_s=mesh.now_s,
            random_bits=1,
            call_id=99,
            host="shop",
            method="POST",
            path="/payments",
            timeout_s=None,
            key="",
        )
        failed = reducer.step(event, mesh.nodes["e0"].state)[-1]
        assert failed.failure.reason is outcome.Reason.EMPTY_KEY
        assert failed.failure.retry_after_s is None


class TestLateClaim:
    def test_late_copy_of_a_claim_does_not_hold_a_released_key(self):
        """The claim was sent twice, and its call was refused as "not run".

        Guard: `_remember_abandoned` in keyed_calls._settle.
        """
        mesh = fake_calls.make_call_mesh(seed_number=2, nodes=1)
        mesh.nodes["o0"].drain()
        mesh.run(1.0)
        first = mesh.call("e0", path="/payments", key="k")
        mesh.run(1.0)
        assert first.failure.outcome is outcome.Outcome.NOT_RUN
        entry, leader = mesh.nodes["e0"], mesh.nodes["v0"]
        leader.feed(
            events.PeerMessage,
            sender=entry.settings.address,
            message=ledger.ClaimRequest(
                call_id=first.number,
                service="shop",
                key="k",
                fingerprint=b"f",
            ),
        )
        mesh.run(1.0)
        mesh.nodes["o0"].announce(3)
        mesh.run(1.0)
        again = mesh.call("e0", path="/payments", key="k")
        mesh.run(1.0)
        assert again.answer == again.number
