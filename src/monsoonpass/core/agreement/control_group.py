"""The node's role in the control group: its replica, maintenance and reads."""

from typing import Any

from monsoonpass import immutable
from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core import node
from monsoonpass.core import seeded_random
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.agreement import consensus_records as records
from monsoonpass.core.agreement import election
from monsoonpass.core.agreement import follower as _follower
from monsoonpass.core.agreement import formation
from monsoonpass.core.agreement import raft
from monsoonpass.core.agreement import reconfiguration
from monsoonpass.core.agreement import replica as replica_lib
from monsoonpass.core.agreement import replication
from monsoonpass.core.distribution import cold_start
from monsoonpass.core.distribution import config_messages as messages
from monsoonpass.core.distribution import linearizable_read
from monsoonpass.core.distribution import submission
from monsoonpass.core.distribution import version_distribution
from monsoonpass.core.keys import keyed_calls
from monsoonpass.core.membership import notice_storage
from monsoonpass.core.quotas import authority as quota_authority
from monsoonpass.core.rollouts import leader as rollout_leader
from monsoonpass.core.rollouts import requests as rollout_requests
from monsoonpass.core.rollouts import rollout_messages

MAINTENANCE_INTERVAL_S = 0.5

assert _follower  # Imported for the message handlers that it registers.


@immutable.dataclass
class ReadToken:
    """Token of a read of the last accepted version for a node.

    Attributes:
        requester: The node that requested the read.
        read_id: Number of the read at the requester; 0 for a cold start.
    """

    requester: address_lib.Address
    read_id: int = 0


def start_control_group(
    state: node.Node, event: events.Started
) -> list[effects.Effect]:
    """Recover the replica from the journal, or give a new disk an identity."""
    if not state.settings.has_disk:
        return []
    control = state.control
    result: list[effects.Effect] = []
    identities = [
        record
        for record in event.journal
        if isinstance(record, records.Identity)
    ]
    if identities:
        control.identity = identities[-1]
    else:
        rng = seeded_random.SeededRandom(bits=event.random_bits ^ event.wall_ms)
        control.identity = records.Identity(
            instance=state.settings.address.instance,
            replica_id=(rng.bits64() >> 2) | 1,
            group=0,
        )
        result.append(state.disk.write([control.identity]))
    if control.identity.group:
        result += _recover_replica(state, event)
    return [*result, *_maintain_group(state, event)]


def handle_replica_notices(
    state: node.Node, event: events.Event
) -> list[effects.Effect]:
    """Handle the replica's notices, then compact its log if necessary."""
    replica = state.control.replica
    if replica is None:
        return []
    quota_authority.observe(state)
    result: list[effects.Effect] = []
    for notice in replica.take_notices():
        result += rollout_requests.handle_notice(state, notice)
        if isinstance(notice, replica_lib.Applied):
            result += submission.handle_applied(state, event, notice)
            result += keyed_calls.handle_applied(state, notice)
            result += notice_storage.handle_applied(state, notice)
            result += rollout_leader.handle_applied(state, event, notice)
        elif isinstance(notice, replica_lib.Restored):
            result += version_distribution.install_restored(state, event)
            result += rollout_leader.learn_stored(state, event)
        elif isinstance(notice, replica_lib.ReadReady):
            if isinstance(notice.token, ReadToken):
                result.append(_read_reply(state, notice.token, confirmed=True))
        elif isinstance(notice.token, submission.QueuedSubmission):
            result += submission.handle_dropped(state, event, notice.token)
        elif isinstance(notice.token, ReadToken):
            result.append(_read_reply(state, notice.token, confirmed=False))
    result += linearizable_read.answer_ready_reads(state, event)
    result += _answer_waiting_reads(state, event)
    result += rollout_leader.arm(state, event)
    if replica_lib.needs_compaction(replica):
        result.append(checkpoint_write(state))
    return result


def _read_reply(
    state: node.Node, token: ReadToken, *, confirmed: bool
) -> effects.Send:
    return cold_start.make_cold_read_reply(
        state, token.requester, confirmed, read_id=token.read_id
    )


def checkpoint_write(state: node.Node) -> effects.WriteDisk:
    """Return the write that replaces the journal with the current state."""
    replica = state.control.replica
    distribution_records = version_distribution.checkpoint_records(state)
    replica_records: list[Any] = [state.control.identity]
    if replica is not None:
        replica_records = replica_lib.compact(replica)
    return state.disk.write(
        [*replica_records, *distribution_records], replace=True
    )


@step.step.register
def _(event: events.DiskSynced, state: node.Node) -> list[effects.Effect]:
    result = state.disk.release(event.sequence)
    result += version_distribution.install_durable(state, event)
    replica = state.control.replica
    if replica is None:
        return result
    result += replication.handle_synced(
        replica, sequence=event.sequence, now_s=event.now_s
    )
    result += election.handle_synced(
        replica,
        sequence=event.sequence,
        now_s=event.now_s,
        random_bits=event.random_bits,
    )
    return result + handle_replica_notices(state, event)


@step.step.register
def _(event: events.DiskFailed, state: node.Node) -> list[effects.Effect]:
    state.disk_failed = True
    replica = state.control.replica
    result: list[effects.Effect] = [
        effects.Log(
            code=log_events.Code.DISK_FAILED, fields={"detail": event.detail}
        )
    ]
    if replica is not None:
        result += raft.become_follower(replica, replica.term, event.random_bits)
        replica.disk_failed = True
    return result + handle_replica_notices(state, event)


@step.step.register
def _(event: events.DiskRecovered, state: node.Node) -> list[effects.Effect]:
    """Let the replica take part in the group again."""
    state.disk_failed = False
    replica = state.control.replica
    if replica is not None:
        replica.disk_failed = False
        replica.leader_contact_s = event.now_s
    return [effects.Log(code=log_events.Code.DISK_RECOVERED)]


@step.handle_timer.register
def _(
    timer: timers.ElectionTimeout, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    replica = state.control.replica
    if replica is None:
        return []
    result = election.handle_timeout(
        replica, now_s=event.now_s, random_bits=event.random_bits
    )
    return result + handle_replica_notices(state, event)


@step.handle_timer.register
def _(
    timer: timers.HeartbeatDue, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    replica = state.control.replica
    if replica is None:
        return []
    result = replication.handle_heartbeat_due(
        replica, now_s=event.now_s, random_bits=event.random_bits
    )
    return result + handle_replica_notices(state, event)


@step.handle_timer.register
def _(
    timer: timers.GroupMaintenance, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    return _maintain_group(state, event)


def _receive_group_message(
    message: Any, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    replica = state.control.replica
    if state.disk_failed:
        return []
    if replica is None:
        return _enter_group_of_sender(state, event, message)
    if message.group != replica.identity.group:
        return []
    result = raft.receive(
        message, replica, event.sender, event.now_s, event.random_bits
    )
    return result + handle_replica_notices(state, event)


for _message_type in (
    records.VoteRequest,
    records.VoteReply,
    records.Append,
    records.AppendReply,
    records.InstallSnapshot,
):
    step.handle_message.register(_message_type, _receive_group_message)


@step.handle_message.register
def _(
    message: messages.ColdRead, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    replica = state.control.replica
    token = ReadToken(requester=event.sender, read_id=message.read_id)
    if replica is None:
        cold_start.add_waiting_node(state, event.sender, message)
        return [_read_reply(state, token, confirmed=False)]
    try:
        result = replication.start_read(replica, token=token, now_s=event.now_s)
    except replica_lib.RequestRejectedError:
        cold_start.add_waiting_node(state, event.sender, message)
        return [_read_reply(state, token, confirmed=False)]
    return result + handle_replica_notices(state, event)


@step.handle_message.register
def _(
    message: rollout_messages.RolloutRead,
    event: events.PeerMessage,
    state: node.Node,
) -> list[effects.Effect]:
    result = rollout_requests.start_read(state, event, message)
    return result + handle_replica_notices(state, event)


def _answer_waiting_reads(
    state: node.Node, event: events.Event
) -> list[effects.Effect]:
    """Start the reads that came before there was a leader.

    On a node that does not lead, tell the requesters the leader if it is known.
    """
    replica = state.control.replica
    if not replica.is_ready_leader:
        return cold_start.notify_waiting_nodes(state)
    waiting_nodes, state.control.waiting_nodes = state.control.waiting_nodes, {}
    result: list[effects.Effect] = []
    for requester in waiting_nodes.values():
        token = ReadToken(requester=requester)
        try:
            result += replication.start_read(
                replica, token=token, now_s=event.now_s
            )
        except replica_lib.RequestRejectedError:
            return result
    return result


def _recover_replica(
    state: node.Node, event: events.Started
) -> list[effects.Effect]:
    """Rebuild the replica from the journal."""
    formation.create_replica(state, records.Members(members=()))
    replica = state.control.replica
    replica_lib.recover(replica, event.journal)
    result = version_distribution.install_restored(state, event)
    return [
        *result,
        *election.start_replica(
            replica, now_s=event.now_s, random_bits=event.random_bits
        ),
    ]


def _enter_group_of_sender(
    state: node.Node, event: events.PeerMessage, message: Any
) -> list[effects.Effect]:
    """Enter the group of a leader or candidate that sent a message.

    The sender's group lists this replica as a member. The message carries only
    the group id; the members follow with the log or a snapshot.
    """
    control = state.control
    if control.identity is None or control.identity.group:
        return []
    if isinstance(message, (records.VoteReply, records.AppendReply)):
        return []
    result = formation.enter_group(
        state, event, message.group, records.Members(members=())
    )
    return result + _receive_group_message(message, event, state)


def _maintain_group(
    state: node.Node, event: events.Event
) -> list[effects.Effect]:
    control = state.control
    result: list[effects.Effect] = [
        effects.SetTimer(
            timer=timers.GroupMaintenance(), delay_s=MAINTENANCE_INTERVAL_S
        )
    ]
    if state.disk_failed:
        return result
    replica = control.replica
    if replica is not None and replica.is_leader:
        result += reconfiguration.propose_next_change(state, event)
        return result + handle_replica_notices(state, event)
    own_instance = state.settings.address.instance
    is_bootstrap_voter = own_instance in state.settings.bootstrap_voters
    if replica is None and is_bootstrap_voter:
        result += formation.form_group(state, event)
        result += formation.probe_bootstrap_voters(state)
    if formation.should_request_join(state, event):
        result += formation.request_join(state, event)
    return result
