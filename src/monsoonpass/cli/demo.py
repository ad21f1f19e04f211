"""The demo: a small mesh in one process and one loop, on loopback."""

import pathlib
import socket
import tempfile

import anyio
import anyio.abc
import httpx

from monsoonpass.border import operator_text
from monsoonpass.border import settings as settings_lib
from monsoonpass.runtime import daemon as daemon_lib
from monsoonpass.standin import server as server_lib

TEXT = pathlib.Path(__file__).with_name("demo.yaml")
START_LIMIT_S = 20.0
CALLS = 40
PLACES = (
    ("mvd-a-1", "mvd-a", "mvd", "mostrador"),
    ("mvd-a-2", "mvd-a", "mvd", "curtiembre"),
    ("pay-a-1", "pay-a", "pay", "mostrador"),
    ("pay-a-2", "pay-a", "pay", ""),
)
VOTERS = ("mvd-a-1", "mvd-a-2", "pay-a-1")


class DemoNode:
    """One node of the demo with its stand-in upstream."""

    def __init__(self, *, name: str, service: str, ports: list[int]):
        self.name = name
        self.service = service
        self.callers, self.operators, self.peers = ports
        self.daemon: daemon_lib.Daemon | None = None
        self.upstream = server_lib.Server(name=name)

    @property
    def operator_url(self) -> str:
        """Base URL of the operator endpoint."""
        return f"http://127.0.0.1:{self.operators}"


def run() -> int:
    """Run the demo and return its exit code."""
    return anyio.run(_run)


async def _run() -> int:
    with tempfile.TemporaryDirectory(prefix="monsoonpass-demo-") as folder:
        nodes = _make_nodes(pathlib.Path(folder))
        async with anyio.create_task_group() as group:
            for demo_node in nodes:
                group.start_soon(demo_node.daemon.run)
            for demo_node in nodes:
                await demo_node.daemon.started.wait()
            async with httpx.AsyncClient(timeout=15.0) as http:
                code = await _play(nodes, http, group)
            for demo_node in nodes:
                demo_node.daemon.stop()
            await anyio.sleep(0.2)
            group.cancel_scope.cancel()
    return code


async def _play(
    nodes: list[DemoNode],
    http: httpx.AsyncClient,
    group: anyio.abc.TaskGroup,
) -> int:
    print(f"{len(nodes)} nodes in 2 data centres, 3 of them voters")
    for demo_node in nodes:
        if demo_node.service:
            await _announce(demo_node, http, group)
    text = TEXT.read_text(encoding="utf-8")
    if not await _submit(nodes[3], http, text):
        return 1
    if not await _wait_for_version(nodes, http, 1):
        return 1
    served = await _call(nodes[3], http, "mostrador", "/lots/17")
    print(f"{CALLS} lot lookups through {nodes[3].name}: {served}")
    reserved = await _call(
        nodes[0], http, "curtiembre", "/payments", method="POST"
    )
    print(f"{CALLS} payment captures through {nodes[0].name}: {reserved}")
    refused = await _call(nodes[0], http, "subastas", "/")
    print(f"{CALLS} calls to a service that does not exist yet: {refused}")
    changed = text.replace("version: 1", "version: 2", 1)
    changed += "  subastas:\n    depends_on: [mostrador]\n"
    if not await _submit(nodes[1], http, changed):
        return 1
    if not await _wait_for_version(nodes, http, 2):
        return 1
    refused = await _call(nodes[0], http, "subastas", "/")
    print(f"the same now, before it has an upstream: {refused}")
    repeated = await _submit(nodes[2], http, changed)
    print("the same text again is accepted again" if repeated else "failed")
    return 0 if repeated else 1


async def _announce(
    demo_node: DemoNode, http: httpx.AsyncClient, group: anyio.abc.TaskGroup
) -> None:
    port = await group.start(demo_node.upstream.serve)
    await http.post(
        f"{demo_node.operator_url}/v1/upstream",
        json={"service": demo_node.service, "slots": 12, "port": port},
    )
    print(f"{demo_node.name}: upstream of {demo_node.service} announced")


async def _submit(
    demo_node: DemoNode, http: httpx.AsyncClient, text: str
) -> bool:
    version = operator_text.compile_text(text).version
    started_s = anyio.current_time()
    with anyio.move_on_after(START_LIMIT_S):
        while True:
            response = await http.post(
                f"{demo_node.operator_url}/v1/config", content=text
            )
            took_s = anyio.current_time() - started_s
            status = response.json()["status"]
            print(
                f"version {version} submitted to {demo_node.name}: "
                f"{status} after {took_s:.2f} s"
            )
            if response.status_code == 200:
                return True
            await anyio.sleep(0.2)
    return False


async def _wait_for_version(
    nodes: list[DemoNode], http: httpx.AsyncClient, version: int
) -> bool:
    started_s = anyio.current_time()
    with anyio.move_on_after(START_LIMIT_S):
        while True:
            versions = []
            for demo_node in nodes:
                response = await http.get(f"{demo_node.operator_url}/v1/node")
                versions.append(response.json()["version"])
            if min(versions) >= version:
                took_s = anyio.current_time() - started_s
                print(f"in force on all {len(nodes)} nodes ({took_s:.2f} s)")
                return True
            await anyio.sleep(0.02)
    return False


async def _call(
    demo_node: DemoNode,
    http: httpx.AsyncClient,
    service: str,
    path: str,
    method: str = "GET",
) -> str:
    """Make some calls and return what was answered, counted."""
    counts: dict[str, int] = {}
    url = f"http://127.0.0.1:{demo_node.callers}{path}"
    for _ in range(CALLS):
        response = await http.request(method, url, headers={"host": service})
        outcome = response.headers.get("monsoonpass-outcome")
        if outcome:
            reason = response.headers["monsoonpass-reason"]
            key = f"{response.status_code} {outcome} ({reason})"
        else:
            key = f"{response.status_code} from {response.json()['upstream']}"
        counts[key] = counts.get(key, 0) + 1
    return ", ".join(f"{count} x {key}" for key, count in counts.items())


def _make_nodes(folder: pathlib.Path) -> list[DemoNode]:
    ports = free_ports(3 * len(PLACES))
    nodes = []
    for position, (name, _, _, service) in enumerate(PLACES):
        own = ports[3 * position : 3 * position + 3]
        nodes.append(DemoNode(name=name, service=service, ports=own))
    seeds = "\n".join(
        f"    {node.name} 127.0.0.1:{node.peers} {place[1]} {place[2]}"
        for node, place in zip(nodes, PLACES, strict=True)
    )
    for demo_node, place in zip(nodes, PLACES, strict=True):
        text = _settings_text(demo_node, place, seeds, folder)
        demo_node.daemon = daemon_lib.Daemon(settings=settings_lib.parse(text))
    return nodes


def _settings_text(
    demo_node: DemoNode,
    place: tuple[str, str, str, str],
    seeds: str,
    folder: pathlib.Path,
) -> str:
    name, data_centre, region, _ = place
    disk = f"[disk]\nfolder = {folder / name}\n" if name in VOTERS else ""
    return f"""
[node]
instance = {name}
data_centre = {data_centre}
region = {region}
[listen]
callers = 127.0.0.1:{demo_node.callers}
operators = 127.0.0.1:{demo_node.operators}
peers = 127.0.0.1:{demo_node.peers}
[mesh]
name = demo
secret = only-for-this-demo-on-loopback
seeds =
{seeds}
[control]
bootstrap_voters = {" ".join(VOTERS)}
{disk}"""


def free_ports(count: int) -> list[int]:
    """Return ports of 127.0.0.1 that were free just now, for TCP and UDP."""
    sockets = []
    for _ in range(count):
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        sockets.append(listener)
    ports = [listener.getsockname()[1] for listener in sockets]
    for listener in sockets:
        listener.close()
    return ports
