"""Runs a simulated upstream; prints its port on the first line."""

import sys

from absl import app
from absl import flags
import anyio

from monsoonpass.standin import simulated_upstream

_PORT = flags.DEFINE_integer("port", 0, "Port on 127.0.0.1; 0 for any.")
_NAME = flags.DEFINE_string("name", "upstream", "Name in the answers.")
_SLOTS = flags.DEFINE_integer("slots", 64, "Calls run at once.")


def _main(arguments: list[str]) -> None:
    del arguments
    anyio.run(_serve)


async def _serve() -> None:
    behaviour = simulated_upstream.UpstreamBehaviour(slots=_SLOTS.value)
    server = simulated_upstream.Server(name=_NAME.value, behaviour=behaviour)
    async with anyio.create_task_group() as group:
        port = await group.start(_listen, server)
        print(port)
        sys.stdout.flush()


async def _listen(
    server: simulated_upstream.Server, *, task_status: anyio.abc.TaskStatus[int]
) -> None:
    await server.serve(port=_PORT.value, task_status=task_status)


if __name__ == "__main__":
    app.run(_main)
