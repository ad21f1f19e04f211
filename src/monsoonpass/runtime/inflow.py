"""The bodies that peers may send to this node at the same time.

Load pattern: many uploads at once to one instance with a narrow link. Whatever
its senders may send without asking waits in front of that link, and versions,
probes and short calls wait behind it. So the bytes granted to all bodies
together are bounded by what the link carries in a short time.
"""

import collections
from collections.abc import Callable

from monsoonpass.runtime import body as body_lib

QUEUE_S = 0.15  # A probe times out after 0.4 s, there and back.
LIMIT_MIN_BYTES = 4 * body_lib.CHUNK_BYTES  # Round trips between regions.
LIMIT_MAX_BYTES = 4 * 1024 * 1024


def limit_bytes(link_mbit_s: float) -> int:
    """Return how much may be granted at once on a link.

    Args:
        link_mbit_s: What the instance's link carries; 0 if not known.

    Returns:
        Bytes.
    """
    if not link_mbit_s:
        return LIMIT_MAX_BYTES
    size_bytes = int(link_mbit_s * 1e6 / 8 * QUEUE_S)
    return min(max(size_bytes, LIMIT_MIN_BYTES), LIMIT_MAX_BYTES)


class Ticket:
    """One body that is to come."""

    def __init__(self, *, inflow: "Inflow", grant: Callable[[int], None]):
        self._inflow = inflow
        self.grant = grant
        self.wanted_bytes = 0
        self.outstanding_bytes = 0

    def want(self, size_bytes: int) -> None:
        """Ask for more of the body."""
        self.wanted_bytes += size_bytes
        self._inflow.ask(self)

    def arrived(self, size_bytes: int) -> None:
        """Count what has come of the body."""
        self._inflow.give_back(self, size_bytes)

    def close(self) -> None:
        """Ask for nothing more."""
        self.wanted_bytes = 0
        self._inflow.give_back(self, self.outstanding_bytes)


class Inflow:
    """Grants credit to bodies, in turns.

    Each body may always send one chunk, so that one whose caller is slow does
    not keep the others waiting.
    """

    def __init__(self, *, limit_bytes: int):
        self._limit_bytes = limit_bytes
        self._granted_bytes = 0
        self._asking: collections.deque[Ticket] = collections.deque()

    def ticket(self, grant: Callable[[int], None]) -> Ticket:
        """Return the ticket of a new body.

        Args:
            grant: Called with the bytes that may be sent from now on.
        """
        return Ticket(inflow=self, grant=grant)

    def ask(self, ticket: Ticket) -> None:
        """Enter a body that wants to send more."""
        if ticket not in self._asking:
            self._asking.append(ticket)
        self._serve()

    def give_back(self, ticket: Ticket, size_bytes: int) -> None:
        """Free what was granted and has come, or never will."""
        size_bytes = min(size_bytes, ticket.outstanding_bytes)
        ticket.outstanding_bytes -= size_bytes
        self._granted_bytes -= size_bytes
        self._serve()

    def _serve(self) -> None:
        for _ in range(len(self._asking)):
            ticket = self._asking.popleft()
            size_bytes = self._share(ticket)
            if size_bytes:
                ticket.wanted_bytes -= size_bytes
                ticket.outstanding_bytes += size_bytes
                self._granted_bytes += size_bytes
                ticket.grant(size_bytes)
            if ticket.wanted_bytes:
                self._asking.append(ticket)

    def _share(self, ticket: Ticket) -> int:
        """Return what a body gets now."""
        least = 0 if ticket.outstanding_bytes else body_lib.CHUNK_BYTES
        left = self._limit_bytes - self._granted_bytes
        return min(ticket.wanted_bytes, max(left, least))
