"""The bodies that peers may send to this node at the same time.

Load pattern: many uploads at once to one instance with a narrow link. Whatever
its senders may send without asking waits in front of that link, and versions,
probes and short calls wait behind it. So the bytes granted to all bodies
together are bounded by what the link carries in a short time.
"""

import collections
from collections.abc import Callable

from monsoonpass.runtime import body as body_lib

QUEUE_TARGET_S = 0.15  # A probe times out after 0.4 s, there and back.
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
    size_bytes = int(link_mbit_s * 1e6 / 8 * QUEUE_TARGET_S)
    return min(max(size_bytes, LIMIT_MIN_BYTES), LIMIT_MAX_BYTES)


class Upload:
    """One body that is to come."""

    def __init__(self, *, inflow: "Inflow", grant: Callable[[int], None]):
        self._inflow = inflow
        self.grant = grant
        self.wanted_bytes = 0
        self.outstanding_bytes = 0

    def request(self, size_bytes: int) -> None:
        """Ask for more of the body."""
        self.wanted_bytes += size_bytes
        self._inflow.enqueue(self)

    def count_received(self, size_bytes: int) -> None:
        """Count what has come of the body."""
        self._inflow.release(self, size_bytes)

    def close(self) -> None:
        """Ask for nothing more."""
        self.wanted_bytes = 0
        self._inflow.release(self, self.outstanding_bytes)


class Inflow:
    """Grants credit to bodies, in turns.

    Each body may always send one chunk, so that one whose caller is slow does
    not keep the others waiting.
    """

    def __init__(self, *, limit_bytes: int):
        self._limit_bytes = limit_bytes
        self._granted_bytes = 0
        self._waiting: collections.deque[Upload] = collections.deque()

    def open_upload(self, grant: Callable[[int], None]) -> Upload:
        """Return the upload of a new body.

        Args:
            grant: Called with the bytes that may be sent from now on.
        """
        return Upload(inflow=self, grant=grant)

    def enqueue(self, upload: Upload) -> None:
        """Enter a body that wants to send more."""
        if upload not in self._waiting:
            self._waiting.append(upload)
        self._distribute()

    def release(self, upload: Upload, size_bytes: int) -> None:
        """Free what was granted and has come, or never will."""
        size_bytes = min(size_bytes, upload.outstanding_bytes)
        upload.outstanding_bytes -= size_bytes
        self._granted_bytes -= size_bytes
        self._distribute()

    def _distribute(self) -> None:
        for _ in range(len(self._waiting)):
            upload = self._waiting.popleft()
            size_bytes = self._next_grant_bytes(upload)
            if size_bytes:
                upload.wanted_bytes -= size_bytes
                upload.outstanding_bytes += size_bytes
                self._granted_bytes += size_bytes
                upload.grant(size_bytes)
            if upload.wanted_bytes:
                self._waiting.append(upload)

    def _next_grant_bytes(self, upload: Upload) -> int:
        """Return what a body gets now."""
        min_bytes = 0 if upload.outstanding_bytes else body_lib.CHUNK_BYTES
        available_bytes = self._limit_bytes - self._granted_bytes
        return min(upload.wanted_bytes, max(available_bytes, min_bytes))
