"""A mesh of nodes on loopback, in one process and event loop."""

import collections
from collections.abc import Sequence
import pathlib
import random
import socket

import anyio
import anyio.abc
import httpx

from monsoonpass import immutable
from monsoonpass.formats import settings as settings_lib
from monsoonpass.runtime import daemon as daemon_lib
from monsoonpass.standin import simulated_upstream

POLL_INTERVAL_S = 0.02
PORT_MIN = 18_000
PORT_MAX = 32_000
# Address on which a process marks the ports that its nodes will bind.
RESERVATION_HOST = "127.0.0.2"
RESERVATIONS_MAX = 256  # Each holds a descriptor.
_reservations: collections.deque[socket.socket] = collections.deque()


@immutable.dataclass
class NodeSpec:
    """The specification of a local node.

    Attributes:
        instance: Name of the instance.
        data_centre: Data centre of the node.
        region: Region of the data centre.
        service: Service of its simulated upstream; empty for no upstream.
        behaviour: Behaviour of the simulated upstream.
    """

    instance: str
    data_centre: str = "mvd-a"
    region: str = "mvd"
    service: str = ""
    behaviour: simulated_upstream.UpstreamBehaviour | None = None


class LocalNode:
    """A local node with its simulated upstream.

    Attributes:
        spec: The specification of the node.
        caller_port: Port for callers.
        operator_port: Port of the operator endpoint.
        peer_port: Port for other nodes.
        settings_text: Text of the node's settings file.
        daemon: The running node; None before its first start.
        upstream: The node's simulated upstream.
    """

    def __init__(self, *, spec: NodeSpec, ports: Sequence[int]):
        self.spec = spec
        self.caller_port, self.operator_port, self.peer_port = ports
        self.settings_text = ""
        self.daemon: daemon_lib.Daemon | None = None
        self.upstream = simulated_upstream.Server(
            name=spec.instance, behaviour=spec.behaviour
        )

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self.spec.instance

    @property
    def caller_url(self) -> str:
        """Base URL for callers."""
        return f"http://127.0.0.1:{self.caller_port}"

    @property
    def operator_url(self) -> str:
        """Base URL of the operator endpoint."""
        return f"http://127.0.0.1:{self.operator_port}"

    @property
    def version(self) -> int:
        """Configuration version in force at the node."""
        return self.daemon.engine.state.config.version


class LocalMesh:
    """A mesh of local nodes; an asynchronous context manager.

    Attributes:
        nodes: The nodes, in the order of their specifications.
        http: HTTP client for the endpoints of all nodes.
    """

    def __init__(
        self,
        *,
        specs: Sequence[NodeSpec],
        voters: Sequence[str],
        folder: pathlib.Path,
        extra_settings: str = "",
        http2: bool = True,
    ):
        ports = free_ports(3 * len(specs))
        self._extra_settings = extra_settings
        self._http2 = http2
        self._voters = tuple(voters)
        self._folder = folder
        self._task_group: anyio.abc.TaskGroup | None = None
        self.nodes = [
            LocalNode(spec=spec, ports=ports[3 * i : 3 * i + 3])
            for i, spec in enumerate(specs)
        ]
        for node in self.nodes:
            node.settings_text = self._settings_text(node)
        self.http = httpx.AsyncClient(timeout=20.0)

    async def __aenter__(self) -> "LocalMesh":
        self._task_group = anyio.create_task_group()
        await self._task_group.__aenter__()
        try:
            await self._start_all()
        except BaseException as error:
            # Ends the nodes that run, and raises why another one could not.
            self._task_group.cancel_scope.cancel()
            with anyio.CancelScope(shield=True):
                await self.http.aclose()
            await self._task_group.__aexit__(
                type(error), error, error.__traceback__
            )
            raise
        return self

    async def _start_all(self) -> None:
        for node in self.nodes:
            await self.start(node)
        for node in self.nodes:
            if node.spec.service:
                await self._task_group.start(node.upstream.serve)
                await self.announce(node)
        await self._wait_for_upstreams()

    async def __aexit__(self, *exc_info: object) -> bool | None:
        for node in self.nodes:
            node.daemon.stop()
        with anyio.move_on_after(1.0, shield=True):
            await self.http.aclose()
        self._task_group.cancel_scope.cancel()
        return await self._task_group.__aexit__(*exc_info)

    async def start(self, node: LocalNode) -> None:
        """Start a node, or restart it after it ended."""
        node.daemon = daemon_lib.Daemon(
            settings=settings_lib.parse(node.settings_text)
        )
        self._task_group.start_soon(node.daemon.run)
        await node.daemon.started.wait()

    async def announce(self, node: LocalNode) -> None:
        """Announce a node's simulated upstream to the node."""
        await self.http.post(
            f"{node.operator_url}/v1/upstream",
            json={
                "service": node.spec.service,
                "slots": node.upstream.behaviour.slots,
                "port": node.upstream.port,
            },
        )

    async def submit(self, node: LocalNode, text: str) -> httpx.Response:
        """Submit an operator text to a node."""
        return await self.http.post(
            f"{node.operator_url}/v1/config", content=text.encode()
        )

    async def wait_for_version(self, version: int) -> None:
        """Wait until a version, or a later one, is in force on every node."""
        while any(node.version < version for node in self.nodes):
            await anyio.sleep(POLL_INTERVAL_S)

    async def wait_for_members(self) -> None:
        """Wait until every node knows all members of its data centre."""
        for node in self.nodes:
            expected = sum(
                other.spec.data_centre == node.spec.data_centre
                for other in self.nodes
            )
            table = node.daemon.engine.state.membership.table
            while len(table.alive()) < expected:
                await anyio.sleep(POLL_INTERVAL_S)

    async def _wait_for_upstreams(self) -> None:
        """Wait until every node knows all upstreams of its data centre."""
        for node in self.nodes:
            expected = sum(
                other.spec.data_centre == node.spec.data_centre
                and bool(other.spec.service)
                for other in self.nodes
            )
            table = node.daemon.engine.state.membership.table
            while sum(map(len, table.by_service.values())) < expected:
                await anyio.sleep(POLL_INTERVAL_S)

    def _settings_text(self, node: LocalNode) -> str:
        spec = node.spec
        seeds = "\n".join(
            f"    {other.name} 127.0.0.1:{other.peer_port} "
            f"{other.spec.data_centre} {other.spec.region}"
            for other in self.nodes
        )
        disk = ""
        if spec.instance in self._voters:
            disk = f"[disk]\nfolder = {self._folder / spec.instance}\n"
        return f"""
[node]
instance = {spec.instance}
data_centre = {spec.data_centre}
region = {spec.region}
[listen]
callers = 127.0.0.1:{node.caller_port}
operators = 127.0.0.1:{node.operator_port}
peers = 127.0.0.1:{node.peer_port}
http2 = {"yes" if self._http2 else "no"}
[mesh]
name = local
secret = only-for-loopback
seeds =
{seeds}
[control]
bootstrap_voters = {" ".join(self._voters)}
{disk}
{self._extra_settings}
"""


def free_ports(count: int) -> list[int]:
    """Return ports of 127.0.0.1 that are free for TCP and UDP.

    The ports are below the usual ephemeral range, so that no outgoing
    connection takes one before the caller binds it. The newest of them are
    reserved among all processes that use this function.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(PORT_MIN, PORT_MAX)
        if _reserve(port) and _is_free(port):
            ports.append(port)
    return ports


def _reserve(port: int) -> bool:
    """Reserve a port; return whether no process had reserved it."""
    reservation = socket.socket(type=socket.SOCK_DGRAM)
    try:
        reservation.bind((RESERVATION_HOST, port))
    except OSError:
        reservation.close()
        return False
    _reservations.append(reservation)
    if len(_reservations) > RESERVATIONS_MAX:
        _reservations.popleft().close()
    return True


def _is_free(port: int) -> bool:
    for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=socket_type) as test_socket:
            try:
                test_socket.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True
