"""Fetching of newer versions from peers.

A node fetches when a hint, probe or push shows that a peer has a newer version
than its own. At most one fetch is in progress at a time.
"""

from monsoonpass.core import address as address_lib
from monsoonpass.core import backoff
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core import seeded_random
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.agreement import voter_lookup
from monsoonpass.core.distribution import config_messages as messages

FETCH_TIMEOUT_S = 0.4  # Short, for lost replies; doubled with each attempt.
FETCH_TIMEOUT_MAX_S = 1.6  # Time for a full snapshot over a saturated link.
FETCH_ATTEMPTS_MAX = 8  # Afterwards, a hint or probe starts a new fetch.


def handle_peer_version(
    state: node.Node, event: events.PeerMessage, version: int
) -> list[effects.Effect]:
    """Fetch from a peer that reported a newer version, one fetch at a time."""
    config = state.config
    if version <= config.newest.version or not config.ready:
        return []
    if config.fetch_source:
        # A reply carries all missing changes; a second fetch would repeat them.
        config.fetch_target_version = max(version, config.fetch_target_version)
        return []
    return send_fetch(state, event.sender, version)


@step.handle_message.register
def _(
    message: messages.Fetch, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    reply = _make_reply(state.config, message)
    return [effects.Send(to=event.sender, message=reply)]


@step.handle_timer.register
def _(
    timer: timers.FetchTimeout, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    """Retry at another node; the first may be hung or its link saturated."""
    config = state.config
    previous_source, config.fetch_source = config.fetch_source, ""
    is_behind = config.fetch_target_version > config.newest.version
    if (
        not config.ready
        or not is_behind
        or config.fetch_attempts >= FETCH_ATTEMPTS_MAX
    ):
        config.fetch_attempts = 0
        return []
    source = _alternate_source(state, event, previous_source)
    if source is None:
        return []
    return send_fetch(state, source, config.fetch_target_version)


def _make_reply(
    config: node.ConfigState, request: messages.Fetch
) -> messages.FetchReply:
    """Return the changes that a peer lacks, as deltas or a smaller snapshot."""
    if request.version >= config.version:
        return messages.FetchReply(version=config.version)
    deltas = _deltas_since(config, request)
    packed_snapshot = config.catalog.packed
    if deltas and sum(len(delta) for delta in deltas) < len(packed_snapshot):
        return messages.FetchReply(version=config.version, deltas=deltas)
    return messages.FetchReply(version=config.version, snapshot=packed_snapshot)


def _deltas_since(
    config: node.ConfigState, request: messages.Fetch
) -> tuple[bytes, ...]:
    """Return the deltas that follow the peer's version and digest, or none."""
    history = list(config.history)
    for position, delta in enumerate(history):
        base = (delta.base_version, delta.base_digest)
        if base == (request.version, request.digest):
            return tuple(delta.packed for delta in history[position:])
    return ()


def send_fetch(
    state: node.Node, to: address_lib.Address, version: int
) -> list[effects.Effect]:
    """Request the changes after this node's newest version from a peer."""
    config = state.config
    config.fetch_source = to.instance
    config.fetch_attempts += 1
    config.fetch_target_version = max(version, config.fetch_target_version)
    newest = config.newest
    request = messages.Fetch(version=newest.version, digest=newest.digest)
    timeout_s = backoff.doubled_s(
        FETCH_TIMEOUT_S, config.fetch_attempts - 1, FETCH_TIMEOUT_MAX_S
    )
    return [
        effects.Send(to=to, message=request),
        effects.SetTimer(timer=timers.FetchTimeout(), delay_s=timeout_s),
    ]


def handle_reply(
    state: node.Node, event: events.PeerMessage, *, progressed: bool
) -> list[effects.Effect]:
    """Continue after a reply until the newest version heard of is fetched.

    Args:
        state: The node.
        event: The event that carries the reply.
        progressed: Whether the reply contained a newer version.

    Returns:
        Effects that cancel the fetch timer or send the next fetch.
    """
    config = state.config
    if config.fetch_source != event.sender.instance or not config.ready:
        return []
    if config.fetch_target_version <= config.newest.version:
        config.fetch_source = ""
        config.fetch_attempts = 0
        return [effects.CancelTimer(timer=timers.FetchTimeout())]
    if not progressed:
        # The peer lags as well; the handler of FetchTimeout selects another.
        return []
    config.fetch_attempts = 0
    source = _alternate_source(state, event, config.fetch_source)
    return send_fetch(
        state, source or event.sender, config.fetch_target_version
    )


def _alternate_source(
    state: node.Node, event: events.Event, previous_source: str
) -> address_lib.Address | None:
    """Return another voter, which has every version, or a nearby member."""
    rng = seeded_random.SeededRandom(bits=event.random_bits)
    voters = [
        v
        for v in voter_lookup.other_voters(state)
        if v.instance != previous_source
    ]
    if voters:
        return rng.choice(voters)
    others = [
        m for m in nearest_members(state) if m.instance != previous_source
    ]
    return rng.choice(others) if others else None


def nearest_members(state: node.Node) -> list[address_lib.Address]:
    """Return the alive members nearest to this node.

    These are the other members of the data centre; without any, those of the
    region; without any, all others.
    """
    own = state.settings
    members = state.membership.alive_others
    groups = (
        [m for m in members if m.data_centre == own.data_centre],
        [m for m in members if m.region == own.region],
        members,
    )
    nearest = next((group for group in groups if group), [])
    return [member.address for member in nearest]
