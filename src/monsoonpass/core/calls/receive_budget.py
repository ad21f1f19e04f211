"""Budget for the bytes that a node has received and not yet passed on.

Load pattern: hundreds of callers send bodies and stop short of their end. The
node collects the start of each body before the call starts, so that it can be
sent again; bodies that never end would hold that memory until a timeout. When
the budget is exhausted, one unfinished body is refused: the one that has
received nothing for longest if that is `STALLED_S` or more, else the largest.
Short requests are thus served while a few large bodies fill the budget, and
callers that send are preferred over those that have stopped.
"""

import dataclasses

STALLED_S = 2.0  # A caller within the limits seldom pauses for longer.
# Bytes of a connection that never make it the one to refuse: the largest
# request head and one read.
FREE_BYTES = 32 * 1024


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Holder:
    """Received bytes of one connection.

    Attributes:
        held_bytes: Bytes received and not yet passed on.
        progress_s: When the last bytes were received.
        collecting: Whether the body of a request is being received whose call
            has not started, so that the request can be refused.
    """

    held_bytes: int = 0
    progress_s: float = 0.0
    collecting: bool = False


class ReceiveBudget:
    """Counts received bytes over all connections.

    Attributes:
        limit_bytes: Total above which unfinished bodies are refused.
        held_bytes: Bytes held now.
    """

    def __init__(self, *, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._collecting: dict[Holder, None] = {}

    def add(self, holder: Holder, size_bytes: int, now_s: float) -> None:
        """Count bytes that a connection has received."""
        holder.held_bytes += size_bytes
        holder.progress_s = now_s
        self.held_bytes += size_bytes

    def remove(self, holder: Holder, size_bytes: int) -> None:
        """Count bytes that were passed on or dropped."""
        holder.held_bytes -= size_bytes
        self.held_bytes -= size_bytes

    def set_collecting(self, holder: Holder, collecting: bool) -> None:
        """Record whether a connection receives a body that may be refused."""
        holder.collecting = collecting
        if collecting:
            self._collecting[holder] = None
        else:
            self._collecting.pop(holder, None)

    def next_refused(self, now_s: float) -> Holder | None:
        """Return whose unfinished body must be refused now, or None."""
        if self.held_bytes <= self.limit_bytes:
            return None
        candidates = [
            holder
            for holder in self._collecting
            if holder.held_bytes > FREE_BYTES
        ]
        if not candidates:
            return None
        stalled = min(candidates, key=lambda holder: holder.progress_s)
        if now_s - stalled.progress_s >= STALLED_S:
            return stalled
        return max(candidates, key=lambda holder: holder.held_bytes)
