"""Exact shares of a route's calls among its services.

Random choice misses a share by several per cent in a window of a few hundred
calls. Taking turns by accumulated weight misses it by at most one call a
node. What a service has no room for is refused, never moved to another, so
that a canary's share tells how the canary would do.
"""

import dataclasses

from monsoonpass.core import bounded
from monsoonpass.core import entropy as entropy_lib
from monsoonpass.core.distribution import catalog
from monsoonpass.core.distribution import host_route

ROUTES_MAX = 4096  # Routes whose turns are remembered.


@dataclasses.dataclass(kw_only=True, slots=True)
class Turns:
    """Whose turn it is among the parts of a route.

    Attributes:
        parts: The parts that the credits belong to.
        credits: What each part is owed, in calls.
    """

    parts: tuple[host_route.Part, ...]
    credits: list[float]


def pick(turns: dict[str, Turns], match: catalog.Match, entropy: int) -> str:
    """Return the service that serves the next call of a route.

    Args:
        turns: The turns of all routes, by name; changed in place.
        match: The call's route.
        entropy: Random bits, so that nodes do not start in step.

    Returns:
        Name of the service.
    """
    if len(match.services) == 1:
        return match.services[0]
    parts = match.route.parts
    rotation = turns.get(match.name)
    if rotation is None or rotation.parts != parts:
        bounded.make_room(turns, ROUTES_MAX)
        rotation = _random_start(parts, entropy)
        turns[match.name] = rotation
    total = sum(part.weight for part in parts)
    for position, part in enumerate(parts):
        rotation.credits[position] += part.weight / total
    chosen = max(range(len(parts)), key=rotation.credits.__getitem__)
    rotation.credits[chosen] -= 1.0
    return parts[chosen].service


def _random_start(parts: tuple[host_route.Part, ...], entropy: int) -> Turns:
    """Begin at a random point of the cycle."""
    random_numbers = entropy_lib.Entropy(bits=entropy)
    credits = [random_numbers.uniform(0.0, 1.0) for _ in parts]
    mean = sum(credits) / len(credits)
    return Turns(parts=parts, credits=[credit - mean for credit in credits])
