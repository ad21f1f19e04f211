"""Formation of the control group, and joining it later.

Bootstrap voters with empty disks form a group only once each of them has
reported that it belongs to none; the voter whose instance name sorts first
then creates the group. A disk that is wiped later gets a new identity, so its
node can rejoin only as a learner.

A smaller group than the settings ask for could not bear the losses that it must
bear while it grows. Other nodes with empty disks therefore belong to the group
from the start, and all of them are told its members at once.
"""

import dataclasses

from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core import node
from monsoonpass.core import seeded_random
from monsoonpass.core import step
from monsoonpass.core.agreement import consensus_records as records
from monsoonpass.core.agreement import election
from monsoonpass.core.agreement import raft
from monsoonpass.core.agreement import reconfiguration
from monsoonpass.core.agreement import replica as replica_lib
from monsoonpass.core.agreement import voter_lookup
from monsoonpass.core.distribution import cold_start
from monsoonpass.core.distribution import config_messages as messages

# Time after which a group smaller than the settings ask for is formed; nodes
# that start together know each other sooner, even if one of them restarts.
FORMATION_WAIT_S = 10.0
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
        if not _is_founder(state):
            return []
        _record_join_request(control, event, message)
        # The sender may already belong to a group.
        return [_make_probe(state, event.sender)]
    if not replica.is_leader:
        leader = replica.leader_address
        if leader is None or leader.instance == event.sender.instance:
            return []
        # This reply tells the sender the address of the leader.
        return [cold_start.make_cold_read_reply(state, event.sender, False)]
    _record_join_request(control, event, message)
    return []


@step.handle_message.register
def _(
    message: messages.FormGroup, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    """Enter a new group; its founder, which told the members, campaigns.

    A request for a vote may have come first, without the members.
    """
    identity = state.control.identity
    replica = state.control.replica
    if identity is None or identity.group not in (0, message.group):
        return []
    if message.members.find(identity.replica_id) is None:
        return []
    if replica is None:
        write = _store_group(state, message.group, message.members)
        replica = state.control.replica
        replica.started_s = event.now_s
    elif replica.log.last_index == 0:
        replica.base_members = message.members
        write = state.disk.write([_initial_snapshot(message.members)])
    else:
        return []
    return [write, raft.election_timer(replica, event.random_bits)]


def create_replica(state: node.Node, members: records.Members) -> None:
    """Create the replica with the identity of the disk."""
    state.control.replica = replica_lib.Replica(
        identity=state.control.identity,
        state_machine=state.control.state_machine,
        disk=state.disk,
        base_members=members,
        copies_min=state.settings.copies_min,
    )


def probe_bootstrap_voters(state: node.Node) -> list[effects.Effect]:
    """Ask the other bootstrap voters whether they belong to a group."""
    own = state.settings.address.instance
    return [
        _make_probe(state, seed.address)
        for seed in state.settings.seeds
        if seed.address.instance in state.settings.bootstrap_voters
        and seed.address.instance != own
    ]


def form_group(state: node.Node, event: events.Event) -> list[effects.Effect]:
    """Form the group once its first members are known to have none.

    Only the bootstrap voter whose instance name sorts first forms the group.

    Args:
        state: The node, without a replica.
        event: The event being handled.

    Returns:
        Effects; none if the group cannot be formed yet or by this node.
    """
    if not _is_founder(state):
        return []
    founders = _find_founders(state)
    if founders is None:
        return []
    control = state.control
    control.formation_since_s = min(control.formation_since_s, event.now_s)
    founders += _find_joiners(state, state.settings.voters - len(founders))
    waited_s = event.now_s - control.formation_since_s
    if len(founders) < state.settings.voters and waited_s < FORMATION_WAIT_S:
        return []
    members = records.Members(members=tuple(founders))
    group_id = (
        seeded_random.SeededRandom(bits=event.random_bits).bits64() >> 2
    ) | 1
    announcement = messages.FormGroup(group=group_id, members=members)
    entered = enter_group(state, event, group_id, members)
    # Members that know each other do without this node if it is lost now, so
    # they are told before they are asked for votes. Nobody hears of the group
    # before this disk has it: after a power loss the node would form another.
    sends = [
        effects.Send(to=member.address, message=announcement)
        for member in state.control.replica.others
    ]
    sends += [e for e in entered if isinstance(e, effects.Send)]
    log = effects.Log(
        code=log_events.Code.GROUP_FORMED, fields={"voters": len(founders)}
    )
    return [
        *(e for e in entered if not isinstance(e, effects.Send)),
        *state.disk.after_sync(sends),
        log,
    ]


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
    write = _store_group(state, group_id, members)
    started = election.start_replica(
        state.control.replica,
        now_s=event.now_s,
        random_bits=event.random_bits,
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
    """Send a join request to the last known leader or to a random voter.

    Before any leader is known it goes to all voters, since only one of them
    forms the group.
    """
    if (
        state.control.replica is None
        and voter_lookup.known_leader(state) is None
    ):
        targets = voter_lookup.other_voters(state)
    else:
        target = voter_lookup.pick_leader_or_voter(
            state, event, event.random_bits & 1
        )
        targets = [] if target is None else [target]
    request = messages.JoinGroup(
        replica_id=state.control.identity.replica_id,
        data_centre=state.settings.data_centre,
    )
    return [effects.Send(to=target, message=request) for target in targets]


def _is_founder(state: node.Node) -> bool:
    own = state.settings.address.instance
    return own == min(state.settings.bootstrap_voters, default="")


def _make_probe(state: node.Node, to: address_lib.Address) -> effects.Send:
    probe = messages.BootstrapProbe(
        replica_id=state.control.identity.replica_id
    )
    return effects.Send(to=to, message=probe)


def _record_join_request(
    control: node.Control,
    event: events.PeerMessage,
    message: messages.JoinGroup,
) -> None:
    if len(control.join_requests) < JOIN_REQUESTS_MAX:
        control.join_requests[message.replica_id] = reconfiguration.JoinRequest(
            address=event.sender,
            data_centre=message.data_centre,
            requested_s=event.now_s,
        )


def _find_founders(state: node.Node) -> list[records.Member] | None:
    """Return the bootstrap voters as members, or None if one is not known."""
    own = state.settings.address
    control = state.control
    addresses = {own.instance: own}
    for seed in state.settings.seeds:
        addresses[seed.address.instance] = seed.address
    replica_ids = {
        **control.ungrouped_voter_ids,
        own.instance: control.identity.replica_id,
    }
    names = sorted(state.settings.bootstrap_voters)
    if any(name not in replica_ids or name not in addresses for name in names):
        return None
    return [
        records.Member(
            replica_id=replica_ids[name], address=addresses[name], voter=True
        )
        for name in names
    ]


def _find_joiners(state: node.Node, count: int) -> list[records.Member]:
    """Return up to a number of other nodes that belong to no group, as members.

    Prefers nodes in data centres that have no bootstrap voter.
    """
    control = state.control
    names = state.settings.bootstrap_voters
    covered = {
        seed.data_centre
        for seed in state.settings.seeds
        if seed.address.instance in names
    }
    joiners = [
        (request.data_centre in covered, request.address.instance, replica_id)
        for replica_id, request in control.join_requests.items()
        if request.address.instance not in names
        and control.ungrouped_voter_ids.get(request.address.instance)
        == replica_id
    ]
    return [
        records.Member(
            replica_id=replica_id,
            address=control.join_requests[replica_id].address,
            voter=True,
        )
        for _, _, replica_id in sorted(joiners)[: max(count, 0)]
    ]


def _store_group(
    state: node.Node, group_id: int, members: records.Members
) -> effects.WriteDisk:
    """Create the replica of a group and return the write that persists it."""
    control = state.control
    control.identity = dataclasses.replace(control.identity, group=group_id)
    create_replica(state, members)
    return state.disk.write([control.identity, _initial_snapshot(members)])


def _initial_snapshot(members: records.Members) -> records.LogSnapshot:
    return records.LogSnapshot(index=0, term=0, members=members, data=b"")
