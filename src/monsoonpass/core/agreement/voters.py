"""Who votes and who leads, as far as a node knows."""

from monsoonpass.core import address as address_lib
from monsoonpass.core import entropy as entropy_lib
from monsoonpass.core import events
from monsoonpass.core import node


def leader_of(state: node.Node) -> address_lib.Address | None:
    """Return where the leader is, as far as this node knows."""
    replica = state.control.replica
    if replica is not None and replica.leader_address is not None:
        return replica.leader_address
    if replica is not None and replica.is_voter:
        return None
    return state.control.leader


def whom_to_ask(
    state: node.Node, event: events.Event, attempts: int
) -> address_lib.Address | None:
    """Return a node that may lead, or know who does.

    Args:
        state: The node.
        event: The cause, for its random bits.
        attempts: How often this was tried before. The last known leader comes
            first; it may be dead or frozen, so any voter comes after.

    Returns:
        An address other than this node's, or None.
    """
    own = state.settings.address.instance
    leader = leader_of(state)
    if attempts == 0 and leader is not None and leader.instance != own:
        return leader
    others = other_voters(state)
    if not others:
        return None
    return entropy_lib.Entropy(bits=event.entropy).choice(others)


def other_voters(state: node.Node) -> list[address_lib.Address]:
    """Return where the voters are, without this node."""
    own = state.settings.address.instance
    return [voter for voter in known_voters(state) if voter.instance != own]


def known_voters(state: node.Node) -> tuple[address_lib.Address, ...]:
    """Return where the voters are: as last told, else from the settings."""
    replica = state.control.replica
    if replica is not None and replica.members.voters:
        return tuple(m.address for m in replica.members.members if m.voter)
    if state.control.voters:
        return state.control.voters
    names = state.settings.bootstrap_voters
    return tuple(
        seed.address
        for seed in state.settings.seeds
        if not names or seed.address.instance in names
    )
