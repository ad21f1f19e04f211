"""The allocator: mints tokens and grants them to the nodes that take calls.

Load pattern: tens to thousands of nodes take calls of the same workspaces. Most
workspaces have a fraction of a call a second at each node, a few reach several
times their limit for seconds, and nodes and leaders stop, freeze or lose
contact at any time.

Invariants, for each workspace and at any moment, whatever messages are lost:

- The rate is divided into fractions of which each is minted by at most one
  party: a fixed part by the allocator, each node's share by the allocator while
  the node has lent it and by the node itself otherwise.
- Tokens that exist, plus those spent within the window of the promise, do not
  exceed its total (`Limit.window_max`). As a token is spent it moves from one
  count to the other, so no window sees more. Tokens at nodes count as existing
  until the node reports that they are gone or their validity has ended, and as
  spent from then on.
- Tokens that exist do not exceed `Limit.held_max`, and the rate is never
  exceeded. This bounds what a successor does not know: until all tokens and
  spendings of its predecessor have left the window, it grants what nodes hand
  over, and mints either what they had spent and has left the window, or at the
  rate after a pause of `HELD_EXTRA_S`. A window that contains the pause sees at
  most held_max + (WINDOW_S - HELD_EXTRA_S) x rate = window_max.
"""

from collections.abc import Mapping
import dataclasses

from monsoonpass.core.quotas import decayed_count
from monsoonpass.core.quotas import limits as limits_lib
from monsoonpass.core.quotas import quota_messages as messages
from monsoonpass.core.quotas import spent_window

Limit = limits_lib.Limit

# Part of the tokens that stays in the bucket for calls that wait.
RESERVE = 0.12
# Part of the bucket above the reserve that one node gets in advance. With all
# of it, the first nodes to ask would leave nothing for the others.
ADVANCE_PART = 0.25
DEMAND_PERIOD_S = 3.0
WAIT_MIN_S = 0.05
# Above the limit, nodes ask this often at most: a shorter interval costs
# messages and a longer one makes calls wait.
SATURATED_WAIT_MIN_S = 0.3
WAIT_MAX_S = 5.0
# Time in which nodes find a new allocator and hand over their tokens. Before,
# calls keep waiting, since their tokens may be at other nodes.
HANDOVER_S = 1.0
HANDOVER_WAIT_S = 0.15
OTHER_VERSION_WAIT_S = 0.1  # Time for a version to spread.


@dataclasses.dataclass(kw_only=True, slots=True)
class NodeRecord:
    """What the allocator knows of one node.

    Attributes:
        incarnation: Incarnation of the node's process.
        number: Number of the last request.
        received_s: When the last request arrived.
        echo_s: Latest time before which the node is known to have sent
            nothing later than its last request; minus infinity at first.
        share: Share that the node may hold.
        is_lent: Whether `share` is included in the allocator's fraction.
        wants_share: Whether the node asks for a share.
        has_handed_over: Whether it handed over tokens of the predecessor.
        held: Tokens that the node may hold, by workspace.
        demand: Calls that arrived at the node, by workspace.
    """

    incarnation: int
    number: int = 0
    received_s: float = 0.0
    echo_s: float = float("-inf")
    share: float = 0.0
    is_lent: bool = False
    wants_share: bool = False
    has_handed_over: bool = False
    held: dict[str, int] = dataclasses.field(default_factory=dict)
    demand: dict[str, decayed_count.DecayedCount] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(kw_only=True, slots=True)
class Bucket:
    """Tokens of one workspace at the allocator.

    Attributes:
        level: Tokens that have been minted and not granted.
        minted_to: Value of `Allocator.minted_s` up to which they are minted.
        granted: Tokens that nodes may hold.
        issued: Tokens minted since the allocator's start.
        handed_over: Tokens of the predecessor that nodes handed over, and
            tokens that they spent in the window before.
        held_before: Tokens that these nodes held for the predecessor.
        spent: Tokens spent within the window, as far as known.
        demand: Calls that arrived at all nodes.
    """

    level: float = 0.0
    minted_to: float = 0.0
    granted: int = 0
    issued: float = 0.0
    handed_over: int = 0
    held_before: int = 0
    spent: spent_window.SpentWindow = dataclasses.field(
        default_factory=spent_window.SpentWindow
    )
    demand: decayed_count.DecayedCount = dataclasses.field(
        default_factory=lambda: decayed_count.DecayedCount(
            period_s=DEMAND_PERIOD_S
        )
    )


class Allocator:
    """Grants tokens during one term of the control group's leader.

    Attributes:
        session: The term.
        minted_s: Time for which tokens have been minted, where a second in
            which the allocator had a part of the rate counts as that part.
        fraction: Part of the rates and capacities that the allocator has.
    """

    def __init__(
        self,
        *,
        session: int,
        start_s: float,
        predecessor_end_s: float | None,
    ):
        """Make an allocator.

        Args:
            session: The term.
            start_s: Time from which this allocator is active.
            predecessor_end_s: Time, not after `start_s`, from which no
                allocator of an earlier term is active; None if there never was
                one.
        """
        self.session = session
        self.minted_s = 0.0
        self._updated_s = start_s
        self._predecessor_end_s = predecessor_end_s
        # Times from which no tokens, no spendings within the window and no
        # shares are left that a predecessor knew of.
        self._tokens_known_s = start_s
        self._window_known_s = start_s
        self._shares_known_s = start_s
        if predecessor_end_s is not None:
            end_s = predecessor_end_s + limits_lib.CLOCK_MARGIN_S
            self._tokens_known_s = end_s + limits_lib.LOAN_S
            self._window_known_s = self._tokens_known_s + limits_lib.WINDOW_S
            self._shares_known_s = end_s + limits_lib.SHARE_VALIDITY_S
        self._handed_over_s = start_s
        if predecessor_end_s is not None:
            self._handed_over_s = max(
                self._tokens_known_s, start_s + HANDOVER_S
            )
        self._nodes: dict[str, NodeRecord] = {}
        self._buckets: dict[str, Bucket] = {}
        self._limits: Mapping[str, Limit] = {}
        self._next_expiry_s = float("inf")
        self._recall_until_s = float("-inf")
        self._shares_total = 0.0
        self._shares_lent = 0.0
        self._sharers = 0
        self.fraction = 0.0
        self._update_fraction(start_s)

    def handle(
        self,
        request: messages.TokenRequest,
        *,
        instance: str,
        now_s: float,
        limits: Mapping[str, Limit],
    ) -> messages.TokenReply | None:
        """Handle a node's request.

        The caller must have checked that this node still is the allocator.

        Args:
            request: The request.
            instance: Name of the node's instance.
            now_s: Time of the event, not before the allocator's start.
            limits: Limits in force, by workspace.

        Returns:
            The reply, or None if the request is outdated.
        """
        if limits is not self._limits:
            self._limits = limits
            self._start_recall(now_s)
        self._advance(now_s)
        record = self._find_record(request, instance, now_s)
        if record is None:
            return None
        record.number = request.number
        record.received_s = now_s
        if request.released:
            self._release(request, record, now_s)
            return None
        is_new_session = request.session != self.session
        if not is_new_session:
            record.echo_s = max(record.echo_s, request.echo_s)
        share = self._set_share(record, request, now_s)
        grants: tuple[messages.TokenGrant, ...] = ()
        if not is_new_session:
            grants = self._grant_all(request, record, now_s)
        return messages.TokenReply(
            number=request.number,
            session=self.session,
            sent_s=now_s,
            share=share,
            retry_s=0.0,
            leader=None,
            grants=grants,
        )

    def outstanding(self, workspace: str) -> float:
        """Return the tokens of a workspace that may exist."""
        bucket = self._buckets.get(workspace)
        return bucket.level + bucket.granted if bucket else 0.0

    def _find_record(
        self, request: messages.TokenRequest, instance: str, now_s: float
    ) -> NodeRecord | None:
        record = self._nodes.get(instance)
        if record is not None and record.incarnation == request.incarnation:
            return record if request.number > record.number else None
        if record is not None:
            is_recent = now_s - record.received_s < limits_lib.LOAN_S
            if request.incarnation < record.incarnation and is_recent:
                return None
            # The process that held the tokens and the share is gone.
            self._drop_held(record, now_s)
            del self._nodes[instance]
            self._update_fraction(now_s)
        record = NodeRecord(incarnation=request.incarnation)
        self._nodes[instance] = record
        return record

    def _drop_held(self, record: NodeRecord, now_s: float) -> None:
        """Count the tokens of a node as spent."""
        for workspace, held in record.held.items():
            bucket = self._buckets[workspace]
            bucket.granted -= held
            bucket.spent.add(held, now_s)
        record.held = {}

    def _release(
        self,
        request: messages.TokenRequest,
        record: NodeRecord,
        now_s: float,
    ) -> None:
        """Take back a node's tokens and share.

        The record stays, so that earlier requests that arrive late are known.
        """
        if request.session == self.session:
            for report in request.reports:
                self._set_held(record, report.workspace, report.held, now_s)
                returned = record.held.pop(report.workspace, 0)
                bucket = self._buckets[report.workspace]
                bucket.granted -= returned
                bucket.level += returned
        self._drop_held(record, now_s)
        record.share = 0.0
        record.wants_share = False
        self._update_fraction(now_s)

    # Shares.

    def _advance(self, now_s: float) -> None:
        """Count the time that has passed with the part that is certain.

        Shares whose loan ended within the time count for none of it.
        """
        if now_s >= self._next_expiry_s:
            self._expire(now_s)
        passed_s = max(now_s - self._updated_s, 0.0)
        self.minted_s += passed_s * self.fraction
        self._updated_s = max(now_s, self._updated_s)
        self._update_unassigned(now_s)

    def _expire(self, now_s: float) -> None:
        """Drop what belongs to nodes that have been silent for too long."""
        margin_s = limits_lib.CLOCK_MARGIN_S
        for instance, record in list(self._nodes.items()):
            silent_s = now_s - record.received_s - margin_s
            if silent_s >= limits_lib.LOAN_S:
                self._drop_held(record, now_s)
            if silent_s >= limits_lib.SHARE_VALIDITY_S:
                del self._nodes[instance]
        before = self.fraction
        self._update_fraction(now_s)
        if self.fraction < before:
            self._start_recall(now_s)

    def _update_fraction(self, now_s: float) -> None:
        """Recompute the part of the rates that the allocator has."""
        margin_s = limits_lib.CLOCK_MARGIN_S
        self._shares_total = 0.0
        self._shares_lent = 0.0
        self._sharers = 0
        self._next_expiry_s = float("inf")
        for record in self._nodes.values():
            self._shares_total += record.share
            self._sharers += record.wants_share
            loan_end_s = record.echo_s + limits_lib.LOAN_S
            record.is_lent = now_s < loan_end_s
            if record.is_lent:
                self._shares_lent += record.share
                self._next_expiry_s = min(self._next_expiry_s, loan_end_s)
            held_end_s = record.received_s + limits_lib.LOAN_S + margin_s
            if not record.held or now_s >= held_end_s:
                held_end_s = (
                    record.received_s + limits_lib.SHARE_VALIDITY_S + margin_s
                )
            self._next_expiry_s = min(self._next_expiry_s, held_end_s)
        self._update_unassigned(now_s)

    def _update_unassigned(self, now_s: float) -> None:
        fraction = 1.0 - limits_lib.SHARES_TOTAL + self._shares_lent
        if now_s >= self._shares_known_s:
            fraction += max(limits_lib.SHARES_TOTAL - self._shares_total, 0.0)
        self.fraction = min(fraction, 1.0)

    def _set_share(
        self,
        record: NodeRecord,
        request: messages.TokenRequest,
        now_s: float,
    ) -> float:
        """Count the reported share and return the one to assign.

        The node may not receive the reply, so the larger of the two counts
        until its next request.
        """
        share = request.share
        others = self._shares_total - record.share
        self._sharers += request.wants_share - record.wants_share
        if now_s >= self._shares_known_s and request.session == self.session:
            target = 0.0
            if request.wants_share:
                target = limits_lib.SHARES_TOTAL / self._sharers
            free = max(limits_lib.SHARES_TOTAL - others - share, 0.0)
            share = min(target, share + free)
        if record.is_lent:
            self._shares_lent -= record.share
        record.wants_share = request.wants_share
        record.share = max(request.share, share)
        loan_end_s = record.echo_s + limits_lib.LOAN_S
        record.is_lent = now_s < loan_end_s
        if record.is_lent:
            self._shares_lent += record.share
            self._next_expiry_s = min(self._next_expiry_s, loan_end_s)
        held_end_s = now_s + limits_lib.LOAN_S + limits_lib.CLOCK_MARGIN_S
        self._next_expiry_s = min(self._next_expiry_s, held_end_s)
        self._shares_total = others + record.share
        self._update_unassigned(now_s)
        return share

    # Tokens.

    def _start_recall(self, now_s: float) -> None:
        """Have nodes drop tokens where the capacity may have fallen.

        Tokens of nodes that do not ask in this time are no longer valid.
        """
        self._recall_until_s = now_s + 2.0 * limits_lib.LOAN_S

    def _held_limit(self, bucket: Bucket, limit: Limit, now_s: float) -> float:
        """Return how many tokens may exist now."""
        held_max = limit.held_max * self.fraction
        if now_s < self._tokens_known_s:
            return min(held_max, bucket.held_before)
        return held_max

    def _room(self, bucket: Bucket, limit: Limit, now_s: float) -> float:
        """Return how many tokens may be minted; negative if too many exist."""
        existing = bucket.level + bucket.granted
        used = existing + bucket.spent.count(now_s)
        room = limit.window_max * self.fraction - used
        if now_s < self._window_known_s:
            room = min(room, bucket.handed_over - used)
            pause_s = limits_lib.HELD_EXTRA_S
            minting_s = min(
                now_s - self._predecessor_end_s - pause_s,
                limits_lib.WINDOW_S - pause_s,
            )
            at_rate = limit.rate_per_s * self.fraction * minting_s
            # Fewer tokens may wait unspent, since they would use up what may
            # be minted until the window is known.
            unspent_max = limit.held_max - limit.rate_per_s * pause_s
            at_rate = min(
                at_rate - bucket.issued, unspent_max * self.fraction - existing
            )
            room = max(room, at_rate)
        return min(room, self._held_limit(bucket, limit, now_s) - existing)

    def _mint(self, workspace: str, now_s: float) -> Bucket:
        """Mint the tokens that are due, and return the bucket."""
        bucket = self._bucket(workspace)
        limit = self._limits.get(workspace)
        if limit is None:
            return bucket
        due = limit.rate_per_s * (self.minted_s - bucket.minted_to)
        bucket.minted_to = self.minted_s
        room = self._room(bucket, limit, now_s)
        if room < 0.0:
            bucket.level = max(bucket.level + room, 0.0)
        else:
            minted = min(due, room)
            bucket.level += minted
            bucket.issued += minted
        return bucket

    def _bucket(self, workspace: str) -> Bucket:
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = self._buckets[workspace] = Bucket()
        return bucket

    def _set_held(
        self, record: NodeRecord, workspace: str, held: int, now_s: float
    ) -> None:
        """Count the tokens that a node holds, and those missing as spent."""
        bucket = self._bucket(workspace)
        before = record.held.pop(workspace, 0)
        bucket.granted += held - before
        if held < before:
            bucket.spent.add(before - held, now_s)
        if held:
            record.held[workspace] = held

    def _grant_all(
        self,
        request: messages.TokenRequest,
        record: NodeRecord,
        now_s: float,
    ) -> tuple[messages.TokenGrant, ...]:
        grants = []
        for report in request.reports:
            if request.handover:
                self._take_over(
                    record,
                    report,
                    now_s,
                    used_own_share=request.used_own_share,
                )
            else:
                self._set_held(record, report.workspace, report.held, now_s)
            grant = self._grant(record, report, now_s)
            if grant is not None:
                grants.append(grant)
        record.has_handed_over = record.has_handed_over or request.handover
        if now_s < self._recall_until_s:
            reported = {report.workspace for report in request.reports}
            for workspace in list(record.held):
                held_max = self._held_max(record, workspace, now_s)
                if workspace not in reported and held_max >= 0:
                    grants.append(
                        messages.TokenGrant(
                            workspace=workspace, tokens=0, held_max=held_max
                        )
                    )
        return tuple(grants)

    def _take_over(
        self,
        record: NodeRecord,
        report: messages.TokenReport,
        now_s: float,
        *,
        used_own_share: bool,
    ) -> None:
        """Take tokens and spendings over that this allocator does not know."""
        self._set_held(record, report.workspace, 0, now_s)
        bucket = self._mint(report.workspace, now_s)
        for age, count in enumerate(report.spent):
            if count:
                age_s = age * spent_window.SLOT_S
                bucket.spent.add(count, now_s, age_s)
        if used_own_share:
            # Tokens that were minted from a share which is lent from now on.
            bucket.issued += sum(report.spent)
        if now_s < self._window_known_s and not record.has_handed_over:
            bucket.handed_over += report.held + sum(report.spent)
            bucket.held_before += report.held + report.unreported
            bucket.level += report.held

    def _grant(
        self,
        record: NodeRecord,
        report: messages.TokenReport,
        now_s: float,
    ) -> messages.TokenGrant | None:
        workspace = report.workspace
        limit = self._limits.get(workspace)
        if limit is None:
            # This node has another version in force than the sender.
            wait_s = OTHER_VERSION_WAIT_S if report.waiting else 0.0
            return messages.TokenGrant(
                workspace=workspace, tokens=0, wait_s=wait_s, held_max=0
            )
        bucket = self._mint(workspace, now_s)
        demand = record.demand.get(workspace)
        if demand is None:
            demand = record.demand[workspace] = decayed_count.DecayedCount(
                period_s=DEMAND_PERIOD_S
            )
        if report.calls:
            demand.add(report.calls, now_s)
            bucket.demand.add(report.calls, now_s)
        tokens = min(report.waiting, int(bucket.level))
        reserve = RESERVE * self._held_limit(bucket, limit, now_s)
        spare = bucket.level - tokens - reserve
        if report.wanted and spare >= 1.0:
            tokens += min(report.wanted, max(int(spare * ADVANCE_PART), 1))
        bucket.level -= tokens
        held_max = -1
        if now_s < self._recall_until_s:
            held_max = self._held_max(record, workspace, now_s)
        if tokens:
            held = record.held.get(workspace, 0)
            self._set_held(record, workspace, held + tokens, now_s)
        wait_s, rate_per_s = 0.0, 0.0
        if report.waiting > tokens:
            wait_s, rate_per_s = self._expect(
                limit, bucket, demand, report.waiting - tokens, now_s
            )
        elif not tokens and held_max < 0:
            return None
        return messages.TokenGrant(
            workspace=workspace,
            tokens=tokens,
            wait_s=wait_s,
            rate_per_s=rate_per_s,
            held_max=held_max,
        )

    def _expect(
        self,
        limit: Limit,
        bucket: Bucket,
        demand: decayed_count.DecayedCount,
        waiting: int,
        now_s: float,
    ) -> tuple[float, float]:
        """Return when a node may expect a token, and at which rate then.

        The rate is 0 if it is not known, shortly after a change of leader.
        """
        if now_s < self._handed_over_s:
            return HANDOVER_WAIT_S, 0.0
        rate_per_s = max(limit.rate_per_s * self.fraction, 1e-6)
        demand_per_s = bucket.demand.rate_per_s(now_s)
        next_s = max(1.0 - bucket.level, 0.0) / rate_per_s
        if self._room(bucket, limit, now_s) < 1.0 - bucket.level:
            next_s = max(next_s, bucket.spent.next_leave_s() - now_s)
        next_s = min(next_s, WAIT_MAX_S)
        if demand_per_s <= rate_per_s:
            queue_s = min(0.5 * waiting / rate_per_s, SATURATED_WAIT_MIN_S)
            wait_s = max(next_s, queue_s, WAIT_MIN_S)
            return min(wait_s, WAIT_MAX_S), rate_per_s
        node_part = min(demand.rate_per_s(now_s) / demand_per_s, 1.0)
        node_rate_per_s = rate_per_s * max(node_part, 1e-6)
        wait_s = max(1.0 / node_rate_per_s, next_s, SATURATED_WAIT_MIN_S)
        return min(wait_s, WAIT_MAX_S), node_rate_per_s

    def _held_max(
        self, record: NodeRecord, workspace: str, now_s: float
    ) -> int:
        """Return how many tokens a node may keep, or -1 for all."""
        held = record.held.get(workspace, 0)
        limit = self._limits.get(workspace)
        if not held or limit is None:
            return 0 if held else -1
        bucket = self._mint(workspace, now_s)
        held_limit = self._held_limit(bucket, limit, now_s)
        if bucket.granted <= held_limit:
            return -1
        return int(held * held_limit / bucket.granted)
