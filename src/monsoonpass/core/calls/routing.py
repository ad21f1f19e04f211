"""Chooses the upstream instance for a call."""

import dataclasses
import math

from monsoonpass import immutable
from monsoonpass.core import address as address_lib
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core import seeded_random
from monsoonpass.core.calls import routing_table
from monsoonpass.core.membership import member as member_lib
from monsoonpass.core.rollouts import version_choice

HOP_COST_S = 0.002  # Latency added by the hop to another node.
SAME_REGION_RTT_S = 0.001  # Assumed round trip within a region until measured.
OTHER_REGION_RTT_S = 0.016  # Assumed round trip between regions until measured.
# A call is queued nearby, rather than sent to another region, if its predicted
# latency is at most this share of the objective.
NEAR_LATENCY_SHARE = 0.6
HEALTHY_MIN_SHARE = 0.5  # With a smaller healthy share, ejections are ignored.


@immutable.dataclass
class Candidate:
    """An instance that could serve a call.

    Attributes:
        address: Address of the owner node.
        rtt_s: Round trip to its data centre, in seconds.
        reroutable: Whether the instance should refuse the call when busy,
            because another may serve it sooner.
    """

    address: address_lib.Address
    rtt_s: float
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
    objective_s: float = math.inf,
    versions: version_choice.VersionFilter = version_choice.ALL_VERSIONS,
) -> Candidate | None:
    """Choose the instance for a call by expected latency and link cost.

    Load pattern: load peaks reach the regions one after the other, and at
    times every nearby instance is busy. A free slot in the own region is
    preferred, then a short wait in the own region, then a free slot across the
    paid link to another region. If no instance is expected to answer within
    the objective, a new call goes to the one in the region that should answer
    soonest, and a call that was already refused or failed gets none.

    Args:
        state: The node.
        event: The event being handled, for its time and random bits.
        service: The service called.
        tried: Instances that refused or failed this call.
        objective_s: Time left of the response time objective, in seconds.
        versions: Which instances may be chosen, by their upstreams' versions.

    Returns:
        The candidate, or None if no instance is worth an attempt.
    """
    rng = seeded_random.SeededRandom(bits=event.random_bits)
    now_s = event.now_s
    near_tiers, far_candidates = _candidates_by_distance(
        state, event, service, tried, versions
    )
    for tier in near_tiers:
        best = _best_of_two(
            state, _with_free_slot(state, tier, now_s), rng, now_s
        )
        if best is not None:
            return dataclasses.replace(best, reroutable=True)
    nearby = [candidate for tier in near_tiers for candidate in tier]
    soonest = _soonest(state, nearby, now_s)
    if soonest is not None:
        predicted_s = _predict(state, soonest, now_s)
        if predicted_s <= NEAR_LATENCY_SHARE * objective_s < math.inf:
            return soonest
    remote = _best_of_two(
        state,
        _with_free_slot(state, far_candidates, now_s),
        rng,
        now_s,
    )
    if remote is not None:
        return dataclasses.replace(remote, reroutable=True)
    if soonest is not None and (not tried or predicted_s <= objective_s):
        return soonest
    return None if tried else _soonest(state, far_candidates, now_s)


def find_candidate(
    state: node.Node, event: events.Event, service: str, instance: str
) -> Candidate | None:
    """Return an instance of a service if it may be sent calls, else None."""
    versions = version_choice.choose(state, event, service, {instance}).regular
    for candidate, _ in _members(state, event, service, set(), versions):
        if candidate.instance == instance:
            return candidate
    return None


def _with_free_slot(
    state: node.Node, candidates: list[Candidate], now_s: float
) -> list[Candidate]:
    return [c for c in candidates if not _is_saturated(state, c, now_s)]


def _soonest(
    state: node.Node, candidates: list[Candidate], now_s: float
) -> Candidate | None:
    return min(
        candidates, key=lambda c: _predict(state, c, now_s), default=None
    )


def _candidates_by_distance(
    state: node.Node,
    event: events.Event,
    service: str,
    tried: set[str],
    versions: version_choice.VersionFilter,
) -> tuple[list[list[Candidate]], list[Candidate]]:
    """Return the candidates of the own region by distance, and all others.

    A nearer instance with a free slot answers sooner than a farther one, and
    traffic between data centres and between regions is billed.

    Returns:
        The candidates of the own data centre and those of the rest of the
        region, and the candidates of other regions.
    """
    settings = state.settings
    tiers: list[list[Candidate]] = [[], [], []]
    for candidate, member in _members(state, event, service, tried, versions):
        if member.data_centre == settings.data_centre:
            tiers[0].append(candidate)
        elif member.region == settings.region:
            tiers[1].append(candidate)
        else:
            tiers[2].append(candidate)
    tiers[2] += remote_candidates(state, service, tried, versions)
    return tiers[:2], tiers[2]


def remote_candidates(
    state: node.Node,
    service: str,
    tried: set[str],
    versions: version_choice.VersionFilter = version_choice.ALL_VERSIONS,
) -> list[Candidate]:
    """Return the instances of a service in other data centres."""
    return [
        candidate
        for candidate, member in remote_members(state, service)
        if member.instance not in tried and versions.accepts(member)
    ]


def remote_members(
    state: node.Node, service: str
) -> list[tuple[Candidate, member_lib.Member]]:
    """Return the instances of a service that other data centres have told."""
    result = []
    by_data_centre = state.directory.endpoints.get(service, {})
    for data_centre, endpoints in by_data_centre.items():
        # Assumes 20 ms until the round trip is measured.
        rtt_s = state.directory.rtt_s.get(data_centre, 0.02)
        for member in endpoints.members:
            candidate = Candidate(address=member.address, rtt_s=rtt_s)
            result.append((candidate, member))
    return result


def _members(
    state: node.Node,
    event: events.Event,
    service: str,
    tried: set[str],
    versions: version_choice.VersionFilter,
) -> list[tuple[Candidate, member_lib.Member]]:
    """Return the members that accept calls of a service and are not ejected."""
    members = state.membership.table.by_service.get(service, {})
    usable = []
    for member in members.values():
        if member.instance in tried or not member.upstream.accepts_calls:
            continue
        if not versions.accepts(member):
            continue
        rtt_s = expected_rtt_s(state, member)
        candidate = Candidate(address=member.address, rtt_s=rtt_s)
        usable.append((candidate, member))
    return _without_ejected(state, usable, event.now_s)


def expected_rtt_s(state: node.Node, member: member_lib.Member) -> float:
    """Return the expected round trip to a member, in seconds."""
    settings = state.settings
    if member.data_centre == settings.data_centre:
        return 0.0
    measured_s = state.directory.rtt_s.get(member.data_centre)
    if measured_s is not None:
        return measured_s
    return (
        SAME_REGION_RTT_S
        if member.region == settings.region
        else OTHER_REGION_RTT_S
    )


def _without_ejected(
    state: node.Node,
    candidates: list[tuple[Candidate, member_lib.Member]],
    now_s: float,
) -> list[tuple[Candidate, member_lib.Member]]:
    """Leave out ejected instances, unless too few would remain."""
    peers = state.routing.peers
    healthy = []
    for item in candidates:
        peer = peers.get(item[0].instance)
        if peer is None or peer.ejected_until_s <= now_s:
            healthy.append(item)
    if len(healthy) < HEALTHY_MIN_SHARE * len(candidates):
        return candidates
    return healthy


def _best_of_two(
    state: node.Node,
    candidates: list[Candidate],
    rng: seeded_random.SeededRandom,
    now_s: float,
) -> Candidate | None:
    """Return the better of two random candidates, or None without any."""
    if not candidates:
        return None
    if len(candidates) == 1:
        return candidates[0]
    first, second = rng.sample(candidates, 2)
    if _predict(state, second, now_s) < _predict(state, first, now_s):
        return second
    return first


def _predict(state: node.Node, candidate: Candidate, now_s: float) -> float:
    """Predict the latency of a call to a candidate, in seconds."""
    if candidate.instance == state.settings.address.instance:
        load = state.admission.load(now_s)
        # A call to this node's own upstream needs no hop to another node.
        return routing_table.predict_at_load_s(load, 0) - HOP_COST_S
    return state.routing.predict_s(candidate.instance, candidate.rtt_s, now_s)


def _is_saturated(state: node.Node, candidate: Candidate, now_s: float) -> bool:
    """Return whether a call would be queued at a candidate."""
    if candidate.instance == state.settings.address.instance:
        return not state.admission.has_free_slot(now_s)
    peer = state.routing.peers.get(candidate.instance)
    if peer is None or peer.load is None:
        return False
    load = peer.load
    if now_s - peer.load_s > routing_table.LOAD_FRESH_S:
        return peer.in_flight >= load.slots
    return load.in_progress + load.queued + peer.sent_since >= load.slots
