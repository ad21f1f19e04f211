"""What the scripts of the cases share: set-up, record and exit codes."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import os
import pathlib
import sys
import time
from typing import Any

import http1
import worker as worker_lib

import fleet as fleet_lib

HELD = 0
BROKEN = 1
NOT_RUN = 2
LIMITS = {
    "header_max_bytes": 16384,
    "body_max_bytes": 67108864,
    "header_timeout_s": 3.0,
    "idle_timeout_s": 15.0,
}
SETUP_LIMIT_S = 40.0
CASE_LIMIT_S = 100.0


class CouldNotRunError(Exception):
    """The deployment did not come up as a sound one would."""


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, path: pathlib.Path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._start_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the time since the start."""
        at_s = time.monotonic() - self._start_s
        self._file.write(f"{at_s:8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Setting:
    """A running deployment with its clients, workers and operator.

    Attributes:
        fleet: The machines.
        record: The record.
        runs: All runs of all workers.
        workers: The newest worker of each machine, by the machine's name.
        has_trouble: Whether the disruption is to take place.
    """

    def __init__(self, fleet: fleet_lib.Fleet, record: Record):
        self.fleet = fleet
        self.record = record
        self.runs: list[worker_lib.Run] = []
        self.workers: dict[str, worker_lib.Worker] = {}
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self._request_number = 0

    def make_worker(
        self, machine: str, worker_id: str, service: str, **options: Any
    ) -> worker_lib.Worker:
        """Return a new worker of a machine, which is not started yet."""
        node = self.fleet.nodes[machine]
        result = worker_lib.Worker(
            worker_id=worker_id,
            service=service,
            ip=node.ip,
            port=self.fleet.ports["app"],
            control_port=self.fleet.ports["control"],
            runs=self.runs,
            **options,
        )
        self.workers[machine] = result
        return result

    async def submit(self, document: dict[str, Any], base: int) -> int:
        """Send a configuration to the first voters until one acknowledges.

        Raises:
            CouldNotRunError: It was not acknowledged.
        """
        body = json.dumps(document).encode()
        until_s = time.monotonic() + SETUP_LIMIT_S
        attempt = 0
        while time.monotonic() < until_s:
            voters = self.fleet.voters
            node = voters[attempt % len(voters)]
            attempt += 1
            answer = await http1.request(
                (node.ip, self.fleet.ports["control"]),
                "PUT",
                "/v1/config",
                headers={"If-Match": str(base)},
                body=body,
                timeout_s=2.0,
            )
            if answer is not None and answer.status == 200:
                self.record.write(f"version {document['version']} acknowledged")
                return answer.status
            if answer is not None and 400 <= answer.status < 500:
                raise CouldNotRunError(f"refused: {answer.body!r}")
            await asyncio.sleep(0.3)
        raise CouldNotRunError("no configuration was acknowledged")

    async def wait_ready(self, machine: str) -> None:
        """Wait until a node says that it is ready.

        Raises:
            CouldNotRunError: It did not in time.
        """
        node = self.fleet.nodes[machine]
        until_s = time.monotonic() + SETUP_LIMIT_S
        while time.monotonic() < until_s:
            answer = await http1.request(
                (node.ip, self.fleet.ports["ready"]), "GET", "/readyz"
            )
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(0.2)
        raise CouldNotRunError(f"{machine} is not ready")

    async def wait_served(self, machine: str, host: str, target: str) -> None:
        """Wait until a request that is sent at a machine gets a success.

        Raises:
            CouldNotRunError: None did in time.
        """
        until_s = time.monotonic() + SETUP_LIMIT_S
        while time.monotonic() < until_s:
            _, answer = await self.call(machine, "GET", host, target)
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(0.2)
        raise CouldNotRunError(f"{machine} does not serve {host}{target}")

    async def call(
        self,
        machine: str,
        method: str,
        host: str,
        target: str,
        *,
        body: bytes = b"",
        deadline_ms: int = 2000,
    ) -> tuple[str, http1.Message | None]:
        """Send a request of a client on a machine.

        Returns:
            The request's id, and its answer, or None if there was none.
        """
        self._request_number += 1
        request_id = f"{self._request_number:016x}"
        node = self.fleet.nodes[machine]
        answer = await http1.request(
            (node.ip, self.fleet.ports["outbound"]),
            method,
            target,
            headers={
                "Host": host,
                "X-Request-Id": request_id,
                "X-Deadline-Ms": str(deadline_ms),
            },
            body=body,
            source_ip=node.ip,
            timeout_s=deadline_ms / 1000 + 1.0,
        )
        status = answer.status if answer is not None else "none"
        self.record.write(
            f"sent {request_id} {method} {host}{target} at {machine}: "
            f"answer {status}"
        )
        return request_id, answer

    def record_runs(self) -> None:
        """Write all runs to the record."""
        for run in self.runs:
            self.record.write(
                f"run of {run.request_id} {run.method} {run.target} by "
                f"{run.worker} ({run.service}), X-Caller-Service {run.caller}"
            )


def route(name: str, path: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": "shop.example",
        "path": path,
        "kind": "once",
        "deadline_s": 2.0,
        "objective_s": 0.4,
        "priority": 1,
        "service": service,
        "attempts_max": 2,
        "parts": None,
    } | fields


def document(
    version: int, routes: list[dict[str, Any]], services: list[str]
) -> dict[str, Any]:
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "connections_max": 130,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": LIMITS,
    }


def main(
    folder: pathlib.Path,
    sidecars: dict[str, str],
    play: Callable[[Setting], Awaitable[int]],
) -> None:
    """Run a case and exit with its result.

    Args:
        folder: Folder of the case, which gets the record.
        sidecars: Service of each machine with a worker, by its name.
        play: Plays the case; returns `HELD` or `BROKEN`.
    """
    record = Record(folder / "record.txt")
    result = NOT_RUN
    fleet = fleet_lib.Fleet(sidecars=sidecars)
    try:
        fleet.start_all()
        setting = Setting(fleet, record)
        record.write(f"TROUBLE={int(setting.has_trouble)}")

        async def limited() -> int:
            async with asyncio.timeout(CASE_LIMIT_S):
                return await play(setting)

        result = asyncio.run(limited())
        setting.record_runs()
    except Exception as error:
        # Whatever fails in the script itself is no broken rule.
        result = NOT_RUN
        record.write(f"could not run: {type(error).__name__}: {error}")
    finally:
        fleet.close()
        verdict = {HELD: "held", BROKEN: "broken"}.get(result, "not run")
        record.write(f"result: {verdict}")
        record.close()
    sys.exit(result)
