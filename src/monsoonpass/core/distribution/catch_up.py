"""Catching up with a peer that has a newer version."""

from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.distribution import config_messages as messages

FETCH_TIMEOUT_S = 0.4  # A lost answer must not cost most of a second.


def heard_version(
    state: node.Node, event: events.PeerMessage, version: int
) -> list[effects.Effect]:
    """Fetch from a peer that has a newer version, one fetch at a time."""
    config = state.config
    if version <= config.newest.version or not config.ready:
        return []
    if config.fetching and config.fetch_version >= version:
        return []
    return fetch(state, event.sender, version)


@step.receive.register
def _(
    message: messages.Fetch, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    reply = _newer_than(state.config, message)
    return [effects.Send(to=event.sender, message=reply)]


@step.expire.register
def _(
    timer: timers.FetchRetry, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    state.config.fetching = ""
    return []


def _newer_than(
    config: node.Config, request: messages.Fetch
) -> messages.FetchReply:
    """Return what a peer lacks, in the form that has fewer bytes."""
    if request.version >= config.version:
        return messages.FetchReply(version=config.version)
    chain = _chain_from(config, request)
    whole = config.catalog.packed
    if chain and sum(len(delta) for delta in chain) < len(whole):
        return messages.FetchReply(version=config.version, deltas=chain)
    return messages.FetchReply(version=config.version, snapshot=whole)


def _chain_from(
    config: node.Config, request: messages.Fetch
) -> tuple[bytes, ...]:
    """Return the deltas from exactly the peer's content, or none."""
    history = list(config.history)
    for position, delta in enumerate(history):
        base = (delta.base_version, delta.base_digest)
        if base == (request.version, request.digest):
            return tuple(delta.packed for delta in history[position:])
    return ()


def fetch(
    state: node.Node, to: address_lib.Address, version: int
) -> list[effects.Effect]:
    """Ask a peer for what is newer than the own version."""
    config = state.config
    config.fetching = to.instance
    config.fetch_version = max(version, config.fetch_version)
    newest = config.newest
    fetch = messages.Fetch(version=newest.version, digest=newest.digest)
    return [
        effects.Send(to=to, message=fetch),
        effects.SetTimer(timer=timers.FetchRetry(), delay_s=FETCH_TIMEOUT_S),
    ]
