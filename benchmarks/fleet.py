"""Runs real daemons as child processes on loopback."""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any

import httpx

from monsoonpass.standin import local_mesh

START_TIMEOUT_S = 60.0
SETTLE_S = 2.0  # For the announcement and the operator text to take effect.


class Fleet:
    """A mesh of daemon processes, as a context manager.

    Attributes:
        nodes: Addresses and settings of the nodes.
        processes: Daemon processes by instance name.
        http: HTTP client for the operator endpoints.
        sources: Source folders of instances that run another build, by name.
        profile_folder: Folder for the profiles that the daemons write when
            they are terminated, or None for daemons without a profiler.
    """

    def __init__(
        self,
        *,
        specs: Sequence[local_mesh.NodeSpec],
        voters: Sequence[str],
        folder: pathlib.Path,
        extra_settings: str = "",
        captures_output: bool = False,
        sources: Mapping[str, pathlib.Path] | None = None,
        profile_folder: pathlib.Path | None = None,
        http2: bool = True,
    ):
        """Prepare the settings; the daemons start when the context is entered.

        Args:
            specs: The instances.
            voters: Instances that form the control group.
            folder: Folder for settings files and data.
            extra_settings: Text appended to each settings file.
            captures_output: Whether the daemons' standard output is piped to
                this process instead of discarded.
            sources: Source folders of instances that run another build;
                the others run this checkout.
            profile_folder: Folder for the daemons' profiles, or None.
            http2: Whether callers may use HTTP/2, as by default.
        """
        self.profile_folder = profile_folder
        self._output = (
            subprocess.PIPE if captures_output else subprocess.DEVNULL
        )
        self._mesh = local_mesh.LocalMesh(
            specs=specs,
            voters=voters,
            folder=folder,
            extra_settings=extra_settings,
            http2=http2,
        )
        self._folder = folder
        self.nodes = self._mesh.nodes
        self.sources = dict(sources or {})
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.http = httpx.Client(timeout=15.0)

    def __enter__(self) -> "Fleet":
        self._folder.mkdir(parents=True, exist_ok=True)
        for node in self.nodes:
            self.start(node)
        for node in self.nodes:
            self._wait_until_up(node)
        return self

    def __exit__(self, *unused: object) -> None:
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.http.close()

    def start(self, node: local_mesh.LocalNode) -> None:
        """Start the daemon of a node."""
        path = self._folder / f"{node.name}.ini"
        path.write_text(node.settings_text, encoding="utf-8")
        environment = dict(os.environ)
        if node.name in self.sources:
            environment["PYTHONPATH"] = str(self.sources[node.name])
        profiler: list[str] = []
        if self.profile_folder is not None:
            output = str(self.profile_folder / node.name)
            profiler = ["-m", "cProfile", "-o", output]
        module = ["-m", "monsoonpass.cli", "--settings", str(path)]
        self.processes[node.name] = subprocess.Popen(
            [sys.executable, *profiler, *module],
            stdout=self._output,
            stderr=subprocess.DEVNULL,
            env=environment,
        )

    def announce(
        self, node: local_mesh.LocalNode, port: int, *, slots: int
    ) -> None:
        """Announce an upstream on a loopback port to its node."""
        self.http.post(
            f"{node.operator_url}/v1/upstream",
            json={
                "service": node.spec.service,
                "slots": slots,
                "port": port,
            },
        )

    def kill(self, node: local_mesh.LocalNode) -> None:
        """Kill the daemon of a node (SIGKILL) and wait until it exits."""
        self.processes[node.name].kill()
        self.processes[node.name].wait()

    def terminate(self, node: local_mesh.LocalNode) -> None:
        """Stop the daemon of a node (SIGTERM) and wait until it exits."""
        self.processes[node.name].terminate()
        self.processes[node.name].wait()

    def freeze(self, node: local_mesh.LocalNode) -> None:
        """Suspend the daemon of a node (SIGSTOP)."""
        self.processes[node.name].send_signal(signal.SIGSTOP)

    def thaw(self, node: local_mesh.LocalNode) -> None:
        """Resume a suspended daemon (SIGCONT)."""
        self.processes[node.name].send_signal(signal.SIGCONT)

    def cpu_s(self, node: local_mesh.LocalNode) -> float:
        """Return the processor time that a daemon has used, in seconds."""
        text = pathlib.Path(
            f"/proc/{self.processes[node.name].pid}/stat"
        ).read_text()
        # The fields after the command name; user and system time are added.
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_bytes(self, node: local_mesh.LocalNode) -> int:
        """Return the resident memory of a daemon, in bytes."""
        text = pathlib.Path(
            f"/proc/{self.processes[node.name].pid}/statm"
        ).read_text()
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def peak_memory_bytes(self, node: local_mesh.LocalNode) -> int:
        """Return the highest resident memory of a daemon so far, in bytes."""
        text = pathlib.Path(
            f"/proc/{self.processes[node.name].pid}/status"
        ).read_text()
        line = next(x for x in text.splitlines() if x.startswith("VmHWM"))
        return int(line.split()[1]) * 1024

    def sum_metric(self, node: local_mesh.LocalNode, name: str) -> float:
        """Return the sum of the samples of a node's metric.

        Args:
            node: The node.
            name: Prefix of the sample lines: the metric's name, and its first
                labels if only some samples count.
        """
        text = self.http.get(f"{node.operator_url}/metrics").text
        return sum(
            float(line.rsplit(" ", 1)[1])
            for line in text.splitlines()
            if line.startswith(name)
        )

    def node_status(self, node: local_mesh.LocalNode) -> dict[str, Any] | None:
        """Return the status that a node reports, or None if it is down."""
        try:
            return self.http.get(f"{node.operator_url}/v1/node").json()
        except httpx.HTTPError:
            return None

    def submit(self, node: local_mesh.LocalNode, text: str) -> str:
        """Submit an operator text until it is accepted or the time is up.

        Returns:
            The status in the last answer.
        """
        deadline_s = time.monotonic() + START_TIMEOUT_S
        status = ""
        while time.monotonic() < deadline_s:
            response = self.http.post(
                f"{node.operator_url}/v1/config", content=text.encode()
            )
            status = response.json()["status"]
            if response.status_code == 200:
                break
            time.sleep(0.1)
        return status

    def _wait_until_up(self, node: local_mesh.LocalNode) -> None:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                self.http.get(f"{node.operator_url}/healthz")
                return
            except httpx.HTTPError:
                time.sleep(0.05)
        raise TimeoutError(f"{node.name} did not start")


class Upstream:
    """A stand-in upstream in its own process, as a context manager.

    Attributes:
        port: Port that the upstream listens on.
    """

    def __init__(self) -> None:
        self.port = 0
        self._process: subprocess.Popen[bytes] | None = None

    def __enter__(self) -> "Upstream":
        self._process = subprocess.Popen(
            [sys.executable, "-m", "monsoonpass.standin"],
            stdout=subprocess.PIPE,
        )
        self.port = int(self._process.stdout.readline())
        return self

    def __exit__(self, *unused: object) -> None:
        self._process.kill()
        self._process.wait()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pair:
    """An entry node and an owner node with a stand-in upstream.

    Attributes:
        fleet: Both daemons.
        entry: Node without an upstream.
        owner: Node on the instance of the upstream.
        upstream_port: Port that the upstream listens on.
    """

    fleet: Fleet
    entry: local_mesh.LocalNode
    owner: local_mesh.LocalNode
    upstream_port: int


@contextlib.contextmanager
def run_pair(
    folder: pathlib.Path,
    text: str,
    profile_folder: pathlib.Path | None = None,
    *,
    http2: bool = True,
) -> Iterator[Pair]:
    """Run an entry node and an owner node with an operator text in force.

    Args:
        folder: Folder for settings files and data.
        text: Operator text with a service named "shop".
        profile_folder: Folder for the daemons' profiles, or None.
        http2: Whether callers may use HTTP/2, as by default.

    Yields:
        The pair, ready for calls.
    """
    specs = (
        local_mesh.NodeSpec(instance="entry"),
        local_mesh.NodeSpec(instance="owner", service="shop"),
    )
    with (
        Upstream() as upstream,
        Fleet(
            specs=specs,
            voters=["owner"],
            folder=folder,
            profile_folder=profile_folder,
            http2=http2,
        ) as fleet,
    ):
        entry, owner = fleet.nodes
        fleet.announce(owner, upstream.port, slots=64)
        fleet.submit(owner, text)
        time.sleep(SETTLE_S)
        yield Pair(
            fleet=fleet,
            entry=entry,
            owner=owner,
            upstream_port=upstream.port,
        )
