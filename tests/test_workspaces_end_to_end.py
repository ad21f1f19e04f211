"""Tests of workspaces through real nodes on loopback."""

import anyio
import eliot
import pytest

from monsoonpass.standin import local_mesh
from tests import test_end_to_end
from tests import test_operator_document

TIMEOUT_S = 30.0
KEYS_IN_FORCE_S = 2.5  # From the acknowledgement, on every connected node.
SETTINGS = """
[headers]
workspace = X-Tenant
call_id = X-Request-Id
caller_service = X-Caller-Service
"""


def make_document(version: int, workspaces) -> dict:
    """Return a document with routes to the service `shop`."""
    route = {
        "name": "lots",
        "host": "mall",
        "path": "/lots/",
        "kind": "idempotent",
        "deadline_s": 5,
        "objective_s": 5,
        "priority": 2,
        "attempts_max": 2,
        "service": "shop",
    }
    routes = [route, {**route, "name": "open", "path": "/open/"}]
    routes[1]["public"] = True
    document = test_operator_document.make_document(
        version=version,
        routes=routes,
        services=[{"name": "shop", "health_path": "/health"}],
    )
    if workspaces is not None:
        document["workspaces"] = workspaces
    return document


async def replace(mesh, version: int, workspaces) -> None:
    """Replace the configuration and wait until it is in force everywhere."""
    answer = await mesh.http.put(
        f"{mesh.nodes[0].operator_url}/v1/config",
        json=make_document(version, workspaces),
    )
    assert answer.status_code == 200, answer.text
    with anyio.fail_after(KEYS_IN_FORCE_S):
        await mesh.wait_for_version(version)


def run_mesh(tmp_path, specs, scenario, *, extra_settings: str = "") -> None:
    """Run a scenario on a mesh whose first node is the voter."""

    async def run() -> None:
        mesh = local_mesh.LocalMesh(
            specs=specs,
            voters=[specs[0].instance],
            folder=tmp_path,
            extra_settings=SETTINGS + extra_settings,
            http2=False,
        )
        with anyio.fail_after(TIMEOUT_S):
            async with mesh:
                await mesh.wait_for_members()
                await scenario(mesh)

    anyio.run(run)


async def call(mesh, path="/lots/1", key=None, headers=(), node=0):
    """Call host `mall` through a node, with the key of a workspace or none."""
    all_headers = [("host", "mall"), *headers]
    if key is not None:
        all_headers.append(("authorization", f"Token {key}"))
    return await mesh.http.get(
        mesh.nodes[node].caller_url + path, headers=all_headers
    )


def is_refused(response) -> bool:
    """Return whether a call was refused for its key."""
    if response.status_code == 200:
        return False
    assert response.status_code == 401, response.text
    assert response.headers["monsoonpass-outcome"] == "not-run"
    assert response.headers["monsoonpass-reason"] == "unknown-key"
    assert response.headers["www-authenticate"] == "Token"
    return True


WORKSPACES = [
    {"name": "alpha", "keys": ["alpha-key"], "priority": 0, "rate_per_s": 50},
    {"name": "beta", "keys": []},
]


@pytest.mark.parametrize(
    "specs",
    [test_end_to_end.ONE_NODE, test_end_to_end.TWO_NODES],
    ids=["direct", "one-hop"],
)
class TestUpstream:
    def test_upstream_receives_the_workspace_and_no_key(self, tmp_path, specs):
        """Guards against forged workspaces and keys that leak to upstreams.

        Guard: `reserved` in caller_http.request_headers, and `workspace=` in
        CallerApp._open_exchange.
        """
        forged = [("x-tenant", "forged"), ("X-Tenant", "beta")]

        async def scenario(mesh):
            upstream = mesh.nodes[-1].upstream
            await replace(mesh, 1, WORKSPACES)
            for path in ("/lots/1", "/open/1"):
                response = await call(mesh, path, "alpha-key", forged)
                assert response.status_code == 200
                names = [name for name, _ in upstream.last_headers]
                assert b"authorization" not in names
                assert names.count(b"x-tenant") == 1
                headers = dict(upstream.last_headers)
                assert headers[b"x-tenant"] == b"alpha"
                assert all(b"key" not in value for value in headers.values())
            response = await call(mesh, "/open/1", headers=forged)
            assert response.status_code == 200
            assert b"x-tenant" not in dict(upstream.last_headers)
            upstream.last_headers = []
            for path, key in (
                ("/lots/1", None),
                ("/lots/1", "wrong"),
                ("/open/1", "wrong"),
            ):
                assert is_refused(await call(mesh, path, key, forged))
            response = await call(mesh, "/none", "wrong")
            assert response.status_code == 404
            assert not upstream.last_headers

        run_mesh(tmp_path, specs, scenario)

    def test_authorization_passes_without_workspaces(self, tmp_path, specs):
        """Guards against callers whose credentials their upstream misses.

        Guard: `has_workspaces=` in CallerApp._open_exchange.
        """

        async def scenario(mesh):
            upstream = mesh.nodes[-1].upstream
            for version, workspaces in ((1, None), (2, [])):
                await replace(mesh, version, workspaces)
                response = await call(mesh, key="any")
                assert response.status_code == 200
                headers = dict(upstream.last_headers)
                assert headers[b"authorization"] == b"Token any"

        run_mesh(tmp_path, specs, scenario)

    def test_owner_receives_the_rank(self, tmp_path, specs):
        """Guards against a rank that is lost between two nodes.

        Guard: `route_priority=` in remote_attempts and peer_calls.
        """

        async def scenario(mesh):
            await replace(mesh, 1, WORKSPACES)
            admission = mesh.nodes[-1].daemon.engine.state.admission
            async with anyio.create_task_group() as group:
                group.start_soon(call, mesh, "/lots/1?ms=300", "alpha-key")
                while not admission.in_progress:
                    await anyio.sleep(0.01)
                [owner_call] = admission.in_progress.values()
                assert owner_call.rank == (0, 2)

        run_mesh(tmp_path, specs, scenario)


class TestChanges:
    def test_key_is_added_and_revoked_on_every_node(self, tmp_path):
        """Guards against a node that keeps the keys of an old version."""

        async def scenario(mesh):
            await replace(mesh, 1, WORKSPACES)
            assert is_refused(await call(mesh, key="beta-key"))
            added = [WORKSPACES[0], {"name": "beta", "keys": ["beta-key"]}]
            await replace(mesh, 2, added)
            for node in range(2):
                for key in ("alpha-key", "beta-key"):
                    response = await call(mesh, key=key, node=node)
                    assert not is_refused(response)
            await replace(mesh, 3, added[1:])
            for node in range(2):
                assert is_refused(await call(mesh, key="alpha-key", node=node))
                response = await call(mesh, key="beta-key", node=node)
                assert not is_refused(response)
            document = await mesh.http.get(
                f"{mesh.nodes[1].operator_url}/v1/config/newest"
            )
            assert document.json()["workspaces"][0]["keys"] == ["beta-key"]

        run_mesh(tmp_path, test_end_to_end.TWO_NODES, scenario)

    def test_node_without_a_version_answers_503(self, tmp_path):
        """Guards against a caller that drops a key which is valid.

        Guard: the order of the checks at `CallArrived`.
        """

        async def scenario(mesh):
            for key in (None, "alpha-key"):
                response = await call(mesh, key=key)
                assert response.status_code == 503
                reason = response.headers["monsoonpass-reason"]
                assert reason == "no-configuration"

        run_mesh(tmp_path, test_end_to_end.ONE_NODE, scenario)

    def test_invalid_document_is_answered_with_400(self, tmp_path):
        async def scenario(mesh):
            for workspaces in (
                [WORKSPACES[0], WORKSPACES[0]],
                [WORKSPACES[0], {"name": "beta", "keys": ["alpha-key"]}],
                [{"name": "", "keys": []}],
                [{"name": "alpha", "keys": [""]}],
            ):
                answer = await mesh.http.put(
                    f"{mesh.nodes[0].operator_url}/v1/config",
                    json=make_document(1, workspaces),
                )
                assert answer.status_code == 400
                assert "alpha-key" not in answer.text

        run_mesh(tmp_path, test_end_to_end.ONE_NODE, scenario)


@pytest.fixture(name="lines")
def make_lines():
    """Return the list of all lines that nodes log during the test."""
    lines = []
    eliot.add_destinations(lines.append)
    yield lines
    eliot.remove_destination(lines.append)


class TestOutput:
    def test_keys_are_in_no_log_trace_or_metric(self, tmp_path, lines):
        """Guards against keys that anyone with access to the logs can use."""
        extra_settings = f"""
[telemetry]
trace_file = {tmp_path / "trace"}
trace_ratio = 1
"""

        async def scenario(mesh):
            await replace(mesh, 1, WORKSPACES)
            assert not is_refused(await call(mesh, key="alpha-key"))
            assert is_refused(await call(mesh, key="wrong-key"))
            assert is_refused(await call(mesh))
            document = make_document(2, [WORKSPACES[0], WORKSPACES[0]])
            await mesh.http.put(
                f"{mesh.nodes[0].operator_url}/v1/config", json=document
            )
            await call(mesh, "/lots/1?fault=reset", key="alpha-key")
            answer = await mesh.http.get(
                f"{mesh.nodes[0].operator_url}/metrics"
            )
            name = 'monsoonpass_refusals_total{reason="unknown-key"}'
            assert f"{name} 2.0" in answer.text
            assert "-key" not in answer.text.replace("unknown-key", "")

        run_mesh(
            tmp_path,
            test_end_to_end.TWO_NODES,
            scenario,
            extra_settings=extra_settings,
        )
        trace = (tmp_path / "trace").read_text()
        assert trace
        failures = [item for item in lines if item["event"] == "call_failed"]
        assert [item["reason"] for item in failures[:2]] == ["unknown-key"] * 2
        assert failures[-1]["workspace"] == "alpha"
        for text in (trace, repr(lines)):
            assert "alpha-key" not in text
            assert "wrong-key" not in text
