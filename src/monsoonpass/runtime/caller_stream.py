"""Streams of callers: sockets without buffers of their own.

anyio's socket streams read up to 256 KiB ahead for each connection. These
streams leave received bytes in the kernel, whose buffers have fixed sizes,
until there is a reason to read them.
"""

from collections.abc import Callable
import contextlib
import select
import socket
import struct

import anyio

# Kernel buffers of each connection, which the kernel doubles; without a fixed
# size they grow to several MiB for callers that do not read their answers.
# 64 KiB carry 30 Mbit/s over a round trip of 16 ms.
KERNEL_BUFFER_BYTES = 64 * 1024
BACKLOG = 1024
# SO_LINGER with a timeout of 0 s: closing the socket resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def listen(host: str, port: int) -> socket.socket:
    """Return a listening socket whose connections have small buffers.

    Raises:
        OSError: The address cannot be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server(
        (host, port), family=family, backlog=BACKLOG
    )
    listener.setblocking(False)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        listener.setsockopt(socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES)
    return listener


class CallerStream:
    """One accepted connection.

    Attributes:
        peer: Address of the caller.
        send_waits_since_s: Since when a send waits for the caller to read, or
            None.
    """

    def __init__(self, *, raw: socket.socket, peer: tuple):
        self.peer = peer
        self.send_waits_since_s: float | None = None
        self._raw = raw
        raw.setblocking(False)
        with contextlib.suppress(OSError):  # The caller may have left already.
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._hangups = select.poll()
        self._hangups.register(raw.fileno(), select.POLLRDHUP)

    @property
    def is_hung_up(self) -> bool:
        """Whether the caller has closed, even if data before that is unread."""
        return bool(self._hangups.poll(0))

    def fileno(self) -> int:
        """Return the file descriptor of the socket."""
        return self._raw.fileno()

    async def receive(self, max_bytes: int) -> bytes:
        """Wait for data and return it; empty at the end of the stream.

        Raises:
            OSError: The connection is broken.
        """
        while True:
            await anyio.wait_readable(self._raw)
            try:
                return self._raw.recv(max_bytes)
            except (BlockingIOError, InterruptedError):
                continue

    async def send(self, data: bytes, timeout_s: float) -> None:
        """Send all data.

        Args:
            data: Bytes to send.
            timeout_s: Longest time for which the caller may accept nothing.

        Raises:
            OSError: The connection is broken.
            TimeoutError: The caller accepts no data.
        """
        try:
            sent_bytes = self._raw.send(data)
        except (BlockingIOError, InterruptedError):
            sent_bytes = 0
        if sent_bytes == len(data):
            return
        rest = memoryview(data)[sent_bytes:]
        try:
            while rest:
                self.send_waits_since_s = anyio.current_time()
                with anyio.fail_after(timeout_s):
                    await anyio.wait_writable(self._raw)
                try:
                    rest = rest[self._raw.send(rest) :]
                except (BlockingIOError, InterruptedError):
                    continue
        finally:
            self.send_waits_since_s = None

    def send_eof(self) -> None:
        """Close the sending direction.

        Raises:
            OSError: The connection is broken.
        """
        self._raw.shutdown(socket.SHUT_WR)

    def send_if_possible(self, data: bytes) -> None:
        """Send data as far as that is possible without waiting."""
        try:
            self._raw.send(data)
            self._raw.shutdown(socket.SHUT_WR)
        except OSError:
            return

    def reset_on_close(self) -> None:
        """Let the close reset the connection, so that nothing looks whole."""
        try:
            self._raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        except OSError:
            return

    def close(self) -> None:
        """Close the socket. No task may be waiting for it."""
        self._raw.close()


class HangupWatch:
    """Reports hangups of connections that are not being read.

    A caller that has closed is noticed by reading. While reading is paused,
    the kernel reports it, for all paused connections through one descriptor.
    """

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._callbacks: dict[int, Callable[[], None]] = {}

    def add(self, stream: CallerStream, callback: Callable[[], None]) -> None:
        """Call a function once the caller has closed the connection."""
        self._callbacks[stream.fileno()] = callback
        self._epoll.register(stream.fileno(), select.EPOLLRDHUP)

    def remove(self, stream: CallerStream) -> None:
        """Stop watching a connection that may have been reported."""
        if self._callbacks.pop(stream.fileno(), None) is not None:
            self._epoll.unregister(stream.fileno())

    async def run(self) -> None:
        """Report hangups until cancelled."""
        while True:
            await anyio.wait_readable(self._epoll)
            for descriptor, _ in self._epoll.poll(0):
                callback = self._callbacks.pop(descriptor, None)
                if callback is not None:
                    self._epoll.unregister(descriptor)
                    callback()

    def close(self) -> None:
        """Close the descriptor, after the last connection has ended."""
        self._epoll.close()
