"""Tests of daemon processes that are killed, frozen or lose their disk."""

import json
import shutil
import signal
import time

from benchmarks import fleet as fleet_lib
import pytest

from monsoonpass.standin import local_mesh
from tests import test_operator_document

POLLS_MAX = 400
POLL_INTERVAL_S = 0.05


def config_text(version: int, name: str = "a") -> str:
    """Return a configuration text with one service."""
    return f"version: {version}\nservices:\n  {name}:\n"


def wait_for_version(fleet, version: int) -> None:
    """Wait until a version is in force on every node."""
    for _ in range(POLLS_MAX):
        statuses = [fleet.node_status(node) for node in fleet.nodes]
        if all(v and v["ready"] and v["version"] == version for v in statuses):
            return
        time.sleep(POLL_INTERVAL_S)
    pytest.fail(f"version {version} is not in force everywhere: {statuses}")


def find_leader(fleet):
    """Wait until a node is the leader and return the node."""
    for _ in range(POLLS_MAX):
        for node in fleet.nodes:
            status = fleet.node_status(node)
            if status and status["role"] == "leader":
                return node
        time.sleep(POLL_INTERVAL_S)
    return pytest.fail("no leader")


@pytest.fixture(name="fleet")
def make_fleet(tmp_path):
    """Run three voters and one node without a disk, all on version 1."""
    names = ("n0", "n1", "n2")
    specs = [local_mesh.NodeSpec(instance=name) for name in (*names, "plain")]
    with fleet_lib.Fleet(specs=specs, voters=names, folder=tmp_path) as fleet:
        assert fleet.submit(fleet.nodes[3], config_text(1)) == "accepted"
        wait_for_version(fleet, 1)
        yield fleet


class TestLog:
    """A single node, started as the README describes."""

    @pytest.mark.parametrize(
        ("setting", "has_output"),
        [("", True), ("[telemetry]\nlog_file =\n", False)],
    )
    def test_events_are_logged_to_standard_output_by_default(
        self, tmp_path, setting, has_output
    ):
        """Guard: the default of `log_file` in settings_sections."""
        spec = local_mesh.NodeSpec(instance="n0")
        with fleet_lib.Fleet(
            specs=[spec],
            voters=["n0"],
            folder=tmp_path,
            extra_settings=setting,
            captures_output=True,
        ) as fleet:
            fleet.processes["n0"].send_signal(signal.SIGTERM)
            output, _ = fleet.processes["n0"].communicate(timeout=30)
        events = [json.loads(line)["event"] for line in output.splitlines()]
        assert ("node_started" in events) == has_output
        assert bool(events) == has_output


class TestFailures:
    def test_submission_is_accepted_after_the_leader_is_killed(self, fleet):
        leader = find_leader(fleet)
        fleet.kill(leader)
        assert fleet.submit(fleet.nodes[3], config_text(2)) == "accepted"
        fleet.start(leader)
        wait_for_version(fleet, 2)

    def test_frozen_leader_does_not_accept_after_it_is_thawed(self, fleet):
        leader = find_leader(fleet)
        fleet.freeze(leader)
        assert fleet.submit(fleet.nodes[3], config_text(2, "b")) == "accepted"
        fleet.thaw(leader)
        response = fleet.http.post(
            f"{leader.operator_url}/v1/config", content=config_text(2, "c")
        )
        assert response.json()["status"] == "conflict"
        wait_for_version(fleet, 2)

    def test_configuration_survives_kill_of_all_nodes(self, fleet):
        for node in fleet.nodes:
            fleet.kill(node)
        for node in fleet.nodes:
            fleet.start(node)
        wait_for_version(fleet, 1)
        assert fleet.submit(fleet.nodes[0], config_text(2)) == "accepted"
        wait_for_version(fleet, 2)

    def test_workspace_keys_survive_kill_of_all_nodes(self, fleet):
        """Guards against valid keys that are refused after a power loss.

        A call with a known key gets as far as the missing upstream.
        Guard: `workspaces` in catalog.Snapshot and Delta.
        """

        def reason(node, key):
            headers = {"host": "shop.example", "authorization": f"Token {key}"}
            answer = fleet.http.get(f"{node.caller_url}/lots/", headers=headers)
            return answer.headers["monsoonpass-reason"]

        for version, keys in ((2, ["old"]), (3, ["new"])):
            document = test_operator_document.make_document(
                version=version, workspaces=[{"name": "a", "keys": keys}]
            )
            answer = fleet.http.put(
                f"{fleet.nodes[0].operator_url}/v1/config", json=document
            )
            assert answer.status_code == 200
        wait_for_version(fleet, 3)
        for node in fleet.nodes:
            fleet.kill(node)
        for node in fleet.nodes:
            fleet.start(node)
        wait_for_version(fleet, 3)
        for node in fleet.nodes:
            assert reason(node, "old") == "unknown-key"
            assert reason(node, "new") == "no-upstream"

    def test_voter_with_lost_disk_rejoins(self, fleet, tmp_path):
        lost_node = fleet.nodes[1]
        fleet.kill(lost_node)
        shutil.rmtree(tmp_path / lost_node.name)
        fleet.start(lost_node)
        assert fleet.submit(fleet.nodes[3], config_text(2)) == "accepted"
        wait_for_version(fleet, 2)

    def test_planned_stop_has_exit_code_0(self, fleet):
        process = fleet.processes["plain"]
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=20) == 0
