"""Starts a small deployment of the project on loopback addresses.

The nodes run with the commands of the deploy file and with settings files that
are rendered from its template, as `DEPLOY.md` tells the platform to do.
"""

import contextlib
import dataclasses
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
PORT_NAMES = ("inbound", "outbound", "ready", "control", "app")
INTERNAL_PORTS = 16
STOP_WAIT_S = 30.0
BOUNDS = {
    "seedLag": 3,
    "reuseAfter": 2,
    "contactWindow": 3,
    "ack": 4,
    "catchUp": 4,
    "drain": 2,
    "grace": 6,
    "lossSlack": 0.2,
    "configApply": 2,
    "rollbackSlack": 0.25,
    "maxSkew": 5,
    "retryBudgetRatio": 0.2,
    "budgetWindow": 10,
    "retryBudgetSlack": 62,
    "recover": 15,
}
_SECTION = re.compile(r"\{\{([#^])([^{}]+)\}\}\n?(.*?)\{\{/\2\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([^#^/{}][^{}]*)\}\}")


def render(template: str, fields: Any, item: Any = None) -> str:
    """Fill in a settings template.

    Args:
        template: The template's text.
        fields: All fields of the settings.
        item: Current entry of a section, or None.

    Returns:
        The settings file's text.
    """

    def section(match: re.Match[str]) -> str:
        value = _find(fields, match[2])
        is_set = value is not None and value is not False
        if match[1] == "^":
            return "" if is_set else render(match[3], fields, item)
        if not is_set:
            return ""
        entries = value if isinstance(value, list) else [item]
        return "".join(render(match[3], fields, entry) for entry in entries)

    text = _SECTION.sub(section, template)

    def value(match: re.Match[str]) -> str:
        name = match[1].strip()
        found = item if name == "." else _find(fields, name)
        if found is None:
            return ""
        return str(found).lower() if isinstance(found, bool) else str(found)

    return _VALUE.sub(value, text)


def _find(fields: Any, name: str) -> Any:
    value = fields
    for part in name.split("."):
        if isinstance(value, list) and part.isdigit():
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


@dataclasses.dataclass
class Node:
    """A machine with one process of the project.

    Attributes:
        name: Name in the record.
        role: Role of the deploy file.
        ip: Loopback address.
        zone: Zone.
        region: Region of the zone.
        service: Service of the worker on the machine, or empty.
        process: The running process, or None.
        starts: How often the process was started.
    """

    name: str
    role: str
    ip: str
    zone: str
    region: str
    service: str = ""
    process: subprocess.Popen[bytes] | None = None
    starts: int = 0


class Fleet:
    """The machines of one deployment.

    Attributes:
        ports: Ports by name, the same on all machines.
        nodes: The machines by name.
        folder: Temporary folder of settings, disks and logs.
    """

    def __init__(self, *, voters: int = 3, sidecars: dict[str, str]):
        """Lay out the machines.

        Args:
            voters: Number of machines with a disk.
            sidecars: Service of each machine with a worker, by its name.
        """
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self._roles = tomllib.load(file)["roles"]
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        rng = random.Random(os.getpid())
        prefix = f"127.{rng.randrange(16, 240)}.{rng.randrange(1, 250)}"
        self.nodes: dict[str, Node] = {}
        for number in range(voters):
            name = f"voter-{number + 1}"
            self.nodes[name] = Node(
                name=name,
                role="voter",
                ip=f"{prefix}.{number + 10}",
                zone="zone-a",
                region="region-a",
            )
        for number, (name, service) in enumerate(sidecars.items()):
            self.nodes[name] = Node(
                name=name,
                role="node",
                ip=f"{prefix}.{number + 100}",
                zone="zone-a",
                region="region-a",
                service=service,
            )
        self.ports = self._free_ports(rng)
        self._bootstrap = True

    def _free_ports(self, rng: random.Random) -> dict[str, int]:
        """Return ports that are free on every machine of the fleet.

        Raises:
            OSError: No free ports were found.
        """
        count = len(PORT_NAMES) + INTERNAL_PORTS
        for _ in range(50):
            first = rng.randrange(20000, 29000)
            if all(
                self._is_free(node.ip, port)
                for node in self.nodes.values()
                for port in range(first, first + count)
            ):
                ports = {
                    name: first + number
                    for number, name in enumerate(PORT_NAMES)
                }
                ports["internal"] = first + len(PORT_NAMES)
                return ports
        raise OSError("no free ports")

    @staticmethod
    def _is_free(ip: str, port: int) -> bool:
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
        return True

    @property
    def voters(self) -> list[Node]:
        """The machines with a disk."""
        return [node for node in self.nodes.values() if node.role == "voter"]

    def settings_path(self, node: Node) -> pathlib.Path:
        """Return the path of a machine's settings file."""
        return self.folder / f"{node.name}.ini"

    def write_settings(self, node: Node) -> None:
        """Render the settings file of a machine."""
        ports = self.ports
        listen = {"control": f"{node.ip}:{ports['control']}"}
        fields: dict[str, Any] = {
            "nodeName": node.name,
            "ip": node.ip,
            "zone": node.zone,
            "region": node.region,
            "bootstrap": self._bootstrap,
            "internalPorts": [
                ports["internal"],
                ports["internal"] + INTERNAL_PORTS - 1,
            ],
            "seeds": [
                f"{voter.ip}:{ports['control']}" for voter in self.voters[:3]
            ],
            "tolerate": {"machines": (len(self.voters) - 1) // 2},
            "bounds": BOUNDS,
            "listen": listen,
            "limits": {"linkMbps": 1000.0, "memoryMb": 300},
        }
        if node.role == "voter":
            disk = self.folder / f"{node.name}-disk"
            disk.mkdir(exist_ok=True)
            fields["dataDir"] = str(disk)
        else:
            for name in ("inbound", "outbound", "ready"):
                listen[name] = f"{node.ip}:{ports[name]}"
            fields["service"] = node.service
            fields["appAddress"] = f"{node.ip}:{ports['app']}"
        template = self._roles[node.role]["template"]
        text = (ROOT / template).read_text(encoding="utf-8")
        path = self.settings_path(node)
        temporary = path.with_suffix(".new")
        temporary.write_text(render(text, fields), encoding="utf-8")
        temporary.rename(path)

    def start(self, node: Node) -> None:
        """Start the process of a machine with the deploy file's command."""
        self.write_settings(node)
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["MONSOONPASS_BOOT"] = str(self.settings_path(node))
        node.starts += 1
        log = self.folder / f"{node.name}.log"
        with open(log, "ab") as output:
            node.process = subprocess.Popen(
                self._roles[node.role]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def start_all(self) -> None:
        """Start all machines for the first time."""
        for node in self.nodes.values():
            self.start(node)
        self._bootstrap = False

    def send_signal(self, node: Node, number: signal.Signals) -> None:
        """Send a signal to a machine's process."""
        if node.process is not None:
            node.process.send_signal(number)

    def kill(self, node: Node) -> None:
        """Kill a machine's process and wait for its end."""
        if node.process is not None:
            node.process.kill()
            node.process.wait()
            node.process = None

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for node in self.nodes.values():
            if node.process is not None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
        for node in self.nodes.values():
            if node.process is not None:
                with contextlib.suppress(subprocess.TimeoutExpired):
                    node.process.wait(STOP_WAIT_S)
        if os.environ.get("KEEP"):
            print(self.folder)
            return
        shutil.rmtree(self.folder, ignore_errors=True)
