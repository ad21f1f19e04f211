"""Credit for the request bodies that peers send to this node concurrently.

Load pattern: many uploads at once to one instance with a narrow link. All bytes
that the senders have credit for queue in front of that link, and configuration
versions, probes and short calls queue behind them. The credit of all uploads
together is therefore limited to what the link carries in a short time.
"""

import collections
from collections.abc import Callable

from monsoonpass.runtime import body as body_lib

# Longest queueing time on the link; probes time out after 0.4 s.
QUEUE_TARGET_S = 0.15
# Keeps uploads moving over long round trips between regions.
LIMIT_MIN_BYTES = 4 * body_lib.CHUNK_BYTES
LIMIT_MAX_BYTES = 4 * 1024 * 1024


def credit_limit_bytes(link_mbit_s: float) -> int:
    """Return the limit on outstanding credit for a link.

    Args:
        link_mbit_s: Rate of the instance's link in Mbit/s; 0 if unknown.

    Returns:
        The limit in bytes.
    """
    if not link_mbit_s:
        return LIMIT_MAX_BYTES
    size_bytes = int(link_mbit_s * 1e6 / 8 * QUEUE_TARGET_S)
    return min(max(size_bytes, LIMIT_MIN_BYTES), LIMIT_MAX_BYTES)


class Upload:
    """Credit account of one request body.

    Attributes:
        grant: Called with the number of bytes newly granted.
        requested_bytes: Bytes requested and not granted yet.
        outstanding_bytes: Bytes granted and not received yet.
    """

    def __init__(
        self,
        *,
        upload_scheduler: "UploadScheduler",
        grant: Callable[[int], None],
    ):
        self._upload_scheduler = upload_scheduler
        self.grant = grant
        self.requested_bytes = 0
        self.outstanding_bytes = 0

    def request(self, size_bytes: int) -> None:
        """Request credit for more bytes of the body."""
        self.requested_bytes += size_bytes
        self._upload_scheduler.enqueue(self)

    def count_received(self, size_bytes: int) -> None:
        """Count received bytes of the body."""
        self._upload_scheduler.release(self, size_bytes)

    def close(self) -> None:
        """Withdraw open requests and release the outstanding credit."""
        self.requested_bytes = 0
        self._upload_scheduler.release(self, self.outstanding_bytes)


class UploadScheduler:
    """Grants credit to uploads in round-robin order, within a total limit.

    Every upload may have one chunk outstanding even above the limit, so that
    uploads from slow callers do not block the others.
    """

    def __init__(self, *, limit_bytes: int):
        self._limit_bytes = limit_bytes
        self._granted_bytes = 0
        self._waiting: collections.deque[Upload] = collections.deque()

    def open_upload(self, grant: Callable[[int], None]) -> Upload:
        """Return the credit account of a new request body.

        Args:
            grant: Called with the number of bytes newly granted.
        """
        return Upload(upload_scheduler=self, grant=grant)

    def enqueue(self, upload: Upload) -> None:
        """Add an upload with open requests to the queue."""
        if upload not in self._waiting:
            self._waiting.append(upload)
        self._distribute()

    def release(self, upload: Upload, size_bytes: int) -> None:
        """Release credit for bytes that were received or will never be sent."""
        size_bytes = min(size_bytes, upload.outstanding_bytes)
        upload.outstanding_bytes -= size_bytes
        self._granted_bytes -= size_bytes
        self._distribute()

    def _distribute(self) -> None:
        for _ in range(len(self._waiting)):
            upload = self._waiting.popleft()
            size_bytes = self._next_grant_bytes(upload)
            if size_bytes:
                upload.requested_bytes -= size_bytes
                upload.outstanding_bytes += size_bytes
                self._granted_bytes += size_bytes
                upload.grant(size_bytes)
            if upload.requested_bytes:
                self._waiting.append(upload)

    def _next_grant_bytes(self, upload: Upload) -> int:
        """Return the number of bytes to grant to an upload now."""
        min_bytes = 0 if upload.outstanding_bytes else body_lib.CHUNK_BYTES
        available_bytes = self._limit_bytes - self._granted_bytes
        return min(upload.requested_bytes, max(available_bytes, min_bytes))
