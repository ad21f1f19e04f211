"""Drawn traffic through the real HTTP ends of two nodes.

Callers, upstreams and operators speak over real sockets: upstreams answer
early, in pieces around the bounds of buffers, twice or in part; callers leave
at each step; operators and upstreams send odd numbers. The oracle knows each
byte. MONSOONPASS_SEEDS sets the number of examples, for longer runs by hand.
"""

import json
import os
import pathlib
import tempfile

import anyio
import h11
import httpx
import hypothesis
from hypothesis import strategies as st

from monsoonpass.standin import local_mesh
from tests import scripted_upstream
from tests import test_operator_document

KIB = scripted_upstream.KIB
SPECS = (
    local_mesh.NodeSpec(instance="n0"),
    local_mesh.NodeSpec(instance="n1", service="shop"),
)
SETTINGS = (
    f"[headers]\ncall_id = {scripted_upstream.ID_HEADER}\n"
    f"not_run = {scripted_upstream.NOT_RUN_HEADER}\n"
)
EXAMPLES = int(os.environ.get("MONSOONPASS_SEEDS", "4"))
CALLERS = 12
ODD_INTEGERS = ("18446744073709551616", "1" + "0" * 30, "9007199254740992")

sizes = st.builds(
    lambda bound, off: bound * KIB + off,
    st.sampled_from((1, 16, 64, 128)),
    st.sampled_from((-1, 0, 1)),
)
answers = st.builds(
    scripted_upstream.Script,
    answer_bytes=sizes,
    framing=st.sampled_from(("length", "chunked", "close")),
    pieces=st.integers(1, 4),
    repeats=st.booleans(),
    cut=st.sampled_from((False, False, False, True)),
    work_ms=st.integers(0, 20),
)
# About a chunk of a body is unread, so that the answer meets the last chunks.
early_answers = st.builds(
    scripted_upstream.Script,
    early_bytes=st.integers(12 * KIB, 20 * KIB),
    refused=st.sampled_from((False, False, True)),
    work_ms=st.integers(0, 3),
)
upload_sizes = st.integers(40 * KIB, 90 * KIB)
# The pause lets the answer meet the end of the body.
uploads = st.tuples(
    st.just("upload"), early_answers, upload_sizes, st.floats(0.0, 2.0)
)
# Short times meet the claim of a key, longer ones the work of the upstream.
leavers = st.tuples(
    st.just("leave"),
    st.sampled_from((0, 1, 2, 3, 3, 3)),
    st.floats(0.0, 8.0),
    st.booleans(),
)
# Requests that are sent at once, with the place at which the data is split.
pipelines = st.tuples(
    st.just("pipeline"),
    st.lists(
        st.tuples(
            st.sampled_from(("idempotent", "idempotent", "once")), answers
        ),
        min_size=2,
        max_size=10,
    ),
    st.floats(0.0, 1.0),
    st.booleans(),
)
actions = st.one_of(
    st.tuples(st.just("get"), answers),
    pipelines,
    pipelines,
    uploads,
    uploads,
    uploads,
    leavers,
    leavers,
    st.tuples(st.just("odd"), st.sampled_from(ODD_INTEGERS)),
    st.tuples(st.just("tight"), st.integers(1, 3000)),
)


def make_document(version: int, **limits) -> dict:
    """Return a document with a route for each kind of call to "shop"."""
    document = test_operator_document.make_document(version=version)
    route = {**document["routes"][0], "host": "shop", "deadline_s": 60.0}
    document["routes"] = [
        {**route, "name": kind, "path": f"/{kind}/", "kind": kind}
        for kind in ("idempotent", "once", "upload")
    ]
    document["limits"] = {**document["limits"], **limits}
    return document


class Traffic:
    """Performs drawn actions on a mesh and checks what comes of them."""

    def __init__(self, mesh: local_mesh.LocalMesh):
        self.mesh = mesh
        self.number = 0
        self.version = 1
        self.upstream = mesh.nodes[1].upstream
        self.operators_turn = anyio.Lock()

    def next_call(self) -> tuple[str, local_mesh.LocalNode]:
        """Return the id of the next call, and the node that takes it."""
        self.number += 1
        return f"r{self.number:06d}", self.mesh.nodes[self.number % 2]

    async def call(
        self,
        method: str,
        path: str,
        script,
        body_bytes: int = 0,
        pause_ms: float = 0.0,
    ) -> httpx.Response | None:
        """Make a call; return None if its connection broke.

        Args:
            method: HTTP method.
            path: Path of the call.
            script: How the upstream answers.
            body_bytes: Length of the body.
            pause_ms: Pause before the part that the upstream reads late.
        """
        request_id, node = self.next_call()
        headers = {
            "host": "shop",
            scripted_upstream.ID_HEADER: request_id,
            scripted_upstream.SCRIPT_HEADER: script.to_header(),
        }
        body = scripted_upstream.pattern(request_id, body_bytes)
        if body:
            headers["content-length"] = str(body_bytes)

        async def parts():
            yield body[: -script.early_bytes]
            await anyio.sleep(pause_ms / 1000.0)
            yield body[-script.early_bytes :]

        try:
            response = await self.mesh.http.request(
                method,
                node.caller_url + path,
                headers=headers,
                content=parts() if body else None,
            )
        except httpx.TransportError:
            return None
        if response.status_code == 200:
            expected = scripted_upstream.pattern(
                request_id, script.answer_bytes
            )
            assert response.content == expected, ("not whole", script)
        return response

    async def get(self, script) -> None:
        response = await self.call("GET", "/idempotent/x", script)
        if not script.cut:
            assert response is not None, "the answer was cut"
            assert response.status_code == 200, response.text

    async def upload(self, script, body_bytes: int, pause_ms: float) -> None:
        response = await self.call(
            "POST", "/upload/x", script, body_bytes, pause_ms
        )
        # 413: a tight limit may be in force.
        statuses = (200, 413, 502, 503)
        assert response is None or response.status_code in statuses

    async def leave(self, step: int, after_ms: float, has_key: bool) -> None:
        """Leave a call after the head, in the body, or while it runs."""
        request_id, node = self.next_call()
        script = scripted_upstream.Script(work_ms=20)
        head = (
            "POST /once/x HTTP/1.1\r\nhost: shop\r\ncontent-length: 8\r\n"
            f"{scripted_upstream.ID_HEADER}: {request_id}\r\n"
            f"{scripted_upstream.SCRIPT_HEADER}: {script.to_header()}\r\n"
        )
        if has_key:
            head += f"idempotency-key: {request_id}\r\n"
        body = scripted_upstream.pattern(request_id, 8)
        data = head.encode() + b"\r\n" + body
        end = (len(head) // 2, len(head) + 2, len(data) - 4, len(data))[step]
        stream = await anyio.connect_tcp("127.0.0.1", node.caller_port)
        async with stream:
            await stream.send(data[:end])
            await anyio.sleep(after_ms / 1000.0)

    async def pipeline(self, requests, split: float, has_bodies: bool) -> None:
        """Send requests at once, and check the answers in their order.

        A connection that ends early leaves the requests behind it as not
        read: those that may run only once must not have reached an upstream.
        """
        sent = []
        data = b""
        _, node = self.next_call()
        for kind, script in requests:
            request_id, _ = self.next_call()
            sent.append((request_id, kind, script))
            body = scripted_upstream.pattern(request_id, 8 * has_bodies)
            data += (
                f"PUT /{kind}/x HTTP/1.1\r\nhost: shop\r\n"
                f"content-length: {len(body)}\r\n"
                f"{scripted_upstream.ID_HEADER}: {request_id}\r\n"
                f"{scripted_upstream.SCRIPT_HEADER}: {script.to_header()}\r\n"
                "\r\n"
            ).encode() + body
        stream = await anyio.connect_tcp("127.0.0.1", node.caller_port)
        async with stream:
            await stream.send(data[: int(len(data) * split)])
            await anyio.sleep(0.002)
            await stream.send(data[int(len(data) * split) :])
            answered = await self.check_answers(stream, sent)
        for request_id, kind, script in sent[answered + 1 :]:
            # Only an answer that breaks off ends the connection.
            assert any(item[2].cut for item in sent[: answered + 1]), script
            if kind == "once":
                assert request_id not in self.upstream.arrived
        for request_id, kind, _ in sent:
            if kind == "once":
                assert self.upstream.arrived.count(request_id) <= 1

    async def check_answers(self, stream, sent) -> int:
        """Check answers; return how many came before the connection ended."""
        data = b""
        for count, (request_id, _, script) in enumerate(sent):
            parser = h11.Connection(h11.CLIENT)
            parser.send(
                h11.Request(method="PUT", target="/", headers=[("host", "a")])
            )
            parser.send(h11.EndOfMessage())
            if data:
                parser.receive_data(data)
            status = 0
            body = b""
            while True:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    try:
                        parser.receive_data(await stream.receive())
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        return count
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    body += event.data
                else:
                    break
            if status == 200:
                expected = scripted_upstream.pattern(
                    request_id, script.answer_bytes
                )
                assert body == expected, ("not whole", script)
            else:
                # 413: a tight limit may be in force.
                assert status in (413, 502, 503), (status, script)
                if status == 413:
                    return len(sent)
            data = parser.trailing_data[0]
        return len(sent)

    async def odd(self, number: str) -> None:
        """Send an odd number wherever one may be sent."""
        url = f"{self.mesh.nodes[self.number % 2].operator_url}/v1"
        answer = await self.mesh.http.put(
            f"{url}/config",
            json=make_document(self.version + 1),
            headers={"if-match": number},
        )
        assert answer.status_code == 400, answer.text
        heartbeat = {
            "service": "shop",
            "address": "127.0.0.1:9",
            "slots": 1,
            "state": "draining",
            "sequence": 1,
        }
        for name in ("born", "sequence", "slots"):
            text = json.dumps({**heartbeat, name: "@"}).replace('"@"', number)
            answer = await self.mesh.http.put(
                f"{url}/upstreams/odd", content=text
            )
            assert answer.status_code == 422, answer.text
        answer = await self.mesh.http.request(
            "DELETE", f"{url}/upstreams/odd", content=f'{{"born": {number}}}'
        )
        assert answer.status_code == 422, answer.text

    async def tight(self, size_bytes: int) -> None:
        """Lower the limit of bodies, send the same again, and raise it."""
        async with self.operators_turn:
            url = f"{self.mesh.nodes[0].operator_url}/v1/config"
            tight = make_document(self.version + 1, body_max_bytes=size_bytes)
            for document in (tight, tight, make_document(self.version + 2)):
                answer = await self.mesh.http.put(url, json=document)
                assert answer.status_code == 200, answer.text
                await self.mesh.wait_for_version(document["version"])
            self.version += 2

    async def perform(self, drawn: list[tuple]) -> None:
        """Perform actions side by side; then the nodes must still serve."""
        todo = list(reversed(drawn))

        async def work() -> None:
            while todo:
                name, *arguments = todo.pop()
                await getattr(self, name)(*arguments)

        async with anyio.create_task_group() as group:
            for _ in range(CALLERS):
                group.start_soon(work)
        for _ in self.mesh.nodes:
            await self.get(scripted_upstream.Script())
        assert not self.upstream.foreign, self.upstream.foreign[0]
        for node in self.mesh.nodes:
            failures = node.daemon._metrics.confined_failures
            assert not failures.samples(), "unexpected error"


def run_traffic(drawn: list[tuple], folder: pathlib.Path) -> None:
    """Run drawn actions on a new mesh."""

    async def run() -> None:
        mesh = local_mesh.LocalMesh(
            specs=SPECS,
            voters=["n0"],
            folder=folder,
            extra_settings=SETTINGS,
            http2=False,
        )
        node = mesh.nodes[1]
        node.upstream = scripted_upstream.ScriptedUpstream(name="n1")
        with anyio.fail_after(120):
            async with mesh:
                await mesh.wait_for_members()
                answer = await mesh.http.put(
                    f"{mesh.nodes[0].operator_url}/v1/config",
                    json=make_document(1),
                )
                assert answer.status_code == 200, answer.text
                await mesh.wait_for_version(1)
                await Traffic(mesh).perform(drawn)

    anyio.run(run)


class TestHttpEnds:
    @hypothesis.settings(max_examples=EXAMPLES)
    @hypothesis.given(drawn=st.lists(actions, min_size=150, max_size=200))
    def test_every_byte_goes_where_it_belongs(self, drawn):
        """Guards against the faults of review/1 to 3 and 5, and odd numbers."""
        with tempfile.TemporaryDirectory() as folder:
            run_traffic(drawn, pathlib.Path(folder))
