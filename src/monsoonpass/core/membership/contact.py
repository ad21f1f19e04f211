"""Contact with nodes that may not be in the table yet."""

from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core import node
from monsoonpass.core.membership import member as member_lib


def request(state: node.Node, to: address_lib.Address) -> effects.Send:
    """Ask a node for what its table has and the own one lacks."""
    message = member_lib.SyncRequest(
        sender=state.membership.own, buckets=state.membership.table.buckets
    )
    return effects.Send(to=to, message=message)


def meet_seeds(state: node.Node) -> list[effects.Effect]:
    """Synchronise the table with every seed that is not yet in it."""
    table = state.membership.table
    return [
        request(state, seed.address)
        for seed in state.settings.local_seeds
        if table.get(seed.address.instance) is None
    ]
