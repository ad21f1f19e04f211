"""Tests of the operator endpoint, tool, settings, traces, metrics and logs."""

import json
import os
import sys

import anyio

from monsoonpass.core import log_events
from monsoonpass.runtime import event_log
from monsoonpass.standin import local_mesh
from tests import test_end_to_end
from tests import test_operator_document

NODE_SPECS = (
    local_mesh.NodeSpec(instance="n0"),
    local_mesh.NodeSpec(instance="n1", service="shop"),
)
HEARTBEAT = {
    "service": "shop",
    "address": "127.0.0.1:9000",
    "slots": 4,
    "state": "ready",
    "sequence": 1,
    "born": 1,
}
TOKEN = "a-token-for-the-tests"
TOOL = "from monsoonpass.cli import tool; tool.run()"
DAEMON = "from monsoonpass.cli import daemon; daemon.run()"


async def run_command(*arguments: str, code: str = TOOL):
    """Run a command and return its exit code, stdout and stderr."""
    done = await anyio.run_process(
        [sys.executable, "-c", code, *arguments], check=False
    )
    return done.returncode, done.stdout.decode(), done.stderr.decode()


def run_on_mesh(tmp_path, scenario, extra_settings: str = "") -> None:
    """Run a scenario on a mesh of two nodes."""

    async def run() -> None:
        mesh = local_mesh.LocalMesh(
            specs=NODE_SPECS,
            voters=["n0"],
            folder=tmp_path,
            extra_settings=extra_settings,
        )
        with anyio.fail_after(60):
            async with mesh:
                await mesh.wait_for_members()
                await scenario(mesh)

    anyio.run(run)


class TestTool:
    def test_submit_wait_status_diff_and_explain(self, tmp_path):
        path = tmp_path / "text.yaml"
        path.write_text(test_end_to_end.OPERATOR_TEXT.strip() + "\n")

        async def scenario(mesh):
            node_flag = f"--node=127.0.0.1:{mesh.nodes[1].operator_port}"
            code, out, _ = await run_command("diff", str(path), node_flag)
            assert code == 0
            assert "+ shop" in out
            code, out, _ = await run_command(
                "submit", str(path), node_flag, "--wait"
            )
            assert code == 0, out
            assert "in force on 2 of 2 nodes" in out
            code, out, _ = await run_command("status", node_flag, "--json")
            status = json.loads(out)
            assert status["places"][0]["counts"] == [{"version": 1, "nodes": 2}]
            code, out, _ = await run_command(
                "explain", "GET shop/lots/1", node_flag
            )
            assert "idempotent: True" in out
            code, out, _ = await run_command("watch", node_flag, "--times=1")
            assert "version 1 on 2" in out
            changed = path.read_text() + "  other:\n"
            path.write_text(changed)
            code, out, _ = await run_command("submit", str(path), node_flag)
            assert code == 1
            assert "conflict" in out

        run_on_mesh(tmp_path, scenario)

    def test_help_explains_commands_and_exit_codes(self):
        async def scenario():
            for code, word in ((TOOL, "submit FILE"), (DAEMON, "node.ini")):
                _, out, err = await run_command("--help", code=code)
                assert word in out + err
                assert "Exit codes" in out + err

        anyio.run(scenario)

    def test_exit_codes_without_a_mesh(self, tmp_path):
        good = tmp_path / "good.yaml"
        good.write_text("version: 1\nservices:\n  a:\n")
        bad = tmp_path / "bad.yaml"
        bad.write_text("services:\n  a:\n    depends_on: [b]\n")
        port = local_mesh.free_ports(1)[0]

        async def scenario():
            node_flag = f"--node=127.0.0.1:{port}"
            assert (await run_command("validate", str(good)))[0] == 0
            code, _, err = await run_command("validate", str(bad))
            assert code == 1
            assert "line 1" in err
            assert (await run_command("validate", "nowhere.yaml"))[0] == 2
            assert (await run_command("dance"))[0] == 2
            assert (await run_command("submit", str(good), node_flag))[0] == 3
            assert (await run_command("status", node_flag))[0] == 3

        anyio.run(scenario)


class TestRollouts:
    """Orders and reads of rollouts at nodes with and without a disk."""

    def test_order_repeat_conflict_and_read(self, tmp_path):
        async def scenario(mesh):
            first, second = mesh.nodes
            await mesh.submit(second, test_end_to_end.OPERATOR_TEXT)
            order = {
                "service": "shop",
                "target_version": "2.0",
                "duration_s": 60,
            }
            path = "/v1/rollouts/shop"

            async def post(node, **changes) -> int:
                response = await mesh.http.post(
                    f"{node.operator_url}/v1/rollouts", json=order | changes
                )
                return response.status_code

            response = await mesh.http.get(second.operator_url + path)
            assert response.status_code == 404
            assert await post(second) == 200
            assert await post(first) == 200
            assert await post(second, target_version="3.0") == 409
            assert await post(second, service="nowhere") == 400
            assert await post(second, target_version="") == 400
            assert await post(second, duration_s=-1) == 400
            assert await post(second, duration_s="soon") == 400
            for node in (first, second):
                response = await mesh.http.get(node.operator_url + path)
                assert response.json() == {
                    "state": "running",
                    "target_version": "2.0",
                }
            flag = f"--node=127.0.0.1:{second.operator_port}"
            code, out, _ = await run_command("rollout", "show", "shop", flag)
            assert code == 0
            assert "rollout to 2.0 running" in out
            code, _, _ = await run_command("rollout", "show", "other", flag)
            assert code == 1
            start = ("rollout", "start", "shop")
            code, out, _ = await run_command(*start, "2.0", "60", flag)
            assert code == 0
            assert "repeated" in out
            code, out, _ = await run_command(*start, "3.0", "60", flag)
            assert code == 1
            assert "conflict" in out
            assert (await run_command(*start, flag))[0] == 2
            response = await mesh.http.get(f"{first.operator_url}/metrics")
            assert (
                'monsoonpass_rollout_phase{phase="running",service="shop"} 1.0'
                in response.text
            )

        run_on_mesh(tmp_path, scenario)

    def test_heartbeat_carries_the_version(self, tmp_path):
        async def scenario(mesh):
            node = mesh.nodes[1]
            state = node.daemon.engine.state
            for version, expected in (("1.5", "1.5"), (None, "")):
                heartbeat = HEARTBEAT | {
                    "born": 2 + (version is None),
                    "version": version,
                }
                response = await mesh.http.put(
                    f"{node.operator_url}/v1/upstreams/i-1", json=heartbeat
                )
                assert response.status_code == 200, response.text
                assert state.membership.own_record.version == expected

        run_on_mesh(tmp_path, scenario)


class TestDaemonSettings:
    def test_invalid_settings_are_all_listed_with_exit_code_2(self, tmp_path):
        path = tmp_path / "node.ini"
        path.write_text("[node]\ninstance = n1\n[listen]\ncallers = x\n")

        async def scenario():
            code, _, err = await run_command(f"--settings={path}", code=DAEMON)
            assert code == 2
            assert "[listen] callers" in err
            assert "[node] region" in err
            assert "[mesh]" in err

        anyio.run(scenario)


class TestToken:
    def test_requests_without_the_token_are_refused(self, tmp_path):
        async def scenario(mesh):
            node = mesh.nodes[0]
            response = await mesh.submit(node, test_end_to_end.OPERATOR_TEXT)
            assert response.status_code == 401
            for path in ("/v1/config", "/v1/status", "/v1/node"):
                response = await mesh.http.get(node.operator_url + path)
                assert response.status_code == 401, path
            response = await mesh.http.post(
                f"{node.operator_url}/v1/config",
                content=test_end_to_end.OPERATOR_TEXT,
                headers={"authorization": f"Bearer {TOKEN}"},
            )
            assert response.status_code == 200
            response = await mesh.http.get(f"{node.operator_url}/healthz")
            assert response.status_code == 200

        run_on_mesh(tmp_path, scenario, f"[operators]\ntoken = {TOKEN}\n")


class TestBadInput:
    def test_invalid_requests_are_answered_with_a_status(self, tmp_path):
        async def scenario(mesh):
            url = mesh.nodes[0].operator_url
            for body in (b"", b"[]", b'{"service": "x"}', b"\xff"):
                response = await mesh.http.post(
                    f"{url}/v1/upstream", content=body
                )
                assert response.status_code == 422
                assert response.json()["status"] == "invalid"
            for body in (b"\xff", b"version: x", b"- a"):
                response = await mesh.http.post(
                    f"{url}/v1/config", content=body
                )
                assert response.status_code == 422
            long = b"#" * 5_000_000
            response = await mesh.http.post(f"{url}/v1/config", content=long)
            assert response.status_code == 413
            response = await mesh.http.get(f"{url}/nowhere")
            assert response.status_code == 404
            await mesh.submit(mesh.nodes[0], test_end_to_end.OPERATOR_TEXT)
            await mesh.wait_for_version(1)
            response = await mesh.http.get(
                f"{mesh.nodes[0].caller_url}/lots",
                headers={"host": "shop", "monsoonpass-timeout-ms": "soon"},
            )
            assert response.status_code == 200
            response = await mesh.http.post(
                f"{mesh.nodes[0].caller_url}/payments",
                headers={"host": "shop", "idempotency-key": "k" * 300},
            )
            assert response.status_code == 413
            assert response.headers["monsoonpass-outcome"] == "not-run"

        run_on_mesh(tmp_path, scenario)


class TestOwnLimits:
    """The operator endpoint has limits of its own."""

    def test_tight_limits_in_force_do_not_shut_out_the_next_version(
        self, tmp_path
    ):
        """Guards against a configuration that no other can replace."""
        tight = {
            "header_max_bytes": 1,
            "body_max_bytes": 1,
            "header_timeout_s": 0.001,
            "idle_timeout_s": 0.001,
        }

        async def scenario(mesh):
            url = f"{mesh.nodes[0].operator_url}/v1"
            document = test_operator_document.make_document(
                version=1, limits=tight
            )
            for _ in range(2):
                answer = await mesh.http.put(
                    f"{url}/config", json=document, headers={"if-match": "0"}
                )
                assert answer.status_code == 200
            await mesh.wait_for_version(1)
            answer = await mesh.http.put(f"{url}/upstreams/i-1", json=HEARTBEAT)
            assert answer.status_code == 200
            document = test_operator_document.make_document(version=2)
            answer = await mesh.http.put(
                f"{url}/config", json=document, headers={"if-match": "1"}
            )
            assert answer.status_code == 200

        run_on_mesh(tmp_path, scenario)


class TestSubmittedNumbers:
    def test_odd_version_in_if_match_is_refused(self, tmp_path):
        """Guards against an If-Match that ends the node that takes it."""

        async def scenario(mesh):
            url = f"{mesh.nodes[1].operator_url}/v1/config"
            document = test_operator_document.make_document(version=1)
            for value in (str(2**53), str(2**64), "1" + "0" * 5000, "-1"):
                answer = await mesh.http.put(
                    url, json=document, headers={"if-match": value}
                )
                assert answer.status_code == 400, value[:30]
                assert "If-Match" in answer.json()["message"]
            answer = await mesh.http.put(
                url, json=document, headers={"if-match": "0"}
            )
            assert answer.status_code == 200

        run_on_mesh(tmp_path, scenario)

    def test_odd_timeout_of_a_caller_is_ignored(self, tmp_path):
        """Guards against a closed connection in place of an answer."""

        async def scenario(mesh):
            await mesh.submit(mesh.nodes[0], test_end_to_end.OPERATOR_TEXT)
            await mesh.wait_for_version(1)
            response = await mesh.http.get(
                f"{mesh.nodes[0].caller_url}/lots",
                headers={
                    "host": "shop",
                    "monsoonpass-timeout-ms": "1" * 5000,
                },
            )
            assert response.status_code == 200

        run_on_mesh(tmp_path, scenario)


class TestAnnouncements:
    def test_outdated_announcement_is_answered_with_409(self, tmp_path):
        """A repeat, or an unnamed upstream beside a named one, is outdated.

        Guard: `result.accepted` in operator_api._feed_announcement.
        """
        unnamed = {"service": "shop", "slots": 4, "port": 9000}

        async def scenario(mesh):
            url = f"{mesh.nodes[0].operator_url}/v1"
            named_url = f"{url}/upstreams/i-1"
            response = await mesh.http.put(named_url, json=HEARTBEAT)
            assert response.status_code == 200
            for answer in (
                await mesh.http.put(named_url, json=HEARTBEAT),
                await mesh.http.post(f"{url}/upstream", json=unnamed),
            ):
                assert answer.status_code == 409
                assert answer.json()["status"] == "outdated"

        run_on_mesh(tmp_path, scenario)

    def test_odd_entries_are_refused_and_the_node_serves_on(self, tmp_path):
        """Guards against a number that ends the node when it is sent on."""
        nested = "[" * 5000 + "]" * 5000
        odd_values = {
            "sequence": [str(2**64), "1" + "0" * 400, "-1", "null"],
            "born": [str(2**64), "0", nested],
            "cold_s": ["1e400", "-1"],
            "slots": ["0", str(2**64), nested],
            "address": [
                '"127.0.0.1:0"',
                '"127.0.0.1:70000"',
                '"127.0.0.1:-1"',
                nested,
            ],
            "service": ['""', json.dumps("s" * 5000), "[]"],
            "state": ['"gone"', "1"],
        }

        async def scenario(mesh):
            url = f"{mesh.nodes[0].operator_url}/v1/upstreams/i-1"
            for name, values in odd_values.items():
                for value in values:
                    text = json.dumps({**HEARTBEAT, name: "@"})
                    body = text.replace('"@"', value)
                    answer = await mesh.http.put(url, content=body)
                    assert answer.status_code == 422, (name, value[:30])
                    message = answer.json()["message"]
                    assert name in message or "JSON" in message
            for value in (str(2**64), "1" + "0" * 400, nested):
                body = '{"born": ' + value + "}"
                answer = await mesh.http.request("DELETE", url, content=body)
                assert answer.status_code == 422, value[:30]
            long_url = f"{url}{'x' * 2000}"
            answer = await mesh.http.put(long_url, json=HEARTBEAT)
            assert answer.status_code == 422
            answer = await mesh.http.put(url, json=HEARTBEAT)
            assert answer.status_code == 200

        run_on_mesh(tmp_path, scenario)

    def test_path_without_an_upstream_name_is_not_found(self, tmp_path):
        async def scenario(mesh):
            url = f"{mesh.nodes[0].operator_url}/v1/upstreams/"
            assert (await mesh.http.delete(url)).status_code == 404

        run_on_mesh(tmp_path, scenario)


class TestTelemetry:
    def test_every_hop_has_a_span_in_the_callers_trace(self, tmp_path):
        trace_file = tmp_path / "trace.jsonl"
        trace = "0af7651916cd43dd8448eb211c80319c"

        async def scenario(mesh):
            await mesh.submit(mesh.nodes[0], test_end_to_end.OPERATOR_TEXT)
            await mesh.wait_for_version(1)
            response = await mesh.http.get(
                f"{mesh.nodes[0].caller_url}/lots",
                headers={
                    "host": "shop",
                    "traceparent": f"00-{trace}-b7ad6b7169203331-01",
                },
            )
            assert response.status_code == 200

        run_on_mesh(
            tmp_path, scenario, f"[telemetry]\ntrace_file = {trace_file}\n"
        )
        spans = [json.loads(line) for line in trace_file.open()]
        assert {span["name"] for span in spans} == {"call", "upstream"}
        for span in spans:
            assert span["context"]["trace_id"] == f"0x{trace}"

    def test_metrics_are_rendered(self, tmp_path):
        names = (
            "monsoonpass_calls_total",
            "monsoonpass_call_duration_seconds_bucket",
            "monsoonpass_configuration_version 1.0",
            "monsoonpass_members 2.0",
            "monsoonpass_peer_bytes_total",
        )

        async def scenario(mesh):
            await mesh.submit(mesh.nodes[0], test_end_to_end.OPERATOR_TEXT)
            await mesh.wait_for_version(1)
            await mesh.http.get(
                f"{mesh.nodes[0].caller_url}/lots", headers={"host": "shop"}
            )
            response = await mesh.http.get(
                f"{mesh.nodes[0].operator_url}/metrics"
            )
            for name in names:
                assert name in response.text, name

        run_on_mesh(tmp_path, scenario)


class TestLog:
    def test_lines_beyond_the_rate_limit_are_dropped_and_counted(
        self, monkeypatch
    ):
        """Guard: `_take_token` in Logger.write."""
        clock_s = 0.0
        lines = []
        monkeypatch.setattr(event_log.time, "monotonic", lambda: clock_s)
        monkeypatch.setattr(
            event_log.eliot, "log_message", lambda **line: lines.append(line)
        )
        logger = event_log.Logger(instance="n")
        for _ in range(10_000):
            logger.write(log_events.Code.CALL_FAILED)
        assert len(lines) == event_log.LINES_BURST_MAX
        clock_s = 1.0
        logger.write(log_events.Code.CALL_FAILED)
        assert lines[-2]["event"] == "lines_dropped"
        assert lines[-2]["count"] == 10_000 - event_log.LINES_BURST_MAX

    def test_full_pipe_drops_lines_without_blocking(self, monkeypatch):
        """Lines are dropped whole, so the output stays valid JSON.

        Guard: `os.set_blocking` in StandardOutputDestination.
        """
        reader, writer = os.pipe()
        with open(writer, "wb", buffering=0) as file:
            monkeypatch.setattr(event_log.sys, "stdout", file)
            destination = event_log.StandardOutputDestination()
            for number in range(20_000):
                destination({"number": number})
        data = b""
        while chunk := os.read(reader, 65536):
            data += chunk
        os.close(reader)
        numbers = [json.loads(x)["number"] for x in data.splitlines()[:-1]]
        assert numbers == list(range(len(numbers)))
