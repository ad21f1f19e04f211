"""Answers that an upstream does not complete must not look complete.

The upstream answers an upload at once, without a length, so that only a reset
tells a part of the answer from the whole.
"""

import contextlib
import socket

import anyio
import h11
import pytest

from monsoonpass.standin import local_mesh
from monsoonpass.standin import simulated_upstream
from tests import scripted_upstream
from tests import test_end_to_end

KIB = 1024
SPECS = (
    local_mesh.NodeSpec(instance="n0"),
    local_mesh.NodeSpec(instance="n1", service="shop"),
)
UPLOAD_BYTES = 4 * KIB * KIB
# One byte either side of the bounds of chunks, whole answers and windows.
PART_BYTES = [
    bound * KIB + difference
    for bound in (1, 16, 64, 128, 256)
    for difference in (-1, 0, 1)
]


class BreakingUpstream(simulated_upstream.Server):
    """Upstream that sends a fixed start of an answer and then resets.

    Attributes:
        answer: What it sends once the head of a request has arrived.
        may_reset: Set when the connections may be reset.
    """

    def __init__(self, *, answer: bytes):
        super().__init__(name="n1")
        self.answer = answer
        self.may_reset = anyio.Event()

    async def _serve_connection(self, stream) -> None:
        async with stream:
            with contextlib.suppress(
                anyio.BrokenResourceError, anyio.EndOfStream
            ):
                data = await stream.receive()
                if data.startswith(b"GET /health"):
                    await stream.send(
                        b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
                    )
                    return
                await stream.send(self.answer)
            await self.may_reset.wait()
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                scripted_upstream.RESET_ON_CLOSE,
            )


class Caller:
    """Uploads to a node and keeps what comes back.

    Attributes:
        received: What was received.
        was_reset: Whether the connection was reset.
    """

    def __init__(
        self, *, version: str = "1.1", upload_bytes: int = UPLOAD_BYTES
    ):
        self._version = version
        self._upload_bytes = upload_bytes
        self.received = b""
        self.was_reset = False

    async def run(self, port: int) -> None:
        """Send a long upload until the connection ends."""
        head = (
            f"PUT /photos HTTP/{self._version}\r\nhost: shop\r\n"
            f"content-length: {self._upload_bytes}\r\n\r\n"
        )
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            await stream.send(head.encode())
            async with anyio.create_task_group() as group:
                group.start_soon(self._upload, stream)
                try:
                    while True:
                        self.received += await stream.receive()
                except anyio.EndOfStream:
                    pass
                except anyio.BrokenResourceError:
                    self.was_reset = True
                group.cancel_scope.cancel()

    async def _upload(self, stream) -> None:
        with contextlib.suppress(anyio.BrokenResourceError):
            for _ in range(self._upload_bytes // (64 * KIB)):
                await stream.send(bytes(64 * KIB))
                await anyio.lowlevel.checkpoint()

    @property
    def has_whole_answer(self) -> bool:
        """Whether a complete answer with status 200 was received."""
        parser = h11.Connection(h11.CLIENT)
        parser.send(
            h11.Request(method="PUT", target="/", headers=[("host", "a")])
        )
        parser.send(h11.EndOfMessage())
        status = 0
        try:
            if self.received:
                parser.receive_data(self.received)
            if not self.was_reset:
                parser.receive_data(b"")
            while True:
                event = parser.next_event()
                if isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.EndOfMessage):
                    return status == 200
                elif not isinstance(event, h11.Data):
                    return False
        except h11.RemoteProtocolError:
            return False


def run_mesh(tmp_path, answer: bytes, scenario) -> None:
    """Run a scenario with an upstream that does not complete its answers."""

    async def run() -> None:
        mesh = local_mesh.LocalMesh(
            specs=SPECS, voters=["n0"], folder=tmp_path, http2=False
        )
        mesh.nodes[1].upstream = BreakingUpstream(answer=answer)
        with anyio.fail_after(60):
            async with mesh:
                await mesh.wait_for_members()
                await mesh.submit(mesh.nodes[0], test_end_to_end.OPERATOR_TEXT)
                await mesh.wait_for_version(1)
                await scenario(mesh)

    anyio.run(run)


class TestEarlyAnswerThatIsReset:
    @pytest.mark.parametrize("node_index", [0, 1])
    def test_part_of_an_answer_is_not_whole(self, tmp_path, node_index):
        """Guards against a reset that a failed write hides from the reader."""

        async def scenario(mesh):
            node = mesh.nodes[node_index]
            upstream = mesh.nodes[1].upstream
            for size_bytes in PART_BYTES:
                upstream.answer = b"HTTP/1.1 200 OK\r\n\r\n" + bytes(size_bytes)
                upstream.may_reset = anyio.Event()
                caller = Caller()
                async with anyio.create_task_group() as group:
                    group.start_soon(caller.run, node.caller_port)
                    await anyio.sleep(0.02)
                    upstream.may_reset.set()
                assert not caller.has_whole_answer, size_bytes
                mesh.nodes[0].daemon.engine.state.routing.peers.clear()
                mesh.nodes[1].daemon.engine.state.routing.peers.clear()

        run_mesh(tmp_path, b"", scenario)

    @pytest.mark.parametrize("upload_bytes", [0, UPLOAD_BYTES])
    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    @pytest.mark.parametrize("stopped", [0, 1])
    def test_stop_of_a_node_does_not_complete_an_answer(
        self, tmp_path, version, stopped, upload_bytes
    ):
        """A caller with HTTP/1.0 takes a close for the end of the answer.

        Guard: Connection._reset_if_answering.
        """

        async def scenario(mesh):
            caller = Caller(version=version, upload_bytes=upload_bytes)
            async with anyio.create_task_group() as group:
                group.start_soon(caller.run, mesh.nodes[0].caller_port)
                while len(caller.received) < 64 * KIB:
                    await anyio.sleep(0.01)
                daemon = mesh.nodes[stopped].daemon
                daemon._stopped.set()
            assert not caller.has_whole_answer

        answer = b"HTTP/1.1 200 OK\r\n\r\n" + bytes(128 * KIB)
        run_mesh(tmp_path, answer, scenario)


class TestStatus:
    @pytest.mark.parametrize("status", ["000", "099", "7", "1000"])
    def test_status_out_of_range_is_not_an_answer(self, tmp_path, status):
        """Guards against a status that no caller can understand."""

        async def scenario(mesh):
            for node in mesh.nodes:
                response = await mesh.http.get(
                    f"{node.caller_url}/photos", headers={"host": "shop"}
                )
                assert response.status_code == 502

        answer = f"HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\nhi"
        run_mesh(tmp_path, answer.encode(), scenario)
