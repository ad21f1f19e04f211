"""This node's part of the fleet's budget of second tries.

Load pattern: upstreams that fail or shed for seconds, at which every node
would send each call twice. A node spends a share of its own calls and its part
of what the whole fleet may spend beyond that.
"""

from monsoonpass.core import node
from monsoonpass.core.calls import routing_table

DIRECT_RETRY_SHARE = 0.5  # What repeated work calls counts as repeated, too.


def for_service(state: node.Node, service: str) -> routing_table.RetryBudget:
    """Return the retry budget of a service, as this node's part of it."""
    settings = state.settings
    nodes = max(state.membership.table.present_count, 1)
    return state.routing.budget(
        service,
        ratio=settings.retry_ratio * DIRECT_RETRY_SHARE,
        max_tokens=max(settings.retry_slack * DIRECT_RETRY_SHARE / nodes, 1.0),
    )
