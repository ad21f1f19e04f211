"""Tests of complete calls through real nodes on loopback."""

import asyncio
import collections
import hashlib
import pathlib
import socket

import anyio
import h2.config
import h2.connection
import h2.events
import httpx
import pytest

from monsoonpass.core.calls import call_messages
from monsoonpass.runtime import link as link_lib
from monsoonpass.runtime import peer_calls
from monsoonpass.standin import local_mesh
from monsoonpass.standin import simulated_upstream

OPERATOR_TEXT = """
version: 1
services:
  shop:
    routes:
      - path: /lots
        methods: [GET]
        deadline: 5s
      - path: /payments
        methods: [POST]
        deadline: 5s
      - path: /photos
        methods: [PUT, GET]
        idempotent: true
        size: bulk
        deadline: 60s
      - path: /hurried
        methods: [GET]
        deadline: 100ms
"""
TIMEOUT_S = 30.0


def run_mesh(
    tmp_path: pathlib.Path, specs, scenario, *, http2: bool = True
) -> None:
    """Run a scenario on a mesh with `OPERATOR_TEXT` in force."""

    async def run() -> None:
        mesh = local_mesh.LocalMesh(
            specs=specs,
            voters=[specs[0].instance],
            folder=tmp_path,
            http2=http2,
        )
        with anyio.fail_after(TIMEOUT_S):
            async with mesh:
                await mesh.wait_for_members()
                response = await mesh.submit(mesh.nodes[0], OPERATOR_TEXT)
                assert response.status_code == 200, response.text
                await mesh.wait_for_version(1)
                await scenario(mesh)

    anyio.run(run)


async def call(mesh, node, target, method="GET", **options):
    """Call the service `shop` through a node."""
    return await mesh.http.request(
        method, node.caller_url + target, headers={"host": "shop"}, **options
    )


ONE_NODE = (local_mesh.NodeSpec(instance="n0", service="shop"),)
TWO_NODES = (
    local_mesh.NodeSpec(instance="n0"),
    local_mesh.NodeSpec(instance="n1", service="shop"),
)
THREE_NODES = (*TWO_NODES, local_mesh.NodeSpec(instance="n2", service="shop"))


@pytest.mark.parametrize(
    "specs", [ONE_NODE, TWO_NODES], ids=["direct", "one-hop"]
)
class TestWholeAnswers:
    def test_upstream_receives_the_query_and_the_body(self, tmp_path, specs):
        body = bytes(range(256)) * 10

        async def scenario(mesh):
            response = await call(
                mesh, mesh.nodes[0], "/payments?id=7", "POST", content=body
            )
            answer = response.json()
            assert answer["id"] == "7"
            expected = hashlib.sha256(body).hexdigest()
            assert answer["body_sha256"] == expected

        run_mesh(tmp_path, specs, scenario)

    def test_large_bodies_arrive_intact_in_both_directions(
        self, tmp_path, specs
    ):
        body = bytes(range(256)) * 12_000

        async def scenario(mesh):
            response = await call(
                mesh, mesh.nodes[0], "/photos/1", "PUT", content=body
            )
            answer = response.json()
            expected = hashlib.sha256(body).hexdigest()
            assert answer["body_sha256"] == expected
            size = 3_000_000
            response = await call(
                mesh, mesh.nodes[0], f"/photos/1?bytes={size}"
            )
            pattern = simulated_upstream.BODY_PATTERN * (
                size // len(simulated_upstream.BODY_PATTERN) + 1
            )
            assert response.content == pattern[:size]

        run_mesh(tmp_path, specs, scenario)

    def test_endless_interim_responses_fail_before_the_deadline(
        self, tmp_path, specs
    ):
        """Guard: `INTERIM_RESPONSES_MAX` in upstream_http."""

        async def scenario(mesh):
            response = await call(
                mesh, mesh.nodes[0], "/payments?fault=interim", "POST"
            )
            assert response.status_code == 502
            assert response.json()["reason"] == "upstream-broke-off"
            assert response.json()["outcome"] == "unknown"

        run_mesh(tmp_path, specs, scenario)

    @pytest.mark.parametrize("fault", ["truncate", "reset", "overlong"])
    def test_broken_non_idempotent_call_fails_and_runs_once(
        self, tmp_path, specs, fault
    ):
        async def scenario(mesh):
            response = await call(
                mesh, mesh.nodes[0], f"/payments?id=p&fault={fault}", "POST"
            )
            runs = sum(node.upstream.runs["p"] for node in mesh.nodes)
            assert runs == 1
            if fault == "overlong":
                # The body is complete by its declared length; the surplus
                # bytes are not sent to the caller.
                assert response.content == b"x" * 100
                return
            assert response.status_code == 502
            outcome = response.headers["monsoonpass-outcome"]
            expected = "failed" if fault == "truncate" else "unknown"
            assert outcome == expected

        run_mesh(tmp_path, specs, scenario)

    def test_large_truncated_answer_breaks_the_connection(
        self, tmp_path, specs
    ):
        async def scenario(mesh):
            with pytest.raises(httpx.HTTPError):
                await call(
                    mesh, mesh.nodes[0], "/photos/1?fault=truncate-large"
                )

        run_mesh(tmp_path, specs, scenario)

    def test_stalled_call_fails_at_the_deadline(self, tmp_path, specs):
        async def scenario(mesh):
            response = await call(
                mesh, mesh.nodes[0], "/hurried?fault=stall&id=s"
            )
            assert response.status_code == 504
            assert response.headers["monsoonpass-outcome"] == "unknown"
            for node in mesh.nodes:
                while not node.daemon.engine.state.admission.is_idle:
                    await anyio.sleep(0.01)

        run_mesh(tmp_path, specs, scenario)


class TestDigest:
    def test_connection_of_a_silent_call_is_not_used_again(self, tmp_path):
        """An upstream never answers on a connection after a silent call.

        Guard: `reuse=body_complete` in UpstreamRunner._run_exchange.
        """

        async def scenario(mesh):
            node = mesh.nodes[0]
            await call(mesh, node, "/payments?id=a", "POST")
            silent = await call(
                mesh, node, "/payments?id=b&fault=stall", "POST"
            )
            assert silent.status_code == 504
            after = await call(mesh, node, "/payments?id=c", "POST")
            assert after.status_code == 200

        run_mesh(tmp_path, ONE_NODE, scenario)

    def test_corrupted_answer_body_is_a_failure(self, tmp_path, monkeypatch):
        """The caller gets the whole answer or an explicit failure.

        Guard: the comparison in RemoteAttempts._finish_answer.
        """
        send_answer = peer_calls.RemoteSink.send_answer

        async def corrupt_answer(sink, status, headers, body, digest):
            await send_answer(sink, status, headers, body[:-1] + b"?", digest)

        async def scenario(mesh):
            response = await call(mesh, mesh.nodes[0], "/payments", "POST")
            assert response.status_code == 502
            assert response.headers["monsoonpass-outcome"] == "failed"

        monkeypatch.setattr(
            peer_calls.RemoteSink, "send_answer", corrupt_answer
        )
        run_mesh(tmp_path, TWO_NODES, scenario)


class TestRetries:
    def test_idempotent_call_is_retried_on_another_node(self, tmp_path):
        async def scenario(mesh):
            mesh.nodes[1].upstream.behaviour.shed_limit = 0
            for _ in range(5):
                response = await call(
                    mesh, mesh.nodes[0], "/lots?fault=reset&id=x"
                )
                assert response.status_code == 502
            runs = sum(node.upstream.runs["x"] for node in mesh.nodes)
            assert runs > 5

        run_mesh(tmp_path, THREE_NODES, scenario)

    def test_call_moves_to_another_node_if_the_upstream_is_unreachable(
        self, tmp_path
    ):
        async def scenario(mesh):
            unreachable = mesh.nodes[1].daemon
            unreachable._upstream_runner.pool.port = 9
            for number in range(10):
                response = await call(
                    mesh, mesh.nodes[0], f"/payments?id={number}", "POST"
                )
                assert response.status_code == 200, response.text
                assert mesh.nodes[2].upstream.runs[str(number)] == 1

        run_mesh(tmp_path, THREE_NODES, scenario)

    def test_unknown_route_is_not_run(self, tmp_path):
        async def scenario(mesh):
            response = await call(mesh, mesh.nodes[0], "/lots", "DELETE")
            assert response.status_code == 404
            assert response.headers["monsoonpass-outcome"] == "not-run"

        run_mesh(tmp_path, TWO_NODES, scenario)


class TestCallerWithKeyLeaves:
    """A caller with an idempotency key leaves before its call has a slot."""

    def test_call_goes_on_and_the_node_serves_on(self, tmp_path):
        """Guards against a call that is dispatched but no longer registered."""
        behaviour = simulated_upstream.UpstreamBehaviour(slots=1)
        specs = (
            local_mesh.NodeSpec(
                instance="n0", service="shop", behaviour=behaviour
            ),
        )
        headers = {"host": "shop", "idempotency-key": "k-1"}

        async def scenario(mesh):
            node = mesh.nodes[0]

            async def pay_and_leave():
                url = node.caller_url + "/payments?id=p"
                with anyio.move_on_after(0.2):
                    await mesh.http.post(url, headers=headers)

            async with anyio.create_task_group() as group:
                group.start_soon(call, mesh, node, "/lots?ms=600")
                await anyio.sleep(0.1)
                group.start_soon(pay_and_leave)
            while not node.upstream.runs["p"]:
                await anyio.sleep(0.01)
            response = await mesh.http.post(
                node.caller_url + "/payments?id=p", headers=headers
            )
            assert response.status_code in (200, 409)
            assert node.upstream.runs["p"] == 1
            while node.daemon._upstream_runner.calls:
                await anyio.sleep(0.01)
            response = await call(mesh, node, "/lots")
            assert response.status_code == 200

        run_mesh(tmp_path, specs, scenario)


class TestCallerLeavesAtOnce:
    """The request and the close of its connection are read together."""

    @pytest.mark.parametrize(
        "specs", [ONE_NODE, TWO_NODES], ids=["direct", "one-hop"]
    )
    def test_call_of_a_caller_that_has_left_is_not_sent(self, tmp_path, specs):
        """Guards against work for callers that left while the node stalled."""

        async def scenario(mesh):
            node = mesh.nodes[0]
            for number in range(20):
                # Nothing else runs until the close stands behind the request.
                with socket.create_connection(
                    ("127.0.0.1", node.caller_port)
                ) as raw:
                    raw.sendall(
                        f"GET /lots?id=gone-{number} HTTP/1.1\r\n"
                        "host: shop\r\n\r\n".encode()
                    )
                await anyio.sleep(0.05)
            response = await call(mesh, node, "/lots?id=last")
            assert response.status_code == 200
            runs = sum(
                (n.upstream.runs for n in mesh.nodes), collections.Counter()
            )
            assert runs == collections.Counter(last=1)

        run_mesh(tmp_path, specs, scenario, http2=False)


class TestStop:
    def test_planned_stop_interrupts_no_call(self, tmp_path):
        async def scenario(mesh):
            answers = []

            async def make_call(number):
                response = await call(
                    mesh, mesh.nodes[0], f"/payments?id={number}&ms=50", "POST"
                )
                answers.append((number, response.status_code))

            async with anyio.create_task_group() as group:
                for number in range(40):
                    group.start_soon(make_call, number)
                    await anyio.sleep(0.005)
                    if number == 10:
                        mesh.nodes[1].daemon.stop()
            assert [status for _, status in answers] == [200] * 40
            runs = mesh.nodes[1].upstream.runs + mesh.nodes[2].upstream.runs
            assert all(runs[str(number)] == 1 for number in range(40))
            assert mesh.nodes[1].upstream.cancelled == 0

        run_mesh(tmp_path, THREE_NODES, scenario)

    def test_outcome_is_queried_after_the_link_broke(self, tmp_path):
        """Guard: `_query_outcome` in RemoteAttempts.handle_link_lost."""

        async def scenario(mesh):
            async def close_links():
                while not mesh.nodes[1].upstream.runs["k"]:
                    await anyio.sleep(0.01)
                for links in mesh.nodes[0].daemon._mesh.links.values():
                    await links[-1].abort()

            async with anyio.create_task_group() as group:
                group.start_soon(close_links)
                response = await call(
                    mesh, mesh.nodes[0], "/payments?id=k&ms=300", "POST"
                )
            runs = sum(node.upstream.runs["k"] for node in mesh.nodes)
            assert runs == 1
            assert response.status_code == 200
            assert response.json()["id"] == "k"

        run_mesh(tmp_path, TWO_NODES, scenario)


class TestLinkBreaks:
    @pytest.mark.parametrize("lost", [True, False], ids=["lost", "sent"])
    def test_link_loss_at_each_message_of_a_call(
        self, tmp_path, monkeypatch, lost
    ):
        """The link is lost before or after the n-th message of a call.

        The call must run at most once, and its reported outcome must be
        correct.
        """
        send = link_lib.Link.send
        messages_left = [0]

        def send_and_break(link, message, **options):
            is_call = type(message).__module__ == call_messages.__name__
            messages_left[0] -= is_call
            if not is_call or messages_left[0] != 0:
                send(link, message, **options)
                return
            if not lost:
                send(link, message, **options)
            # Aborts the connection after the queued messages were written.
            link._frames_queued.set()
            loop = asyncio.get_running_loop()
            loop.call_later(0.01, link._stream._transport.abort)

        async def scenario(mesh):
            outcomes = []
            for number in range(1, 7):
                messages_left[0] = number
                target = f"/payments?id=b{number}"
                response = await call(
                    mesh, mesh.nodes[0], target, "POST", content=b"x" * 500
                )
                runs = sum(n.upstream.runs[f"b{number}"] for n in mesh.nodes)
                assert runs <= 1
                if response.status_code == 200:
                    assert response.json()["id"] == f"b{number}"
                    assert runs == 1
                elif response.headers["monsoonpass-outcome"] == "not-run":
                    assert runs == 0
                # A lost link excludes the instance from routing for a while.
                mesh.nodes[0].daemon.engine.state.routing.peers.clear()
                outcomes.append(response.status_code)
                await anyio.sleep(0.1)
            assert 200 in outcomes

        monkeypatch.setattr(link_lib.Link, "send", send_and_break)
        run_mesh(tmp_path, TWO_NODES, scenario)


class TestProtocols:
    def test_http2_caller_is_served(self, tmp_path):
        async def scenario(mesh):
            stream = await anyio.connect_tcp(
                "127.0.0.1", mesh.nodes[0].caller_port
            )
            connection = h2.connection.H2Connection(
                h2.config.H2Configuration(client_side=True)
            )
            connection.initiate_connection()
            connection.send_headers(
                1,
                [
                    (":method", "GET"),
                    (":path", "/lots?id=h2"),
                    (":scheme", "http"),
                    (":authority", "shop"),
                ],
                end_stream=True,
            )
            await stream.send(connection.data_to_send())
            status, body, ended = None, b"", False
            while not ended:
                for event in connection.receive_data(await stream.receive()):
                    if isinstance(event, h2.events.ResponseReceived):
                        status = dict(event.headers)[b":status"]
                    if isinstance(event, h2.events.DataReceived):
                        body += event.data
                    ended |= isinstance(event, h2.events.StreamEnded)
            assert status == b"200"
            assert b'"id": "h2"' in body
            await stream.aclose()

        run_mesh(tmp_path, ONE_NODE, scenario)

    def test_invalid_bytes_on_the_peer_port_are_harmless(self, tmp_path):
        async def scenario(mesh):
            node = mesh.nodes[0]
            for data in (b"GET / HTTP/1.1\r\n\r\n", bytes(50), b"\x00"):
                stream = await anyio.connect_tcp("127.0.0.1", node.peer_port)
                await stream.send(data)
                await stream.aclose()
            response = await call(mesh, node, "/lots")
            assert response.status_code == 200

        run_mesh(tmp_path, TWO_NODES, scenario)


class TestPipelining:
    """Requests on one connection, of routes that may repeat calls or not.

    "/photos" is idempotent, "/payments" is not.
    """

    SPECS = (local_mesh.NodeSpec(instance="n0", service="shop"),)

    def test_call_that_may_run_only_once_starts_behind_the_answers(
        self, tmp_path
    ):
        """Guard: `_wait_for_turn` in CallerApp.app."""

        async def scenario(mesh):
            node = mesh.nodes[0]
            data = pipelined_calls(
                ("GET", "/photos?ms=150&id=a"),
                ("POST", "/payments?id=b"),
                ("GET", "/photos?ms=1&id=c"),
            )
            stream = await anyio.connect_tcp("127.0.0.1", node.caller_port)
            async with stream:
                await stream.send(data)
                answers = b""
                while b'"id": "c"' not in answers:
                    answers += await stream.receive()
            places = [answers.index(b'"id": "%c"' % name) for name in b"abc"]
            assert places == sorted(places)
            assert node.upstream.runs == {"a": 1, "b": 1, "c": 1}

        run_mesh(tmp_path, self.SPECS, scenario, http2=False)

    def test_call_behind_one_whose_caller_leaves_is_never_run(self, tmp_path):
        """Calls in progress end; one that may run only once never starts."""

        async def scenario(mesh):
            node = mesh.nodes[0]
            data = pipelined_calls(
                ("GET", "/photos?ms=20000&id=a"),
                ("POST", "/payments?id=b"),
                ("GET", "/photos?ms=20000&id=c"),
            )
            stream = await anyio.connect_tcp("127.0.0.1", node.caller_port)
            async with stream:
                await stream.send(data)
                while node.upstream.runs["c"] == 0:
                    await anyio.sleep(0.01)
            state = node.daemon.engine.state
            while state.calls or state.admission.in_progress:
                await anyio.sleep(0.01)
            assert node.upstream.runs == {"a": 1, "c": 1}

        run_mesh(tmp_path, self.SPECS, scenario, http2=False)

    def test_route_that_changes_while_the_body_arrives_counts(self, tmp_path):
        """Guard: the second `_wait_for_turn` in CallerApp.app."""

        async def scenario(mesh):
            node = mesh.nodes[0]
            stream = await anyio.connect_tcp("127.0.0.1", node.caller_port)
            async with stream:
                await stream.send(
                    pipelined_calls(("GET", "/photos?ms=20000&id=a"))
                    + b"PUT /photos?id=b HTTP/1.1\r\nhost: shop\r\n"
                    b"content-length: 8\r\n\r\nhalf"
                )
                while node.upstream.runs["a"] == 0:
                    await anyio.sleep(0.01)
                text = OPERATOR_TEXT.replace("version: 1", "version: 2")
                text = text.replace("idempotent: true", "idempotent: false")
                answer = await mesh.submit(node, text)
                assert answer.status_code == 200
                await mesh.wait_for_version(2)
                await stream.send(b"rest")
                await anyio.sleep(0.3)
                assert node.upstream.runs == {"a": 1}

        run_mesh(tmp_path, self.SPECS, scenario, http2=False)


def pipelined_calls(*calls: tuple[str, str]) -> bytes:
    """Return requests to service "shop" to be sent at once."""
    return b"".join(
        (
            f"{method} {target} HTTP/1.1\r\nhost: shop\r\n"
            "content-length: 0\r\n\r\n"
        ).encode()
        for method, target in calls
    )
