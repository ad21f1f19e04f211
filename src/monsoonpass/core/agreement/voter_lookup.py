"""Lookup of the voters and the leader, from a node's local knowledge."""

from monsoonpass.core import address as address_lib
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core import seeded_random


def known_leader(state: node.Node) -> address_lib.Address | None:
    """Return the address of the leader that this node knows, or None."""
    replica = state.control.replica
    if replica is not None and replica.leader_address is not None:
        return replica.leader_address
    if replica is not None and replica.is_voter:
        return None
    return state.control.leader


def pick_leader(
    state: node.Node, event: events.Event, previous_attempts: int
) -> address_lib.Address | None:
    """Return this node if it leads, else as `pick_leader_or_voter`."""
    replica = state.control.replica
    if replica is not None and replica.is_leader:
        return state.settings.address
    return pick_leader_or_voter(state, event, previous_attempts)


def pick_leader_or_voter(
    state: node.Node, event: events.Event, previous_attempts: int
) -> address_lib.Address | None:
    """Return a node to send a request for the leader to.

    Args:
        state: The node.
        event: The event being handled; its random bits are used.
        previous_attempts: Number of earlier attempts. The first attempt goes to
            the last known leader; later ones go to a random voter, since the
            leader may have crashed or hung.

    Returns:
        An address other than this node's, or None if no other voter is known.
    """
    own = state.settings.address.instance
    leader = known_leader(state)
    if previous_attempts == 0 and leader is not None and leader.instance != own:
        return leader
    others = other_voters(state)
    if not others:
        return None
    return seeded_random.SeededRandom(bits=event.random_bits).choice(others)


def other_voters(state: node.Node) -> list[address_lib.Address]:
    """Return the addresses of the voters except this node."""
    own = state.settings.address.instance
    return [voter for voter in known_voters(state) if voter.instance != own]


def known_voters(state: node.Node) -> tuple[address_lib.Address, ...]:
    """Return the addresses of the voters.

    Sources, in order of preference: the replica's members, the voters last
    reported by another node, the seeds in the settings.
    """
    replica = state.control.replica
    if replica is not None and replica.members.voters:
        # A replacement on the same node has the same address twice.
        return tuple(
            dict.fromkeys(m.address for m in replica.members.members if m.voter)
        )
    if state.control.voters:
        return state.control.voters
    names = state.settings.bootstrap_voters
    return tuple(
        seed.address
        for seed in state.settings.seeds
        if not names or seed.address.instance in names
    )
