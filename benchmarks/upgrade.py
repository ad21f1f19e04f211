"""A mesh of nodes of two builds, as during a rolling upgrade.

The old build runs on two voters and one owner node; the new build, which is
this checkout, runs on one voter and one owner node. Later each node restarts
with the other build, on the same settings file and data folder. All checks are
assertions, so a result is written only if they hold.
"""

from collections.abc import Sequence
import hashlib
import pathlib
import signal
import time

import httpx

from benchmarks import fleet as fleet_lib
from monsoonpass.standin import local_mesh

VOTERS = ("v0", "v1", "v2")
SERVICES = {"owner-old": "old", "owner-new": "new"}  # Services by owner node.
OLD_BUILD_NODES = ("v0", "v2", "owner-old")
SLOTS = 64
UPLOAD_BYTES = 2_000_000
LEADER_CHANGES_MAX = 20
TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


def make_operator_text(version: int) -> str:
    """Return an operator text with one service for each owner node.

    Texts of different versions differ in the deadline of the second route.
    """
    lines = [f"version: {version}", "services:"]
    for service in SERVICES.values():
        lines += [
            f"  {service}:",
            "    routes:",
            "      - path: /pay",
            "        idempotent: false",
            "        deadline: 5s",
            "      - path: /",
            "        idempotent: true",
            f"        deadline: {5000 + version}ms",
        ]
    return "\n".join(lines) + "\n"


class MixedMesh:
    """Checks on a running mesh of two builds.

    Attributes:
        version: The last accepted version.
    """

    def __init__(self, *, fleet: fleet_lib.Fleet, calls: int):
        self.version = 0
        self._fleet = fleet
        self._calls = calls
        self._owners = [node for node in fleet.nodes if node.name in SERVICES]
        self._answers: dict[tuple[str, str], bytes] = {}

    def submit_next(self, node: local_mesh.LocalNode) -> None:
        """Submit the next version at a node; wait until all nodes have it."""
        self.version += 1
        status = self._fleet.submit(node, make_operator_text(self.version))
        assert status == "accepted", status
        self._wait_for_version()

    def check_resubmission(self) -> None:
        """Submit the last version again, and other content with its number.

        Every node must accept the same text and report a conflict for the
        other one.
        """
        same_text = make_operator_text(self.version)
        other_text = same_text.replace("5s", "6s")
        for node in self._fleet.nodes:
            url = f"{node.operator_url}/v1/config"
            response = self._fleet.http.post(url, content=same_text)
            assert response.json()["status"] == "accepted", response.text
            response = self._fleet.http.post(url, content=other_text)
            assert response.json()["status"] == "conflict", response.text

    def announce_upstreams(self, ports: Sequence[int]) -> None:
        """Announce the upstreams; wait until each owner node reaches both."""
        for node, port in zip(self._owners, ports, strict=True):
            self._fleet.announce(node, port, slots=SLOTS)
        deadline_s = time.monotonic() + TIMEOUT_S
        for node in self._owners:
            for service in SERVICES.values():
                while not self._call(node, service, "GET", "/").is_success:
                    assert time.monotonic() < deadline_s, "no upstream"
                    time.sleep(POLL_INTERVAL_S)

    def check_calls(self) -> int:
        """Call both services through both owner nodes.

        The calls are plain calls, calls with an idempotency key and uploads.

        Returns:
            The number of calls, all of which were answered.
        """
        count = 0
        for node in self._owners:
            for service in SERVICES.values():
                for number in range(self._calls):
                    path = f"/lots/{number}?ms=0"
                    response = self._call(node, service, "GET", path)
                    assert response.is_success, response.text
                    self._check_keyed_call(
                        node, service, f"{node.name}{number}"
                    )
                self._check_upload(node, service)
                count += 2 * self._calls + 1
        return count

    def check_stored_answers(self) -> int:
        """Repeat all calls with an idempotency key through both owner nodes.

        Returns:
            The number of repeated calls, all of which got the first answer.
        """
        for service, key in list(self._answers):
            for node in self._owners:
                self._check_keyed_call(node, service, key)
        return len(self._answers) * len(self._owners)

    def check_leaders(self) -> dict[str, int]:
        """Kill leaders until one of each build has accepted a version.

        Returns:
            The number of versions accepted by leaders of each build.
        """
        accepted = {"old": 0, "new": 0}
        for _ in range(LEADER_CHANGES_MAX):
            leader = self._find_leader()
            self.submit_next(leader)
            build = "old" if leader.name in self._fleet.sources else "new"
            accepted[build] += 1
            if all(accepted.values()):
                return accepted
            self._fleet.kill(leader)
            self._find_leader(excluded=leader)
            self._fleet.start(leader)
        raise AssertionError(f"no leader of each build: {accepted}")

    def exchange_builds(self, old_source: pathlib.Path) -> None:
        """Stop all nodes as planned; restart each with the other build."""
        for process in self._fleet.processes.values():
            process.send_signal(signal.SIGTERM)
        for process in self._fleet.processes.values():
            assert process.wait(timeout=TIMEOUT_S) == 0
        names = {node.name for node in self._fleet.nodes}
        self._fleet.sources = dict.fromkeys(
            names - set(self._fleet.sources), old_source
        )
        for node in self._fleet.nodes:
            self._fleet.start(node)
        self._wait_for_version()

    def _wait_for_version(self) -> None:
        deadline_s = time.monotonic() + TIMEOUT_S
        while not all(
            status and status["ready"] and status["version"] == self.version
            for status in map(self._fleet.node_status, self._fleet.nodes)
        ):
            assert time.monotonic() < deadline_s, "a node did not converge"
            time.sleep(POLL_INTERVAL_S)

    def _find_leader(
        self, excluded: local_mesh.LocalNode | None = None
    ) -> local_mesh.LocalNode:
        deadline_s = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline_s:
            for node in self._fleet.nodes:
                if node is excluded:
                    continue
                status = self._fleet.node_status(node)
                if status and status["role"] == "leader":
                    return node
            time.sleep(POLL_INTERVAL_S)
        raise AssertionError("no leader")

    def _check_keyed_call(
        self, node: local_mesh.LocalNode, service: str, key: str
    ) -> None:
        """Make a call with an idempotency key and check its answer.

        A repeated call must get the answer of the first one.
        """
        deadline_s = time.monotonic() + TIMEOUT_S
        while True:
            response = self._call(
                node,
                service,
                "POST",
                f"/pay?ms=0&id={key}",
                headers={"idempotency-key": key},
            )
            # Right after the first answer, the key may still count as running.
            if response.status_code != httpx.codes.CONFLICT:
                break
            assert time.monotonic() < deadline_s, response.text
            time.sleep(POLL_INTERVAL_S)
        assert response.is_success, response.text
        first_answer = self._answers.setdefault(
            (service, key), response.content
        )
        assert response.content == first_answer

    def _check_upload(self, node: local_mesh.LocalNode, service: str) -> None:
        content = node.name.encode() * (UPLOAD_BYTES // len(node.name))
        response = self._call(node, service, "PUT", "/photos", content=content)
        assert response.is_success, response.text
        digest = hashlib.sha256(content).hexdigest()
        assert response.json()["body_sha256"] == digest

    def _call(
        self,
        node: local_mesh.LocalNode,
        service: str,
        method: str,
        path: str,
        *,
        headers: dict[str, str] | None = None,
        content: bytes = b"",
    ) -> httpx.Response:
        return self._fleet.http.request(
            method,
            f"{node.caller_url}{path}",
            headers={"host": service, **(headers or {})},
            content=content,
        )


def run(options: dict[str, str], folder: pathlib.Path) -> dict[str, object]:
    """Run all checks, then exchange the builds of the nodes and repeat them."""
    old_source = pathlib.Path(options["old"])
    if not options["old"] or not (old_source / "monsoonpass").is_dir():
        raise ValueError("set upgrade.old to the src folder of another build")
    specs = [local_mesh.NodeSpec(instance=name) for name in VOTERS]
    specs += [
        local_mesh.NodeSpec(instance=name, service=service)
        for name, service in SERVICES.items()
    ]
    result: dict[str, object] = {}
    with (
        fleet_lib.Upstream() as first_upstream,
        fleet_lib.Upstream() as second_upstream,
        fleet_lib.Fleet(
            specs=specs,
            voters=VOTERS,
            folder=folder,
            sources=dict.fromkeys(OLD_BUILD_NODES, old_source),
        ) as fleet,
    ):
        mesh = MixedMesh(fleet=fleet, calls=int(options["calls"]))
        for phase in ("mixed", "exchanged"):
            if phase == "exchanged":
                mesh.exchange_builds(old_source)
            for node in fleet.nodes:
                mesh.submit_next(node)
            mesh.check_resubmission()
            mesh.announce_upstreams((first_upstream.port, second_upstream.port))
            result[phase] = {
                "stored_answers_kept": mesh.check_stored_answers(),
                "calls": mesh.check_calls(),
                "stored_answers": mesh.check_stored_answers(),
                "versions_by_leader": mesh.check_leaders(),
                "last_version": mesh.version,
            }
    return result
