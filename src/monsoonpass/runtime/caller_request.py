"""One request of a caller's connection, as an ASGI application sees it.

Requests of one connection may be in progress at once; their answers are sent in
the order of the requests. Only the oldest request, the first, sends.
"""

import collections
from collections.abc import Callable
from typing import Any
from typing import Protocol
from urllib import parse

import anyio
import h11

from monsoonpass import errors
from monsoonpass.runtime import caller_load
from monsoonpass.runtime import chunk_merger
from monsoonpass.runtime import parse_throttle

# Received bytes that are parsed at once.
PARSE_BYTES = 16 * 1024
# Steps of the chunk merger that take as long as one event of the parser: 2.3
# and 11 us.
STEPS_PER_EVENT = 4
# A caller that sends no byte of an unfinished body for this time has given up.
# Callers within the limits may pause for 15 s.
BODY_IDLE_TIMEOUT_S = 20.0

REFUSALS = (429, 503)

# How an application's send fails if the caller is gone or slow, and how an
# application ends an answer that has failed.
CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    TimeoutError,
    OSError,
    errors.ResponseAbortedError,
)


class ConnectionOfRequest(Protocol):
    """Operations of a connection that its requests use."""

    is_caller_gone: bool
    is_disconnected: bool
    peer: tuple
    load: caller_load.CallerLoad

    def take(self, max_bytes: int) -> bytes:
        """Remove received bytes and return them."""

    def put_back(self, data: bytes) -> None:
        """Return bytes that belong to the next request."""

    def release(self, size_bytes: int) -> None:
        """Count taken bytes as passed on."""

    def set_collecting(self, collecting: bool) -> None:
        """Record whether a body is received whose request may be refused."""

    def start_pipelined(self) -> None:
        """Start requests that have arrived behind others, as far as allowed."""

    def wake(self) -> None:
        """End a wait for data, so that its task looks at its state."""

    async def wait_for_data(self) -> None:
        """Wait until more was received, or the caller has disconnected."""

    async def send(self, data: bytes) -> None:
        """Send data to the caller."""

    def closes_after(self, request: "CallerRequest") -> bool:
        """Return whether the connection ends with a request's answer."""


class CallerRequest:
    """One request and its answer.

    Attributes:
        parser: Parses the body and formats the answer of this request only.
        is_first: Whether all requests before it have been answered, on a
            connection that stays open.
        is_parked: Whether the application waits until it is the first.
        ended: Set once the application has returned.
        failed: Whether the application has failed.
        refused_status: Status that replaces the application's answer, or 0.
        is_streaming: Whether the application passes the body on as it
            arrives.
        is_broken_off: Whether a body failed while it was passed on.
        is_refusal: Whether the answer says that the node has no room.
    """

    def __init__(
        self,
        *,
        connection: ConnectionOfRequest,
        parser: h11.Connection,
        head: h11.Request,
        body_max_bytes: int,
    ):
        self.parser = parser
        self.is_first = False
        self.is_parked = False
        self.ended = anyio.Event()
        self.failed = False
        self.refused_status = 0
        self.is_streaming = False
        self.is_broken_off = False
        self.is_refusal = False
        self._connection = connection
        self._head = head
        self._over = anyio.Event()
        self._may_go_on = anyio.Event()
        self._disconnect_callback: Callable[[], None] | None = None
        self._answer_start: dict[str, Any] | None = None
        self._body_max_bytes = body_max_bytes
        self._body_bytes = 0
        self._end_is_reported = False
        # Received bytes of the body that count as held: all, those that the
        # application keeps, and those that it is passing on.
        self._counted_bytes = 0
        self._kept_bytes = 0
        self._passing_bytes = 0
        self._merger: chunk_merger.ChunkMerger | None = None
        self._length_left_bytes = 0
        self._pieces: collections.deque[tuple[bool, bytes]] = (
            collections.deque()
        )
        self._parser_has_data = False
        self._throttle: parse_throttle.ParseThrottle | None = None
        self._expects_continue = parser.they_are_waiting_for_100_continue
        self._read_framing(head)
        self.body_ended = isinstance(parser.next_event(), h11.EndOfMessage)

    def _read_framing(self, head: h11.Request) -> None:
        for name, value in head.headers:
            if name == b"transfer-encoding":
                self._merger = chunk_merger.ChunkMerger()
            elif name == b"content-length":
                self._length_left_bytes = int(value)

    @property
    def may_run_early(self) -> bool:
        """Whether the application may be called before it is the first."""
        return (
            not self._expects_continue
            and not self.is_declared_too_long
            and self.parser.their_state is not h11.MIGHT_SWITCH_PROTOCOL
        )

    @property
    def is_declared_too_long(self) -> bool:
        """Whether the declared length exceeds the limit."""
        return self._length_left_bytes > self._body_max_bytes

    @property
    def allows_another(self) -> bool:
        """Whether the request is complete and allows another behind it."""
        return self.body_ended and self.parser.their_state is h11.DONE

    @property
    def is_caller_gone(self) -> bool:
        """Whether the caller has closed, even if data before that is unread."""
        return self._connection.is_caller_gone

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Set the function to call once the caller has disconnected.

        It is called immediately if the caller has disconnected already.
        """
        self._disconnect_callback = callback
        if self._connection.is_disconnected:
            callback()

    def start_streaming(self) -> None:
        """Declare that the body is passed on from now on as it arrives."""
        self.is_streaming = True
        self._connection.set_collecting(False)

    async def wait_until_first(self) -> None:
        """Wait until all requests before this one have been answered.

        Raises:
            CallerDisconnectedError: The caller has disconnected.
        """
        if self.is_first:
            return
        self.is_parked = True
        await self._may_go_on.wait()
        self.is_parked = False
        if not self.is_first:
            raise errors.CallerDisconnectedError("the caller disconnected")

    def become_first(self) -> None:
        """Let the answer be sent."""
        self.is_first = True
        self._may_go_on.set()

    def disconnect(self) -> None:
        """End all waits of the application, since the caller is gone."""
        self._over.set()
        self._may_go_on.set()
        if self._disconnect_callback is not None:
            self._disconnect_callback()

    def refuse(self, status: int) -> None:
        """Let a status replace the answer of the application."""
        if not self.refused_status:
            self.refused_status = status
            self._release_all()
            self._over.set()
            self._connection.wake()

    async def run(
        self, app: Callable[..., Any], on_error: Callable[[Exception], None]
    ) -> None:
        """Call the application."""
        try:
            await app(self._scope(), self.receive, self.send)
        except Exception as error:
            if not isinstance(error, CONNECTION_ERRORS):
                on_error(error)
            self.failed = True
        finally:
            self._disconnect_callback = None
            self._over.set()
            self._connection.wake()
            self._release_all()
            self.ended.set()

    def _scope(self) -> dict[str, Any]:
        head = self._head
        raw_path, _, query = head.target.partition(b"?")
        return {
            "type": "http",
            "http_version": head.http_version.decode(),
            "method": head.method.decode(),
            "path": parse.unquote(raw_path.decode("latin-1")),
            "raw_path": raw_path,
            "query_string": query,
            "headers": list(head.headers),
            "client": self._connection.peer,
            "extensions": {"monsoonpass": self},
        }

    async def receive(self) -> dict[str, Any]:
        """Return the next body or disconnect event (ASGI).

        Once the request is over, a task that still reads its body gets a
        disconnect, and no byte of the next request.

        A body that is refused, such as one that exceeds the limit, is
        reported as a disconnect, so that the application ends the call.
        """
        if self._passing_bytes:
            self._release(self._passing_bytes)
            self._passing_bytes = 0
        while not self._over.is_set() and not self._end_is_reported:
            body = b""
            if not self.body_ended:
                throttle = self._body_throttle()
                if throttle.is_pause_due:
                    await throttle.pause()
                    continue
                try:
                    body = self._next_body_part(throttle)
                except h11.RemoteProtocolError as error:
                    if self.is_streaming:
                        self._break_off()
                    else:
                        self.refuse(error.error_status_hint)
                    return {"type": "http.disconnect"}
                if self._body_bytes > self._body_max_bytes:
                    self.refuse(413)
                    if self._disconnect_callback is not None:
                        self._disconnect_callback()
                    return {"type": "http.disconnect"}
            if body or self.body_ended:
                self._end_is_reported = self.body_ended
                return {
                    "type": "http.request",
                    "body": body,
                    "more_body": not self.body_ended,
                }
            if self._connection.is_disconnected:
                return {"type": "http.disconnect"}
            if not throttle.is_pause_due:
                await self._wait_for_body()
        await self._over.wait()
        return {"type": "http.disconnect"}

    async def _wait_for_body(self) -> None:
        """Wait for more of the body, for a limited time."""
        if self.parser.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=100, headers=[])
            await self._connection.send(self.parser.send(response))
        if not self.is_streaming:
            self._connection.set_collecting(True)
        with anyio.move_on_after(BODY_IDLE_TIMEOUT_S) as scope:
            await self._connection.wait_for_data()
        if not scope.cancelled_caught:
            return
        self._connection.load.on_shed(caller_load.BODY_TIMED_OUT)
        if self.is_streaming:
            self._break_off()
        else:
            self.refuse(408)

    def _break_off(self) -> None:
        """End a call whose body has failed in the middle.

        The call may have run, so no status may promise otherwise.
        """
        self.is_broken_off = True
        self._over.set()
        if self._disconnect_callback is not None:
            self._disconnect_callback()

    def _body_throttle(self) -> parse_throttle.ParseThrottle:
        if self._throttle is None:
            self._throttle = parse_throttle.ParseThrottle(
                shared=self._connection.load.parse_rate
            )
        return self._throttle

    def _next_body_part(self, throttle: parse_throttle.ParseThrottle) -> bytes:
        """Return the received part of the body and update `body_ended`."""
        parts = []
        while not self.body_ended and not throttle.is_pause_due:
            if self._parser_has_data:
                throttle.count_event()
                event = self.parser.next_event()
                if isinstance(event, h11.Data):
                    parts.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    self._end_body()
                else:
                    self._parser_has_data = False
            elif self._pieces:
                is_plain, data = self._pieces.popleft()
                if is_plain:
                    parts.append(data)
                else:
                    self.parser.receive_data(data)
                    self._parser_has_data = True
            elif not self._take_pieces(throttle):
                break
        body = b"".join(parts)
        self._body_bytes += len(body)
        if self.is_streaming:
            self._passing_bytes += len(body)
        else:
            self._kept_bytes += len(body)
        if not self._parser_has_data and not self._pieces:
            # The chunk headers were counted as received, but nobody keeps them.
            self._release(
                self._counted_bytes - self._kept_bytes - self._passing_bytes
            )
        return body

    def _take_pieces(self, throttle: parse_throttle.ParseThrottle) -> bool:
        """Take received bytes of this request; return whether there are any."""
        if self._merger is None:
            max_bytes = min(self._length_left_bytes, PARSE_BYTES)
            data = self._connection.take(max_bytes)
            self._length_left_bytes -= len(data)
            pieces = ((False, data),)
        else:
            data = self._connection.take(PARSE_BYTES)
            first, plain, rest = self._merger.feed(data)
            throttle.count_event(self._merger.steps // STEPS_PER_EVENT)
            self._merger.steps %= STEPS_PER_EVENT
            pieces = ((False, first), (True, plain), (False, rest))
        self._counted_bytes += len(data)
        self._pieces.extend(piece for piece in pieces if piece[1])
        return bool(data)

    def _end_body(self) -> None:
        self.body_ended = True
        self._parser_has_data = False
        self._connection.set_collecting(False)
        rest, _ = self.parser.trailing_data
        rest += b"".join(data for _, data in self._pieces)
        self._pieces.clear()
        if rest:
            self._counted_bytes -= len(rest)
            self._connection.put_back(rest)
        self._connection.start_pipelined()

    def _release(self, size_bytes: int) -> None:
        self._counted_bytes -= size_bytes
        self._connection.release(size_bytes)

    def _release_all(self) -> None:
        if self._counted_bytes:
            self._connection.set_collecting(False)
            self._release(self._counted_bytes)
            self._passing_bytes = 0
        self._pieces.clear()

    async def send(self, message: dict[str, Any]) -> None:
        """Send an event of the answer (ASGI), once the request is the first.

        Raises:
            BrokenResourceError: The caller disconnected before that.
        """
        if self.refused_status:
            return
        if message["type"] == "http.response.start":
            self._answer_start = message
            self.is_refusal = message["status"] in REFUSALS
            return
        if not self.is_first:
            await self._may_go_on.wait()
            if not self.is_first:
                raise anyio.BrokenResourceError
        data = b""
        if self._answer_start is not None:
            data = self.parser.send(self._make_response(self._answer_start))
            self._answer_start = None
        body = message.get("body", b"")
        if body:
            data += self.parser.send(h11.Data(data=body))
        if not message.get("more_body", False):
            data += self.parser.send(h11.EndOfMessage())
        await self._connection.send(data)

    def _make_response(self, message: dict[str, Any]) -> h11.Response:
        headers = list(message["headers"])
        self._discard_received_body()
        if not self.body_ended or self._connection.closes_after(self):
            headers.append((b"connection", b"close"))
        return h11.Response(status_code=message["status"], headers=headers)

    def _discard_received_body(self) -> None:
        """Parse and drop the received part of a body that is not read."""
        if self.body_ended:
            return
        try:
            self._next_body_part(self._body_throttle())
        except h11.RemoteProtocolError:
            return
