"""Formation of the control group, and joining it later.

Bootstrap voters with empty disks form a group only once each of them has
reported that it belongs to none; the voter whose instance name sorts first
then creates the group. A disk that is wiped later gets a new identity, so its
node can rejoin only as a learner.
"""

import dataclasses

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core import node
from monsoonpass.core import seeded_random
from monsoonpass.core import step
from monsoonpass.core.agreement import consensus_records as records
from monsoonpass.core.agreement import election
from monsoonpass.core.agreement import reconfiguration
from monsoonpass.core.agreement import replica as replica_lib
from monsoonpass.core.agreement import voter_lookup
from monsoonpass.core.distribution import cold_start
from monsoonpass.core.distribution import config_messages as messages

JOIN_RETRY_SILENCE_S = 5.0
JOIN_REQUESTS_MAX = 64


@step.handle_message.register
def _(
    message: messages.BootstrapProbe,
    event: events.PeerMessage,
    state: node.Node,
) -> list[effects.Effect]:
    identity = state.control.identity
    if identity is None:
        return []
    status = messages.BootstrapStatus(
        replica_id=identity.replica_id, group=identity.group
    )
    return state.disk.after_sync(
        [effects.Send(to=event.sender, message=status)]
    )


@step.handle_message.register
def _(
    message: messages.BootstrapStatus,
    event: events.PeerMessage,
    state: node.Node,
) -> list[effects.Effect]:
    control = state.control
    if control.identity is None or control.identity.group:
        return []
    sender = event.sender.instance
    if message.group:
        control.ungrouped_voter_ids.pop(sender, None)
        control.voters = (*control.voters, event.sender)[-8:]
        return []
    control.ungrouped_voter_ids[sender] = message.replica_id
    return form_group(state, event)


@step.handle_message.register
def _(
    message: messages.JoinGroup, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    control = state.control
    replica = control.replica
    if replica is None:
        return []
    if not replica.is_leader:
        leader = replica.leader_address
        if leader is None or leader.instance == event.sender.instance:
            return []
        # This reply tells the sender the address of the leader.
        return [cold_start.make_cold_read_reply(state, event.sender, False)]
    if len(control.join_requests) < JOIN_REQUESTS_MAX:
        control.join_requests[message.replica_id] = reconfiguration.JoinRequest(
            address=event.sender,
            data_centre=message.data_centre,
            requested_s=event.now_s,
        )
    return []


def create_replica(state: node.Node, members: records.Members) -> None:
    """Create the replica with the identity of the disk."""
    state.control.replica = replica_lib.Replica(
        identity=state.control.identity,
        state_machine=state.control.state_machine,
        disk=state.disk,
        base_members=members,
        copies_min=state.settings.copies_min,
    )


def form_group(state: node.Node, event: events.Event) -> list[effects.Effect]:
    """Form the group once all bootstrap voters are known to have none.

    Only the bootstrap voter whose instance name sorts first forms the group.

    Args:
        state: The node, without a replica.
        event: The event being handled.

    Returns:
        Effects; none if the group cannot be formed yet or by this node.
    """
    names = state.settings.bootstrap_voters
    own = state.settings.address
    control = state.control
    if own.instance != min(names, default=""):
        return []
    addresses = {own.instance: own}
    for seed in state.settings.seeds:
        addresses[seed.address.instance] = seed.address
    replica_ids = {
        **control.ungrouped_voter_ids,
        own.instance: control.identity.replica_id,
    }
    if any(name not in replica_ids or name not in addresses for name in names):
        return []
    members = records.Members(
        members=tuple(
            records.Member(
                replica_id=replica_ids[name],
                address=addresses[name],
                voter=True,
            )
            for name in sorted(names)
        )
    )
    group_id = (
        seeded_random.SeededRandom(bits=event.random_bits).bits64() >> 2
    ) | 1
    result = enter_group(state, event, group_id, members)
    log = effects.Log(
        code=log_events.Code.GROUP_FORMED, fields={"voters": len(names)}
    )
    return [*result, log]


def enter_group(
    state: node.Node,
    event: events.Event,
    group_id: int,
    members: records.Members,
) -> list[effects.Effect]:
    """Enter a group for the first time and persist this.

    Args:
        state: The node, without a replica.
        event: The event being handled.
        group_id: Id of the group.
        members: Members of the group, empty if not known yet.

    Returns:
        Effects, including the write of the identity and an empty snapshot.
    """
    control = state.control
    control.identity = dataclasses.replace(control.identity, group=group_id)
    create_replica(state, members)
    replica = control.replica
    base = records.LogSnapshot(index=0, term=0, members=members, data=b"")
    write = state.disk.write([control.identity, base])
    started = election.start_replica(
        replica, now_s=event.now_s, random_bits=event.random_bits
    )
    return [write, *started]


def should_request_join(state: node.Node, event: events.Event) -> bool:
    """Return whether this node should request to join the group.

    It should while its replica is not a known member, and again when it has
    had no leader contact for `JOIN_RETRY_SILENCE_S`.
    """
    replica = state.control.replica
    if replica is None or replica.members.find(replica.replica_id) is None:
        return True
    contact_s = max(replica.leader_contact_s, replica.started_s)
    return event.now_s - contact_s > JOIN_RETRY_SILENCE_S


def request_join(state: node.Node, event: events.Event) -> list[effects.Effect]:
    """Send a join request to the last known leader or to a random voter."""
    target = voter_lookup.pick_leader_or_voter(
        state, event, event.random_bits & 1
    )
    if target is None:
        return []
    request = messages.JoinGroup(
        replica_id=state.control.identity.replica_id,
        data_centre=state.settings.data_centre,
    )
    return [effects.Send(to=target, message=request)]
