"""Tests of what operators use: endpoint, tool, settings, traces, metrics."""

import json
import os
import sys

import anyio

from monsoonpass.core import log_events
from monsoonpass.runtime import logs
from monsoonpass.standin import local_mesh
from tests import test_end_to_end

PLACES = (
    local_mesh.Place(instance="n0"),
    local_mesh.Place(instance="n1", service="shop"),
)
TOKEN = "a-token-for-the-tests"
TOOL = "from monsoonpass.cli import tool; tool.run()"
DAEMON = "from monsoonpass.cli import daemon; daemon.run()"


async def run_tool(*arguments: str, code: str = TOOL):
    """Run the tool and return its exit code, output and errors."""
    done = await anyio.run_process(
        [sys.executable, "-c", code, *arguments], check=False
    )
    return done.returncode, done.stdout.decode(), done.stderr.decode()


def run_scene(tmp_path, play, extra: str = "") -> None:
    """Run a mesh and play a scene on it."""

    async def run() -> None:
        mesh = local_mesh.LocalMesh(
            places=PLACES,
            voters=["n0"],
            folder=tmp_path,
            extra_settings=extra,
        )
        with anyio.fail_after(60):
            async with mesh:
                await mesh.wait_for_members()
                await play(mesh)

    anyio.run(run)


class TestTool:
    def test_submit_wait_status_diff_and_explain(self, tmp_path):
        path = tmp_path / "text.yaml"
        path.write_text(test_end_to_end.TEXT.strip() + "\n")

        async def play(mesh):
            at = f"--node=127.0.0.1:{mesh.nodes[1].operators}"
            code, out, _ = await run_tool("diff", str(path), at)
            assert code == 0
            assert "+ shop" in out
            code, out, _ = await run_tool("submit", str(path), at, "--wait")
            assert code == 0, out
            assert "in force on 2 of 2 nodes" in out
            code, out, _ = await run_tool("status", at, "--json")
            status = json.loads(out)
            assert status["places"][0]["counts"] == [{"version": 1, "nodes": 2}]
            code, out, _ = await run_tool("explain", "GET shop/lots/1", at)
            assert "idempotent: True" in out
            code, out, _ = await run_tool("watch", at, "--times=1")
            assert "version 1 on 2" in out
            changed = path.read_text() + "  other:\n"
            path.write_text(changed)
            code, out, _ = await run_tool("submit", str(path), at)
            assert code == 1
            assert "conflict" in out

        run_scene(tmp_path, play)

    def test_help_explains_commands_and_exit_codes(self):
        async def play():
            for code, word in ((TOOL, "submit FILE"), (DAEMON, "node.ini")):
                _, out, err = await run_tool("--help", code=code)
                assert word in out + err
                assert "Exit codes" in out + err

        anyio.run(play)

    def test_exit_codes_without_a_mesh(self, tmp_path):
        good = tmp_path / "good.yaml"
        good.write_text("version: 1\nservices:\n  a:\n")
        bad = tmp_path / "bad.yaml"
        bad.write_text("services:\n  a:\n    depends_on: [b]\n")
        port = local_mesh.free_ports(1)[0]

        async def play():
            at = f"--node=127.0.0.1:{port}"
            assert (await run_tool("validate", str(good)))[0] == 0
            code, _, err = await run_tool("validate", str(bad))
            assert code == 1
            assert "line 1" in err
            assert (await run_tool("validate", "nowhere.yaml"))[0] == 2
            assert (await run_tool("dance"))[0] == 2
            assert (await run_tool("submit", str(good), at))[0] == 3
            assert (await run_tool("status", at))[0] == 3

        anyio.run(play)


class TestDaemonSettings:
    def test_each_fault_is_a_line_and_the_code_is_2(self, tmp_path):
        path = tmp_path / "node.ini"
        path.write_text("[node]\ninstance = n1\n[listen]\ncallers = x\n")

        async def play():
            code, _, err = await run_tool(f"--settings={path}", code=DAEMON)
            assert code == 2
            assert "[listen] callers" in err
            assert "[node] region" in err
            assert "[mesh]" in err

        anyio.run(play)


class TestToken:
    def test_only_the_token_opens_the_endpoint(self, tmp_path):
        async def play(mesh):
            node = mesh.nodes[0]
            response = await mesh.submit(node, test_end_to_end.TEXT)
            assert response.status_code == 401
            for path in ("/v1/config", "/v1/status", "/v1/node"):
                response = await mesh.http.get(node.operator_url + path)
                assert response.status_code == 401, path
            response = await mesh.http.post(
                f"{node.operator_url}/v1/config",
                content=test_end_to_end.TEXT,
                headers={"authorization": f"Bearer {TOKEN}"},
            )
            assert response.status_code == 200
            response = await mesh.http.get(f"{node.operator_url}/healthz")
            assert response.status_code == 200

        run_scene(tmp_path, play, f"[operators]\ntoken = {TOKEN}\n")


class TestBadInput:
    def test_bad_announcements_and_texts_have_a_typed_answer(self, tmp_path):
        async def play(mesh):
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
            await mesh.submit(mesh.nodes[0], test_end_to_end.TEXT)
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

        run_scene(tmp_path, play)


class TestAnnouncements:
    def test_announcement_that_is_not_taken_is_told_so(self, tmp_path):
        """Guard: `result.accepted` in operator_api._take."""
        beat = {
            "service": "shop",
            "address": "127.0.0.1:9000",
            "slots": 4,
            "state": "ready",
            "sequence": 1,
            "born": 1,
        }
        plain = {"service": "shop", "slots": 4, "port": 9000}

        async def play(mesh):
            url = f"{mesh.nodes[0].operator_url}/v1"
            named = f"{url}/upstreams/i-1"
            response = await mesh.http.put(named, json=beat)
            assert response.status_code == 200
            for answer in (
                await mesh.http.put(named, json=beat),
                await mesh.http.post(f"{url}/upstream", json=plain),
            ):
                assert answer.status_code == 409
                assert answer.json()["status"] == "outdated"

        run_scene(tmp_path, play)

    def test_path_without_a_name_is_no_upstream(self, tmp_path):
        async def play(mesh):
            url = f"{mesh.nodes[0].operator_url}/v1/upstreams/"
            assert (await mesh.http.delete(url)).status_code == 404

        run_scene(tmp_path, play)


class TestTelemetry:
    def test_every_hop_has_a_span_of_the_callers_trace(self, tmp_path):
        trace_file = tmp_path / "trace.jsonl"
        trace = "0af7651916cd43dd8448eb211c80319c"

        async def play(mesh):
            await mesh.submit(mesh.nodes[0], test_end_to_end.TEXT)
            await mesh.wait_for_version(1)
            response = await mesh.http.get(
                f"{mesh.nodes[0].caller_url}/lots",
                headers={
                    "host": "shop",
                    "traceparent": f"00-{trace}-b7ad6b7169203331-01",
                },
            )
            assert response.status_code == 200

        run_scene(tmp_path, play, f"[telemetry]\ntrace_file = {trace_file}\n")
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

        async def play(mesh):
            await mesh.submit(mesh.nodes[0], test_end_to_end.TEXT)
            await mesh.wait_for_version(1)
            await mesh.http.get(
                f"{mesh.nodes[0].caller_url}/lots", headers={"host": "shop"}
            )
            response = await mesh.http.get(
                f"{mesh.nodes[0].operator_url}/metrics"
            )
            for name in names:
                assert name in response.text, name

        run_scene(tmp_path, play)


class TestLog:
    def test_storm_of_lines_is_bounded_and_told(self, monkeypatch):
        """Guard: `_take_token` in Logger.write."""
        now_s = 0.0
        lines = []
        monkeypatch.setattr(logs.time, "monotonic", lambda: now_s)
        monkeypatch.setattr(
            logs.eliot, "log_message", lambda **line: lines.append(line)
        )
        logger = logs.Logger(instance="n")
        for _ in range(10_000):
            logger.write(log_events.Code.CALL_FAILED)
        assert len(lines) == logs.LINES_AT_ONCE
        now_s = 1.0
        logger.write(log_events.Code.CALL_FAILED)
        assert lines[-2]["event"] == "lines_dropped"
        assert lines[-2]["count"] == 10_000 - logs.LINES_AT_ONCE

    def test_full_pipe_loses_lines_and_blocks_nothing(self, monkeypatch):
        """Guard: `os.set_blocking` in StandardOutput."""
        reader, writer = os.pipe()
        with open(writer, "wb", buffering=0) as file:
            monkeypatch.setattr(logs.sys, "stdout", file)
            destination = logs.StandardOutput()
            for number in range(20_000):
                destination({"number": number})
        data = b""
        while chunk := os.read(reader, 65536):
            data += chunk
        os.close(reader)
        numbers = [json.loads(x)["number"] for x in data.splitlines()[:-1]]
        assert numbers == list(range(len(numbers)))
