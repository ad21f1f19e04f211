"""Tests of idempotency keys: the ledger and calls over real nodes."""

import pathlib

import anyio

from monsoonpass.core.keys import ledger
from monsoonpass.standin import local_mesh
from tests import test_end_to_end

Verdict = ledger.Verdict


def claim(book, *, call_id=1, key="k", fingerprint=b"f", now_ms=0):
    """Claim a key and return the verdict."""
    command = ledger.ClaimKey(
        service="shop",
        key=key,
        fingerprint=fingerprint,
        claimant=ledger.Claimant(instance="n0", call_id=call_id),
        now_ms=now_ms,
    )
    return book.claim(command).verdict


def settle(book, *, call_id=1, key="k", released=False, status=200, now_ms=0):
    """Settle a key."""
    book.settle(
        ledger.SettleKey(
            service="shop",
            key=key,
            claimant=ledger.Claimant(instance="n0", call_id=call_id),
            released=released,
            status=status,
            headers=(),
            body=b"",
            stored=True,
            now_ms=now_ms,
        )
    )


class TestLedger:
    def test_key_is_granted_once(self):
        book = ledger.Ledger()
        assert claim(book, call_id=1) is Verdict.GRANTED
        assert claim(book, call_id=2) is Verdict.IN_PROGRESS
        settle(book, call_id=1)
        assert claim(book, call_id=3) is Verdict.FINISHED

    def test_lost_reply_of_a_claim_is_given_again(self):
        book = ledger.Ledger()
        assert claim(book, call_id=1) is Verdict.GRANTED
        assert claim(book, call_id=1) is Verdict.GRANTED

    def test_released_key_is_free(self):
        book = ledger.Ledger()
        claim(book, call_id=1)
        settle(book, call_id=1, released=True)
        assert claim(book, call_id=2) is Verdict.GRANTED

    def test_only_the_claimant_settles(self):
        book = ledger.Ledger()
        claim(book, call_id=1)
        settle(book, call_id=2, released=True)
        assert claim(book, call_id=3) is Verdict.IN_PROGRESS

    def test_finished_key_is_not_released_later(self):
        book = ledger.Ledger()
        claim(book, call_id=1)
        settle(book, call_id=1)
        settle(book, call_id=1, released=True)
        assert claim(book, call_id=2) is Verdict.FINISHED

    def test_unknown_outcome_is_not_repeated(self):
        book = ledger.Ledger()
        claim(book, call_id=1)
        settle(book, call_id=1, status=0)
        assert claim(book, call_id=2) is Verdict.UNKNOWN

    def test_claim_that_is_never_settled_becomes_unknown(self):
        book = ledger.Ledger()
        claim(book, call_id=1)
        later_ms = ledger.CLAIM_LEASE_MS + 1
        assert claim(book, call_id=2, now_ms=later_ms) is Verdict.UNKNOWN

    def test_other_request_with_the_key_is_a_mismatch(self):
        book = ledger.Ledger()
        claim(book, call_id=1)
        assert claim(book, call_id=2, fingerprint=b"g") is Verdict.MISMATCH

    def test_key_expires_after_a_day(self):
        book = ledger.Ledger()
        claim(book, call_id=1)
        settle(book, call_id=1)
        assert claim(book, call_id=2, now_ms=ledger.KEEP_MS) is Verdict.GRANTED

    def test_clock_that_jumps_back_does_not_matter(self):
        book = ledger.Ledger()
        claim(book, call_id=1, now_ms=10**9)
        assert claim(book, call_id=2, now_ms=5) is Verdict.IN_PROGRESS

    def test_full_ledger_refuses(self, monkeypatch):
        monkeypatch.setattr(ledger, "KEYS_MAX", 2)
        book = ledger.Ledger()
        claim(book, key="a")
        claim(book, key="b")
        assert claim(book, key="c") is Verdict.FULL
        assert claim(book, key="a", call_id=2) is Verdict.IN_PROGRESS

    def test_snapshot_keeps_the_records(self):
        book, copy = ledger.Ledger(), ledger.Ledger()
        claim(book)
        settle(book)
        copy.load(book.records())
        assert claim(copy, call_id=9) is Verdict.FINISHED


def pay(mesh, node, key, target="/payments", **options):
    """Capture a payment with a key."""
    return mesh.http.post(
        node.caller_url + target,
        headers={"host": "shop", "idempotency-key": key},
        **options,
    )


class TestKeyedCalls:
    def test_resend_anywhere_gets_the_stored_answer(
        self, tmp_path: pathlib.Path
    ):
        async def play(mesh):
            target = "/payments?id=p"
            first = await pay(mesh, mesh.nodes[0], "k1", target, content=b"5")
            for node in mesh.nodes:
                again = await pay(mesh, node, "k1", target, content=b"5")
                assert again.status_code == 200
                assert again.content == first.content
            runs = sum(node.upstream.runs["p"] for node in mesh.nodes)
            assert runs == 1

        test_end_to_end.run_mesh(tmp_path, test_end_to_end.THREE, play)

    def test_same_key_at_two_nodes_at_once_runs_once(self, tmp_path):
        async def play(mesh):
            statuses = []

            async def one(node):
                target = "/payments?id=d&ms=100"
                response = await pay(mesh, node, "k2", target)
                statuses.append(response.status_code)

            async with anyio.create_task_group() as group:
                for node in mesh.nodes:
                    group.start_soon(one, node)
                    group.start_soon(one, node)
            assert sum(n.upstream.runs["d"] for n in mesh.nodes) == 1
            assert sorted(set(statuses)) in ([200, 409], [200])

        test_end_to_end.run_mesh(tmp_path, test_end_to_end.THREE, play)

    def test_failed_call_is_told_as_unknown_and_not_repeated(self, tmp_path):
        async def play(mesh):
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

        test_end_to_end.run_mesh(tmp_path, test_end_to_end.TWO, play)

    def test_without_a_quorum_a_keyed_call_is_not_run(self, tmp_path):
        places = [
            local_mesh.Place(instance=f"n{number}", service="shop")
            for number in range(3)
        ]

        async def run():
            mesh = local_mesh.LocalMesh(
                places=places, voters=["n0", "n1", "n2"], folder=tmp_path
            )
            async with mesh:
                await mesh.submit(mesh.nodes[0], test_end_to_end.TEXT)
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

    def test_caller_that_vanishes_can_ask_again(self, tmp_path):
        async def play(mesh):
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

        test_end_to_end.run_mesh(tmp_path, test_end_to_end.TWO, play)
