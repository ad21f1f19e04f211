"""The choice of an upstream instance for a call."""

import dataclasses

from monsoonpass.core import address as address_lib
from monsoonpass.core import entropy as entropy_lib
from monsoonpass.core import events
from monsoonpass.core import member as member_lib
from monsoonpass.core import node
from monsoonpass.core import routing_table

SPILL_GAIN = 1.0
HOP_S = 0.002
EJECT_SHARE = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """An instance that could serve a call.

    Attributes:
        address: Its node.
        link_s: Round trip to its data centre.
        reroutable: Whether there are others, in case this one is busy.
    """

    address: address_lib.Address
    link_s: float
    reroutable: bool = False

    @property
    def instance(self) -> str:
        """Name of the instance."""
        return self.address.instance


def choose(
    state: node.Node,
    event: events.Event,
    service: str,
    tried: set[str],
) -> Candidate | None:
    """Choose the instance that should answer soonest.

    Two random candidates of the own data centre are compared by predicted
    completion. Another data centre is chosen only if the own one has no
    candidate, or if its best answers so late that the link pays off.

    Args:
        state: The node.
        event: The cause, for its time and random bits.
        service: The service called.
        tried: Instances that refused or failed this call.

    Returns:
        The choice, or None without any candidate.
    """
    draws = entropy_lib.Entropy(bits=event.entropy)
    local = _best_of_two(
        state, _local(state, event, service, tried), draws, event.now_s
    )
    if local is not None and not _is_saturated(state, local, event.now_s):
        return local
    remote = _best_of_two(
        state, remote_candidates(state, service, tried), draws, event.now_s
    )
    if local is None or remote is None:
        return local or remote
    gain_s = _predict(state, local, event.now_s) - _predict(
        state, remote, event.now_s
    )
    return remote if gain_s > SPILL_GAIN * remote.link_s else local


def remote_candidates(
    state: node.Node, service: str, tried: set[str]
) -> list[Candidate]:
    """Return the instances of a service in other data centres."""
    result = []
    by_place = state.directory.endpoints.get(service, {})
    for data_centre, members in by_place.items():
        link_s = state.directory.rtt_s.get(data_centre, 0.02)
        for member in members.members:
            if member.instance not in tried:
                result.append(Candidate(address=member.address, link_s=link_s))
    return result


def _local(
    state: node.Node,
    event: events.Event,
    service: str,
    tried: set[str],
) -> list[Candidate]:
    group = state.membership.table.by_service.get(service, {})
    usable = []
    for member in group.values():
        if member.instance in tried or not serves(member):
            continue
        usable.append(Candidate(address=member.address, link_s=0.0))
    return _without_ejected(state, usable, event.now_s)


def serves(member: member_lib.Member) -> bool:
    """Return whether a member's upstream takes new work."""
    return member.upstream in (
        member_lib.UpstreamState.READY,
        member_lib.UpstreamState.STARTING,
    )


def _without_ejected(
    state: node.Node, candidates: list[Candidate], now_s: float
) -> list[Candidate]:
    """Leave out ejected instances, unless too many are."""
    peers = state.routing.peers
    kept = []
    for candidate in candidates:
        peer = peers.get(candidate.instance)
        if peer is None or peer.ejected_until_s <= now_s:
            kept.append(candidate)
    if len(kept) < EJECT_SHARE * len(candidates):
        return candidates
    return kept


def _best_of_two(
    state: node.Node,
    candidates: list[Candidate],
    draws: entropy_lib.Entropy,
    now_s: float,
) -> Candidate | None:
    if not candidates:
        return None
    if len(candidates) == 1:
        return candidates[0]
    first, second = draws.sample(candidates, 2)
    if _predict(state, second, now_s) < _predict(state, first, now_s):
        first = second
    return dataclasses.replace(first, reroutable=True)


def _predict(state: node.Node, candidate: Candidate, now_s: float) -> float:
    if candidate.instance == state.settings.address.instance:
        load = state.admission.load(now_s)
        # The own upstream saves the hop that every other candidate costs.
        return routing_table.predict_load_s(load, 0) - HOP_S
    return state.routing.predict_s(candidate.instance, candidate.link_s, now_s)


def _is_saturated(state: node.Node, candidate: Candidate, now_s: float) -> bool:
    """Return whether a call would wait at a candidate."""
    if candidate.instance == state.settings.address.instance:
        return not state.admission.has_free_slot(now_s)
    peer = state.routing.peers.get(candidate.instance)
    if peer is None or peer.load is None:
        return False
    load = peer.load
    return load.in_progress + load.queued + peer.sent_since >= load.slots
