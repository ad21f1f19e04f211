"""The demo: a small mesh on loopback, in one process and event loop."""

import collections
import pathlib
import tempfile

import anyio

from monsoonpass.formats import operator_text
from monsoonpass.standin import local_mesh

TEXT_PATH = pathlib.Path(__file__).with_name("demo.yaml")
DEMO_TIMEOUT_S = 20.0
SUBMIT_RETRY_INTERVAL_S = 0.2
CALLS_PER_STEP = 40
VOTERS = ("mvd-a-1", "mvd-a-2", "pay-a-1")
NODE_SPECS = (
    local_mesh.NodeSpec(instance="mvd-a-1", service="mostrador"),
    local_mesh.NodeSpec(instance="mvd-a-2", service="curtiembre"),
    local_mesh.NodeSpec(
        instance="pay-a-1",
        data_centre="pay-a",
        region="pay",
        service="mostrador",
    ),
    local_mesh.NodeSpec(instance="pay-a-2", data_centre="pay-a", region="pay"),
)


def run() -> int:
    """Run the demo and return its exit code."""
    return anyio.run(_run)


async def _run() -> int:
    with tempfile.TemporaryDirectory(prefix="monsoonpass-demo-") as folder:
        mesh = local_mesh.LocalMesh(
            specs=NODE_SPECS, voters=VOTERS, folder=pathlib.Path(folder)
        )
        try:
            async with mesh:
                with anyio.fail_after(DEMO_TIMEOUT_S):
                    await _run_steps(mesh)
        except TimeoutError:
            print(f"the demo did not end within {DEMO_TIMEOUT_S} s")
            return 1
    return 0


async def _run_steps(mesh: local_mesh.LocalMesh) -> None:
    first, second, third, last = mesh.nodes
    print(f"{len(mesh.nodes)} nodes in 2 data centres, 3 of them voters")
    for node in mesh.nodes:
        if node.spec.service:
            print(f"{node.name}: upstream of {node.spec.service} announced")
    text = TEXT_PATH.read_text(encoding="utf-8")
    await _submit(mesh, last, text)
    print(
        f"{CALLS_PER_STEP} lot lookups through {last.name}: "
        + await _call(mesh, last, "mostrador", "/lots/17")
    )
    print(
        f"{CALLS_PER_STEP} payment captures through {first.name}: "
        + await _call(mesh, first, "curtiembre", "/payments", "POST")
    )
    print(
        f"{CALLS_PER_STEP} calls to a service that does not exist yet: "
        + await _call(mesh, first, "subastas", "/")
    )
    changed = text.replace("version: 1", "version: 2", 1)
    changed += "  subastas:\n    depends_on: [mostrador]\n"
    await _submit(mesh, second, changed)
    print(
        "the same calls now, before the service has an upstream: "
        + await _call(mesh, first, "subastas", "/")
    )
    await _submit(mesh, third, changed)
    print("the same text, submitted again, was accepted again")


async def _submit(
    mesh: local_mesh.LocalMesh, node: local_mesh.LocalNode, text: str
) -> None:
    """Submit a text until it is accepted; wait until every node has it."""
    version = operator_text.compile_text(text).version
    started_s = anyio.current_time()
    while True:
        response = await mesh.submit(node, text)
        took_s = anyio.current_time() - started_s
        status = response.json()["status"]
        print(
            f"version {version} submitted to {node.name}: "
            f"{status} after {took_s:.2f} s"
        )
        if response.status_code == 200:
            break
        await anyio.sleep(SUBMIT_RETRY_INTERVAL_S)
    await mesh.wait_for_version(version)
    took_s = anyio.current_time() - started_s
    print(f"in force on all {len(mesh.nodes)} nodes after {took_s:.2f} s")


async def _call(
    mesh: local_mesh.LocalMesh,
    node: local_mesh.LocalNode,
    service: str,
    path: str,
    method: str = "GET",
) -> str:
    """Make `CALLS_PER_STEP` calls and return the count of each outcome."""
    counts: collections.Counter[str] = collections.Counter()
    for _ in range(CALLS_PER_STEP):
        response = await mesh.http.request(
            method, node.caller_url + path, headers={"host": service}
        )
        outcome = response.headers.get("monsoonpass-outcome")
        if outcome:
            reason = response.headers["monsoonpass-reason"]
            counts[f"{response.status_code} {outcome} ({reason})"] += 1
        else:
            upstream = response.json()["upstream"]
            counts[f"{response.status_code} from {upstream}"] += 1
    return ", ".join(f"{count} x {key}" for key, count in counts.items())
