"""Chooses the versions of a service that a call may be sent to.

Load pattern: a new version of a service fails or is slow, on all requests or
only on some routes, from the start, later, or under load. Until the control
group has recorded the verdict, entry nodes send the new version no more than
the recorded share of the calls that were answered.
"""

from collections.abc import Iterable
import itertools

from monsoonpass import immutable
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core import seeded_random
from monsoonpass.core.calls import call as call_lib
from monsoonpass.core.calls import outcome
from monsoonpass.core.membership import member as member_lib
from monsoonpass.core.rollouts import rollout as rollout_lib
from monsoonpass.core.rollouts import rollout_state

# Unused credit would otherwise be sent in bursts after a quiet period.
CREDIT_MAX = 2
# Share of `rollback_s` after which a silent leader's share is no longer used,
# so that the rest is left for calls that are on their way.
HEARD_SHARE = 0.6
_DRAW_SALT = 0x52_4F_4C_4C  # Keeps draws apart from others of the same event.

Phase = rollout_lib.Phase


@immutable.dataclass
class VersionFilter:
    """Which members of a service may be chosen.

    Attributes:
        versions: The permitted versions; None for all.
        instances: The permitted instances; None for all.
    """

    versions: frozenset[str] | None = None
    instances: frozenset[str] | None = None

    def accepts(self, member: member_lib.Member) -> bool:
        """Return whether a member may be chosen."""
        return (self.versions is None or member.version in self.versions) and (
            self.instances is None or member.instance in self.instances
        )


ALL_VERSIONS = VersionFilter()


@immutable.dataclass
class VersionChoice:
    """The versions that one attempt of a call may be sent to.

    Attributes:
        regular: Members that may be chosen.
        target: Members that are to be preferred while one of them has a free
            slot, or None.
    """

    regular: VersionFilter = ALL_VERSIONS
    target: VersionFilter | None = None


_ALL = VersionChoice()


def choose(
    state: node.Node, event: events.Event, service: str, tried: set[str]
) -> VersionChoice:
    """Choose the versions for an attempt of a call.

    Only first attempts go to a version that has no verdict yet: a second one
    serves the caller, who has waited already.

    Args:
        state: The node.
        event: The event being handled, for its time and random bits.
        service: The service called.
        tried: Instances that refused or failed the call, or run it.
    """
    known = state.rollouts.known.get(service)
    if _is_uniform(state, service, known):
        return _ALL
    visible = visible_versions(state, service)
    if known is None:
        return VersionChoice(regular=_established(state, service, visible))
    rollout = known.rollout
    target = rollout.target_version
    permitted = {item for item in visible if not rollout.shuts_out(item)}
    if rollout.serves_all:
        versions = {target} if target in visible else permitted
        return VersionChoice(
            regular=VersionFilter(versions=frozenset(versions))
        )
    others = _established(state, service, permitted - {target})
    if rollout.phase is Phase.RUNNING:
        return VersionChoice(
            regular=others, target=_canaries(state, event, known, tried)
        )
    if rollout.phase is Phase.PROMOTED and not others.versions:
        return VersionChoice(
            regular=VersionFilter(versions=frozenset(permitted))
        )
    promoted = VersionFilter(versions=frozenset({target}))
    is_drawn = (
        rollout.phase is Phase.PROMOTED
        and _draw(event.random_bits) < rollout.share
    )
    return VersionChoice(regular=others, target=promoted if is_drawn else None)


def record_sent_to_target(state: node.Node, service: str) -> None:
    """Use up the credit of a call that goes to a canary."""
    known = state.rollouts.known.get(service)
    if known is not None:
        known.credit -= 1


def record_answer(state: node.Node, event: events.Event, service: str) -> None:
    """Earn credit with an answered call, in proportion to the share.

    Whole credits are drawn at random, so that nodes with few calls contribute
    their part too. Calls that were refused earn none: under overload, the
    canaries would get a larger share of the calls that reach the service.
    """
    known = state.rollouts.known.get(service)
    if known is None or known.rollout.phase is not Phase.RUNNING:
        return
    if _draw(event.random_bits) < known.rollout.share:
        known.credit = min(known.credit + 1, CREDIT_MAX)


def record_refusal(
    state: node.Node,
    call: call_lib.Call,
    attempt: call_lib.Attempt,
    failure: outcome.Failure,
) -> None:
    """Return the credit of a call that did not reach the canary's upstream."""
    known = state.rollouts.known.get(call.service)
    if known is None or attempt.instance not in known.rollout.canaries:
        return
    is_refused = failure.outcome is call_lib.NOT_RUN
    if is_refused and failure.reason is not outcome.Reason.UPSTREAM_SHED:
        known.credit = min(known.credit + 1, CREDIT_MAX)


def is_canary(state: node.Node, service: str, instance: str) -> bool:
    """Return whether an instance is measured for a verdict."""
    known = state.rollouts.known.get(service)
    return (
        known is not None
        and known.rollout.phase is Phase.RUNNING
        and instance in known.rollout.canaries
    )


def visible_versions(state: node.Node, service: str) -> set[str]:
    """Return the versions of the members that accept calls of a service."""
    return {member.version for member in _serving_members(state, service)}


def unestablished_versions(state: node.Node, service: str) -> set[str]:
    """Return the visible versions about which the leader must be asked."""
    known = state.rollouts.known.get(service)
    if _is_uniform(state, service, known):
        return set()
    versions = visible_versions(state, service)
    if known is not None:
        if known.rollout.serves_all:
            return set()
        versions.discard(known.rollout.target_version)
        versions.difference_update(known.rollout.rejected)
    if len(versions) < 2:
        return set()
    return versions - state.rollouts.established.get(service, set())


def _is_uniform(
    state: node.Node,
    service: str,
    known: rollout_state.KnownRollout | None,
) -> bool:
    """Return whether all members may be chosen; the usual case, and fast."""
    versions = state.membership.table.versions.get(service, {})
    if len(versions) > 1 or state.directory.endpoints.get(service):
        return False
    if known is not None and known.rollout.phase is not Phase.COMPLETED:
        return False
    if known is None:
        # The only version is the one that carries the traffic.
        established = state.rollouts.established.setdefault(service, set())
        established.update(versions)
    return True


def _serving_members(
    state: node.Node, service: str
) -> Iterable[member_lib.Member]:
    members = state.membership.table.by_service.get(service, {}).values()
    endpoints = state.directory.endpoints.get(service, {}).values()
    remote = itertools.chain.from_iterable(item.members for item in endpoints)
    for member in itertools.chain(members, remote):
        if member.upstream.accepts_calls:
            yield member


def _established(
    state: node.Node, service: str, versions: set[str]
) -> VersionFilter:
    """Return a filter for the versions that are known to carry traffic.

    A node that has just started has seen none. It then takes the version of
    most members: a new one starts beside the old one. The owner nodes of a
    rollout's target refuse what such a node sends by mistake.
    """
    established = state.rollouts.established.setdefault(service, set())
    if len(versions) == 1:
        established.update(versions)
    permitted = established & versions
    if not permitted and versions:
        counts = dict.fromkeys(sorted(versions), 0)
        for member in _serving_members(state, service):
            if member.version in counts:
                counts[member.version] += 1
        # An empty version is that of upstreams from before versions.
        permitted = {
            "" if "" in counts else max(counts, key=counts.__getitem__)
        }
    return VersionFilter(versions=frozenset(permitted))


def _canaries(
    state: node.Node,
    event: events.Event,
    known: rollout_state.KnownRollout,
    tried: set[str],
) -> VersionFilter | None:
    """Return a filter for the canaries if this call may go to one."""
    silent_s = event.now_s - known.heard_s
    if tried or known.credit < 1 or not known.rollout.canaries:
        return None
    if silent_s > HEARD_SHARE * state.settings.rollback_s:
        return None
    return VersionFilter(
        versions=frozenset({known.rollout.target_version}),
        instances=frozenset(known.rollout.canaries),
    )


def _draw(random_bits: int) -> float:
    rng = seeded_random.SeededRandom(bits=random_bits ^ _DRAW_SALT)
    return rng.uniform(0.0, 1.0)
