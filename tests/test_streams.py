"""TCP streams on asyncio transports."""

import socket
import struct

import anyio
import pytest

from monsoonpass.runtime import streams

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def run_pair(scenario) -> None:
    """Run a scenario with a stream and the plain socket at its other end."""

    async def run():
        with socket.create_server(("127.0.0.1", 0)) as listening:
            with anyio.fail_after(10):
                stream = await streams.connect(*listening.getsockname())
                peer, _ = listening.accept()
                with peer:
                    await scenario(stream, peer)
                stream.abort()

    anyio.run(run)


class TestReceive:
    def test_bytes_before_the_end_are_received(self):
        async def scenario(stream, peer):
            peer.sendall(b"last")
            peer.shutdown(socket.SHUT_WR)
            await anyio.sleep(0.05)
            assert stream.has_input
            assert await stream.receive(3) == b"las"
            assert await stream.receive() == b"t"
            with pytest.raises(anyio.EndOfStream):
                await stream.receive()

        run_pair(scenario)

    def test_reading_ahead_is_bounded(self):
        """A fast peer would fill the memory while nothing is taken.

        Guard: `READ_AHEAD_BYTES` in buffer_updated.
        """
        sent_bytes = 0

        async def scenario(stream, peer):
            nonlocal sent_bytes
            peer.setblocking(False)
            for _ in range(400):
                try:
                    sent_bytes += peer.send(bytes(64 * 1024))
                except BlockingIOError:
                    await anyio.sleep(0.001)
            taken = 2 * streams.READ_AHEAD_BYTES
            assert stream._received_bytes < taken < sent_bytes
            received_bytes = 0
            while received_bytes < sent_bytes:
                received_bytes += len(await stream.receive())
            assert received_bytes == sent_bytes

        run_pair(scenario)

    def test_reset_is_an_error(self):
        """A cut answer would pass for one that ends with the connection.

        Guard: `_error` in receive.
        """

        async def scenario(stream, peer):
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            peer.close()
            with pytest.raises(anyio.BrokenResourceError):
                await stream.receive()
            with pytest.raises(anyio.BrokenResourceError):
                await stream.send(b"more")

        run_pair(scenario)

    def test_waiting_receiver_learns_of_the_end(self):
        async def scenario(stream, peer):
            async with anyio.create_task_group() as group:
                group.start_soon(anyio.to_thread.run_sync, peer.close)
                with pytest.raises(anyio.EndOfStream):
                    await stream.receive()

        run_pair(scenario)

    def test_cancelled_receiver_loses_no_bytes(self):
        async def scenario(stream, peer):
            with anyio.move_on_after(0.02):
                await stream.receive()
            peer.sendall(b"later")
            assert await stream.receive() == b"later"

        run_pair(scenario)


class TestSend:
    def test_sender_waits_until_the_socket_takes_the_bytes(self):
        """A slow peer would let the unsent bytes fill the memory.

        Guard: `is_writable` in send.
        """

        async def scenario(stream, peer):
            data = bytes(8 * 1024 * 1024)
            with anyio.move_on_after(0.05) as scope:
                await stream.send(data)
            assert scope.cancelled_caught
            received_bytes = 0
            peer.setblocking(False)
            while received_bytes < len(data):
                try:
                    received_bytes += len(peer.recv(1024 * 1024))
                except BlockingIOError:
                    await anyio.sleep(0.001)
            await stream.send(b"next")

        run_pair(scenario)

    def test_nothing_is_sent_once_cancelled(self):
        """Guard: the checkpoint at the start of send."""

        async def scenario(stream, peer):
            with anyio.CancelScope() as scope:
                scope.cancel()
                await stream.send(b"cancelled")
            await stream.send(b"sent")
            assert peer.recv(100) == b"sent"

        run_pair(scenario)

    def test_waiting_sender_learns_of_the_loss(self):
        async def scenario(stream, peer):
            async with anyio.create_task_group() as group:
                group.start_soon(anyio.to_thread.run_sync, peer.close)
                with pytest.raises(anyio.BrokenResourceError):
                    while True:
                        await stream.send(bytes(1024 * 1024))

        run_pair(scenario)

    def test_closed_stream_raises(self):
        async def scenario(stream, peer):
            stream.abort()
            for action in (stream.receive, lambda: stream.send(b"x")):
                with pytest.raises(anyio.ClosedResourceError):
                    await action()

        run_pair(scenario)
