"""Distribution of accepted versions to every node.

The leader pushes a version once to an entry node of each data centre. From
there it spreads along a tree over the members of the data centre. Probes carry
version numbers, so a node that the tree missed detects a newer version within
one probe period and fetches the changes from the probing peer. A node that
starts without a stored configuration serves no calls until a quorum has
confirmed the last accepted version.
"""

import dataclasses

from monsoonpass import errors
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core import node
from monsoonpass.core import seeded_random
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.distribution import catalog as catalog_lib
from monsoonpass.core.distribution import catch_up
from monsoonpass.core.distribution import config_messages as messages
from monsoonpass.core.distribution import packing
from monsoonpass.core.distribution import push_tree

HISTORY_MAX = 256  # Deltas.
# Exceeds the duration of a push; one hint covers several rapid changes.
HINT_DELAY_S = 0.1
HINT_RECIPIENTS = 4  # Twice the number that gossip needs to reach all members.
PUSH_ACK_TIMEOUT_S = 0.4
PUSH_ATTEMPTS_MAX = 10


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingPush:
    """A push that a data centre has not acknowledged.

    Attributes:
        delta: The newest change to push.
        attempts: Number of times that a push was sent.
        entry_node: Instance to which the last push was sent.
    """

    delta: catalog_lib.Delta
    attempts: int
    entry_node: str


def recover(state: node.Node, event: events.Started) -> None:
    """Recover the version in force from the journal."""
    catalog = catalog_lib.EMPTY_CATALOG
    for record in event.journal:
        if isinstance(record, messages.InForceRecord):
            catalog = catalog_lib.from_snapshot(record.snapshot)
        elif isinstance(record, messages.InForceDelta):
            catalog = catalog.apply(record.delta)
    state.config.catalog = catalog
    state.config.ready = catalog.version > 0
    state.config.in_force_since_s = event.now_s


def checkpoint_records(state: node.Node) -> list[messages.InForceRecord]:
    """Return the disk records that preserve the newest version."""
    newest = state.config.newest
    if not newest.version:
        return []
    return [messages.InForceRecord(snapshot=newest.snapshot())]


def install_accepted(
    state: node.Node, event: events.Event, delta: catalog_lib.Delta
) -> list[effects.Effect]:
    """Put a version that the control group accepted in force on a replica.

    The leader also pushes the version to every data centre.
    """
    if delta.version <= state.config.newest.version:
        return []
    replica = state.control.replica
    if replica is not None and replica.is_ready_leader:
        state.config.confirmed_version = delta.version
    result: list[effects.Effect] = []
    if delta.base_version == state.config.newest.version:
        result += _apply_delta(state, event, delta)
    else:
        result += _install(
            state, event, state.control.state_machine.catalog, None
        )
    if replica is not None and replica.is_leader:
        for data_centre in _data_centres(state):
            result += _push_to_data_centre(
                state, event, data_centre, delta, attempts=0
            )
    return result


def install_restored(
    state: node.Node, event: events.Event
) -> list[effects.Effect]:
    """Put the version of a restored state machine in force."""
    return _install(state, event, state.control.state_machine.catalog, None)


def install_durable(
    state: node.Node, event: events.DiskSynced
) -> list[effects.Effect]:
    """Put the staged versions in force whose records are now durable."""
    result: list[effects.Effect] = []
    staged = state.config.staged
    while staged and staged[0].sequence <= event.sequence:
        item = staged.popleft()
        result += _bring_into_force(state, event, item.catalog, item.delta)
    return result


@step.handle_message.register
def _(
    message: messages.Push, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    """Apply a pushed version and forward it to this node's descendants."""
    config = state.config
    own = state.settings.address.instance
    ack = messages.PushAck(
        data_centre=state.settings.data_centre, version=message.version
    )
    result: list[effects.Effect] = [effects.Send(to=event.sender, message=ack)]
    is_known = message.version <= config.newest.version
    if message.root_instance != own or not is_known:
        # The descendants need the push even if this node has the version,
        # for example after a hint.
        result += push_tree.forward_push(state, message)
    if is_known or not config.ready:
        return result
    try:
        delta = packing.unpack(message.delta, catalog_lib.Delta)
    except errors.CatalogError as error:
        return [*result, _make_rejection_log(event, error)]
    base = (config.newest.version, config.newest.digest)
    if (delta.base_version, delta.base_digest) == base:
        return result + _apply_delta(state, event, delta)
    return result + catch_up.handle_peer_version(state, event, message.version)


@step.handle_message.register
def _(
    message: messages.PushAck, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    result = push_tree.handle_ack(state, event.sender.instance, message.version)
    pending = state.config.pending_pushes.get(message.data_centre)
    if pending is None or message.version < pending.delta.version:
        return result
    del state.config.pending_pushes[message.data_centre]
    timer = timers.PushAckTimeout(data_centre=message.data_centre)
    return [*result, effects.CancelTimer(timer=timer)]


@step.handle_timer.register
def _(
    timer: timers.PushAckTimeout, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    pending = state.config.pending_pushes.pop(timer.data_centre, None)
    replica = state.control.replica
    if pending is None or replica is None or not replica.is_leader:
        return []
    if pending.attempts >= PUSH_ATTEMPTS_MAX:
        return []
    return _push_to_data_centre(
        state,
        event,
        timer.data_centre,
        pending.delta,
        attempts=pending.attempts,
        excluded_instance=pending.entry_node,
    )


@step.handle_message.register
def _(
    message: messages.FetchReply, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    config = state.config
    if config.fetch_source == event.sender.instance and not config.ready:
        config.fetch_source = ""
    result: list[effects.Effect] = []
    previous_version = config.newest.version
    if not config.ready and message.version < config.fetch_target_version:
        # The peer may be starting as well; the voter that confirmed the
        # version has its content.
        voter = config.confirming_voter
        if voter is None or voter.instance == event.sender.instance:
            return result
        return catch_up.send_fetch(state, voter, config.fetch_target_version)
    try:
        if message.snapshot:
            snapshot = packing.unpack(message.snapshot, catalog_lib.Snapshot)
            catalog = catalog_lib.from_snapshot(snapshot)
            result += _install(state, event, catalog, None)
        for packed in message.deltas:
            delta = packing.unpack(packed, catalog_lib.Delta)
            if delta.base_version == config.newest.version:
                result += _apply_delta(state, event, delta)
    except errors.CatalogError as error:
        result.append(_make_rejection_log(event, error))
    progressed = config.newest.version > previous_version
    return result + catch_up.handle_reply(state, event, progressed=progressed)


def _apply_delta(
    state: node.Node, event: events.Event, delta: catalog_lib.Delta
) -> list[effects.Effect]:
    try:
        catalog = state.config.newest.apply(delta)
    except errors.CatalogError as error:
        return [_make_rejection_log(event, error)]
    return _install(state, event, catalog, delta)


def _install(
    state: node.Node,
    event: events.Event,
    catalog: catalog_lib.Catalog,
    delta: catalog_lib.Delta | None,
) -> list[effects.Effect]:
    """Put a newer version in force; with a disk, after it is durable.

    The record is written first, because a node that used a version and lost it
    in a crash would restart with an older one. For a snapshot without a delta,
    the delta from the current version is computed, because peers that lag
    equally far can then fetch the delta instead of the snapshot.
    """
    newest = state.config.newest
    if catalog.version <= newest.version:
        return []
    if delta is None and newest.version:
        delta = newest.delta_to(catalog)
    if not state.settings.has_disk:
        return _bring_into_force(state, event, catalog, delta)
    record: messages.InForceRecord | messages.InForceDelta
    if delta is None:
        record = messages.InForceRecord(snapshot=catalog.snapshot())
    else:
        record = messages.InForceDelta(delta=delta)
    write = state.disk.write([record])
    state.config.staged.append(
        node.Staged(sequence=write.sequence, catalog=catalog, delta=delta)
    )
    return [write]


def _bring_into_force(
    state: node.Node,
    event: events.Event,
    catalog: catalog_lib.Catalog,
    delta: catalog_lib.Delta | None,
) -> list[effects.Effect]:
    """Replace the configuration in force and schedule a version hint."""
    config = state.config
    fields: dict[str, object] = {"version": catalog.version}
    if not config.version:
        waited_s = event.now_s - config.in_force_since_s
        fields["after_start_s"] = round(waited_s, 3)
    config.catalog = catalog
    config.in_force_since_s = event.now_s
    # While a replica catches up, it may apply versions older than the one that
    # this node used before it lost its state.
    if config.confirmed_version is not None:
        config.ready |= catalog.version >= config.confirmed_version
    if delta is None:
        config.history.clear()
    else:
        config.history.append(delta)
        if len(config.history) > HISTORY_MAX:
            config.history.popleft()
    result: list[effects.Effect] = [
        effects.Log(code=log_events.Code.VERSION_IN_FORCE, fields=fields)
    ]
    if not config.hint_scheduled:
        config.hint_scheduled = True
        set_timer = effects.SetTimer(
            timer=timers.VersionHintDue(), delay_s=HINT_DELAY_S
        )
        result.append(set_timer)
    return result


@step.handle_timer.register
def _(
    timer: timers.VersionHintDue, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    """Send the version to random members, in case the tree missed them.

    A leader that has just restarted knows few members, so its tree misses the
    others.
    """
    state.config.hint_scheduled = False
    others = [member.address for member in state.membership.present_others]
    hint = messages.VersionHint(version=state.config.version)
    rng = seeded_random.SeededRandom(bits=event.random_bits)
    return [
        effects.SendDatagram(to=to, message=hint)
        for to in rng.sample(others, HINT_RECIPIENTS)
    ]


@step.handle_message.register
def _(
    message: messages.VersionHint, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    return catch_up.handle_peer_version(state, event, message.version)


def _data_centres(state: node.Node) -> list[str]:
    return [state.settings.data_centre, *sorted(state.directory.contacts)]


def _push_to_data_centre(
    state: node.Node,
    event: events.Event,
    data_centre: str,
    delta: catalog_lib.Delta,
    *,
    attempts: int,
    excluded_instance: str = "",
) -> list[effects.Effect]:
    """Push a version to an entry node of a data centre."""
    if data_centre == state.settings.data_centre:
        root_instance = state.settings.address.instance
        return push_tree.forward_push(state, _make_push(delta, root_instance))
    contacts = state.directory.contacts.get(data_centre, ())
    candidates = [
        c for c in contacts if c.instance != excluded_instance
    ] or list(contacts)
    if not candidates:
        return []
    to = seeded_random.SeededRandom(bits=event.random_bits).choice(candidates)
    state.config.pending_pushes[data_centre] = PendingPush(
        delta=delta, attempts=attempts + 1, entry_node=to.instance
    )
    return [
        effects.Send(to=to, message=_make_push(delta, to.instance)),
        effects.SetTimer(
            timer=timers.PushAckTimeout(data_centre=data_centre),
            delay_s=PUSH_ACK_TIMEOUT_S,
        ),
    ]


def _make_push(delta: catalog_lib.Delta, root_instance: str) -> messages.Push:
    return messages.Push(
        version=delta.version, delta=delta.packed, root_instance=root_instance
    )


def _make_rejection_log(
    event: events.Event, error: errors.CatalogError
) -> effects.Log:
    return effects.Log(
        code=log_events.Code.CONFIGURATION_REJECTED,
        fields={"error": str(error)},
    )
