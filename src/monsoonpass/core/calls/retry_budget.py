"""This node's share of the retry budget of all nodes.

Load pattern: upstreams fail or shed for seconds, and without a bound every
node would send each call twice. A node may retry a share of its own calls, plus
its part of the additional retries that all nodes together may make.
"""

from monsoonpass.core import node
from monsoonpass.core.calls import routing_table

# A call that is run again repeats its calls to other services, which count as
# retries too. The rest of the budget is left for them.
DIRECT_RETRY_SHARE = 0.5


def for_service(state: node.Node, service: str) -> routing_table.RetryBudget:
    """Return this node's retry budget for a service."""
    settings = state.settings
    nodes = max(state.membership.table.present_count, 1)
    return state.routing.budget(
        service,
        ratio=settings.retry_ratio * DIRECT_RETRY_SHARE,
        max_tokens=max(settings.retry_slack * DIRECT_RETRY_SHARE / nodes, 1.0),
    )
