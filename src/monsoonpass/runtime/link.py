"""Links: streams to peers that carry framed messages.

Either node of a pair may open a link, so two nodes may have two links at once,
one opened by each. Both ends send and receive on every link.
"""

import asyncio
import collections
from collections.abc import Callable
import secrets
from typing import Any

import anyio

from monsoonpass import errors
from monsoonpass.core import address as address_lib
from monsoonpass.formats import framing
from monsoonpass.formats import handshake
from monsoonpass.runtime import streams

HANDSHAKE_TIMEOUT_S = 3.0
HANDSHAKE_FRAME_MAX_BYTES = 2048  # Until the handshake ends.
SEND_QUEUE_MAX_BYTES = 16 * 1024 * 1024
RECEIVE_MAX_BYTES = 64 * 1024
SEND_BATCH_BYTES = 64 * 1024
REPORTED_SKIPS_MAX = 100  # Bounds what a faulty peer can add to the log.


class LinkQueueFullError(errors.TransportError):
    """The send queue of a link exceeds `SEND_QUEUE_MAX_BYTES`."""


class _SoonCall:
    """Calls a function once in the next pass of the event loop after `set`."""

    def __init__(self, function: Callable[[], None]):
        self._function = function
        self._is_set = False

    def set(self) -> None:
        if not self._is_set:
            self._is_set = True
            asyncio.get_running_loop().call_soon(self._call)

    def _call(self) -> None:
        self._is_set = False
        self._function()


class Link:
    """A stream to a peer after the handshake.

    Frames that are not bulk are sent before bulk frames. Bulk frames are sent
    one at a time in the order in which they were queued, so that a large body
    does not delay short messages or the bodies of other calls. Frames queued
    in one pass of the event loop are written together in the next one.

    Attributes:
        peer: The peer, with the address at which it listens.
        data_centre: The peer's data centre.
        incarnation: Number that differs for each start of the peer's process.
        closed: Whether the link no longer sends or receives.
    """

    def __init__(
        self,
        *,
        stream: streams.Stream,
        peer: address_lib.Address,
        data_centre: str,
        incarnation: int,
        reader: framing.FrameReader,
        count_bytes: Callable[[str, int], None],
        count_message: Callable[[Any, int], None],
        report_skipped: Callable[[str], None],
    ):
        self._stream = stream
        self.peer = peer
        self.data_centre = data_centre
        self.incarnation = incarnation
        self._reader = reader
        self._count_bytes = count_bytes
        self._count_message = count_message
        self._report_skipped = report_skipped
        self._reported_skips: set[str] = set()
        self._urgent_frames: collections.deque[bytes] = collections.deque()
        self._bulk_frames: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._frames_queued = _SoonCall(self._write_queued)
        self.closed = False

    def send(self, message: Any, *, bulk: bool = False) -> None:
        """Queue a message for sending; a closed link drops it.

        Args:
            message: A message of a type that is registered for encoding.
            bulk: Whether messages that are not bulk are sent first.

        Raises:
            LinkQueueFullError: The peer reads too slowly; the link is now
                closed.
        """
        if self.closed:
            return
        data = framing.pack(message)
        self._queued_bytes += len(data)
        if self._queued_bytes > SEND_QUEUE_MAX_BYTES:
            self._close()
            raise LinkQueueFullError(
                f"send queue to {self.peer.instance} is full"
            )
        self._count_message(message, len(data))
        (self._bulk_frames if bulk else self._urgent_frames).append(data)
        self._frames_queued.set()

    async def run(self, receive: Callable[[Any], None]) -> None:
        """Send and receive until the stream ends or the link is closed.

        Args:
            receive: Called with each received message.

        Raises:
            ProtocolError: The peer violated the protocol.
        """
        # Frames that were queued before the stream is served.
        self._frames_queued.set()
        self._stream.on_writable = self._write_queued
        try:
            await self._read_until_closed(receive)
        finally:
            self.closed = True

    async def abort(self) -> None:
        """Close the stream without flushing the send queue."""
        self._close()

    def _close(self) -> None:
        self.closed = True
        self._stream.abort()

    async def _read_until_closed(self, receive: Callable[[Any], None]) -> None:
        data = b""
        while not self.closed:
            for message in self._reader.feed(data):
                receive(message)
            if self._reader.skipped:
                self._report_new_skips()
            try:
                data = await self._stream.receive(RECEIVE_MAX_BYTES)
            except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
                return
            except anyio.ClosedResourceError:
                return
            self._count_bytes("received", len(data))

    def _report_new_skips(self) -> None:
        """Report the unknown message types that are new on this link."""
        new_skips = set(self._reader.skipped) - self._reported_skips
        self._reader.skipped.clear()
        if len(self._reported_skips) >= REPORTED_SKIPS_MAX:
            return
        self._reported_skips |= new_skips
        for description in sorted(new_skips):
            self._report_skipped(description)

    def _write_queued(self) -> None:
        """Write queued frames while the socket takes them."""
        while not self.closed and self._stream.is_writable:
            is_bulk = not self._urgent_frames
            data = self._next_frames()
            if not data:
                return
            self._queued_bytes -= len(data)
            self._count_bytes("sent", len(data))
            self._stream.write(data)
            if is_bulk and self._bulk_frames:
                # Urgent frames may be queued before the next bulk frame.
                self._frames_queued.set()
                return

    def _next_frames(self) -> bytes:
        """Return the next frames to send, or nothing if none is queued.

        Urgent frames are joined until they reach `SEND_BATCH_BYTES`. A bulk
        frame is returned only when no urgent frame is queued.
        """
        if self._urgent_frames:
            if len(self._urgent_frames) == 1:
                return self._urgent_frames.popleft()
            frames = []
            size_bytes = 0
            while self._urgent_frames and size_bytes < SEND_BATCH_BYTES:
                frames.append(self._urgent_frames.popleft())
                size_bytes += len(frames[-1])
            return b"".join(frames)
        return self._bulk_frames.popleft() if self._bulk_frames else b""


async def perform_handshake(
    stream: streams.Stream,
    *,
    mesh: str,
    secret: bytes,
    sender: address_lib.Address,
    data_centre: str,
    incarnation: int,
    expected_instance: str = "",
) -> tuple[handshake.Hello, framing.FrameReader]:
    """Authenticate this node and its peer to each other on a new stream.

    Args:
        stream: The new stream.
        mesh: Name of this mesh.
        secret: The mesh's shared secret.
        sender: Address of this node.
        data_centre: This node's data centre.
        incarnation: Number that differs for each start of this process.
        expected_instance: Instance name that the peer must have, or empty
            for any.

    Returns:
        The peer's hello, and the reader with the bytes that were received
        after the handshake.

    Raises:
        HandshakeError: The peer failed authentication, is another instance
            than expected, or did not finish within `HANDSHAKE_TIMEOUT_S`.
        ProtocolError: The peer violated the protocol.
        TransportError: The stream ended during the handshake.
    """
    own_hello = handshake.Hello(
        protocol_version=handshake.PROTOCOL_VERSION,
        mesh=mesh,
        sender=sender,
        data_centre=data_centre,
        incarnation=incarnation,
        nonce=secrets.token_bytes(handshake.NONCE_BYTES),
    )
    reader = framing.FrameReader(max_bytes=HANDSHAKE_FRAME_MAX_BYTES)
    try:
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            await stream.send(framing.pack(own_hello))
            message = await _next_message(stream, reader)
            peer_hello = handshake.check_hello(mesh, message)
            if (
                expected_instance
                and peer_hello.sender.instance != expected_instance
            ):
                raise errors.HandshakeError(
                    f"expected peer {expected_instance}, "
                    f"found {peer_hello.sender.instance}"
                )
            proof = handshake.sign_hello(secret, peer_hello, own_hello)
            await stream.send(framing.pack(proof))
            peer_proof = await _next_message(stream, reader)
            handshake.check_proof(secret, peer_hello, own_hello, peer_proof)
    except TimeoutError as error:
        raise errors.HandshakeError("handshake timed out") from error
    except (anyio.EndOfStream, anyio.BrokenResourceError, OSError) as error:
        raise errors.TransportError(
            "stream ended during the handshake"
        ) from error
    reader.max_bytes = framing.FRAME_MAX_BYTES
    return peer_hello, reader


async def _next_message(
    stream: streams.Stream, reader: framing.FrameReader
) -> Any:
    while (message := reader.pop()) is None:
        reader.push(await stream.receive(HANDSHAKE_FRAME_MAX_BYTES))
    return message
