"""A small platform: settings files, node processes and the operator.

It starts the project's own programs with the commands of the deploy file, on
loopback addresses, and speaks to them as the users' pages say. Every machine
is a loopback address of its own; all machines use the same ports.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import time
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
RUN_COMMAND = ("python3", "src/monsoonpass/platform/__main__.py")
ZONES = {"nord-pl": "nord", "sud-mb": "sud", "nord-gb": "nord"}
BOUNDS = {
    "grace": "6",
    "retryBudgetRatio": "0.2",
    "retryBudgetSlack": "62",
}
CALL_TIMEOUT_S = 1.0  # "a second without a response"
BEAT_S = 0.87


class SetupError(Exception):
    """The case could not run."""


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a settings template, as DEPLOY.md describes."""

    def lookup(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = (value or {}).get(part)
        return value

    def section(match: re.Match[str]) -> str:
        value = lookup(match[1])
        if not value:
            return ""
        if isinstance(value, list):
            return "".join(
                match[2].replace("{{.}}", str(item)) for item in value
            )
        return match[2]

    text = re.sub(r"{{#([\w.]+)}}(.*?){{/\1}}", section, template, flags=re.S)

    def value_text(match: re.Match[str]) -> str:
        value = lookup(match[1])
        if isinstance(value, bool):
            return str(value).lower()
        return "" if value is None else str(value)

    return re.sub(r"{{([\w.]+)}}", value_text, text)


class Machine:
    """One machine of the stand-in platform and its node process."""

    def __init__(
        self, *, site: "Site", address: str, zone: str, service: str = ""
    ):
        self.site = site
        self.address = address
        self.zone = zone
        self.service = service
        self.is_core = not service
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.ends: list[int] = []
        self.watched = True  # Started again if it ends by itself.
        self.folder = site.folder / address
        self.folder.mkdir()

    @property
    def outbound(self) -> tuple[str, int]:
        """Address for the clients on this machine."""
        return self.address, self.site.ports["outbound"]

    @property
    def control(self) -> tuple[str, int]:
        """Address for the operator and the worker."""
        return self.address, self.site.ports["control"]

    @property
    def ready(self) -> tuple[str, int]:
        """Address for the platform's question whether the node is ready."""
        return self.address, self.site.ports["ready"]

    @property
    def worker(self) -> tuple[str, int]:
        """Address of the worker on this machine."""
        return self.address, self.site.ports["worker"]

    def start(self, *, bootstrap: bool = False) -> None:
        """Start the node's process with settings for the present moment."""
        ports = self.site.ports
        fields: dict[str, Any] = {
            "ip": self.address,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "service": self.service,
            "internalPorts": [ports["peer_first"], ports["peer_first"] + 15],
            "seeds": [
                f"{m.address}:{ports['control']}" for m in self.site.cores[:3]
            ],
            "bootstrap": bootstrap,
            "tolerate": {"machines": 1},
            "bounds": BOUNDS,
            "limits": {"linkMbps": 1000.0},
            "listen": {"control": f"{self.address}:{ports['control']}"},
        }
        if self.is_core:
            data = self.folder / "data"
            data.mkdir(exist_ok=True)
            fields["dataDir"] = str(data)
        else:
            fields["listen"]["outbound"] = f"{self.address}:{ports['outbound']}"
            fields["listen"]["ready"] = f"{self.address}:{ports['ready']}"
        template = (ROOT / "deploy" / "node.ini").read_text(encoding="utf-8")
        settings = self.folder / "node.ini"
        settings.write_text(render(template, fields), encoding="utf-8")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "MONSOONPASS_BOOT": str(settings),
        }
        self.starts += 1
        with open(self.folder / f"log-{self.starts}.txt", "wb") as log:
            self.process = subprocess.Popen(
                RUN_COMMAND,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process that this machine started."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def ended(self) -> int | None:
        """Return the exit code of the process if it has ended."""
        return None if self.process is None else self.process.poll()

    def memory_mb(self) -> int:
        """Return the resident memory of the process; 0 if there is none."""
        if self.process is None or self.process.poll() is not None:
            return 0
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        found = re.search(r"VmRSS:\s+(\d+) kB", path.read_text())
        return int(found[1]) // 1024 if found else 0

    def last_log(self) -> str:
        """Return the end of the last process's log."""
        path = self.folder / f"log-{self.starts}.txt"
        return path.read_text(encoding="utf-8", errors="replace")[-3000:]


class Site:
    """A small site: three core machines and some sidecar machines."""

    def __init__(self, *, folder: pathlib.Path, sidecars: list[str]):
        """Choose addresses and ports.

        Args:
            folder: A temporary folder.
            sidecars: The service of each sidecar machine's worker.
        """
        self.folder = folder
        net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.ports = _free_ports(f"{net}.10")
        zones = list(ZONES)
        self.cores = [
            Machine(site=self, address=f"{net}.{10 + n}", zone=zones[n])
            for n in range(3)
        ]
        self.sidecars = [
            Machine(
                site=self,
                address=f"{net}.{30 + n}",
                zone=zones[n % len(zones)],
                service=service,
            )
            for n, service in enumerate(sidecars)
        ]

    @property
    def machines(self) -> list[Machine]:
        """All machines."""
        return [*self.cores, *self.sidecars]

    def start(self) -> None:
        """Start all machines for the first time."""
        for machine in self.machines:
            machine.start(bootstrap=True)

    def stop(self) -> None:
        """End every process that was started."""
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGKILL)
        for machine in self.machines:
            if machine.process is not None:
                machine.process.wait()


def _free_ports(address: str) -> dict[str, int]:
    names = ("control", "ready", "outbound", "worker", "peer_first")
    with contextlib.ExitStack() as stack:
        ports = {}
        for name in names:
            found = stack.enter_context(socket.socket())
            found.bind((address, 0))
            ports[name] = found.getsockname()[1]
        return ports


class Answer:
    """A complete HTTP answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes):
        self.status = status
        self.headers = headers
        self.body = body


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Read the first line and the headers of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return lines[0], headers


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read a complete answer with a length or in chunks."""
    line, headers = await read_head(reader)
    status = int(line.split(" ")[1])
    if headers.get("transfer-encoding") == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).strip(), 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return Answer(status, headers, b"".join(parts))
    size = int(headers.get("content-length", "0"))
    return Answer(status, headers, await reader.readexactly(size))


async def call_once(
    address: tuple[str, int],
    method: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = CALL_TIMEOUT_S,
) -> Answer | None:
    """Send a request on a new connection; None without a complete answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {path} HTTP/1.1"]
            if "Host" not in (headers or {}):
                lines.append(f"Host: {address[0]}")
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            lines += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            return await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Operator:
    """An operator who submits and reads configurations."""

    def __init__(self, site: Site):
        self._site = site

    async def submit(
        self, document: dict[str, Any], base: int, *, limit_s: float = 20.0
    ) -> int:
        """Send an order to one node after the other until it is clear."""
        end_s = time.monotonic() + limit_s
        turn = 0
        while time.monotonic() < end_s:
            machine = self._site.cores[turn % 3]
            turn += 1
            answer = await self.submit_to(machine, document, base)
            if answer in (200, 400, 409, 412, 413, 422):
                return answer
            await asyncio.sleep(min(0.1 * turn, 0.5))
        raise SetupError("no clear answer to a configuration")

    async def submit_to(
        self,
        machine: Machine,
        document: dict[str, Any],
        base: int,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> int:
        """Send an order to one node; return the status, 0 for none."""
        answer = await call_once(
            machine.control,
            "PUT",
            "/v1/config",
            headers={"If-Match": str(base), "Content-Type": "application/json"},
            body=json.dumps(document).encode(),
            timeout_s=timeout_s,
        )
        return answer.status if answer else 0


async def wait_ready(machines: list[Machine], limit_s: float = 20.0) -> None:
    """Wait until the nodes say that they are ready."""
    end_s = time.monotonic() + limit_s
    for machine in machines:
        while True:
            answer = await call_once(machine.ready, "GET", "/readyz")
            if answer is not None and answer.status == 200:
                break
            if time.monotonic() > end_s:
                raise SetupError(f"{machine.address} is not ready")
            await asyncio.sleep(0.1)


async def send_beats(
    machine: Machine, worker_id: str, slots: int, born: int
) -> None:
    """Send the heartbeats of a sound worker until cancelled."""
    sequence = 0
    while True:
        sequence += 1
        body = {
            "service": machine.service,
            "address": f"{machine.worker[0]}:{machine.worker[1]}",
            "zone": machine.zone,
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "cold_s": 0,
            "sequence": sequence,
            "born": born,
        }
        await call_once(
            machine.control,
            "PUT",
            f"/v1/upstreams/{worker_id}",
            headers={"Content-Type": "application/json"},
            body=json.dumps(body).encode(),
        )
        await asyncio.sleep(BEAT_S)


def configuration(version: int, services: list[str]) -> dict[str, Any]:
    """Return a configuration with three routes to each service.

    The host of a route is the service's name with `.example`; its prefixes
    are `/safe/`, `/once/` and `/upload/`.
    """
    kinds = {"safe": "idempotent", "once": "once", "upload": "upload"}
    routes = [
        {
            "name": f"r-{service}-{prefix}",
            "host": f"{service}.example",
            "path": f"/{prefix}/",
            "kind": kind,
            "deadline_s": 0.8 if prefix == "once" else 1.5,
            "objective_s": 0.4,
            "priority": 1,
            "service": service,
            "attempts_max": 2,
        }
        for service in services
        for prefix, kind in kinds.items()
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": service,
                "health_path": "/health",
                "connections_max": 130,
                "protocol": "h1",
                "tls": False,
            }
            for service in services
        ],
        "limits": {
            "header_max_bytes": 16384,
            "body_max_bytes": 67108864,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
    }
