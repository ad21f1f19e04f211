"""What all connections of callers to a node use together."""

import collections
from collections.abc import Callable
from typing import Protocol

import anyio

from monsoonpass.core import log_events
from monsoonpass.core.calls import caller_limits
from monsoonpass.core.calls import receive_budget
from monsoonpass.runtime import event_log
from monsoonpass.runtime import metrics as metrics_lib
from monsoonpass.runtime import parse_throttle

# A connection that has waited for its caller for a shorter time is not closed
# for another one: its request may be on the way.
CLOSE_FOR_OTHERS_AFTER_S = 0.5
# Bound on the open connections including those that close after an answer, as
# a multiple of the usual bound.
CLOSING_FACTOR = 1.25

# Kinds of what is refused or closed because of a limit, as in the metrics.
CONNECTION_REFUSED = "connection-refused"
CONNECTION_CLOSED = "connection-closed"
BODY_REFUSED = "body-refused"
BODY_TIMED_OUT = "body-timed-out"
ANSWER_UNREAD = "answer-unread"
REPORT_INTERVAL_S = 10.0


def _ignore(kind: str) -> None:
    """Count nothing."""


class GatedConnection(Protocol):
    """Operations of a connection that this module uses."""

    def stalled_since_s(self) -> float | None:
        """Return since when only the caller can go on, or None."""

    def close_for_others(self) -> None:
        """Close the connection without another answer."""

    def close_after_answer(self) -> bool:
        """Close a connection with requests that wait, after its next answer.

        Returns:
            Whether requests wait behind the one that is being served.
        """

    def refuse_body(self) -> None:
        """Refuse the request whose body is being received."""


class ConnectionGate:
    """Bounds the number of connections to one or more servers.

    Attributes:
        connections_max: Number of connections that may be open.
        connections: Open connections.
    """

    def __init__(self, *, connections_max: int):
        self.connections_max = connections_max
        self.connections: set[GatedConnection] = set()
        self._closing: set[GatedConnection] = set()

    def admit(self) -> bool:
        """Return whether another connection may be opened.

        If there are too many, the connection that has waited for its caller
        for longest is closed instead. If all serve requests or are new, one
        with requests that wait behind the current one gets the answer to the
        current one only.
        """
        if len(self.connections) < self.connections_max:
            return True
        if self._close_stalled():
            return True
        open_count = len(self.connections) + len(self._closing)
        if open_count >= self.connections_max * CLOSING_FACTOR:
            return False
        for connection in self.connections:
            if connection.close_after_answer():
                self.connections.discard(connection)
                self._closing.add(connection)
                return True
        return False

    def remove(self, connection: GatedConnection) -> None:
        """Remove a connection that has ended."""
        self.connections.discard(connection)
        self._closing.discard(connection)

    def _close_stalled(self) -> bool:
        latest_s = anyio.current_time() - CLOSE_FOR_OTHERS_AFTER_S
        oldest: GatedConnection | None = None
        for connection in self.connections:
            since_s = connection.stalled_since_s()
            if since_s is not None and since_s <= latest_s:
                oldest, latest_s = connection, since_s
        if oldest is not None:
            self.connections.discard(oldest)
            oldest.close_for_others()
        return oldest is not None


class CallerLoad:
    """Shared limits of all servers of a node.

    Attributes:
        limits: The limits.
        budget: Bytes received and not passed on.
        parse_rate: Limit on the parsing of messages in small pieces.
        open_requests: Requests in progress.
        on_shed: Called with the kind of what is refused or closed.
    """

    def __init__(
        self,
        *,
        limits: caller_limits.CallerLimits,
        on_shed: Callable[[str], None] = _ignore,
    ):
        self.limits = limits
        self.budget = receive_budget.ReceiveBudget(
            limit_bytes=limits.received_max_bytes
        )
        self.parse_rate = parse_throttle.SharedParseRate()
        self.open_requests = 0
        self.on_shed = on_shed
        self._connections: dict[receive_budget.Holder, GatedConnection] = {}

    def open_holder(self, connection: GatedConnection) -> receive_budget.Holder:
        """Return the account of a new connection."""
        holder = receive_budget.Holder(progress_s=anyio.current_time())
        self._connections[holder] = connection
        return holder

    def close_holder(self, holder: receive_budget.Holder) -> None:
        """Drop the account of a connection that has ended."""
        self.budget.set_collecting(holder, False)
        self.budget.remove(holder, holder.held_bytes)
        del self._connections[holder]

    def count_received(
        self, holder: receive_budget.Holder, size_bytes: int
    ) -> None:
        """Count received bytes, and refuse bodies while they are too many."""
        now_s = anyio.current_time()
        self.budget.add(holder, size_bytes, now_s)
        while True:
            refused = self.budget.next_refused(now_s)
            if refused is None:
                return
            self.budget.set_collecting(refused, False)
            self.on_shed(BODY_REFUSED)
            self._connections[refused].refuse_body()


class ShedReport:
    """Counts what is refused or closed, in metrics and in the log.

    The log gets one event in `REPORT_INTERVAL_S` at most, with the numbers
    since the last one.
    """

    def __init__(
        self, *, logger: event_log.Logger, metrics: metrics_lib.Metrics
    ):
        self._logger = logger
        self._metrics = metrics
        self._counts: collections.Counter[str] = collections.Counter()
        self._next_report_s = float("-inf")

    def count(self, kind: str) -> None:
        """Count one connection or request."""
        self._metrics.callers_shed.labels(kind).inc()
        self._counts[kind] += 1
        now_s = anyio.current_time()
        if now_s < self._next_report_s:
            return
        self._next_report_s = now_s + REPORT_INTERVAL_S
        counts, self._counts = self._counts, collections.Counter()
        self._logger.write(log_events.Code.CALLERS_SHED, counts=dict(counts))
