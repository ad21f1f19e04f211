"""The operator endpoint: submit, status, metrics, health, announcements."""

from collections.abc import Awaitable
from collections.abc import Callable
import hmac
import itertools
import json
from typing import Any

import anyio
import pydantic

from monsoonpass import errors
from monsoonpass.border import operator_document
from monsoonpass.border import operator_models as models
from monsoonpass.border import settings_sections
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core.distribution import catalog as catalog_lib
from monsoonpass.core.distribution import config_messages
from monsoonpass.core.distribution import linearizable_read
from monsoonpass.core.distribution import submission
from monsoonpass.core.distribution import survey
from monsoonpass.runtime import engine as engine_lib
from monsoonpass.runtime import logs
from monsoonpass.runtime import metrics as metrics_lib
from monsoonpass.runtime import upstream

BODY_MAX_BYTES = operator_document.DOCUMENT_MAX_BYTES + 1024
REPLY_TIMEOUT_S = 10.0
REQUESTS_MAX = 256
UPSTREAMS_PATH = "/v1/upstreams/"

Send = Callable[[dict[str, Any]], Awaitable[None]]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Status = config_messages.SubmitStatus

STATUS_CODES = {
    Status.ACCEPTED: 200,
    Status.SUPERSEDED: 200,
    Status.CONFLICT: 409,
    Status.NOT_INCREASING: 409,
    Status.INVALID: 422,
    Status.BUSY: 429,
    Status.BASE_MISMATCH: 412,
    Status.UNAVAILABLE: 503,
    Status.UNCONFIRMED: 504,
}


class Answer(Exception):  # noqa: N818
    """A response to send; raised to leave a handler early."""

    def __init__(
        self,
        status: int,
        content: bytes,
        content_type: bytes = b"application/json",
    ):
        super().__init__(status)
        self.status = status
        self.content = content
        self.content_type = content_type


class OperatorApi:
    """Serves operators, monitoring and the own upstream's announcements."""

    def __init__(
        self,
        *,
        engine: engine_lib.Engine,
        logger: logs.Logger,
        metrics: metrics_lib.Metrics,
        pool: upstream.Pool,
        token: str | None,
        first_number: int = 0,
    ):
        self._engine = engine
        self._logger = logger
        self._metrics = metrics
        self._pool = pool
        self._token = token
        self._numbers = itertools.count(first_number + 1)
        self._waiting: dict[int, tuple[anyio.Event, list[Any]]] = {}
        self._handlers = {
            ("POST", "/v1/config"): self._submit,
            ("GET", "/v1/config"): self._config,
            ("PUT", "/v1/config"): self._replace,
            ("GET", "/v1/config/newest"): self._newest,
            ("GET", "/v1/status"): self._status,
            ("GET", "/v1/node"): self._node,
            ("POST", "/v1/upstream"): self._announce,
            ("DELETE", "/v1/upstream"): self._drain,
            ("GET", "/metrics"): self._render_metrics,
            ("GET", "/healthz"): self._healthz,
            ("GET", "/readyz"): self._readyz,
        }
        engine.on(effects.Reply, self._replied)

    async def app(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serve one request (ASGI)."""
        if scope["type"] != "http":
            return
        try:
            answer = await self._handle(scope, receive)
        except Answer as early:
            answer = early
        await send(
            {
                "type": "http.response.start",
                "status": answer.status,
                "headers": [
                    (b"content-type", answer.content_type),
                    (b"content-length", str(len(answer.content)).encode()),
                ],
            }
        )
        await send({"type": "http.response.body", "body": answer.content})

    async def _handle(self, scope: dict[str, Any], receive: Receive) -> Answer:
        method, path = scope["method"], scope["path"]
        handler = self._handlers.get((method, path))
        if handler is None and _name(scope):
            handler = {"PUT": self._heartbeat, "DELETE": self._farewell}.get(
                method
            )
        if handler is None:
            raise _failure(404, "not-found", "no such endpoint")
        body = await _read(receive)
        return await handler(scope, body)

    async def _submit(self, scope: dict[str, Any], body: bytes) -> Answer:
        self._check_token(scope)
        # Few nodes ever take a text, and the YAML library is slow to load.
        from monsoonpass.border import operator_text

        try:
            catalog = operator_text.compile_text(body.decode("utf-8"))
        except UnicodeDecodeError as error:
            raise _failure(422, "invalid", "the text is not UTF-8") from error
        except errors.TextError as error:
            issues = [
                {"place": issue.place, "message": issue.message}
                for issue in error.issues
            ]
            content = json.dumps({"status": "invalid", "issues": issues})
            raise Answer(422, content.encode()) from error
        return await self._submit_catalog(catalog, submission.ANY_BASE)

    async def _replace(self, scope: dict[str, Any], body: bytes) -> Answer:
        """Submit a document that replaces a certain version."""
        self._check_token(scope)
        base = dict(scope["headers"]).get(b"if-match", b"").strip(b'" ')
        if base and not base.isdigit():
            raise _failure(400, "invalid", "If-Match is not a version")
        try:
            catalog = operator_document.compile_document(body)
        except errors.TextError as error:
            raise _failure(400, "invalid", str(error)) from error
        base_version = int(base) if base else submission.ANY_BASE
        return await self._submit_catalog(catalog, base_version)

    async def _submit_catalog(
        self, catalog: catalog_lib.Catalog, base_version: int
    ) -> Answer:
        reply = await self._ask(
            events.SubmitRequested,
            snapshot=catalog.snapshot(),
            base_version=base_version,
        )
        result = models.SubmitResult(
            status=str(reply.status), version=reply.version
        )
        return Answer(
            STATUS_CODES[reply.status], result.model_dump_json().encode()
        )

    async def _newest(self, scope: dict[str, Any], body: bytes) -> Answer:
        """Return the last accepted configuration, if a quorum confirms it."""
        self._check_token(scope)
        result = await self._ask(events.ConfigReadRequested)
        if isinstance(result, linearizable_read.ReadUnavailable):
            raise _failure(503, "unavailable", "no quorum confirms a version")
        return Answer(200, operator_document.render(result))

    async def _config(self, scope: dict[str, Any], body: bytes) -> Answer:
        self._check_token(scope)
        view = models.ConfigView.of(self._engine.state.config.catalog)
        return Answer(200, view.model_dump_json().encode())

    async def _status(self, scope: dict[str, Any], body: bytes) -> Answer:
        self._check_token(scope)
        result = await self._ask(survey.SurveyRequested)
        view = models.StatusView.of(result)
        return Answer(200, view.model_dump_json().encode())

    async def _node(self, scope: dict[str, Any], body: bytes) -> Answer:
        self._check_token(scope)
        state = self._engine.state
        replica = state.control.replica
        view = models.NodeView(
            instance=state.settings.address.instance,
            data_centre=state.settings.data_centre,
            region=state.settings.region,
            version=state.config.version,
            ready=state.config.ready,
            in_force_for_s=(engine_lib.now_s() - state.config.in_force_since_s),
            stopping=state.stopping,
            role=replica.role.value if replica else "none",
            members=[
                models.MemberView(
                    instance=member.instance,
                    state=member.state.name.lower(),
                    service=member.service,
                    slots=member.slots,
                    upstream=member.upstream.name.lower(),
                )
                for member in state.membership.table.present()
            ],
        )
        return Answer(200, view.model_dump_json().encode())

    async def _announce(self, scope: dict[str, Any], body: bytes) -> Answer:
        self._check_local(scope)
        try:
            announcement = models.Announcement.model_validate_json(body)
        except pydantic.ValidationError as error:
            raise _failure(422, "invalid", str(error)) from error
        await self._take(
            service=announcement.service,
            slots=announcement.slots,
            cold=announcement.cold,
            port=announcement.port,
        )
        return Answer(200, b'{"status": "announced"}')

    async def _take(self, **fields: Any) -> None:
        """Feed an announcement; answer 409 if it is not accepted."""
        result = await self._ask(events.UpstreamAnnounced, **fields)
        if not result.accepted:
            raise _failure(409, "outdated", "a newer announcement is known")

    async def _drain(self, scope: dict[str, Any], body: bytes) -> Answer:
        self._check_local(scope)
        self._engine.feed(events.UpstreamDraining)
        in_progress = len(self._engine.state.admission.in_progress)
        content = {"status": "draining", "in_progress": in_progress}
        return Answer(200, json.dumps(content).encode())

    async def _heartbeat(self, scope: dict[str, Any], body: bytes) -> Answer:
        """Take an upstream's repeated announcement."""
        self._check_local(scope)
        try:
            beat = models.Heartbeat.model_validate_json(body)
            address = settings_sections.HostPort.parse(beat.address)
        except ValueError as error:
            raise self._bad_announcement(scope, str(error)) from error
        known = self._engine.state.config.catalog.services
        if address.host != self._pool.host:
            raise self._bad_announcement(scope, "another instance's address")
        if known and beat.service not in known:
            raise self._bad_announcement(scope, "an unknown service")
        await self._take(
            service=beat.service,
            slots=beat.slots,
            cold=beat.cold_s > 0,
            cold_s=beat.cold_s,
            port=address.port,
            draining=beat.state == "draining",
            upstream_id=_name(scope),
            started_ms=beat.born,
            sequence=beat.sequence,
        )
        return Answer(200, b"{}")

    async def _farewell(self, scope: dict[str, Any], body: bytes) -> Answer:
        """Take an upstream's notice that it leaves."""
        self._check_local(scope)
        born = None
        if body:
            try:
                born = models.Farewell.model_validate_json(body).born
            except ValueError as error:
                raise self._bad_announcement(scope, str(error)) from error
        self._engine.feed(
            events.UpstreamDraining,
            upstream_id=_name(scope),
            started_ms=born,
        )
        return Answer(200, b"{}")

    def _bad_announcement(self, scope: dict[str, Any], cause: str) -> Answer:
        self._logger.write(
            log_events.Code.ANNOUNCEMENT_IGNORED,
            upstream=_name(scope)[:64],
            cause=" ".join(cause.split())[:200],
        )
        return _failure(422, "invalid", "not a usable announcement")

    async def _render_metrics(
        self, scope: dict[str, Any], body: bytes
    ) -> Answer:
        state = self._engine.state
        self._metrics.slots.set(state.admission.slots)
        self._metrics.slots_used.set(len(state.admission.in_progress))
        self._metrics.queued.set(state.admission.queued)
        self._metrics.version.set(state.config.version)
        self._metrics.members.set(state.membership.table.present_count)
        return Answer(
            200,
            self._metrics.render(),
            b"text/plain; version=0.0.4; charset=utf-8",
        )

    async def _healthz(self, scope: dict[str, Any], body: bytes) -> Answer:
        if self._engine.state.disk_failed:
            raise _failure(503, "disk-failed", "a journal write failed")
        return Answer(200, b'{"status": "ok"}')

    async def _readyz(self, scope: dict[str, Any], body: bytes) -> Answer:
        state = self._engine.state
        if state.stopping or not state.config.can_route:
            raise _failure(503, "not-ready", "no configuration in force")
        return Answer(200, b'{"status": "ready"}')

    async def _ask(self, make: Any, **fields: Any) -> Any:
        """Feed a request and wait for its reply."""
        if len(self._waiting) >= REQUESTS_MAX:
            raise _failure(429, "busy", "too many requests wait")
        request_id = next(self._numbers)
        ready = anyio.Event()
        replies: list[Any] = []
        self._waiting[request_id] = (ready, replies)
        try:
            self._engine.feed(make, request_id=request_id, **fields)
            with anyio.move_on_after(REPLY_TIMEOUT_S):
                await ready.wait()
        finally:
            del self._waiting[request_id]
        if not replies:
            raise _failure(504, "unconfirmed", "no answer in time")
        return replies[0]

    def _replied(self, effect: effects.Reply) -> None:
        waiting = self._waiting.get(effect.request_id)
        if waiting is not None:
            waiting[1].append(effect.result)
            waiting[0].set()

    def _check_token(self, scope: dict[str, Any]) -> None:
        if self._token is None:
            return
        given = dict(scope["headers"]).get(b"authorization", b"")
        expected = f"Bearer {self._token}".encode()
        if not hmac.compare_digest(given, expected):
            raise _failure(401, "unauthorized", "a token is needed")

    def _check_local(self, scope: dict[str, Any]) -> None:
        """Let only the own instance speak for its upstream."""
        client = scope.get("client")
        own = ("127.0.0.1", "::1", self._pool.host)
        if client is None or client[0] not in own:
            raise _failure(403, "forbidden", "only from this instance")


def _name(scope: dict[str, Any]) -> str:
    """Return the upstream that a path names, empty if it names none."""
    prefix, _, name = scope["path"].partition(UPSTREAMS_PATH)
    return "" if prefix else name


def _failure(status: int, code: str, message: str) -> Answer:
    content = json.dumps({"status": code, "message": message})
    return Answer(status, content.encode())


async def _read(receive: Receive) -> bytes:
    body = bytearray()
    while True:
        event = await receive()
        if event["type"] != "http.request":
            raise _failure(400, "gone", "the client is gone")
        body += event.get("body", b"")
        if len(body) > BODY_MAX_BYTES:
            raise _failure(413, "too-large", "the body is too long")
        if not event.get("more_body", False):
            return bytes(body)
