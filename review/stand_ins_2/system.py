"""Starts the project's processes as the deploy file names them.

Each machine has a loopback address of its own. The settings are rendered from
the template `deploy/node.ini` with fields like those of a small deployment.
"""

import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
INTERNAL, CONTROL, READY, OUTBOUND, APP = 7380, 8144, 8141, 8147, 8145
GUARD = 7379
START_S = 12.0


def reserve_block() -> tuple[str, socket.socket]:
    """Reserve a block of loopback addresses.

    Returns:
        Its first two numbers, and a socket that reserves it until it is closed.
    """
    first = 10 + os.getpid() % 100
    for second in (*range(first, 250), *range(10, first)):
        guard = socket.socket()
        try:
            guard.bind((f"127.{second}.250.1", GUARD))
            for third in (0, 1):
                for port in (INTERNAL, CONTROL, READY, OUTBOUND, APP):
                    with socket.socket() as probe:
                        probe.bind((f"127.{second}.{third}.1", port))
        except OSError:
            guard.close()
            continue
        return f"127.{second}", guard
    raise RuntimeError("no free loopback addresses")


def _find(fields: Any, name: str) -> Any:
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            index = int(part)
            value = value[index] if index < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template of the deploy file, as far as this one needs."""

    def section(match: re.Match[str]) -> str:
        value, inner = _find(fields, match[1]), match[2]
        if isinstance(value, list):
            return "".join(inner.replace("{{.}}", str(v)) for v in value)
        return inner if value not in (None, False) else ""

    def field(match: re.Match[str]) -> str:
        value = _find(fields, match[1])
        if value is None:
            return ""
        return str(value).lower() if isinstance(value, bool) else str(value)

    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S
    )
    return re.sub(r"\{\{([\w.]+)\}\}", field, text)


class Machine:
    """One machine of the deployment and the process on it."""

    def __init__(self, system: "System", name: str, ip: str, zone: str):
        """Describe a machine.

        Args:
            system: The deployment.
            name: Name of the machine.
            ip: Its loopback address.
            zone: Its zone.
        """
        self.system = system
        self.name = name
        self.ip = ip
        self.zone = zone
        self.service = ""
        self.is_core = name.startswith("core")
        self.process: subprocess.Popen[bytes] | None = None
        self.folder = system.folder / name
        self.folder.mkdir()
        self.extra: dict[str, Any] = {}
        self.bootstrap = True

    def fields(self) -> dict[str, Any]:
        """Return the fields that the platform offers to the template."""
        listen = {
            "ready": f"{self.ip}:{READY}",
            "control": f"{self.ip}:{CONTROL}",
        }
        if not self.is_core:
            listen["outbound"] = f"{self.ip}:{OUTBOUND}"
        result: dict[str, Any] = {
            "ip": self.ip,
            "zone": self.zone,
            "region": self.zone.partition("-")[0],
            "listen": listen,
            "internalPorts": [INTERNAL, INTERNAL + 15],
            "seeds": [f"{m.ip}:{CONTROL}" for m in self.system.cores[:3]],
            "bootstrap": self.bootstrap,
            "tolerate": {"machines": 1},
            "service": self.service,
            "limits": {"linkMbps": 1000.0, "memoryMb": 300},
            "bounds": {
                "grace": 6,
                "retryBudgetRatio": 0.2,
                "retryBudgetSlack": 60,
            },
        }
        if self.is_core:
            result["dataDir"] = str(self.folder / "data")
            (self.folder / "data").mkdir(exist_ok=True)
        return result | self.extra

    def start(self) -> None:
        """Start the process; its output goes into the machine's folder."""
        template = (ROOT / "deploy" / "node.ini").read_text()
        boot = self.folder / "node.toml"
        boot.write_text(render(template, self.fields()))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = "voter" if self.is_core else "node"
        words = deploy["roles"][role]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "MONSOONPASS_BOOT": str(boot),
        }
        with open(self.folder / "log.txt", "ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process with SIGKILL and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def log_text(self) -> str:
        """Return what the process has written."""
        path = self.folder / "log.txt"
        return path.read_text(errors="replace") if path.exists() else ""


class System:
    """A small deployment: machines of the core, and one node per server."""

    def __init__(self, *, cores: int = 3):
        """Choose addresses and make a temporary folder.

        Args:
            cores: Number of machines of the core.
        """
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self.block, self._guard = reserve_block()
        self.cores: list[Machine] = []
        self.sides: list[Machine] = []
        zones = ("mvd-a", "pay-a", "mvd-b", "pay-b")
        for number in range(cores):
            self.cores.append(
                Machine(
                    self,
                    f"core-{number}",
                    f"{self.block}.1.{number + 1}",
                    zones[number % 4],
                )
            )

    def add_side(self, service: str, zone: str = "mvd-a") -> Machine:
        """Add a sidecar machine."""
        number = len(self.sides)
        machine = Machine(
            self, f"side-{number}", f"{self.block}.0.{number + 1}", zone
        )
        machine.service = service
        self.sides.append(machine)
        return machine

    @property
    def machines(self) -> list[Machine]:
        """All machines."""
        return self.cores + self.sides

    async def start(self) -> None:
        """Start all processes and wait until the core answers."""
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            await wait_for_port(machine.ip, READY)

    def close(self) -> None:
        """End all processes and remove the folder."""
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.kill()
        self._guard.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept", self.folder, file=sys.stderr)


async def wait_for_port(host: str, port: int) -> None:
    """Wait until a port accepts connections.

    Raises:
        TimeoutError: It does not in time.
    """
    end_s = time.monotonic() + START_S
    while True:
        try:
            _, writer = await asyncio.open_connection(host, port)
            writer.close()
            return
        except OSError:
            if time.monotonic() > end_s:
                raise TimeoutError(f"{host}:{port} does not listen") from None
            await asyncio.sleep(0.05)


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    document: Any = None,
    *,
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
    source: str = "",
) -> tuple[int, bytes]:
    """Send one request on a new connection; return status and body.

    Returns:
        The status, 0 without a complete answer, and the body.
    """
    body = b"" if document is None else json.dumps(document).encode()
    lines = [f"{method} {path} HTTP/1.1"]
    if "Host" not in (headers or {}):
        lines.append(f"Host: {host}:{port}")
    if document is not None:
        lines.append("Content-Type: application/json")
    lines += [f"Content-Length: {len(body)}", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, port, local_addr=(source, 0) if source else None
            )
            writer.write(head + body)
            await writer.drain()
            return await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Read one answer with a length or in chunks.

    Raises:
        IncompleteReadError: The connection ended early.
        ValueError: The bytes are no answer.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    status = int(head.split(b" ", 2)[1])
    headers = parse_headers(head)
    if b"transfer-encoding" in headers:
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return status, b"".join(parts)
            parts.append(part[:-2])
    length = int(headers.get(b"content-length", b"0"))
    return status, await reader.readexactly(length)


def parse_headers(head: bytes) -> dict[bytes, bytes]:
    """Return the headers of a head, names in lower case."""
    result = {}
    for line in head.split(b"\r\n")[1:]:
        name, colon, value = line.partition(b":")
        if colon:
            result[name.strip().lower()] = value.strip()
    return result
