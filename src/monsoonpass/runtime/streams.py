"""TCP streams on asyncio transports, for the busiest connections of a node.

anyio's socket streams change the selector twice for each receive and pass
through the event loop once more for each send. These streams read ahead up to
a bound instead, and `send` waits only if the socket takes no more bytes. They
raise anyio's exceptions, and cancellation works as in anyio's streams.
"""

import asyncio
import collections
from collections.abc import Callable
import socket

import anyio
import anyio.lowlevel

# Reading pauses while this many bytes are received and not taken.
READ_AHEAD_BYTES = 64 * 1024
# Filled and emptied within one callback, so all streams can share one buffer.
_read_buffer = memoryview(bytearray(64 * 1024))


class Stream(asyncio.BufferedProtocol):
    """One TCP connection.

    Attributes:
        is_ended: Whether the peer has ended its side, or the connection is
            lost; received bytes may still be waiting.
        is_writable: Whether the socket has taken all bytes written so far.
        on_writable: Called when the socket has taken all bytes again.
    """

    def __init__(
        self, on_connected: Callable[["Stream"], None] | None = None
    ) -> None:
        self.is_ended = False
        self.is_writable = True
        self.on_writable: Callable[[], None] | None = None
        self._on_connected = on_connected
        self._transport: asyncio.Transport | None = None
        self._chunks: collections.deque[bytes] = collections.deque()
        self._received_bytes = 0
        self._reading_paused = False
        self._is_lost = False
        self._closed = False
        self._error: Exception | None = None
        self._receiver: asyncio.Future[None] | None = None
        self._sender: asyncio.Future[None] | None = None

    @property
    def raw_socket(self) -> socket.socket:
        """The connection's socket."""
        return self._transport.get_extra_info("socket")

    @property
    def has_input(self) -> bool:
        """Whether bytes, the end or an error have been received."""
        return bool(self._chunks) or self.is_ended

    async def receive(self, max_bytes: int = READ_AHEAD_BYTES) -> bytes:
        """Wait for bytes and return up to `max_bytes` of them.

        Raises:
            EndOfStream: The peer has closed the stream.
            BrokenResourceError: The connection was lost.
            ClosedResourceError: This end has closed the stream.
        """
        if self._chunks:
            await anyio.lowlevel.checkpoint_if_cancelled()
        while not self._chunks:
            if self._closed:
                raise anyio.ClosedResourceError
            if self._error is not None:
                raise anyio.BrokenResourceError from self._error
            if self.is_ended:
                raise anyio.EndOfStream
            if self._receiver is not None:
                raise anyio.BusyResourceError("reading from")
            self._receiver = asyncio.get_running_loop().create_future()
            try:
                await self._receiver
            finally:
                self._receiver = None
        chunk = self._chunks.popleft()
        if len(chunk) > max_bytes:
            self._chunks.appendleft(chunk[max_bytes:])
            chunk = chunk[:max_bytes]
        self._received_bytes -= len(chunk)
        if self._reading_paused and self._received_bytes < READ_AHEAD_BYTES:
            self._reading_paused = False
            if not self._is_lost:
                self._transport.resume_reading()
        return chunk

    async def send(self, data: bytes) -> None:
        """Send bytes; return once the socket has taken them.

        Raises:
            BrokenResourceError: The connection was lost.
            ClosedResourceError: This end has closed the stream.
        """
        await anyio.lowlevel.checkpoint_if_cancelled()
        self._check_open()
        self._transport.write(data)
        while not self.is_writable:
            if self._sender is None:
                self._sender = asyncio.get_running_loop().create_future()
            # Shielded, since several senders may wait for it.
            await asyncio.shield(self._sender)
            self._check_open()

    def write(self, data: bytes) -> None:
        """Write bytes without waiting, while `is_writable` is true."""
        self._transport.write(data)

    def abort(self) -> None:
        """Close the connection without sending what was not sent yet."""
        self._closed = True
        self._transport.abort()
        self._wake()

    async def aclose(self) -> None:
        """Close the connection, as `abort` does."""
        self.abort()

    def _check_open(self) -> None:
        if self._closed:
            raise anyio.ClosedResourceError
        if self._is_lost:
            raise anyio.BrokenResourceError from self._error

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport (asyncio)."""
        self._transport = transport
        transport.set_write_buffer_limits(0)
        if self._on_connected is not None:
            self._on_connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to receive into (asyncio)."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take the received bytes out of the buffer (asyncio)."""
        self._chunks.append(bytes(_read_buffer[:nbytes]))
        self._received_bytes += nbytes
        if self._received_bytes >= READ_AHEAD_BYTES:
            self._reading_paused = True
            self._transport.pause_reading()
        self._wake_receiver()

    def eof_received(self) -> bool:
        """Note the end of the peer's side; this side stays open (asyncio)."""
        self.is_ended = True
        self._wake_receiver()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is lost (asyncio)."""
        self.is_ended = True
        self._is_lost = True
        self._error = exc
        self._wake()

    def pause_writing(self) -> None:
        """Note that the socket takes no more bytes (asyncio)."""
        self.is_writable = False

    def resume_writing(self) -> None:
        """Note that the socket has taken all bytes (asyncio)."""
        self.is_writable = True
        self._wake_sender()
        if self.on_writable is not None:
            self.on_writable()

    def _wake(self) -> None:
        self._wake_receiver()
        self._wake_sender()

    def _wake_receiver(self) -> None:
        if self._receiver is not None and not self._receiver.done():
            self._receiver.set_result(None)

    def _wake_sender(self) -> None:
        sender, self._sender = self._sender, None
        if sender is not None:
            sender.set_result(None)


async def connect(host: str, port: int) -> Stream:
    """Open a connection.

    Raises:
        OSError: The connection could not be opened.
    """
    loop = asyncio.get_running_loop()
    _, stream = await loop.create_connection(Stream, host, port)
    return stream


async def serve(
    listening_socket: socket.socket, on_connected: Callable[[Stream], None]
) -> None:
    """Accept connections until cancelled.

    Args:
        listening_socket: A socket that listens.
        on_connected: Called with each new connection.
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: Stream(on_connected), sock=listening_socket
    )
    try:
        await anyio.sleep_forever()
    finally:
        server.close()
