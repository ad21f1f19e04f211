"""The leader's decisions about a rollout.

A rollout starts with no share. Once upstreams of the target have warmed up, a
few of them get as many calls as under full load, first half the share and then
all of it, and are watched until late faults have shown. Then all calls go to
the target, and the rollout is completed once no call is left elsewhere.
"""

import dataclasses
import math

from monsoonpass.core import node
from monsoonpass.core.membership import member_table
from monsoonpass.core.rollouts import evidence as evidence_lib
from monsoonpass.core.rollouts import rollout as rollout_lib
from monsoonpass.core.rollouts import rollout_messages as messages

# Owner nodes that have not reported for so long are no longer counted on.
OWNER_SILENCE_S = 1.5
# Share of the permitted exposure that is used, for calls still on their way.
EXPOSURE_SHARE = 0.8
# Credit is drawn at random, with a standard deviation of the root of the mean.
# Six of them stay within the slack if it is at least
# DRAW_SPREAD * share / (exposed_share - share).
DRAW_SPREAD = 9.0
FIRST_SHARE = 0.5  # Share of the final one in the first step.
STEP_MIN_S = 1.0
FULL_STEP_MIN_S = 1.5
# Upstreams of the target take turns as canaries: one slow upstream is told from
# a slow version by others.
TURN_S = 1.2
READY_MIN = 2
READY_WAIT = 0.3  # Share of the duration to wait for that number.
CANARY_LOAD_MAX = 1.25  # Calls of a canary, as a multiple of other upstreams'.
# Small changes of the number of upstreams change nothing.
SHARE_TOLERANCE = 0.25
# Late faults show by six tenths of the duration; reports on slow answers take
# another second.
HOLD = 0.65
PROMOTED_SHARE = 0.4
PROMOTED_STEP_S = 0.6
SAMPLES_MIN = 40  # A fault in a quarter of the calls shows ten times.
RECENT_SAMPLES_MIN = 15
# Share of the calls from which a route must be proven sound, until a share of
# the duration; rare routes have too few answers.
ROUTES_PROVEN = ((0.75, 0.05), (1.0, 0.1))
# Slots of the target, as a share of the others', that a promotion needs until
# a share of the duration.
SLOTS_NEEDED = ((0.75, 0.9), (0.85, 0.5), (1.0, 0.0))
# Calls in progress at canaries that are slow already; a sound version rarely
# has two at once.
SLOW_RUNNING_MAX = 1
# Share of the duration from which silent owner nodes are not waited for.
SILENT_WAIT = 0.9

Phase = rollout_lib.Phase


@dataclasses.dataclass(kw_only=True, slots=True)
class Owner:
    """The last report of an owner node.

    Attributes:
        report: The report.
        heard_s: When it arrived.
    """

    report: messages.UpstreamReport
    heard_s: float


class Tracker:
    """What the leader knows of one rollout.

    Attributes:
        number: Number of the rollout.
        owners: Owner nodes of the service's upstreams, by instance.
        evidence: Comparison of the versions.
        step: Last known step.
        step_since_s: When it was recorded, or this node began to lead.
        full_since_s: Since when the canaries get the whole share; infinite if
            they do not.
        proposed_s: When the next step was proposed.
    """

    def __init__(self, rollout: rollout_lib.Rollout, now_s: float):
        self.number = rollout.number
        self.owners: dict[str, Owner] = {}
        self.evidence = evidence_lib.Evidence()
        self.step = rollout.step
        self.step_since_s = now_s
        self.full_since_s = math.inf
        self.proposed_s = float("-inf")

    def add_report(
        self,
        rollout: rollout_lib.Rollout,
        instance: str,
        report: messages.UpstreamReport,
        now_s: float,
    ) -> None:
        """Add what has ended since the last report of an owner node."""
        last = self.owners.get(instance)
        old_counts: dict[str, messages.RouteCounts] = {}
        if last is not None and (last.report.epoch, last.report.version) == (
            report.epoch,
            report.version,
        ):
            old_counts = {item.route: item for item in last.report.routes}
        self.owners[instance] = Owner(report=report, heard_s=now_s)
        for counts in report.routes:
            ended = evidence_lib.difference(
                counts, old_counts.get(counts.route)
            )
            if report.version == rollout.target_version:
                self.evidence.add_target(instance, ended, now_s)
            else:
                self.evidence.add_other(ended)

    def note_step(self, rollout: rollout_lib.Rollout, now_s: float) -> None:
        """Note when a step was recorded."""
        if rollout.step != self.step:
            self.step = rollout.step
            self.step_since_s = now_s
            self.proposed_s = float("-inf")

    def note_share(self, *, is_full: bool, now_s: float) -> None:
        """Note whether the canaries get the whole share."""
        if not is_full:
            self.full_since_s = math.inf
        self.full_since_s = min(self.full_since_s, now_s)


def next_step(
    state: node.Node,
    rollout: rollout_lib.Rollout,
    tracker: Tracker,
    now_s: float,
) -> rollout_lib.Rollout | None:
    """Return the next record of a rollout, or None to change nothing."""
    now_ms = state.wall_ms(now_s)
    elapsed_s = rollout.elapsed_s(now_ms)
    is_promoted = rollout.phase is Phase.PROMOTED
    is_comparable = not rollout.serves_all
    tracker.note_share(
        is_full=rollout.share > FIRST_SHARE * share_max(state.settings),
        now_s=now_s,
    )
    tracker.evidence.advance(now_s, is_comparable=is_comparable)
    changes: dict[str, object] | None = None
    if tracker.evidence.is_bad(is_promoted=is_promoted):
        changes = _ROLL_BACK
    elif is_promoted:
        changes = _after_promotion(state, rollout, tracker, now_s, elapsed_s)
    elif elapsed_s >= rollout.duration_s:
        changes = _ROLL_BACK
    elif _is_proven(state, rollout, tracker, now_s, elapsed_s):
        changes = {
            "phase": Phase.PROMOTED,
            "share": PROMOTED_SHARE,
            "canaries": (),
        }
    else:
        changes = _canary_step(state, rollout, tracker, now_s, elapsed_s)
    if changes is None:
        return None
    return rollout_lib.next_step(rollout, now_ms, **changes)


_ROLL_BACK = {"phase": Phase.ROLLED_BACK, "share": 0.0, "canaries": ()}


def share_max(settings: node.Settings) -> float:
    """Return the share of the calls that canaries may get."""
    by_slack = settings.exposed_share * (
        settings.exposed_slack / (DRAW_SPREAD + settings.exposed_slack)
    )
    return min(EXPOSURE_SHARE * settings.exposed_share, by_slack)


def _after_promotion(
    state: node.Node,
    rollout: rollout_lib.Rollout,
    tracker: Tracker,
    now_s: float,
    elapsed_s: float,
) -> dict[str, object] | None:
    if rollout.share < 1.0:
        if now_s - tracker.step_since_s >= PROMOTED_STEP_S:
            return {"share": 1.0}
        return None
    if _is_closed(state, rollout, tracker, now_s, elapsed_s):
        return {"phase": Phase.COMPLETED}
    return None


def _is_closed(
    state: node.Node,
    rollout: rollout_lib.Rollout,
    tracker: Tracker,
    now_s: float,
    elapsed_s: float,
) -> bool:
    """Return whether no call is left at an upstream of another version.

    An owner node that is alive but silent may still let a call in. It is waited
    for, though not beyond the time in which the rollout can be completed.
    """
    target = rollout.target_version
    table = state.membership.table
    group = table.by_service.get(rollout.service, {})
    waiting = {
        member.instance
        for member in group.values()
        if member.version != target and member.upstream.accepts_calls
    }
    silent = set(waiting)
    for instance, owner in tracker.owners.items():
        member = table.get(instance)
        is_gone = member is not None and not member.is_present
        if is_gone or owner.report.version == target:
            waiting.discard(instance)
            continue
        waiting.add(instance)
        if now_s - owner.heard_s <= OWNER_SILENCE_S:
            silent.discard(instance)
            if owner.report.closed:
                waiting.discard(instance)
        else:
            silent.add(instance)
    if elapsed_s >= SILENT_WAIT * rollout.duration_s:
        waiting -= silent
    return not waiting


def _is_proven(
    state: node.Node,
    rollout: rollout_lib.Rollout,
    tracker: Tracker,
    now_s: float,
    elapsed_s: float,
) -> bool:
    """Return whether the target is found good."""
    evidence = tracker.evidence
    progress = elapsed_s / rollout.duration_s
    full_s = now_s - tracker.full_since_s
    if progress < HOLD or not rollout.canaries or full_s < FULL_STEP_MIN_S:
        return False
    if evidence.is_suspect() or evidence.total < SAMPLES_MIN:
        return False
    ready = _ready_targets(rollout, tracker, now_s)
    slow_running = sum(
        evidence.slow_running(counts)
        for report in ready.values()
        for counts in report.routes
    )
    if slow_running > SLOW_RUNNING_MAX:
        return False
    if evidence.recent() < RECENT_SAMPLES_MIN:
        return False
    if evidence.unproven_routes(_until(progress, ROUTES_PROVEN)):
        return False
    target_slots = _slots(ready)
    other_slots = _slots(_others(rollout, tracker, now_s))
    return target_slots >= _until(progress, SLOTS_NEEDED) * other_slots


def _until(progress: float, values: tuple[tuple[float, float], ...]) -> float:
    """Return the value that holds at a share of the duration."""
    return next(value for until, value in values if progress <= until)


def _canary_step(
    state: node.Node,
    rollout: rollout_lib.Rollout,
    tracker: Tracker,
    now_s: float,
    elapsed_s: float,
) -> dict[str, object] | None:
    """Return the changes of share and canaries that are due, or None."""
    ready = _ready_targets(rollout, tracker, now_s)
    kept = [name for name in rollout.canaries if name in ready]
    is_lost = len(kept) < len(rollout.canaries)
    step_s = now_s - tracker.step_since_s
    if rollout.canaries and not is_lost and step_s < STEP_MIN_S:
        return None
    if not ready:
        return {"share": 0.0, "canaries": ()} if rollout.canaries else None
    may_wait = elapsed_s < READY_WAIT * rollout.duration_s
    if len(ready) < READY_MIN and not rollout.canaries and may_wait:
        return None
    limit = share_max(state.settings)
    is_first = not rollout.canaries or tracker.evidence.is_suspect()
    share = max(FIRST_SHARE * limit, rollout.share) if is_first else limit
    others = max(len(_others(rollout, tracker, now_s)), 1)
    wanted = min(max(int(share * others), 1), len(ready))
    share = min(share, CANARY_LOAD_MAX * wanted / others)
    salt = f"rollout/{rollout.service}/{rollout.number}"
    ranked = sorted(
        ready,
        key=lambda name: (
            tracker.evidence.answers_of(name),
            member_table.rank(name, salt),
        ),
    )
    canaries = tuple(ranked[:wanted])
    if step_s < TURN_S:
        canaries = tuple(
            [*kept, *(n for n in ranked if n not in kept)][:wanted]
        )
    change = abs(share - rollout.share)
    if set(canaries) == set(rollout.canaries) and (
        change <= SHARE_TOLERANCE * rollout.share
    ):
        return None
    return {"share": share, "canaries": canaries}


def _ready_targets(
    rollout: rollout_lib.Rollout, tracker: Tracker, now_s: float
) -> dict[str, messages.UpstreamReport]:
    """Return the reports of the target's upstreams that have warmed up."""
    return {
        instance: owner.report
        for instance, owner in tracker.owners.items()
        if owner.report.version == rollout.target_version
        and owner.report.ready
        and now_s - owner.heard_s <= OWNER_SILENCE_S
    }


def _others(
    rollout: rollout_lib.Rollout, tracker: Tracker, now_s: float
) -> dict[str, messages.UpstreamReport]:
    """Return the reports of upstreams of other versions that take calls."""
    return {
        instance: owner.report
        for instance, owner in tracker.owners.items()
        if owner.report.version != rollout.target_version
        and owner.report.ready
        and now_s - owner.heard_s <= OWNER_SILENCE_S
    }


def _slots(reports: dict[str, messages.UpstreamReport]) -> int:
    return sum(report.slots for report in reports.values())
