"""Transfer of bodies: chunk sizes, pipes, credit and digests."""

import collections
import hashlib

import anyio

from monsoonpass import errors

CHUNK_BYTES = 16 * 1024
WINDOW_BYTES = 256 * 1024  # Flow control window of one body.
# A longer answer body is streamed in chunks.
WHOLE_ANSWER_MAX_BYTES = 64 * 1024
DIGEST_BYTES = 8


def new_digest() -> "hashlib.blake2b":
    """Return a new hash that verifies a body from end to end."""
    return hashlib.blake2b(digest_size=DIGEST_BYTES)


class Pipe:
    """Queue of body chunks between one writer and one reader.

    `push` never blocks: the writer limits the queue through credit or by
    `wait_writable`.

    Attributes:
        closed: Whether the reader has stopped reading.
    """

    def __init__(self) -> None:
        self._chunks: collections.deque[bytes] = collections.deque()
        self._ended = False
        self._error: errors.MonsoonpassError | None = None
        self._readable = anyio.Event()
        self._queued_bytes = 0
        self._writable = anyio.Event()
        self.closed = False

    def push(self, chunk: bytes, *, ended: bool) -> None:
        """Append a chunk.

        Args:
            chunk: Bytes of the body; may be empty.
            ended: Whether the body ends with this chunk.
        """
        if chunk and not self.closed:
            self._chunks.append(chunk)
            self._queued_bytes += len(chunk)
        self._ended = self._ended or ended
        self._readable.set()

    def fail(self, error: errors.MonsoonpassError) -> None:
        """End the body with an error, which `next` raises."""
        self._error = error
        self._readable.set()

    def close(self) -> None:
        """Drop the queued chunks and let the writer end."""
        self.closed = True
        self._chunks.clear()
        self._queued_bytes = 0
        self._writable.set()

    async def next(self) -> tuple[bytes, bool]:
        """Wait for the next chunk; return it, and whether it ends the body.

        Raises:
            MonsoonpassError: The error passed to `fail`.
        """
        while True:
            if self._error is not None:
                raise self._error
            if self._chunks:
                chunk = self._chunks.popleft()
                self._queued_bytes -= len(chunk)
                self._writable.set()
                return chunk, self._ended and not self._chunks
            if self._ended:
                return b"", True
            self._readable = anyio.Event()
            await self._readable.wait()

    async def wait_writable(self) -> None:
        """Wait until fewer than `WINDOW_BYTES` bytes are queued."""
        while self._queued_bytes >= WINDOW_BYTES:
            self._writable = anyio.Event()
            await self._writable.wait()


class Credit:
    """Flow control credit of one body, in bytes.

    The receiver grants credit and the sender spends it.
    """

    def __init__(self, *, size_bytes: int):
        self._available_bytes = size_bytes
        self._granted = anyio.Event()
        self._closed = False

    def grant(self, size_bytes: int) -> None:
        """Add credit."""
        self._available_bytes += size_bytes
        self._granted.set()

    def close(self) -> None:
        """End every wait for credit, since nothing more is to be sent."""
        self._closed = True
        self._granted.set()

    async def spend(self, size_bytes: int) -> None:
        """Wait until there is any credit, then spend it.

        One chunk may overdraw the credit, so that a chunk longer than the
        window can be sent. After `close`, there is no wait.
        """
        while self._available_bytes <= 0 and not self._closed:
            self._granted = anyio.Event()
            await self._granted.wait()
        self._available_bytes -= size_bytes
