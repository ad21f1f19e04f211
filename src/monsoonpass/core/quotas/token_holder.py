"""The tokens of an entry node: spending, asking, waiting, and its own share.

Load pattern: a node takes calls of many workspaces, most of them seldom. A call
that finds no token waits for one round trip to the allocator. The allocator may
be silent for a second while a leader is elected, and for longer while the node
is partitioned.
"""

import collections
from collections.abc import Mapping
import dataclasses
import enum
import math
from typing import Any

from monsoonpass import immutable
from monsoonpass.core.quotas import decayed_count
from monsoonpass.core.quotas import limits as limits_lib
from monsoonpass.core.quotas import quota_messages as messages
from monsoonpass.core.quotas import spent_window

Limit = limits_lib.Limit

# Calls that find no token within this time of a request share the next one.
REQUEST_INTERVAL_MIN_S = 0.1
RESEND_INTERVAL_S = 0.3  # Time after which a request counts as lost.
# Time for which a node wants tokens in advance: until it asks again, and for
# the time without a leader.
ADVANCE_S = limits_lib.RENEW_INTERVAL_S + 1.4
# With a shorter period, a seldom workspace would want two tokens after a call.
DEMAND_PERIOD_S = 5.0
CALLS_PERIOD_S = 10.0
# Calls a second of all limited workspaces from which a node keeps its tokens
# and a share. Below it, an exchange for each call costs fewer messages.
KEEP_RATE_PER_S = 0.5
# Above the limit, a call waits for a token for this long at most; longer waits
# would delay calls that are then refused.
SATURATED_WAIT_S = 0.6
WAITING_MAX = 256  # Calls of one workspace that wait for a token.
RETURN_MAX_S = 10.0  # Longest time after which a refused call should return.
UNSERVED_RETRY_S = 1.0  # As above, if nothing is known of the allocator.


class Decision(enum.Enum):
    """Decision on a call."""

    ADMITTED = "admitted"
    WAITING = "waiting"
    REFUSED = "refused"


@immutable.dataclass
class Waiter:
    """A call that waits for a token.

    Attributes:
        call_id: Number of the call.
        until_s: Time until which it may wait.
        context: What the caller of this module needs to go on with the call.
    """

    call_id: int
    until_s: float
    context: Any = None


@immutable.dataclass
class Decided:
    """A call that no longer waits.

    Attributes:
        waiter: The call.
        workspace: Its workspace.
        admitted: Whether it got a token.
        retry_after_s: If not, the time after which a token may be expected.
    """

    waiter: Waiter
    workspace: str
    admitted: bool
    retry_after_s: float = 0.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Tokens:
    """The tokens of one workspace at this node.

    Attributes:
        held: Unspent tokens of the allocator.
        spent: Tokens spent within the window, including those of the node's
            own share.
        handed_over: Tokens that the requests since the last reply hand over.
        unreported: Tokens spent since the request that was answered last.
        unreported_before: Those of them spent before the request in flight.
        changed: Whether `held` differs from what the allocator last confirmed.
        reported: Whether the request in flight reports the workspace.
        waiting: Calls that wait, oldest first.
        asked: Calls that wait and are included in the request in flight.
        calls: Calls since the last request.
        demand: Estimate of the demand.
        blocked_until_s: Time before which the allocator expects to have no
            token for this node.
        rate_per_s: Rate at which the node may then expect tokens.
        next_return_s: When the next refused call should return.
    """

    held: int = 0
    spent: spent_window.SpentWindow = dataclasses.field(
        default_factory=spent_window.SpentWindow
    )
    handed_over: int = 0
    unreported: int = 0
    unreported_before: int = 0
    changed: bool = False
    reported: bool = False
    waiting: collections.deque[Waiter] = dataclasses.field(
        default_factory=collections.deque
    )
    asked: int = 0
    calls: int = 0
    demand: decayed_count.DecayedCount = dataclasses.field(
        default_factory=lambda: decayed_count.DecayedCount(
            period_s=DEMAND_PERIOD_S
        )
    )
    blocked_until_s: float = float("-inf")
    rate_per_s: float = 0.0
    next_return_s: float = float("-inf")


@dataclasses.dataclass(kw_only=True, slots=True)
class TokenHolder:
    """The tokens of an entry node.

    Attributes:
        incarnation: Incarnation of the node's process.
        number: Number of the last request.
        session: Term of the allocator that replied last, or 0.
        echo_s: Time of that reply, on the allocator's clock.
        share: Part of the limits that this node may mint without an allocator.
        share_until_s: Time until which it may do so without contact.
        lent_until_s: Time until which the share may be lent.
        valid_until_s: Time until which the tokens are valid.
        sent_s: When the last request was sent.
        in_flight: Whether that request has not been answered.
        unanswered: Requests since the last reply of an allocator.
        ask_at_s: Time before which no request is sent, because the node that
            was asked does not allocate yet.
        must_hand_over: Whether the tokens come from an earlier session, or
            the node has used its own share.
        hands_over_own_share: Whether the latter is the case.
        is_active: Whether the node keeps its tokens by renewing them.
        is_on_own_share: Whether the last call was served from the own share.
        calls: Calls of limited workspaces at this node.
        tokens: Tokens by workspace.
        admitted: Count of admitted calls, for the metrics.
        refused: Count of refused calls.
        waited: Count of calls that had to wait.
        requests: Count of requests sent.
    """

    incarnation: int = 0
    number: int = 0
    session: int = 0
    echo_s: float = 0.0
    share: float = 0.0
    share_until_s: float = float("-inf")
    lent_until_s: float = float("-inf")
    valid_until_s: float = float("-inf")
    sent_s: float = float("-inf")
    in_flight: bool = False
    unanswered: int = 0
    ask_at_s: float = float("-inf")
    must_hand_over: bool = False
    hands_over_own_share: bool = False
    is_active: bool = False
    is_on_own_share: bool = False
    calls: decayed_count.DecayedCount = dataclasses.field(
        default_factory=lambda: decayed_count.DecayedCount(
            period_s=CALLS_PERIOD_S
        )
    )
    tokens: dict[str, Tokens] = dataclasses.field(default_factory=dict)
    admitted: int = 0
    refused: int = 0
    waited: int = 0
    requests: int = 0

    # Calls.

    def acquire(
        self, workspace: str, limit: Limit, waiter: Waiter, now_s: float
    ) -> Decision:
        """Take a token for a call, or let the call wait for one."""
        tokens = self.tokens.get(workspace)
        if tokens is None:
            tokens = self.tokens[workspace] = Tokens()
        tokens.calls += 1
        tokens.demand.add(1, now_s)
        self.calls.add(1, now_s)
        self._expire(now_s)
        if not tokens.waiting and self._take(tokens, limit, now_s):
            self.admitted += 1
            return Decision.ADMITTED
        position = len(tokens.waiting)
        latest_s = waiter.until_s
        if tokens.blocked_until_s > now_s:
            latest_s = min(latest_s, now_s + SATURATED_WAIT_S)
        if (
            position >= WAITING_MAX
            or waiter.until_s <= now_s
            or _expected_s(tokens, position) > latest_s
        ):
            self.refused += 1
            return Decision.REFUSED
        tokens.waiting.append(waiter)
        self.waited += 1
        return Decision.WAITING

    def give_back(self, workspace: str, now_s: float) -> None:
        """Take back the token of a call that has not run."""
        tokens = self.tokens.get(workspace)
        if tokens is not None and now_s < self.valid_until_s:
            tokens.held += 1
            tokens.changed = True

    def retry_after_s(self, workspace: str, now_s: float) -> float:
        """Return when a call that is refused now should return.

        Calls are spread at the rate at which the node may expect tokens, so
        that each finds one.
        """
        tokens = self.tokens.get(workspace)
        if tokens is None or not tokens.rate_per_s:
            return UNSERVED_RETRY_S
        next_s = max(
            tokens.next_return_s,
            _expected_s(tokens, len(tokens.waiting)),
            now_s,
        )
        tokens.next_return_s = min(
            next_s + 1.0 / tokens.rate_per_s, now_s + RETURN_MAX_S
        )
        return min(next_s - now_s, RETURN_MAX_S)

    def serve_waiting(
        self, limits: Mapping[str, Limit], now_s: float
    ) -> list[Decided]:
        """Decide on the calls that wait, where that is possible now."""
        self._expire(now_s)
        result: list[Decided] = []
        for workspace, tokens in self.tokens.items():
            if tokens.waiting:
                limit = limits.get(workspace)
                result += self._serve(workspace, tokens, limit, now_s)
        return result

    def drop_unlimited(self, limits: Mapping[str, Limit]) -> None:
        """Drop the tokens of workspaces that no longer have a limit."""
        for workspace in list(self.tokens):
            if workspace not in limits and not self.tokens[workspace].waiting:
                del self.tokens[workspace]

    def _serve(
        self,
        workspace: str,
        tokens: Tokens,
        limit: Limit | None,
        now_s: float,
    ) -> list[Decided]:
        result = []
        while tokens.waiting and (
            limit is None or self._take(tokens, limit, now_s)
        ):
            waiter = tokens.waiting.popleft()
            tokens.asked = max(tokens.asked - 1, 0)
            self.admitted += 1
            result.append(
                Decided(waiter=waiter, workspace=workspace, admitted=True)
            )
        kept: collections.deque[Waiter] = collections.deque()
        refused = []
        for waiter in tokens.waiting:
            latest_s = waiter.until_s
            if tokens.blocked_until_s > now_s:
                latest_s = min(latest_s, now_s + SATURATED_WAIT_S)
            expected_s = max(_expected_s(tokens, len(kept)), now_s)
            is_late = now_s >= waiter.until_s or expected_s > latest_s
            (refused if is_late else kept).append(waiter)
        tokens.waiting = kept
        tokens.asked = min(tokens.asked, len(kept))
        for waiter in refused:
            self.refused += 1
            result.append(
                Decided(
                    waiter=waiter,
                    workspace=workspace,
                    admitted=False,
                    retry_after_s=self.retry_after_s(workspace, now_s),
                )
            )
        return result

    def _take(self, tokens: Tokens, limit: Limit, now_s: float) -> bool:
        if tokens.held > 0:
            tokens.held -= 1
            tokens.changed = True
            tokens.unreported += 1
            tokens.spent.add(1, now_s)
            return True
        if self._own_share_starts_s() <= now_s < self.share_until_s:
            own_max = limit.window_max * self.share
            if tokens.spent.count(now_s) + 1 <= own_max:
                tokens.spent.add(1, now_s)
                self.is_on_own_share = True
                return True
        return False

    def _own_share_starts_s(self) -> float:
        """Return when this node may spend from its own share.

        Before, what the other nodes hold and have spent has to fall to the
        limit without this share. In `LOAN_S` after the loan has ended they
        renew their tokens and are told, or the tokens expire; then a window
        passes.
        """
        return (
            self.lent_until_s
            + limits_lib.LOAN_S
            + limits_lib.WINDOW_S
            + limits_lib.CLOCK_MARGIN_S
        )

    def _expire(self, now_s: float) -> None:
        if now_s < self.valid_until_s:
            return
        for tokens in self.tokens.values():
            if tokens.held:
                tokens.held = 0
                tokens.changed = True
            tokens.handed_over = 0
            tokens.unreported = 0
            tokens.unreported_before = 0

    # Requests.

    def next_request_s(self, now_s: float) -> float:
        """Return when a request is due; infinite if none is needed."""
        earliest_s = self.sent_s + RESEND_INTERVAL_S
        if not self.in_flight:
            earliest_s = max(
                self.ask_at_s, self.sent_s + REQUEST_INTERVAL_MIN_S
            )
        due_s = math.inf
        for tokens in self.tokens.values():
            if len(tokens.waiting) > (tokens.asked if self.in_flight else 0):
                due_s = min(due_s, tokens.blocked_until_s)
        if self.must_hand_over and not self.in_flight:
            earliest_s = self.ask_at_s
            due_s = now_s
        if self.in_flight and (self.is_active or self._has_waiting):
            due_s = min(due_s, earliest_s)
        elif self.is_active:
            due_s = min(due_s, self.sent_s + limits_lib.RENEW_INTERVAL_S)
        return max(due_s, earliest_s)

    @property
    def _has_waiting(self) -> bool:
        return any(tokens.waiting for tokens in self.tokens.values())

    def next_expiry_s(self) -> float:
        """Return when the wait of a call ends next; infinite if none waits."""
        return min(
            (
                waiter.until_s
                for tokens in self.tokens.values()
                for waiter in tokens.waiting
            ),
            default=math.inf,
        )

    def next_own_token_s(
        self, limits: Mapping[str, Limit], now_s: float
    ) -> float:
        """Return when the own share may serve a waiting call next."""
        start_s = self._own_share_starts_s()
        if not self.share or start_s >= self.share_until_s:
            return math.inf
        result = math.inf
        for workspace, tokens in self.tokens.items():
            limit = limits.get(workspace)
            if not tokens.waiting or limit is None:
                continue
            own_max = limit.window_max * self.share
            if own_max < 1.0:
                continue
            if now_s < start_s:
                result = min(result, start_s)
            elif tokens.spent.count(now_s) + 1 > own_max:
                result = min(result, tokens.spent.next_leave_s())
        return result if result < self.share_until_s else math.inf

    def make_request(
        self, limits: Mapping[str, Limit], now_s: float
    ) -> messages.TokenRequest:
        """Return the next request, which replaces any request in flight."""
        self._expire(now_s)
        is_resend = self.in_flight
        self.number += 1
        self.requests += 1
        self.sent_s = now_s
        self.in_flight = True
        self.unanswered += 1
        keeps = self.calls.rate_per_s(now_s) >= KEEP_RATE_PER_S
        released = self.is_active and not keeps and not self._has_waiting
        # Repeated until an allocator has replied, which counts it once.
        handover = self.must_hand_over
        if handover:
            for tokens in self.tokens.values():
                tokens.handed_over += tokens.held
                tokens.held = 0
        reports = []
        for workspace, tokens in self.tokens.items():
            limit = limits.get(workspace)
            report = self._report(
                workspace,
                tokens,
                now_s,
                is_handover=handover,
                is_release=released,
                is_resend=is_resend,
                keeps=keeps and limit is not None,
            )
            if report is not None:
                reports.append(report)
            if released:
                tokens.held = 0
        self.is_active = keeps or (self.is_active and not released)
        if released:
            self.in_flight = False
        request = messages.TokenRequest(
            incarnation=self.incarnation,
            number=self.number,
            session=self.session,
            echo_s=self.echo_s,
            share=self._valid_share(now_s),
            wants_share=keeps,
            handover=handover,
            used_own_share=handover and self.hands_over_own_share,
            released=released,
            reports=tuple(reports),
        )
        if released:
            self.share = 0.0
        return request

    def _valid_share(self, now_s: float) -> float:
        return self.share if now_s < self.share_until_s else 0.0

    def _report(
        self,
        workspace: str,
        tokens: Tokens,
        now_s: float,
        *,
        is_handover: bool,
        is_release: bool,
        is_resend: bool,
        keeps: bool,
    ) -> messages.TokenReport | None:
        tokens.unreported_before = tokens.unreported
        was_reported = is_resend and tokens.reported
        has_changed = tokens.changed or was_reported
        waits = bool(tokens.waiting) and tokens.blocked_until_s <= now_s
        tokens.reported = has_changed or waits
        tokens.asked = len(tokens.waiting) if waits else 0
        held = tokens.handed_over if is_handover else tokens.held
        spent = tokens.spent.by_age(now_s) if is_handover else ()
        if (held and (is_handover or is_release)) or spent:
            tokens.reported = True
        if not tokens.reported:
            return None
        wanted = 0
        if keeps:
            demand_per_s = tokens.demand.rate_per_s(now_s)
            target = math.ceil(demand_per_s * ADVANCE_S)
            wanted = max(target - tokens.held, 0)
        report = messages.TokenReport(
            workspace=workspace,
            held=held,
            waiting=tokens.asked,
            wanted=wanted,
            calls=tokens.calls,
            spent=spent,
            unreported=tokens.unreported if is_handover else 0,
        )
        tokens.changed = False
        tokens.calls = 0
        return report

    def handle_reply(self, reply: messages.TokenReply, now_s: float) -> bool:
        """Handle a reply.

        Returns:
            Whether it came from an allocator and answers the last request.
        """
        if not self.in_flight or reply.number != self.number:
            return False
        self.in_flight = False
        if not reply.session:
            # The node that was asked does not allocate: what was reported is
            # reported again.
            for tokens in self.tokens.values():
                tokens.changed = tokens.changed or tokens.reported
            self.ask_at_s = now_s + reply.retry_s
            return False
        self.unanswered = 0
        if reply.session == self.session:
            self.must_hand_over = False
            self.hands_over_own_share = False
        if self.is_on_own_share:
            self.must_hand_over = True
            self.hands_over_own_share = True
        self.is_on_own_share = False
        self.lent_until_s = now_s + limits_lib.LOAN_S
        self.echo_s = reply.sent_s
        self.share = reply.share
        self.share_until_s = self.sent_s + limits_lib.SHARE_VALIDITY_S
        if reply.session != self.session:
            self.session = reply.session
            self.must_hand_over = True
            return True
        self._expire(now_s)
        self.valid_until_s = self.sent_s + limits_lib.LOAN_S
        is_valid = now_s < self.valid_until_s
        for grant in reply.grants:
            tokens = self.tokens.get(grant.workspace)
            if tokens is None:
                continue
            if 0 <= grant.held_max < tokens.held:
                tokens.held = grant.held_max
                tokens.changed = True
            if is_valid:
                tokens.held += grant.tokens
            else:
                tokens.changed = True
            tokens.blocked_until_s = now_s + grant.wait_s
            tokens.rate_per_s = grant.rate_per_s
        for tokens in self.tokens.values():
            tokens.reported = False
            tokens.asked = 0
            tokens.handed_over = 0
            tokens.unreported -= tokens.unreported_before
            tokens.unreported_before = 0
        return True


def _expected_s(tokens: Tokens, position: int) -> float:
    """Return when the call at a position in the queue may expect a token."""
    if not tokens.rate_per_s:
        return tokens.blocked_until_s
    return tokens.blocked_until_s + position / tokens.rate_per_s
