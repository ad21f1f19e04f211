"""HTTP endpoint for operators, monitoring and announcements of the upstream."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import hmac
import itertools
import json
from typing import Any

import anyio
import pydantic

from monsoonpass import errors
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core.distribution import catalog as catalog_lib
from monsoonpass.core.distribution import config_messages
from monsoonpass.core.distribution import host_route
from monsoonpass.core.distribution import linearizable_read
from monsoonpass.core.distribution import submission
from monsoonpass.core.distribution import survey
from monsoonpass.core.membership import own_upstream_state
from monsoonpass.core.rollouts import requests as rollout_requests
from monsoonpass.core.rollouts import rollout as rollout_lib
from monsoonpass.formats import bounds
from monsoonpass.formats import operator_document
from monsoonpass.formats import operator_models as models
from monsoonpass.runtime import engine as engine_lib
from monsoonpass.runtime import event_log
from monsoonpass.runtime import metrics as metrics_lib
from monsoonpass.runtime import upstream_http

BODY_MAX_BYTES = operator_document.DOCUMENT_MAX_BYTES + 1024
# Independent of the configuration in force, which could otherwise shut out the
# next one.
LIMITS = dataclasses.replace(
    host_route.DEFAULT_LIMITS, body_max_bytes=BODY_MAX_BYTES
)
REPLY_TIMEOUT_S = 10.0
PENDING_REQUESTS_MAX = 256
UPSTREAMS_PATH = "/v1/upstreams/"
ROLLOUTS_PATH = "/v1/rollouts/"

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

ROLLOUT_STATUS_CODES = {
    rollout_lib.OrderStatus.ORDERED: 200,
    rollout_lib.OrderStatus.REPEATED: 200,
    rollout_lib.OrderStatus.CONFLICT: 409,
    rollout_lib.OrderStatus.UNKNOWN_SERVICE: 400,
    rollout_lib.OrderStatus.UNAVAILABLE: 503,
}


class Response(Exception):  # noqa: N818
    """An HTTP response; a handler may return it or raise it."""

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
    """ASGI application of the operator endpoint.

    Operators submit and read configurations, monitoring reads metrics and
    health, and the local upstream announces itself.
    """

    def __init__(
        self,
        *,
        engine: engine_lib.Engine,
        logger: event_log.Logger,
        metrics: metrics_lib.Metrics,
        pool: upstream_http.ConnectionPool,
        token: str | None,
        request_id_base: int = 0,
    ):
        """Initialize the application and take over the replies of the engine.

        Args:
            engine: Engine that runs the node's reducer.
            logger: Event log.
            metrics: Metrics of the node.
            pool: Connections to the local upstream; its host also counts as
                this instance.
            token: Token that operators must send, or None if none is needed.
            request_id_base: Number below the first request ID. A restarted
                node gets a higher one, so that no request ID is used again.
        """
        self._engine = engine
        self._logger = logger
        self._metrics = metrics
        self._pool = pool
        self._token = token
        self._request_ids = itertools.count(request_id_base + 1)
        self._pending_requests: dict[int, tuple[anyio.Event, list[Any]]] = {}
        self._handlers = {
            ("POST", "/v1/config"): self._submit_text,
            ("GET", "/v1/config"): self._get_config,
            ("PUT", "/v1/config"): self._submit_document,
            ("GET", "/v1/config/newest"): self._get_newest_config,
            ("GET", "/v1/status"): self._get_status,
            ("GET", "/v1/node"): self._get_node,
            ("POST", "/v1/rollouts"): self._order_rollout,
            ("POST", "/v1/upstream"): self._announce_upstream,
            ("DELETE", "/v1/upstream"): self._drain_upstream,
            ("GET", "/metrics"): self._get_metrics,
            ("GET", "/healthz"): self._get_health,
            ("GET", "/readyz"): self._get_readiness,
        }
        engine.set_performer(effects.Reply, self._perform_reply)

    async def app(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serve one request (ASGI)."""
        if scope["type"] != "http":
            return
        request = scope.get("extensions", {}).get("monsoonpass")
        if request is not None and scope["method"] != "GET":
            try:
                await request.wait_until_first()
            except errors.CallerDisconnectedError:
                return
        try:
            response = await self._handle(scope, receive)
        except Response as raised:
            response = raised
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": [
                    (b"content-type", response.content_type),
                    (b"content-length", str(len(response.content)).encode()),
                ],
            }
        )
        await send({"type": "http.response.body", "body": response.content})

    async def _handle(
        self, scope: dict[str, Any], receive: Receive
    ) -> Response:
        method, path = scope["method"], scope["path"]
        handler = self._handlers.get((method, path))
        if handler is None and _upstream_name(scope):
            handler = {
                "PUT": self._receive_heartbeat,
                "DELETE": self._receive_deregistration,
            }.get(method)
        if handler is None and method == "GET" and _rollout_service(scope):
            handler = self._get_rollout
        if handler is None:
            raise _error_response(404, "not-found", "no such endpoint")
        body = await _read_body(receive)
        return await handler(scope, body)

    async def _submit_text(
        self, scope: dict[str, Any], body: bytes
    ) -> Response:
        self._check_token(scope)
        # Imported here because the YAML library is slow to load and few nodes
        # receive a configuration as text.
        from monsoonpass.formats import operator_text

        try:
            catalog = operator_text.compile_text(body.decode("utf-8"))
        except UnicodeDecodeError as error:
            raise _error_response(
                422, "invalid", "the text is not UTF-8"
            ) from error
        except errors.OperatorTextError as error:
            issues = [
                {"place": issue.location, "message": issue.message}
                for issue in error.issues
            ]
            content = json.dumps({"status": "invalid", "issues": issues})
            raise Response(422, content.encode()) from error
        return await self._submit_catalog(catalog, submission.ANY_BASE)

    async def _submit_document(
        self, scope: dict[str, Any], body: bytes
    ) -> Response:
        """Submit a configuration document.

        With an If-Match header, the document is accepted only if it replaces
        that version.
        """
        self._check_token(scope)
        if_match = dict(scope["headers"]).get(b"if-match", b"").strip(b'" ')
        base_version: int | None = submission.ANY_BASE
        if if_match:
            base_version = bounds.parse_decimal(if_match)
        if base_version is None:
            raise _error_response(400, "invalid", "If-Match is not a version")
        try:
            catalog = operator_document.compile_document(body)
        except errors.OperatorTextError as error:
            raise _error_response(400, "invalid", str(error)) from error
        return await self._submit_catalog(catalog, base_version)

    async def _submit_catalog(
        self, catalog: catalog_lib.Catalog, base_version: int
    ) -> Response:
        reply = await self._feed_and_wait(
            events.SubmitRequested,
            snapshot=catalog.snapshot(),
            base_version=base_version,
        )
        result = models.SubmitResult(
            status=str(reply.status), version=reply.version
        )
        return Response(
            STATUS_CODES[reply.status], result.model_dump_json().encode()
        )

    async def _get_newest_config(
        self, scope: dict[str, Any], body: bytes
    ) -> Response:
        """Return the newest accepted configuration.

        The answer has status 503 if no quorum confirms the version.
        """
        self._check_token(scope)
        result = await self._feed_and_wait(events.ConfigReadRequested)
        if isinstance(result, linearizable_read.ReadUnavailable):
            raise _error_response(
                503, "unavailable", "no quorum confirms a version"
            )
        return Response(200, operator_document.render(result))

    async def _order_rollout(
        self, scope: dict[str, Any], body: bytes
    ) -> Response:
        """Order a rollout; 200 says that the order is durable."""
        self._check_token(scope)
        try:
            order = models.RolloutOrder.parse(body)
        except ValueError as error:
            raise _error_response(400, "invalid", str(error)) from error
        status = await self._feed_and_wait(
            events.RolloutRequested,
            service=order.service,
            target_version=order.target_version,
            duration_s=order.duration_s,
        )
        content = json.dumps({"status": str(status)})
        return Response(ROLLOUT_STATUS_CODES[status], content.encode())

    async def _get_rollout(
        self, scope: dict[str, Any], body: bytes
    ) -> Response:
        """Return the newest rollout of a service.

        The answer has status 503 if no quorum confirms it.
        """
        self._check_token(scope)
        result = await self._feed_and_wait(
            events.RolloutReadRequested, service=_rollout_service(scope)
        )
        if isinstance(result, rollout_requests.RolloutUnavailable):
            raise _error_response(
                503, "unavailable", "no quorum confirms the rollout"
            )
        if result.rollout is None:
            raise _error_response(404, "not-found", "no rollout was ordered")
        view = models.RolloutView.of(result.rollout)
        return Response(200, view.model_dump_json().encode())

    async def _get_config(self, scope: dict[str, Any], body: bytes) -> Response:
        """Return the configuration in force at this node."""
        self._check_token(scope)
        view = models.ConfigView.of(self._engine.state.config.catalog)
        return Response(200, view.model_dump_json().encode())

    async def _get_status(self, scope: dict[str, Any], body: bytes) -> Response:
        self._check_token(scope)
        result = await self._feed_and_wait(survey.SurveyRequested)
        view = models.StatusView.of(result)
        return Response(200, view.model_dump_json().encode())

    async def _get_node(self, scope: dict[str, Any], body: bytes) -> Response:
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
        return Response(200, view.model_dump_json().encode())

    async def _announce_upstream(
        self, scope: dict[str, Any], body: bytes
    ) -> Response:
        self._check_local(scope)
        try:
            announcement = models.Announcement.model_validate_json(body)
        except pydantic.ValidationError as error:
            raise _error_response(422, "invalid", str(error)) from error
        await self._feed_announcement(
            service=announcement.service,
            slots=announcement.slots,
            cold=announcement.cold,
            port=announcement.port,
        )
        return Response(200, b'{"status": "announced"}')

    async def _feed_announcement(self, **fields: Any) -> None:
        """Feed an announcement to the reducer and wait for the result.

        Raises:
            Response: Status 409 if the reducer ignores the announcement as
                outdated, or 503 if it is a notice of leaving that could not
                be stored.
        """
        result = await self._feed_and_wait(events.UpstreamAnnounced, **fields)
        if not result.accepted:
            raise _error_response(
                409, "outdated", "a newer announcement is known"
            )
        _check_stored(result)

    async def _drain_upstream(
        self, scope: dict[str, Any], body: bytes
    ) -> Response:
        self._check_local(scope)
        _check_stored(await self._feed_and_wait(events.UpstreamDraining))
        in_progress = len(self._engine.state.admission.in_progress)
        content = {"status": "draining", "in_progress": in_progress}
        return Response(200, json.dumps(content).encode())

    async def _receive_heartbeat(
        self, scope: dict[str, Any], body: bytes
    ) -> Response:
        """Handle a heartbeat, with which a named upstream announces itself."""
        self._check_local(scope)
        try:
            heartbeat = models.Heartbeat.parse(_upstream_name(scope), body)
            address = heartbeat.host_port()
        except ValueError as error:
            raise self._reject_announcement(scope, str(error)) from error
        known_services = self._engine.state.config.catalog.services
        if address.host != self._pool.host:
            raise self._reject_announcement(
                scope, "address of another instance"
            )
        if known_services and heartbeat.service not in known_services:
            raise self._reject_announcement(scope, "unknown service")
        await self._feed_announcement(
            service=heartbeat.service,
            slots=heartbeat.slots,
            cold=heartbeat.cold_s > 0,
            cold_s=heartbeat.cold_s,
            port=address.port,
            draining=heartbeat.state == "draining",
            upstream_id=_upstream_name(scope),
            started_ms=heartbeat.born,
            sequence=heartbeat.sequence,
            version=heartbeat.version or "",
        )
        return Response(200, b"{}")

    async def _receive_deregistration(
        self, scope: dict[str, Any], body: bytes
    ) -> Response:
        """Handle a deregistration, with which a named upstream leaves."""
        self._check_local(scope)
        name = _upstream_name(scope)
        try:
            deregistration = models.Deregistration.parse(name, body)
        except ValueError as error:
            raise self._reject_announcement(scope, str(error)) from error
        result = await self._feed_and_wait(
            events.UpstreamDraining,
            upstream_id=name,
            started_ms=deregistration.born,
        )
        _check_stored(result)
        return Response(200, b"{}")

    def _reject_announcement(
        self, scope: dict[str, Any], cause: str
    ) -> Response:
        """Log why a request of an upstream is rejected.

        Returns:
            The error response, for the caller to raise.
        """
        cause = " ".join(cause.split())[:200]
        self._logger.write(
            log_events.Code.ANNOUNCEMENT_IGNORED,
            upstream=_upstream_name(scope)[:64],
            cause=cause,
        )
        return _error_response(422, "invalid", cause)

    async def _get_metrics(
        self, scope: dict[str, Any], body: bytes
    ) -> Response:
        state = self._engine.state
        self._metrics.upstream_slots.set(state.admission.slots)
        self._metrics.upstream_slots_used.set(len(state.admission.in_progress))
        self._metrics.queued_calls.set(state.admission.queued)
        self._metrics.configuration_version.set(state.config.version)
        self._metrics.members.set(state.membership.table.present_count)
        holder = state.quotas.holder
        calls = self._metrics.quota_calls
        calls.labels("admitted").set(holder.admitted)
        calls.labels("waited").set(holder.waited)
        calls.labels("refused").set(holder.refused)
        self._metrics.quota_requests.set(holder.requests)
        self._metrics.quota_own_share.set(holder.is_on_own_share)
        self._metrics.set_rollouts(state.rollouts.known.values())
        return Response(
            200,
            self._metrics.render(),
            b"text/plain; version=0.0.4; charset=utf-8",
        )

    async def _get_health(self, scope: dict[str, Any], body: bytes) -> Response:
        if self._engine.state.disk_failed:
            raise _error_response(503, "disk-failed", "a journal write failed")
        return Response(200, b'{"status": "ok"}')

    async def _get_readiness(
        self, scope: dict[str, Any], body: bytes
    ) -> Response:
        state = self._engine.state
        if state.stopping or not state.config.can_route:
            raise _error_response(503, "not-ready", "no configuration in force")
        return Response(200, b'{"status": "ready"}')

    async def _feed_and_wait(self, event_type: Any, **fields: Any) -> Any:
        """Feed a request to the reducer and return its reply.

        Args:
            event_type: The event's class.
            **fields: The event's fields, without `request_id`.

        Raises:
            Response: Status 429 if too many requests are pending, or 504 if no
                reply came within `REPLY_TIMEOUT_S`.
        """
        if len(self._pending_requests) >= PENDING_REQUESTS_MAX:
            raise _error_response(429, "busy", "too many requests wait")
        request_id = next(self._request_ids)
        reply_received = anyio.Event()
        replies: list[Any] = []
        self._pending_requests[request_id] = (reply_received, replies)
        try:
            self._engine.feed(event_type, request_id=request_id, **fields)
            with anyio.move_on_after(REPLY_TIMEOUT_S):
                await reply_received.wait()
        finally:
            del self._pending_requests[request_id]
        if not replies:
            raise _error_response(504, "unconfirmed", "no answer in time")
        return replies[0]

    def _perform_reply(self, effect: effects.Reply) -> None:
        pending = self._pending_requests.get(effect.request_id)
        if pending is not None:
            pending[1].append(effect.result)
            pending[0].set()

    def _check_token(self, scope: dict[str, Any]) -> None:
        """Refuse a request without the token, if the settings have one.

        Raises:
            Response: Status 401.
        """
        if self._token is None:
            return
        received = dict(scope["headers"]).get(b"authorization", b"")
        expected = f"Bearer {self._token}".encode()
        if not hmac.compare_digest(received, expected):
            raise _error_response(401, "unauthorized", "a token is needed")

    def _check_local(self, scope: dict[str, Any]) -> None:
        """Refuse a request that does not come from this instance.

        Raises:
            Response: Status 403.
        """
        client = scope.get("client")
        own_hosts = ("127.0.0.1", "::1", self._pool.host)
        if client is None or client[0] not in own_hosts:
            raise _error_response(403, "forbidden", "only from this instance")


def _check_stored(result: own_upstream_state.AnnouncementResult) -> None:
    """Refuse to acknowledge a notice of leaving that is not durable.

    Raises:
        Response: Status 503.
    """
    if not result.stored:
        raise _error_response(
            503, "not-stored", "the control group cannot store the notice now"
        )


def _upstream_name(scope: dict[str, Any]) -> str:
    """Return the name of the upstream in the path, or an empty string."""
    prefix, _, name = scope["path"].partition(UPSTREAMS_PATH)
    return "" if prefix else name


def _rollout_service(scope: dict[str, Any]) -> str:
    """Return the service in the path of a rollout, or an empty string."""
    prefix, _, service = scope["path"].partition(ROLLOUTS_PATH)
    return "" if prefix else service


def _error_response(status: int, code: str, message: str) -> Response:
    content = json.dumps({"status": code, "message": message})
    return Response(status, content.encode())


async def _read_body(receive: Receive) -> bytes:
    body = bytearray()
    while True:
        event = await receive()
        if event["type"] != "http.request":
            raise _error_response(400, "gone", "the client is gone")
        body += event.get("body", b"")
        if len(body) > BODY_MAX_BYTES:
            raise _error_response(413, "too-large", "the body is too long")
        if not event.get("more_body", False):
            return bytes(body)
