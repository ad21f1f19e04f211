"""Tests of the replication rules, one rule at a time.

Each `Guard` names the line without which the test fails.
"""

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core.agreement import consensus_records as records
from monsoonpass.core.agreement import control_state_machine
from monsoonpass.core.agreement import election  # noqa: F401
from monsoonpass.core.agreement import follower  # noqa: F401
from monsoonpass.core.agreement import raft
from monsoonpass.core.agreement import replica as replica_lib
from monsoonpass.core.agreement import replication
from monsoonpass.core.agreement import write_barrier
from monsoonpass.core.distribution import config_messages
from tests import fake_mesh


def make_leader() -> replica_lib.Replica:
    """Return a leader of term 3 that holds one entry of term 2."""
    members = records.Members(
        members=tuple(
            records.Member(
                replica_id=number,
                address=fake_mesh.make_address(f"n{number}"),
                voter=True,
            )
            for number in (1, 2, 3)
        )
    )
    replica = replica_lib.Replica(
        identity=records.Identity(instance="n1", replica_id=1, group=7),
        state_machine=control_state_machine.ControlStateMachine(),
        disk=write_barrier.WriteBarrier(),
        base_members=members,
        term=3,
    )
    entry = records.Entry(
        index=1, term=2, kind=records.EntryKind.NOOP, data=b""
    )
    replica.append_in_memory((entry,))
    replica.synced_index = 1
    replication.become_leader(replica, 100.0)
    return replica


def make_append_reply(
    match_index: int, *, success: bool = True, sent_s: float = 100.0
):
    """Return a reply of replica 2 to an `Append`."""
    return records.AppendReply(
        group=7,
        term=3,
        replica=2,
        success=success,
        match_index=match_index,
        sent_s=sent_s,
    )


def receive(replica, message, now_s=100.1):
    """Deliver a message of replica 2 and return the effects."""
    sender = fake_mesh.make_address("n2")
    return raft.receive(message, replica, sender, now_s, 5)


class TestCommit:
    def test_entry_of_an_older_term_is_not_committed_by_counting(self):
        """Guard: `log.term_at(index) != replica.term` in `_advance_commit`."""
        replica = make_leader()
        receive(replica, make_append_reply(1))
        assert replica.commit_index == 0
        replica.synced_index = 2
        receive(replica, make_append_reply(2))
        assert replica.commit_index == 2

    def test_follower_acknowledges_only_synced_entries(self):
        """Guard: `replica.disk.after_sync([reply])` in `follower`."""
        mesh = fake_mesh.make_group(3)
        mesh.run(3)
        leader = mesh.leader()
        for node in mesh.nodes.values():
            if node is not leader:
                node.sync_slowdown = 10_000.0
        request_id = mesh.submit(leader.name, fake_mesh.make_catalog(1, "a"))
        mesh.run(0.4)
        assert mesh.result(leader.name, request_id) is None


class TestVote:
    def test_vote_survives_a_crash(self):
        """Guard: `replica.write_hard_state()` before the reply to a vote."""
        mesh = fake_mesh.make_group(3)
        mesh.run(3)
        node = next(n for n in mesh.nodes.values() if n != mesh.leader())
        mesh.split({node.name})
        mesh.run(3)
        assert self.request_vote(mesh, node, candidate=111) == [True]
        node.crash()
        node.start()
        mesh.run(0.9)
        assert self.request_vote(mesh, node, candidate=222) == [False]

    def request_vote(self, mesh, node, candidate: int) -> list[bool]:
        """Request a vote in term 50 and return whether replies grant it."""
        before = len(node.performed_effects)
        request = records.VoteRequest(
            group=node.state.control.identity.group,
            term=50,
            candidate=candidate,
            last_index=10_000,
            last_term=49,
            pre_vote=False,
        )
        node.feed(
            events.PeerMessage,
            sender=fake_mesh.make_address("elsewhere"),
            message=request,
        )
        mesh.run(0.05)
        return [
            effect.message.granted
            for effect in node.performed_effects[before:]
            if isinstance(effect, effects.Send)
            and isinstance(effect.message, records.VoteReply)
            and not effect.message.pre_vote
            and effect.to.instance == "elsewhere"
        ]


class TestSlowFollower:
    def test_window_bounds_batches_in_flight(self):
        replica = make_leader()
        receive(replica, make_append_reply(2))
        sent = 0
        for _ in range(100):
            for effect in replication.propose(
                replica,
                kind=records.EntryKind.COMMAND,
                data=bytes(1000),
                token=None,
                now_s=100.2,
            ):
                is_send = isinstance(effect, effects.Send)
                sent += is_send and effect.to.instance == "n2"
        assert sent == replication.WINDOW_BATCHES

    def test_repeated_reply_does_not_resend_a_batch(self):
        replica = make_leader()
        receive(replica, make_append_reply(2))
        replication.propose(
            replica,
            kind=records.EntryKind.COMMAND,
            data=b"",
            token=None,
            now_s=100.2,
        )
        for _ in range(10):
            effects_of_reply = receive(replica, make_append_reply(2))
            assert not [
                effect
                for effect in effects_of_reply
                if isinstance(effect, effects.Send)
                and isinstance(effect.message, records.Append)
                and effect.message.entries
            ]


class TestReads:
    def test_read_waits_for_a_heartbeat_sent_after_the_read(self):
        """Guard: `contact_s >= read.requested_s` in `_finish_reads`."""
        replica = make_leader()
        replica.synced_index = 2
        receive(replica, make_append_reply(2, sent_s=100.0))
        replication.start_read(replica, token="t", now_s=101.0)
        replica.take_notices()
        receive(replica, make_append_reply(2, sent_s=100.9), now_s=101.1)
        assert replica.take_notices() == []
        receive(replica, make_append_reply(2, sent_s=101.0), now_s=101.1)
        assert replica.take_notices() == [replica_lib.ReadReady(token="t")]


class TestUnansweredProposal:
    def test_cut_off_leader_reports_proposal_as_unconfirmed(self):
        mesh = fake_mesh.make_group(3)
        mesh.run(3)
        leader = mesh.leader()
        request_id = mesh.submit(leader.name, fake_mesh.make_catalog(1, "a"))
        mesh.split({leader.name})
        mesh.run(8)
        assert mesh.result(leader.name, request_id).status is (
            config_messages.SubmitStatus.UNCONFIRMED
        )


class TestReplacement:
    """Quorums while one voter replaces another."""

    def make_members(self, *voters: int, **replacement: int) -> records.Members:
        return records.Members(
            members=tuple(
                records.Member(
                    replica_id=number,
                    address=fake_mesh.make_address(f"n{number}"),
                    voter=True,
                )
                for number in voters
            ),
            **replacement,
        )

    def test_quorum_needs_a_majority_before_and_after(self):
        """Failure: two voters alone were left of three."""
        members = self.make_members(1, 2, 3, 4, outgoing=3, incoming=4)
        assert members.voter_sets == ((1, 2, 3), (1, 2, 4))
        assert members.has_quorum({1, 2})
        assert members.has_quorum({1, 3, 4})
        assert not members.has_quorum({1, 3})
        assert not members.has_quorum({1, 4})
        assert not members.has_quorum({3, 4})

    def test_value_of_a_quorum_is_reached_in_both_sets(self):
        members = self.make_members(1, 2, 3, 4, outgoing=3, incoming=4)
        assert members.quorum_value({1: 9, 2: 7, 3: 8, 4: 0}) == 7
        assert members.quorum_value({1: 9, 2: 0, 3: 8, 4: 5}) == 5
        assert (
            self.make_members(1, 2, 3, 4).quorum_value({1: 9, 2: 8, 3: 7, 4: 6})
            == 7
        )

    def test_changes_whose_quorums_might_not_intersect_are_refused(self):
        """Guard: `Members.may_become`."""
        three = self.make_members(1, 2, 3)
        replacing = self.make_members(1, 2, 3, 4, outgoing=3, incoming=4)
        assert three.may_become(replacing)
        assert three.may_become(self.make_members(1, 2, 3, 4))
        assert not three.may_become(self.make_members(1, 2, 4))
        assert not self.make_members(1, 2).may_become(replacing)
        assert replacing.may_become(three)
        assert replacing.may_become(self.make_members(1, 2, 4))
        assert not replacing.may_become(self.make_members(1, 2))
        assert not replacing.may_become(
            self.make_members(1, 2, 3, 5, outgoing=3, incoming=5)
        )
