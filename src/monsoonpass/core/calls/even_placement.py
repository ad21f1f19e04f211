"""Chooses the upstream instance for a call so that load is even.

Load pattern: dozens of entry nodes choose at the same time, and each of them
hears from one of dozens of upstreams only every few seconds, while upstreams
differ in speed and become slow for less than a second. A report is then known
to one entry node only and outdated after about one service time. A choice by
the last reports overloads upstreams in turn while others are idle.

The occupancy of an upstream is therefore estimated from its last report, which
counts less with its age, and from the mean of its neighbours. Instances about
which equally little is known take turns in proportion to their capacity, which
needs no recent report. A nearer data centre or region is used as long as an
instance there is expected to have a free slot.
"""

import dataclasses
import math

from monsoonpass.core import bounded_mapping
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core import seeded_random
from monsoonpass.core.calls import outcome
from monsoonpass.core.calls import routing
from monsoonpass.core.calls import routing_table
from monsoonpass.core.membership import member as member_lib
from monsoonpass.core.rollouts import version_choice

# Weight of a call ahead of an instance's turn, as a share of its slots. Turns
# only decide between instances whose expected occupancies are about equal.
TURN_WEIGHT = 0.1
# Calls by which an instance may be behind or ahead of its turn. An instance
# that was full for seconds must not get all calls of the following ones.
TURNS_BEHIND_MAX = 1.0
TURNS_AHEAD_MAX = 1.5
# Age at which a report counts a quarter, as a multiple of the service time. By
# then most of the calls that it counted have ended.
REPORT_AGE_FACTOR = 2.0
# Age at which a learned capacity counts a half. Upstreams are slow for less
# than a second to several seconds, so an old capacity would starve them.
CAPACITY_AGE_S = 4.0
# Occupancy by which the own upstream is preferred: a hop to another node costs
# as much processor time as the call there. At 0.3, 0.4 to 0.5 hops a call are
# saved, and the latency of calls is unchanged.
OWN_PREFERENCE = 0.3
# Occupancies are capped, so that the queue of one instance does not outweigh
# all others of its tier in the mean. Queues of short work exceed 2 per slot.
OCCUPANCY_MAX = 8.0
EXPECTED_OCCUPANCY = 0.6  # Mean occupancy without any report.
# A call that usually takes at most this share of the mean service time has an
# early deadline, and overtakes the queue. Its length then says little about the
# wait, so a refused call is sent to another owner, which knows its queue.
SHORT_SHARE = 0.6
SHORT_ATTEMPTS_MAX = 3  # Instances that such a call tries.
MEAN_FRESH_S = 1.0  # An older mean says nothing about the occupancy now.
EXPECTED_WEIGHT = 0.2  # Weight of that value beside the reports of a tier.
SERVICE_TIME_MIN_S = 0.001
SERVICES_MAX = 512  # Services whose instances are kept.
HEALTH_CHECK_S = 0.1  # Interval at which ejected instances are counted.


@dataclasses.dataclass(kw_only=True, slots=True)
class Entry:
    """An instance of a service, and its turn.

    Attributes:
        candidate: The instance.
        member: Its record.
        turn_s: Virtual time of its next turn.
    """

    candidate: routing.Candidate
    member: member_lib.Member
    turn_s: float


@dataclasses.dataclass(kw_only=True, slots=True)
class Tier:
    """The instances of a service at about the same distance.

    Attributes:
        entries: The instances.
        clock_s: Virtual time; the calls of a tier advance it so that each
            instance is due as often as its capacity allows.
        occupancy: Mean occupancy, from recent reports.
        capacity: Mean of the calls a second that an instance completes.
        updated_s: When the means were last updated.
    """

    entries: list[Entry] = dataclasses.field(default_factory=list)
    clock_s: float = 0.0
    occupancy: float = EXPECTED_OCCUPANCY
    capacity: float = routing_table.DEFAULT_SLOTS
    updated_s: float = -math.inf


@dataclasses.dataclass(kw_only=True, slots=True)
class Pool:
    """The instances of a service, by distance.

    Attributes:
        revision: Revision of the member table, and times of the remote
            endpoints, from which the instances were taken.
        tiers: Own data centre, rest of the own region, other regions.
        uses_ejected: Whether ejected instances are used, because too few
            others are left.
        checked_s: When the ejected instances were last counted.
    """

    revision: tuple[float, ...] = ()
    tiers: tuple[Tier, Tier, Tier] = dataclasses.field(
        default_factory=lambda: (Tier(), Tier(), Tier())
    )
    uses_ejected: bool = False
    checked_s: float = -math.inf


@dataclasses.dataclass(kw_only=True, slots=True)
class Estimate:
    """The best instance of a tier, and what is expected of it.

    Attributes:
        entry: The instance.
        occupancy: Expected pending calls per slot.
        slots: Slots of the instance.
        capacity: Calls a second that the instance completes.
        score: What the instances were compared by.
        usual_s: Usual response time of the call's route.
    """

    entry: Entry
    occupancy: float
    slots: int
    capacity: float
    score: float
    usual_s: float

    @property
    def has_free_slot(self) -> bool:
        """Whether the instance is expected to have a free slot."""
        return self.occupancy < 1.0

    @property
    def predicted_s(self) -> float:
        """Expected time until the answer.

        The wait depends on the mean service time of the instance. A call of a
        shorter route takes less than that once it has a slot.
        """
        wait_share = max(self.occupancy - 1.0 + 1.0 / self.slots, 0.0)
        service_s = self.slots / self.capacity
        wait_s = service_s * wait_share
        rtt_s = self.entry.candidate.rtt_s
        return rtt_s + wait_s + min(service_s, self.usual_s)


def choose(
    state: node.Node,
    event: events.Event,
    service: str,
    tried: set[str],
    objective_s: float = math.inf,
    versions: version_choice.VersionFilter = version_choice.ALL_VERSIONS,
    usual_s: float = math.inf,
) -> routing.Candidate | None:
    """Choose the instance for a call; see `routing.choose`.

    Args:
        state: The node.
        event: The event being handled, for its time and random bits.
        service: The service called.
        tried: Instances that refused or failed this call.
        objective_s: Time left of the response time objective, in seconds.
        versions: Which instances may be chosen, by their upstreams' versions.
        usual_s: Usual response time of the call's route; infinite if it is not
            known.

    Returns:
        The candidate, or None if no instance is worth an attempt.
    """
    pool = _pool(state, event, service)
    near: Estimate | None = None
    for tier in pool.tiers[:2]:
        best = _best(state, pool, tier, tried, versions, event.now_s, usual_s)
        if best is None:
            continue
        if best.has_free_slot:
            return _take(tier, best, reroutable=True)
        if near is None or best.predicted_s < near.predicted_s:
            near, near_tier = best, tier
    limit_s = routing.NEAR_LATENCY_SHARE * objective_s
    if near is not None and near.predicted_s <= limit_s < math.inf:
        return _take(near_tier, near, reroutable=False)
    far_tier = pool.tiers[2]
    far = _best(state, pool, far_tier, tried, versions, event.now_s, usual_s)
    if far is not None and far.has_free_slot:
        return _take(far_tier, far, reroutable=True)
    if near is not None and (
        not tried
        or near.predicted_s <= objective_s
        or _overtakes(near, tried, objective_s)
    ):
        return _take(near_tier, near, reroutable=False)
    if far is not None and not tried:
        return _take(far_tier, far, reroutable=False)
    return None


def _overtakes(near: Estimate, tried: set[str], objective_s: float) -> bool:
    """Return whether a refused call is expected to overtake the queue."""
    service_s = near.slots / near.capacity
    return (
        near.usual_s <= min(SHORT_SHARE * service_s, objective_s)
        and len(tried) < SHORT_ATTEMPTS_MAX
    )


def _take(tier: Tier, best: Estimate, *, reroutable: bool) -> routing.Candidate:
    """Count a turn of an instance and return it."""
    turn_s = max(
        best.entry.turn_s, tier.clock_s - TURNS_BEHIND_MAX / best.capacity
    )
    best.entry.turn_s = min(
        turn_s + 1.0 / best.capacity,
        tier.clock_s + TURNS_AHEAD_MAX / best.capacity,
    )
    tier.clock_s += 1.0 / (tier.capacity * len(tier.entries))
    candidate = best.entry.candidate
    if reroutable:
        return dataclasses.replace(candidate, reroutable=True)
    return candidate


def _pool(state: node.Node, event: events.Event, service: str) -> Pool:
    """Return the instances of a service, as the member table has them now."""
    pool = state.routing.pools.get(service)
    if pool is None:
        bounded_mapping.evict_oldest_if_full(state.routing.pools, SERVICES_MAX)
        pool = state.routing.pools[service] = Pool()
    endpoints = state.directory.endpoints.get(service, {}).values()
    revision = (
        state.membership.table.revisions.get(service, 0),
        *(item.received_s for item in endpoints),
    )
    if pool.revision != revision:
        _fill(state, event, service, pool)
        pool.revision = revision
    if event.now_s - pool.checked_s > HEALTH_CHECK_S:
        _count_ejected(state, event, pool)
    return pool


def _fill(
    state: node.Node, event: events.Event, service: str, pool: Pool
) -> None:
    """Take the instances of a service from the member table.

    A new instance takes its first turn within the next turns of the others, at
    a random place, so that it gets calls within a second but not from all
    entry nodes at the same moment.
    """
    rng = seeded_random.SeededRandom(bits=event.random_bits)
    known = {
        entry.candidate.address: entry
        for tier in pool.tiers
        for entry in tier.entries
    }
    for tier, candidates in zip(
        pool.tiers, _by_distance(state, service), strict=True
    ):
        tier.entries = []
        for candidate, member in candidates:
            entry = known.get(candidate.address)
            if entry is None:
                turns = rng.uniform(-TURNS_BEHIND_MAX, 0.0)
                entry = Entry(
                    candidate=candidate,
                    member=member,
                    turn_s=tier.clock_s + turns / tier.capacity,
                )
            entry.member = member
            tier.entries.append(entry)


def _by_distance(
    state: node.Node, service: str
) -> tuple[list[tuple[routing.Candidate, member_lib.Member]], ...]:
    """Return the instances of each tier that accept calls."""
    settings = state.settings
    near: list[tuple[routing.Candidate, member_lib.Member]] = []
    region: list[tuple[routing.Candidate, member_lib.Member]] = []
    far = routing.remote_members(state, service)
    for member in state.membership.table.by_service.get(service, {}).values():
        if not member.upstream.accepts_calls:
            continue
        candidate = routing.Candidate(
            address=member.address, rtt_s=routing.expected_rtt_s(state, member)
        )
        if member.data_centre == settings.data_centre:
            near.append((candidate, member))
        elif member.region == settings.region:
            region.append((candidate, member))
        else:
            far.append((candidate, member))
    return near, region, far


def _count_ejected(state: node.Node, event: events.Event, pool: Pool) -> None:
    """Decide whether ejected instances are used; see `HEALTHY_MIN_SHARE`."""
    pool.checked_s = event.now_s
    peers = state.routing.peers
    count = healthy = 0
    for tier in pool.tiers:
        for entry in tier.entries:
            peer = peers.get(entry.candidate.instance)
            count += 1
            healthy += peer is None or peer.ejected_until_s <= event.now_s
    pool.uses_ejected = healthy < routing.HEALTHY_MIN_SHARE * count


def _best(
    state: node.Node,
    pool: Pool,
    tier: Tier,
    tried: set[str],
    versions: version_choice.VersionFilter,
    now_s: float,
    usual_s: float,
) -> Estimate | None:
    """Return the instance of a tier that is expected to be least occupied.

    The means of the tier are updated in the same pass.
    """
    own = state.settings.address.instance
    peers = state.routing.peers
    best: Estimate | None = None
    mean, mean_capacity = tier.occupancy, tier.capacity
    if now_s - tier.updated_s > MEAN_FRESH_S:
        mean = EXPECTED_OCCUPANCY
    tier.updated_s = now_s
    weights = occupied = capacity_weights = capacities = 0.0
    for entry in tier.entries:
        instance = entry.candidate.instance
        peer = peers.get(instance)
        load: outcome.Load | None = None
        pending, age_s = 0, 0.0
        if instance == own:
            load = state.admission.load(now_s)
        elif peer is not None:
            if peer.ejected_until_s > now_s and not pool.uses_ejected:
                continue
            load, pending = peer.load, peer.sent_since
            age_s = now_s - peer.load_s
        slots = routing_table.DEFAULT_SLOTS
        occupancy, capacity = mean, mean_capacity
        if load is not None:
            slots = max(load.slots, 1)
            service_s = max(load.service_time_s, SERVICE_TIME_MIN_S)
            reported = (load.in_progress + load.queued + pending) / slots
            weight = service_s / (service_s + age_s / REPORT_AGE_FACTOR)
            weight *= weight
            occupancy += weight * (reported - mean)
            weights += weight
            occupied += weight * min(reported, OCCUPANCY_MAX)
            weight = CAPACITY_AGE_S / (CAPACITY_AGE_S + age_s)
            capacity += weight * (slots / service_s - mean_capacity)
            capacity_weights += weight
            capacities += weight * slots / service_s
        if instance in tried or not versions.accepts(entry.member):
            continue
        if instance == own:
            score = occupancy - OWN_PREFERENCE
        else:
            if peer is not None:
                occupancy = max(occupancy, peer.in_flight / slots)
            turns = (entry.turn_s - tier.clock_s) * capacity
            score = occupancy + TURN_WEIGHT * max(turns, -TURNS_BEHIND_MAX)
        if best is None or score < best.score:
            best = Estimate(
                entry=entry,
                occupancy=occupancy,
                slots=slots,
                capacity=capacity,
                score=score,
                usual_s=usual_s,
            )
    tier.occupancy = (occupied + EXPECTED_WEIGHT * EXPECTED_OCCUPANCY) / (
        weights + EXPECTED_WEIGHT
    )
    if capacity_weights:
        tier.capacity = capacities / capacity_weights
    return best
