"""Chooses the upstream instance for a call, as the settings say."""

import math

from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core.calls import even_placement
from monsoonpass.core.calls import routing


def choose(
    state: node.Node,
    event: events.Event,
    service: str,
    tried: set[str],
    objective_s: float = math.inf,
    usual_s: float = math.inf,
) -> routing.Candidate | None:
    """Choose the instance for a call; see `even_placement.choose`."""
    if state.settings.even_load:
        return even_placement.choose(
            state, event, service, tried, objective_s, usual_s
        )
    return routing.choose(state, event, service, tried, objective_s)
