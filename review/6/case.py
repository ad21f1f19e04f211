"""Case 6: one disk lost while another machine of the core is frozen.

Four machines of the core, `tolerate.machines` 1. One that has a vote freezes
for four seconds. 3.9 s after it froze, the machine that has just acknowledged a
configuration loses its disk. Then all machines are back. The configuration must
be read back within `recover`.
"""

import asyncio
import json
import pathlib
import shutil
import signal
import time

from review.stand_ins_2 import parts
from review.stand_ins_2 import record as record_lib
from review.stand_ins_2 import system

FREEZE_S = 4.0
STRIKE_S = 3.9
DOWN_S = 0.5
RECOVER_S = 15.0
CONTACT_WINDOW_S = 3.0
ROUNDS = 2
ROUTE = {"path": "/lots/", "kind": "idempotent", "service": "shop"}


async def read(machine: system.Machine) -> int:
    """Read the configuration; return its version, or 0 without an answer."""
    status, body = await system.call(
        machine.ip, system.CONTROL, "GET", "/v1/config/newest", timeout_s=2.0
    )
    return json.loads(body)["version"] if status == 200 else 0


async def find_leader(deployment: system.System) -> system.Machine:
    """Return the machine of the core that says that it leads.

    Raises:
        RuntimeError: None does.
    """
    for _ in range(50):
        for machine in deployment.cores:
            status, body = await system.call(
                machine.ip, system.CONTROL, "GET", "/v1/node"
            )
            if status == 200 and json.loads(body)["role"] == "leader":
                return machine
        await asyncio.sleep(0.1)
    raise RuntimeError("no machine of the core leads")


async def put(machine: system.Machine, version: int, base: int) -> int:
    """Send a configuration to one machine; return the status."""
    status, _ = await system.call(
        machine.ip,
        system.CONTROL,
        "PUT",
        "/v1/config",
        parts.document(version, [ROUTE], ["shop"]),
        headers={"If-Match": str(base)},
    )
    return status


async def play(record: record_lib.Record) -> bool:
    """Play one round; return whether the configuration is gone.

    Raises:
        RuntimeError: The round could not be played.
    """
    deployment = system.System(cores=4)
    node = deployment.add_side("shop")
    try:
        await deployment.start()
        config = parts.document(1, [ROUTE], ["shop"])
        if await parts.submit(deployment, config, 0) != 200:
            raise RuntimeError("the first configuration is not accepted")
        server = parts.Server(node)
        await server.start()
        await parts.wait_until_served(node, "/lots/1")
        record.write("version 1 acknowledged, in force and served")
        await asyncio.sleep(2.0)
        leader = await find_leader(deployment)
        frozen = next(m for m in deployment.cores[:3] if m is not leader)
        began_s = time.monotonic()
        if record_lib.TROUBLE:
            frozen.signal(signal.SIGSTOP)
            record.write(f"{frozen.name} freezes")
        await asyncio.sleep(STRIKE_S - 0.1)
        status = await put(leader, 2, 1)
        record.write(f"version 2 sent to {leader.name}: {status}")
        if status != 200:
            raise RuntimeError("version 2 is not acknowledged")
        await asyncio.sleep(max(began_s + STRIKE_S - time.monotonic(), 0.0))
        if record_lib.TROUBLE:
            leader.kill()
            shutil.rmtree(leader.folder / "data")
            record.write(f"{leader.name} ends and loses its disk")
            await asyncio.sleep(DOWN_S)
            leader.bootstrap = False
            leader.start()
            record.write(f"{leader.name} starts with an empty disk")
        await asyncio.sleep(max(began_s + FREEZE_S - time.monotonic(), 0.0))
        if record_lib.TROUBLE:
            frozen.signal(signal.SIGCONT)
            record.write(f"{frozen.name} wakes; all machines are back")
        back_s = time.monotonic()
        versions = [0]
        while time.monotonic() < back_s + RECOVER_S + CONTACT_WINDOW_S:
            versions = [await read(m) for m in deployment.cores]
            if max(versions) >= 2:
                break
            await asyncio.sleep(0.5)
        passed_s = time.monotonic() - back_s
        record.write(
            f"{passed_s:.1f} s after all are back, the machines of the core "
            f"read back versions {versions} (0: 503 or no answer)"
        )
        _, status, _ = await parts.request(node, "/lots/2")
        record.write(f"a request at the running node: {status}")
        if max(versions) < 2:
            node.signal(signal.SIGTERM)
            await asyncio.to_thread(node.process.wait)
            node.bootstrap = False
            node.start()
            await system.wait_for_port(node.ip, system.READY)
            await asyncio.sleep(3.0)
            _, status, _ = await parts.request(node, "/lots/3")
            record.write(f"a request at the node after its restart: {status}")
        return max(versions) < 2
    finally:
        deployment.close()


async def case(record: record_lib.Record) -> bool:
    """Play up to two rounds; return whether one of them broke the rule."""
    for number in range(ROUNDS):
        record.write(f"round {number + 1}")
        if await play(record):
            return True
    return False


if __name__ == "__main__":
    record_lib.main(pathlib.Path(__file__).resolve().parent, case)
