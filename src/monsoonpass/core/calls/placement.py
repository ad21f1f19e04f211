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
    usual_s: float = math.inf,
) -> routing.Candidate | None:
    """Choose the instance for a call; see `even_placement.choose`."""
    versions = version_choice.choose(state, event, service, tried)
    if versions.target is not None:
        choice = _choose_instance(
            state,
            event,
            service,
            tried,
            objective_s,
            versions.target,
            usual_s,
        )
        # Without a free slot at the target, the call is no measure of it.
        if choice is not None and choice.reroutable:
            version_choice.record_sent_to_target(state, service)
            return choice
    return _choose_instance(
        state, event, service, tried, objective_s, versions.regular, usual_s
    )


def _choose_instance(
    state: node.Node,
    event: events.Event,
    service: str,
    tried: set[str],
    objective_s: float,
    versions: version_choice.VersionFilter,
    usual_s: float,
) -> routing.Candidate | None:
    """Choose an instance among those of some versions."""
    if state.settings.even_load:
        return even_placement.choose(
            state, event, service, tried, objective_s, versions, usual_s
        )
    return routing.choose(state, event, service, tried, objective_s, versions)
