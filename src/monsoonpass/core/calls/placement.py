"""Chooses the version and the upstream instance for a call.

The settings say how instances are chosen among those of a version.
"""

import math

from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core.calls import even_placement
from monsoonpass.core.calls import routing
from monsoonpass.core.rollouts import version_choice


def choose(
    state: node.Node,
    event: events.Event,
    service: str,
    tried: set[str],
    objective_s: float = math.inf,
) -> routing.Candidate | None:
    """Choose the instance for a call; see `routing.choose`."""
    chosen = even_placement if state.settings.even_load else routing
    versions = version_choice.choose(state, event, service, tried)
    if versions.target is not None:
        choice = chosen.choose(
            state, event, service, tried, objective_s, versions.target
        )
        # Without a free slot at the target, the call is no measure of it.
        if choice is not None and choice.reroutable:
            version_choice.record_sent_to_target(state, service)
            return choice
    return chosen.choose(
        state, event, service, tried, objective_s, versions.regular
    )
