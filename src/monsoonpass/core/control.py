"""The node's part in the control group: formation, upkeep and reads.

Bootstrap voters with empty disks form a group only when every one of them has
answered that it has none; the one whose name sorts first then proposes the
members. A disk that was emptied later has a new identity, so it can only join
as a learner.
"""

import dataclasses
from typing import Any

from monsoonpass.core import address as address_lib
from monsoonpass.core import config_messages as messages
from monsoonpass.core import consensus_records as records
from monsoonpass.core import distribution
from monsoonpass.core import effects
from monsoonpass.core import election
from monsoonpass.core import entropy as entropy_lib
from monsoonpass.core import events
from monsoonpass.core import follower as _follower
from monsoonpass.core import group
from monsoonpass.core import keyed_calls
from monsoonpass.core import logbook
from monsoonpass.core import node
from monsoonpass.core import replica as replica_lib
from monsoonpass.core import replication
from monsoonpass.core import step
from monsoonpass.core import submission
from monsoonpass.core import upkeep

UPKEEP_S = 0.5
JOIN_AFTER_S = 5.0
CANDIDATES_MAX = 64

assert _follower  # Imported for its registrations.


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadToken:
    """A read of the last accepted version for another node."""

    asker: address_lib.Address


def start(state: node.Node, event: events.Started) -> list[effects.Effect]:
    """Recover the replica, or give the disk an identity."""
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
        random = entropy_lib.Entropy(bits=event.entropy ^ event.wall_ms)
        control.identity = records.Identity(
            instance=state.settings.address.instance,
            replica_id=(random.bits64() >> 2) | 1,
            group=0,
        )
        result.append(state.disk.write([control.identity]))
    if control.identity.group:
        result += _resume(state, event)
    return [*result, *_upkeep(state, event)]


def drain_notices(
    state: node.Node, event: events.Event
) -> list[effects.Effect]:
    """Act on what the replica reported, then compact its log if due."""
    replica = state.control.replica
    if replica is None:
        return []
    result: list[effects.Effect] = []
    for notice in replica.take_notices():
        if isinstance(notice, replica_lib.Applied):
            result += submission.applied(state, event, notice)
            result += keyed_calls.applied(state, notice)
        elif isinstance(notice, replica_lib.Restored):
            result += distribution.restored(state, event)
        elif isinstance(notice, replica_lib.ReadReady):
            result.append(_read_reply(state, notice.token.asker, True))
        elif isinstance(notice.token, submission.Job):
            result += submission.dropped(state, event, notice.token)
        elif isinstance(notice.token, ReadToken):
            result.append(_read_reply(state, notice.token.asker, False))
    if replica_lib.wants_compaction(replica):
        result.append(checkpoint(state))
    return result


def checkpoint(state: node.Node) -> effects.WriteDisk:
    """Return the write that replaces the journal by the current state."""
    replica = state.control.replica
    own = distribution.checkpoint(state)
    kept: list[Any] = [state.control.identity]
    if replica is not None:
        kept = replica_lib.compact(replica)
    return state.disk.write([*kept, *own], replace=True)


@step.step.register
def _(event: events.DiskSynced, state: node.Node) -> list[effects.Effect]:
    result = state.disk.release(event.sequence)
    result += distribution.synced(state, event)
    replica = state.control.replica
    if replica is None:
        return result
    result += replication.synced(
        replica, sequence=event.sequence, now_s=event.now_s
    )
    result += election.synced(
        replica,
        sequence=event.sequence,
        now_s=event.now_s,
        entropy=event.entropy,
    )
    return result + drain_notices(state, event)


@step.step.register
def _(event: events.DiskFailed, state: node.Node) -> list[effects.Effect]:
    state.disk_failed = True
    replica = state.control.replica
    result: list[effects.Effect] = [
        effects.Log(
            code=logbook.Code.DISK_FAILED, fields={"detail": event.detail}
        )
    ]
    if replica is not None:
        result += group.become_follower(replica, replica.term, event.entropy)
        replica.failed = True
    return result + drain_notices(state, event)


@step.expire.register
def _(
    timer: events.Election, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    replica = state.control.replica
    if replica is None:
        return []
    result = election.timeout(replica, now_s=event.now_s, entropy=event.entropy)
    return result + drain_notices(state, event)


@step.expire.register
def _(
    timer: events.Heartbeat, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    replica = state.control.replica
    if replica is None:
        return []
    result = replication.heartbeat_timeout(
        replica, now_s=event.now_s, entropy=event.entropy
    )
    return result + drain_notices(state, event)


@step.expire.register
def _(
    timer: events.GroupUpkeep, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    return _upkeep(state, event)


def _receive_group_message(
    message: Any, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    replica = state.control.replica
    if state.disk_failed:
        return []
    if replica is None:
        return _adopt_group(state, event, message)
    if message.group != replica.identity.group:
        return []
    result = group.receive(
        message, replica, event.sender, event.now_s, event.entropy
    )
    return result + drain_notices(state, event)


for _type in (
    records.VoteRequest,
    records.VoteReply,
    records.Append,
    records.AppendReply,
    records.InstallSnapshot,
):
    step.receive.register(_type, _receive_group_message)


@step.receive.register
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


@step.receive.register
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
        control.probed.pop(sender, None)
        control.voters = (*control.voters, event.sender)[-8:]
        return []
    control.probed[sender] = message.replica_id
    return _form_group(state, event)


@step.receive.register
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
        return [_read_reply(state, event.sender, False)]
    if len(control.candidates) < CANDIDATES_MAX:
        control.candidates[message.replica_id] = upkeep.Candidate(
            address=event.sender,
            data_centre=message.data_centre,
            heard_s=event.now_s,
        )
    return []


@step.receive.register
def _(
    message: messages.ColdRead, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    replica = state.control.replica
    if replica is None:
        return [_read_reply(state, event.sender, False)]
    try:
        result = replication.start_read(
            replica,
            token=ReadToken(asker=event.sender),
            now_s=event.now_s,
        )
    except replica_lib.NotLeaderError:
        return [_read_reply(state, event.sender, False)]
    return result + drain_notices(state, event)


def _read_reply(
    state: node.Node, asker: address_lib.Address, confirmed: bool
) -> effects.Send:
    version = state.control.machine.catalog.version
    reply = messages.ColdReadReply(
        confirmed=confirmed,
        version=version if confirmed else 0,
        leader=submission.leader_of(state),
        voters=distribution.known_voters(state),
    )
    return effects.Send(to=asker, message=reply)


def _resume(state: node.Node, event: events.Started) -> list[effects.Effect]:
    """Rebuild the replica from the journal."""
    _make_replica(state, records.Members(members=()))
    replica = state.control.replica
    replica_lib.recover(replica, event.journal)
    result = distribution.restored(state, event)
    return [
        *result,
        *election.start(replica, now_s=event.now_s, entropy=event.entropy),
    ]


def _make_replica(state: node.Node, members: records.Members) -> None:
    state.control.replica = replica_lib.Replica(
        identity=state.control.identity,
        machine=state.control.machine,
        disk=state.disk,
        base_members=members,
    )


def _form_group(state: node.Node, event: events.Event) -> list[effects.Effect]:
    """Found the group once every bootstrap voter has said it has none."""
    names = state.settings.bootstrap_voters
    own = state.settings.address
    control = state.control
    if own.instance != min(names, default=""):
        return []
    addresses = {own.instance: own}
    for seed in state.settings.seeds:
        addresses[seed.address.instance] = seed.address
    ids = {**control.probed, own.instance: control.identity.replica_id}
    if any(name not in ids or name not in addresses for name in names):
        return []
    members = records.Members(
        members=tuple(
            records.Member(
                replica_id=ids[name], address=addresses[name], voter=True
            )
            for name in sorted(names)
        )
    )
    number = (entropy_lib.Entropy(bits=event.entropy).bits64() >> 2) | 1
    result = _enter_group(state, event, number, members)
    log = effects.Log(
        code=logbook.Code.GROUP_FORMED, fields={"voters": len(names)}
    )
    return [*result, log]


def _adopt_group(
    state: node.Node, event: events.PeerMessage, message: Any
) -> list[effects.Effect]:
    """Enter a group whose leader or candidate knows this disk's identity.

    The first message of a group to a new member tells it only the group's
    number; its members come with the log or a snapshot.
    """
    control = state.control
    if control.identity is None or control.identity.group:
        return []
    if isinstance(message, (records.VoteReply, records.AppendReply)):
        return []
    result = _enter_group(
        state, event, message.group, records.Members(members=())
    )
    return result + _receive_group_message(message, event, state)


def _enter_group(
    state: node.Node,
    event: events.Event,
    number: int,
    members: records.Members,
) -> list[effects.Effect]:
    control = state.control
    control.identity = dataclasses.replace(control.identity, group=number)
    _make_replica(state, members)
    replica = control.replica
    base = records.LogSnapshot(index=0, term=0, members=members, data=b"")
    write = state.disk.write([control.identity, base])
    started = election.start(
        replica, now_s=event.now_s, entropy=event.entropy, fresh=True
    )
    return [write, *started]


def _upkeep(state: node.Node, event: events.Event) -> list[effects.Effect]:
    control = state.control
    result: list[effects.Effect] = [
        effects.SetTimer(timer=events.GroupUpkeep(), delay_s=UPKEEP_S)
    ]
    if state.disk_failed:
        return result
    replica = control.replica
    if replica is not None and replica.is_leader:
        result += upkeep.check_members(state, event)
        return result + drain_notices(state, event)
    own = state.settings.address.instance
    bootstraps = own in state.settings.bootstrap_voters
    if replica is None and bootstraps:
        result += _form_group(state, event)
        for seed in state.settings.seeds:
            name = seed.address.instance
            if name in state.settings.bootstrap_voters and name != own:
                probe = messages.BootstrapProbe(
                    replica_id=control.identity.replica_id
                )
                result.append(effects.Send(to=seed.address, message=probe))
    if _wants_to_join(state, event):
        result += _ask_to_join(state, event)
    return result


def _wants_to_join(state: node.Node, event: events.Event) -> bool:
    replica = state.control.replica
    if replica is None or replica.members.find(replica.replica_id) is None:
        return True
    return event.now_s - replica.leader_heard_s > JOIN_AFTER_S


def _ask_to_join(state: node.Node, event: events.Event) -> list[effects.Effect]:
    own = state.settings.address.instance
    asked = submission.leader_of(state)
    voters = [v for v in distribution.known_voters(state) if v.instance != own]
    if asked is None or asked.instance == own:
        if not voters:
            return []
        asked = entropy_lib.Entropy(bits=event.entropy).choice(voters)
    request = messages.JoinGroup(
        replica_id=state.control.identity.replica_id,
        data_centre=state.settings.data_centre,
    )
    return [effects.Send(to=asked, message=request)]
