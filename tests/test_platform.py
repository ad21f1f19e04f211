"""Tests of the platform adapter: settings template, entry point, headers."""

import json
import os
import pathlib
import re
import subprocess
import sys
import tomllib

from monsoonpass.core import events
from monsoonpass.core.calls import outcome
from monsoonpass.formats import header_names
from monsoonpass.formats import operator_models
from monsoonpass.formats import settings as settings_lib
from monsoonpass.runtime import caller_http
from tests import test_operator_document
from tests import test_own_upstream

ROOT = pathlib.Path(__file__).parent.parent
DEPLOY = ROOT / "deploy"
NAMES = header_names.HeaderNames(
    timeout_ms=b"left", upstream_id=b"for", caller_service=b"from"
)
# Names of the platform that are ordinary words of the source too.
ORDINARY_WORDS = ("timeout", "duration")
FIELDS = {
    "ip": "10.1.0.20",
    "zone": "east-1",
    "region": "east",
    "listen": {
        "control": "10.1.0.20:8283",
        "outbound": "10.1.0.20:8287",
        "ready": "10.1.0.20:8285",
    },
    "internalPorts": [7000, 7015],
    "seeds": ["10.1.0.23:8283", "10.2.0.31:8283", "10.3.0.12:8283"],
    "bootstrap": True,
    "tolerate": {"machines": 1},
    "bounds": {
        "grace": 6,
        "retryBudgetRatio": 0.2,
        "retryBudgetSlack": 60,
        "budgetWindow": 10,
    },
    "limits": {"linkMbps": 3.5, "memoryMb": 200},
    "service": "shop",
}


def render(fields: dict) -> str:
    """Render the settings template with the placeholders that it uses."""

    def lookup(name: str):
        found = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)]
            else:
                found = found.get(part) if found else None
        return found

    def section(match: re.Match) -> str:
        found = lookup(match[1])
        items = found if isinstance(found, list) else [found] if found else []
        return "".join(match[2].replace("{{.}}", str(i)) for i in items)

    def scalar(match: re.Match) -> str:
        found = lookup(match[1])
        if found is None:
            return ""
        return json.dumps(found) if isinstance(found, bool) else str(found)

    text = (DEPLOY / "node.ini").read_text()
    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.DOTALL
    )
    return re.sub(r"\{\{([\w.]+)\}\}", scalar, text)


class TestTemplate:
    def test_template_renders_settings_of_a_node_with_upstream(self):
        settings = settings_lib.parse(render(FIELDS))
        core = settings.reducer_settings()
        assert core.address.instance == "10.1.0.20"
        assert core.address.port == 7000
        assert not core.has_disk
        assert core.flat
        assert core.drain_limit_s < 6
        assert [seed.address.instance for seed in core.seeds] == [
            "10.1.0.23",
            "10.2.0.31",
            "10.3.0.12",
        ]
        assert {seed.address.port for seed in core.seeds} == {7000}
        assert len(settings.listen.operators) == 3
        assert settings.limits.link_mbit_s == 3.5
        names = settings.header_names
        assert names.workspace == b"x-tenant"
        assert names.workspace_key == b"authorization"
        assert names.workspace_key_scheme == b"Token"
        assert settings.limits.memory_mb == 200.0

    def test_missing_link_bandwidth_is_0_for_unknown(self):
        settings = settings_lib.parse(render({**FIELDS, "limits": None}))
        assert settings.limits.link_mbit_s == 0.0

    def test_bounds_of_rollouts_are_settings_if_they_are_given(self):
        core = settings_lib.parse(render(FIELDS)).reducer_settings()
        assert (core.exposed_share, core.exposed_slack) == (0.1, 50.0)
        bounds = {
            **FIELDS["bounds"],
            "exposeShare": 0.2,
            "exposeSlack": 70,
            "rollback": 4,
        }
        text = render({**FIELDS, "bounds": bounds})
        core = settings_lib.parse(text).reducer_settings()
        assert (core.exposed_share, core.exposed_slack) == (0.2, 70.0)
        assert core.rollback_s == 4.0

    def test_template_enables_even_load_and_the_default_does_not(self):
        """Guard: [routing] in deploy/node.ini, and `reducer_settings`."""
        text = render(FIELDS)
        assert settings_lib.parse(text).reducer_settings().even_load
        text = text.replace("even_load = yes\n", "")
        assert not settings_lib.parse(text).reducer_settings().even_load

    def test_template_renders_settings_of_a_voter(self):
        fields = {
            **FIELDS,
            "ip": "10.1.0.23",
            "dataDir": "/data/x",
            "service": None,
            "listen": {"control": "10.1.0.23:8283"},
        }
        settings = settings_lib.parse(render(fields))
        core = settings.reducer_settings()
        assert core.has_disk
        assert core.bootstrap_voters == (
            "10.1.0.23",
            "10.2.0.31",
            "10.3.0.12",
        )
        assert (core.voters, core.copies_min) == (3, 2)
        assert settings.listen.callers == ()

    def test_two_losses_need_five_voters_and_three_copies(self):
        fields = {**FIELDS, "tolerate": {"machines": 2}}
        core = settings_lib.parse(render(fields)).reducer_settings()
        assert (core.voters, core.copies_min) == (5, 3)
        assert len(core.bootstrap_voters) == 3

    def test_later_starts_have_no_bootstrap_voters(self):
        fields = {**FIELDS, "bootstrap": False}
        assert settings_lib.parse(render(fields)).bootstrap_voters == ()


class TestDeploy:
    def test_requirements_are_dependencies_of_the_project(self):
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())
        known = set(project["project"]["dependencies"])
        needed = (DEPLOY / "requirements.txt").read_text().split()
        assert set(needed) <= known

    def test_entry_point_reads_the_settings_file_of_the_environment(
        self, tmp_path
    ):
        path = tmp_path / "node.ini"
        path.write_text("[node]\n")
        process = subprocess.run(
            [sys.executable, "src/monsoonpass/platform/__main__.py"],
            cwd=ROOT,
            env={**os.environ, "MONSOONPASS_BOOT": str(path)},
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert process.returncode == 2
        assert "[node] instance" in process.stderr

    def test_calls_of_rollouts_are_mapped_to_the_operator_endpoint(self):
        wire = tomllib.loads((DEPLOY / "wire.toml").read_text())
        calls = wire["calls"]
        prefix = "POST /api/rpc?call=rollouts"
        assert calls[f"{prefix}.start"] == "POST /v1/rollouts"
        assert calls[f"{prefix}.describe&of={{}}"] == "GET /v1/rollouts/{}"
        for name in ("target_version", "duration_s"):
            assert name in wire["fields"].values()
            assert name in operator_models.RolloutOrder.model_fields

    def test_platform_names_appear_only_in_deploy_and_adapter(self):
        wire = tomllib.loads((DEPLOY / "wire.toml").read_text())
        platform_names = re.compile(
            "|".join(
                re.escape(name)
                for name in wire["fields"]
                if name not in ORDINARY_WORDS
            )
        )
        for path in (ROOT / "src").rglob("*.py"):
            if "platform" not in path.parts:
                assert not platform_names.search(path.read_text()), path

    def test_platform_names_map_to_fields_of_a_workspace(self):
        """Guards against keys that are stored as an unknown field."""
        fields = tomllib.loads((DEPLOY / "wire.toml").read_text())["fields"]
        platform_document = {
            "tenants": [{"name": "a", "apiKeys": ["k"], "ratePerS": 5}]
        }
        text = json.dumps(platform_document)
        for platform_name, name in fields.items():
            text = text.replace(f'"{platform_name}"', f'"{name}"')
        document = test_operator_document.make_document(**json.loads(text))
        workspace = test_operator_document.compile_json(document).workspaces[
            "a"
        ]
        assert workspace.keys == ("k",)
        assert workspace.rate_per_s == 5
        assert not workspace.extra_json


class TestHeaders:
    def test_headers_of_the_node_replace_those_of_the_caller(self):
        """A caller cannot forge the headers that only the node may set.

        Guard: the `reserved` set in caller_http.request_headers.
        """
        forwarded = caller_http.request_headers(
            [
                (b"host", b"h"),
                (b"from", b"forged"),
                (b"left", b"99999"),
                (b"for", b"i-1"),
                (b"connection", b"x-hop, close"),
                (b"x-hop", b"1"),
                (b"x-kept", b"1"),
            ],
            NAMES,
            "shop",
        )
        assert forwarded == (
            (b"host", b"h"),
            (b"x-kept", b"1"),
            (b"from", b"shop"),
        )

    def test_retry_after_may_have_decimals(self):
        failure = outcome.Failure(
            outcome=outcome.Outcome.NOT_RUN,
            reason=outcome.Reason.OVERLOADED,
            retry_after_s=0.123,
        )
        fractional = header_names.HeaderNames(retry_after_decimals=2)
        for names, expected in ((fractional, b"0.13"), (NAMES, b"1")):
            status, headers, _ = caller_http.failure_response(failure, names)
            assert status == 503
            assert dict(headers)[b"retry-after"] == expected


class TestNoConfiguration:
    def test_node_without_configuration_refuses_with_no_configuration(self):
        """Without a configuration, the routes are unknown rather than absent.

        Guard: `state.config.can_route` in
        call_events._refusal_at_arrival.
        """
        scene = test_own_upstream.Scene()
        scene.state.config.ready = True
        scene.node.feed(
            events.CallArrived,
            call_id=7,
            host="shop",
            method="GET",
            path="/",
            timeout_s=None,
            key=None,
        )
        refusal = scene.node.performed_effects[-1]
        assert refusal.failure.reason is outcome.Reason.NO_CONFIGURATION
        status, _, _ = caller_http.failure_response(refusal.failure, NAMES)
        assert status == 503
