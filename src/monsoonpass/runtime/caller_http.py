"""Reads callers' HTTP requests and builds the responses to them."""

import json
import math
from typing import Any

import anyio

from monsoonpass import errors
from monsoonpass.core.calls import call_messages as messages
from monsoonpass.core.calls import outcome
from monsoonpass.formats import bounds
from monsoonpass.formats import header_names as header_names_lib
from monsoonpass.runtime import body as body_lib
from monsoonpass.runtime import exchange as exchange_lib

Receive = exchange_lib.Receive

BODY_TIMEOUT_S = 30.0
TIMEOUT_MAX_MS = 3_600_000
# A body up to this length is kept, so that the request can be sent again.
BUFFERED_BODY_MAX_BYTES = 512 * 1024
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
STATUS_BY_REASON = {
    outcome.Reason.NO_ROUTE: 404,
    outcome.Reason.UNKNOWN_KEY: 401,
    outcome.Reason.TOO_LARGE: 413,
    outcome.Reason.EMPTY_KEY: 400,
    outcome.Reason.DUPLICATE_KEY: 409,
    outcome.Reason.OVER_QUOTA: 429,
}
DEADLINE_STATUS = 504
STATUS_BY_OUTCOME = {
    outcome.Outcome.NOT_RUN: 503,
    outcome.Outcome.UNKNOWN: 502,
    outcome.Outcome.FAILED: 502,
}


async def receive_body_start(
    headers: dict[bytes, bytes], receive: Receive
) -> tuple[bytes, bool]:
    """Receive a short request body as a whole, or the start of a long one.

    Returns:
        The bytes received, and whether they are the whole body.

    Raises:
        CallerDisconnectedError: The caller disconnected, or a short body did
            not arrive within `BODY_TIMEOUT_S`.
    """
    declared = headers.get(b"content-length", b"")
    is_long = declared.isdigit() and int(declared) > BUFFERED_BODY_MAX_BYTES
    is_short = not is_long
    parts = []
    size_bytes = 0
    ended = False
    with anyio.move_on_after(BODY_TIMEOUT_S):
        while not ended:
            event = await receive()
            if event["type"] != "http.request":
                raise errors.CallerDisconnectedError("the caller disconnected")
            parts.append(event.get("body", b""))
            size_bytes += len(parts[-1])
            ended = not event.get("more_body", False)
            if is_long or size_bytes > BUFFERED_BODY_MAX_BYTES:
                is_short = False
                break
    if is_short and not ended:
        raise errors.CallerDisconnectedError(
            "the request body did not arrive in time"
        )
    return b"".join(parts), ended


def host(headers: dict[bytes, bytes]) -> str:
    """Return the host that a request addresses, without its port."""
    value = headers.get(b"host", b"") or headers.get(b":authority", b"")
    return value.decode("latin-1").partition(":")[0].lower()


def body_rest_bytes(
    headers: dict[bytes, bytes], exchange: exchange_lib.Exchange
) -> int:
    """Return the length of the request body after its received start.

    A body without a declared length counts as long as one that is kept.
    """
    if exchange.body_complete:
        return 0
    declared = headers.get(b"content-length", b"")
    if not declared.isdigit():
        return BUFFERED_BODY_MAX_BYTES
    return max(int(declared) - len(exchange.body_start), 0)


async def cancel_on_disconnect(
    receive: Receive, scope: anyio.CancelScope
) -> None:
    """Cancel a scope once the caller has disconnected."""
    event = await receive()
    while event["type"] != "http.disconnect":
        event = await receive()
    scope.cancel()


async def fill_pipe(receive: Receive, pipe: body_lib.Pipe) -> None:
    """Move a request body into a pipe, pausing while the pipe is full."""
    ended = False
    while not ended and not pipe.closed:
        event = await receive()
        if event["type"] != "http.request":
            pipe.fail(errors.CallerDisconnectedError("the caller disconnected"))
            return
        ended = not event.get("more_body", False)
        pipe.push(event.get("body", b""), ended=ended)
        await pipe.wait_writable()


def end_to_end_headers(headers: Any) -> messages.Headers:
    """Return headers without hop-by-hop headers and HTTP/2 pseudo-headers."""
    connection_options: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            connection_options.update(
                item.strip() for item in value.lower().split(b",")
            )
    return tuple(
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP
        and name not in connection_options
        and not name.startswith(b":")
    )


def request_headers(
    headers: Any,
    header_names: header_names_lib.HeaderNames,
    own_service: str,
    *,
    size_bytes: int = 0,
    has_workspaces: bool = False,
    workspace: str = "",
) -> messages.Headers:
    """Return the request headers to send to the upstream.

    Args:
        headers: The caller's headers.
        header_names: Names of the headers that only nodes may set.
        own_service: Service of this instance, whose processes are the callers.
        size_bytes: Length of the body if it is complete, else 0.
        has_workspaces: Whether callers present keys of workspaces.
        workspace: Name of the caller's workspace, or empty.

    Returns:
        The end-to-end headers. Headers that only nodes may set are removed,
        and the caller's service is set to `own_service`. The header for keys
        is removed if callers present keys, whatever it contains, since a
        mistyped key is a secret, too.
    """
    reserved = {
        header_names.timeout_ms,
        header_names.upstream_id,
        header_names.caller_service,
        header_names.workspace,
    }
    if has_workspaces:
        reserved.add(header_names.workspace_key)
    forwarded = tuple(
        item for item in end_to_end_headers(headers) if item[0] not in reserved
    )
    if size_bytes and all(item[0] != b"content-length" for item in forwarded):
        forwarded = (*forwarded, (b"content-length", str(size_bytes).encode()))
    if workspace and header_names.workspace:
        forwarded = (*forwarded, (header_names.workspace, workspace.encode()))
    if not header_names.caller_service:
        return forwarded
    return (*forwarded, (header_names.caller_service, own_service.encode()))


def workspace_key(
    headers: Any, header_names: header_names_lib.HeaderNames
) -> bytes | None:
    """Return the key that a request carries.

    Args:
        headers: The caller's headers.
        header_names: Name and authentication scheme of the header with the key.

    Returns:
        The key; None without the header or with another scheme; empty, which
        is the key of no workspace, if the header stands more than once.
    """
    values = [
        value for name, value in headers if name == header_names.workspace_key
    ]
    if not values:
        return None
    if len(values) > 1:
        return b""
    expected = header_names.workspace_key_scheme
    if not expected:
        return values[0]
    scheme, _, key = values[0].partition(b" ")
    return key.strip() if scheme.lower() == expected.lower() else None


def answer_headers(part: exchange_lib.AnswerPart) -> list[tuple[bytes, bytes]]:
    """Return the answer headers to send to the caller."""
    headers = list(end_to_end_headers(part.headers))
    if part.ended and all(name != b"content-length" for name, _ in headers):
        headers.append((b"content-length", str(len(part.body)).encode()))
    return headers


def timeout_s(
    headers: dict[bytes, bytes], header_names: header_names_lib.HeaderNames
) -> float | None:
    """Return the timeout that the caller set; None if missing or invalid."""
    text = headers.get(header_names.timeout_ms, b"")
    timeout_ms = bounds.parse_decimal(text) or 0
    if not 0 < timeout_ms <= TIMEOUT_MAX_MS:
        return None
    return timeout_ms / 1000.0


def request_fingerprint(exchange: exchange_lib.Exchange) -> bytes:
    """Return a digest that detects another request with the same key.

    It covers the body if that is complete, else only the declared length.
    """
    digest = body_lib.new_digest()
    digest.update(exchange.method.encode() + b" " + exchange.target + b"\n")
    if exchange.body_complete:
        digest.update(exchange.body_start)
    else:
        digest.update(dict(exchange.headers).get(b"content-length", b""))
    return digest.digest()


def decode_header(value: bytes | None) -> str | None:
    """Return a header value as text, or None if there is no header."""
    return value.decode("latin-1") if value is not None else None


def failure_response(
    failure: outcome.Failure, header_names: header_names_lib.HeaderNames
) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
    """Return the status, headers and body of the response for a failure."""
    status = STATUS_BY_OUTCOME[failure.outcome]
    if failure.reason is outcome.Reason.DEADLINE:
        not_run = failure.outcome is outcome.Outcome.NOT_RUN
        status = status if not_run else DEADLINE_STATUS
    status = STATUS_BY_REASON.get(failure.reason, status)
    content = json.dumps(
        {
            "outcome": failure.outcome,
            "reason": failure.reason,
            "retry_after_s": failure.retry_after_s,
        }
    ).encode()
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(content)).encode()),
        (b"monsoonpass-outcome", str(failure.outcome).encode()),
        (b"monsoonpass-reason", str(failure.reason).encode()),
    ]
    if failure.reason is outcome.Reason.UNKNOWN_KEY:
        scheme = header_names.workspace_key_scheme
        if scheme:
            headers.append((b"www-authenticate", scheme))
    if failure.retry_after_s is not None:
        decimals = header_names.retry_after_decimals
        unit_s = 10.0**-decimals
        rounded_s = max(1, math.ceil(failure.retry_after_s / unit_s)) * unit_s
        value = f"{rounded_s:.{decimals}f}"
        headers.append((b"retry-after", value.encode()))
    return status, headers, content
