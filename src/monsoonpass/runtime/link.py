"""Streams to peers: one for each direction in which it was opened."""

import collections
from collections.abc import Callable
import secrets
from typing import Any

import anyio
import anyio.abc

from monsoonpass import errors
from monsoonpass.border import frame
from monsoonpass.border import hello
from monsoonpass.core import address as address_lib

HANDSHAKE_TIMEOUT_S = 3.0
HELLO_MAX_BYTES = 2048
QUEUE_MAX_BYTES = 16 * 1024 * 1024
RECEIVE_BYTES = 64 * 1024
SEND_BYTES = 64 * 1024


class LinkQueueFullError(errors.TransportError):
    """More waits to be sent to a peer than the bound allows."""


class Link:
    """One stream to a peer, after the handshake.

    Short frames go before bulk ones, and bulk frames of different calls take
    turns, so a photo does not delay a lookup.

    Attributes:
        peer: The peer, with the address at which it listens.
        data_centre: The peer's data centre.
        incarnation: Differs with each start of the peer's process.
    """

    def __init__(
        self,
        *,
        stream: anyio.abc.ByteStream,
        peer: address_lib.Address,
        data_centre: str,
        incarnation: int,
        reader: frame.FrameReader,
        count_bytes: Callable[[str, int], None],
        count_message: Callable[[Any, int], None],
    ):
        self._stream = stream
        self.peer = peer
        self.data_centre = data_centre
        self.incarnation = incarnation
        self._reader = reader
        self._count_bytes = count_bytes
        self._count_message = count_message
        self._urgent: collections.deque[bytes] = collections.deque()
        self._bulk: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._wanted = anyio.Event()
        self.closed = False

    def send(self, message: Any, *, bulk: bool = False) -> None:
        """Queue a message.

        Args:
            message: A registered message.
            bulk: Whether it yields to all that is not bulk.

        Raises:
            LinkQueueFullError: The peer does not read fast enough; the link
                is closed.
        """
        if self.closed:
            return
        data = frame.pack(message)
        self._queued_bytes += len(data)
        if self._queued_bytes > QUEUE_MAX_BYTES:
            self.closed = True
            self._wanted.set()
            raise LinkQueueFullError(f"{self.peer.instance} does not read")
        self._count_message(message, len(data))
        (self._bulk if bulk else self._urgent).append(data)
        self._wanted.set()

    async def run(self, receive: Callable[[Any], None]) -> None:
        """Send and receive until the stream ends.

        Args:
            receive: Called with each message.

        Raises:
            ProtocolError: The peer broke the protocol.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self._write_until_closed, group.cancel_scope)
            try:
                await self._read_until_closed(receive)
            finally:
                self.closed = True
                group.cancel_scope.cancel()

    async def aclose(self) -> None:
        """Close the stream."""
        self.closed = True
        await anyio.aclose_forcefully(self._stream)

    async def _read_until_closed(self, receive: Callable[[Any], None]) -> None:
        data = b""
        while not self.closed:
            for message in self._reader.feed(data):
                receive(message)
            try:
                data = await self._stream.receive(RECEIVE_BYTES)
            except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
                return
            except anyio.ClosedResourceError:
                return
            self._count_bytes("received", len(data))

    async def _write_until_closed(self, scope: anyio.CancelScope) -> None:
        while not self.closed:
            data = self._next_bytes()
            if not data:
                self._wanted = anyio.Event()
                await self._wanted.wait()
                continue
            self._queued_bytes -= len(data)
            self._count_bytes("sent", len(data))
            try:
                await self._stream.send(data)
            except (anyio.BrokenResourceError, OSError):
                break
            except anyio.ClosedResourceError:
                break
        scope.cancel()

    def _next_bytes(self) -> bytes:
        """Return the next frames: all urgent ones, else one bulk frame."""
        if self._urgent:
            if len(self._urgent) == 1:
                return self._urgent.popleft()
            parts = []
            size_bytes = 0
            while self._urgent and size_bytes < SEND_BYTES:
                parts.append(self._urgent.popleft())
                size_bytes += len(parts[-1])
            return b"".join(parts)
        return self._bulk.popleft() if self._bulk else b""


async def shake_hands(
    stream: anyio.abc.ByteStream,
    *,
    mesh: str,
    secret: bytes,
    sender: address_lib.Address,
    data_centre: str,
    incarnation: int,
    expected: str = "",
) -> tuple[hello.Hello, frame.FrameReader]:
    """Prove membership to a peer and check its proof.

    Args:
        stream: A new stream.
        mesh: Name of this mesh.
        secret: The mesh's shared secret.
        sender: This node.
        data_centre: This node's data centre.
        incarnation: Differs with each start of this process.
        expected: Name that the peer must have, or empty for any.

    Returns:
        The peer's hello, and the reader that holds what came after the
        handshake.

    Raises:
        HandshakeError: The peer does not belong, or took too long.
        ProtocolError: The peer broke the protocol.
        TransportError: The stream ended.
    """
    ours = hello.Hello(
        protocol_version=hello.PROTOCOL_VERSION,
        mesh=mesh,
        sender=sender,
        data_centre=data_centre,
        incarnation=incarnation,
        nonce=secrets.token_bytes(hello.NONCE_BYTES),
    )
    reader = frame.FrameReader(max_bytes=HELLO_MAX_BYTES)
    try:
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            await stream.send(frame.pack(ours))
            first = await _next_message(stream, reader)
            theirs = hello.check_hello(mesh, first)
            if expected and theirs.sender.instance != expected:
                raise errors.HandshakeError(
                    f"expected {expected}, found {theirs.sender.instance}"
                )
            proof = hello.sign_hello(secret, theirs, ours)
            await stream.send(frame.pack(proof))
            answer = await _next_message(stream, reader)
            hello.check_proof(secret, theirs, ours, answer)
    except TimeoutError as error:
        raise errors.HandshakeError("the peer took too long") from error
    except (anyio.EndOfStream, anyio.BrokenResourceError, OSError) as error:
        raise errors.TransportError("the stream ended") from error
    reader.max_bytes = frame.FRAME_MAX_BYTES
    return theirs, reader


async def _next_message(
    stream: anyio.abc.ByteStream, reader: frame.FrameReader
) -> Any:
    while (message := reader.pop()) is None:
        reader.push(await stream.receive(HELLO_MAX_BYTES))
    return message
