"""Synchronisation requests to nodes, including ones not yet in the table."""

from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core import node
from monsoonpass.core.membership import member as member_lib


def request_sync(state: node.Node, to: address_lib.Address) -> effects.Send:
    """Return a request for the records that this node's table lacks."""
    message = member_lib.SyncRequest(
        sender=state.membership.own_record,
        buckets=state.membership.table.buckets,
    )
    return effects.Send(to=to, message=message)


def request_sync_from_missing_seeds(state: node.Node) -> list[effects.Effect]:
    """Request synchronisation from every seed that is not in the table."""
    table = state.membership.table
    return [
        request_sync(state, seed.address)
        for seed in state.settings.local_seeds
        if table.get(seed.address.instance) is None
    ]
