"""Pooled HTTP/1.1 connections to the local upstream, built on h11."""

from collections.abc import AsyncIterator
import re
import select

import anyio
import h11

from monsoonpass import errors
from monsoonpass import immutable
from monsoonpass.runtime import parse_throttle
from monsoonpass.runtime import streams

CONNECT_TIMEOUT_S = 0.5  # The upstream is on the same instance.
# Common HTTP servers close idle connections after five seconds.
IDLE_MAX_S = 4.0
# Share of the idle timeout in the upstream's Keep-Alive header for which an
# idle connection is used again.
IDLE_TIMEOUT_FRACTION = 0.8
# A call that must not be repeated needs a connection that the upstream is
# unlikely to close just now.
NON_IDEMPOTENT_IDLE_MAX_S = 1.0
NO_CALL_ID = (b"", b"")
RECEIVE_BYTES = 64 * 1024
HEAD_MAX_BYTES = 64 * 1024
# Informational (1xx) responses to one call; servers send one or two.
INTERIM_RESPONSES_MAX = 16
# Skipped responses to other calls; few responses arrive late.
SKIPPED_RESPONSES_MAX = 4
# A connection with a longer response to another call is closed.
SKIPPED_RESPONSE_MAX_BYTES = 1024 * 1024
BODY_PART_BYTES = 64 * 1024  # Small pieces of a body are merged up to this.


@immutable.dataclass
class Head:
    """Status and headers of an upstream's response."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]


class Connection:
    """One connection to the upstream.

    Attributes:
        process_number: Number of the upstream process it is connected to.
        idle_since_s: Time at which the last exchange ended.
        idle_max_s: Longest idle time after which the connection is used
            again.
        request_body_bytes: Length of the body of the last request, as far as
            it was sent.
    """

    def __init__(self, *, stream: streams.Stream, process_number: int):
        self.process_number = process_number
        self._stream = stream
        self._must_close = False
        # Whether the last write has not completed. The parser counts bytes as
        # sent that a cancelled write may not have passed to the socket.
        self._write_incomplete = False
        self._throttle = parse_throttle.ParseThrottle()
        self._request: h11.Request | None = None
        self.idle_max_s = IDLE_MAX_S
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=HEAD_MAX_BYTES
        )
        self._poll = select.poll()
        self._poll.register(
            stream.raw_socket.fileno(), select.POLLIN | select.POLLRDHUP
        )
        self.idle_since_s = 0.0
        self.request_body_bytes = 0

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return (
            self._h11.our_state is h11.IDLE
            and not self._must_close
            and not self._write_incomplete
        )

    @property
    def is_stale(self) -> bool:
        """Whether the upstream closed the connection or sent excess data."""
        # After the connection is lost, its descriptor may be another's.
        return self._stream.has_input or bool(self._poll.poll(0))

    async def send_head(
        self,
        method: str,
        target: bytes,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes = b"",
        *,
        ended: bool = False,
    ) -> None:
        """Send the head of a request, and the start of its body.

        Args:
            method: HTTP method.
            target: Path and query.
            headers: Request headers.
            body: The start of the body, or all of it.
            ended: Whether `body` is the whole body.

        Raises:
            UpstreamResponseError: The upstream closed the connection, or the
                request is not valid HTTP.
        """
        try:
            request = h11.Request(
                method=method, target=target, headers=list(headers)
            )
            data = self._h11.send(request)
            self._request = request
            self.request_body_bytes = len(body)
            if body:
                data += self._h11.send(h11.Data(data=body))
            if ended:
                data += self._h11.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            raise errors.UpstreamResponseError(str(error)) from error
        await self._send(data)

    async def send_body(self, body: bytes, *, ended: bool) -> None:
        """Send more of the request body.

        Raises:
            UpstreamResponseError: The upstream closed the connection, or the
                body does not fit its declared length.
        """
        try:
            data = self._h11.send(h11.Data(data=body)) if body else b""
            self.request_body_bytes += len(body)
            if ended:
                data += self._h11.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            raise errors.UpstreamResponseError(str(error)) from error
        if data:
            await self._send(data)

    async def receive_head(
        self, call_id: tuple[bytes, bytes] = NO_CALL_ID
    ) -> Head:
        """Receive the head of the response, skipping informational ones.

        A surplus response to another call is skipped too; the connection is
        not reused after that.

        Args:
            call_id: Name and value of the header that identifies the call. The
                response must repeat it, or lack it if the value is empty.
                With an empty name, every response is accepted.

        Raises:
            UpstreamResponseError: The connection broke, or the response is
                malformed.
        """
        interim_count = 0
        skipped_count = 0
        while (
            interim_count <= INTERIM_RESPONSES_MAX
            and skipped_count <= SKIPPED_RESPONSES_MAX
        ):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = tuple(event.headers)
                if not _is_response_to(call_id, headers):
                    skipped_count += 1
                    await self._skip_response()
                    continue
                self._update_idle_limit(headers)
                return Head(status=event.status_code, headers=headers)
            interim_count += 1
            if not isinstance(event, h11.InformationalResponse):
                raise errors.UpstreamResponseError("the response has no head")
        raise errors.UpstreamResponseError(
            f"received {interim_count} informational responses and "
            f"{skipped_count} to other calls instead of the expected one"
        )

    async def receive_body(self) -> AsyncIterator[bytes]:
        """Yield the response body; it is complete if no error is raised.

        Raises:
            UpstreamResponseError: The connection broke, or the response is
                malformed.
        """
        is_ended = False
        while not is_ended:
            part, is_ended = await self.receive_part()
            if part:
                yield part

    async def receive_part(self) -> tuple[bytes, bool]:
        """Wait for more of the response body.

        Returns:
            The next part, and whether the body ends with it.

        Raises:
            UpstreamResponseError: The connection broke, or the response is
                malformed.
        """
        parts: list[bytes] = []
        size_bytes = 0
        event = await self._next_event()
        while isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            size_bytes += len(event.data)
            if size_bytes >= BODY_PART_BYTES or self._throttle.is_pause_due:
                return b"".join(parts), False
            event = self._parse()
            if event is h11.NEED_DATA:
                return b"".join(parts), False
        if not isinstance(event, h11.EndOfMessage):
            raise errors.UpstreamResponseError("the response is incomplete")
        return b"".join(parts), True

    async def _skip_response(self) -> None:
        """Drop a response to another call and prepare to parse the next one.

        h11 expects one response per request, so a new parser is given a
        request with the same method and the bytes received so far.

        Raises:
            UpstreamResponseError: The response is too long, or no other
                response can follow on this connection.
        """
        self._must_close = True
        size_bytes = 0
        async for part in self.receive_body():
            size_bytes += len(part)
            if size_bytes > SKIPPED_RESPONSE_MAX_BYTES:
                raise errors.UpstreamResponseError(
                    "a response to another call is too long to skip"
                )
        trailing_data, is_closed = self._h11.trailing_data
        if is_closed or self._h11.our_state is not h11.DONE:
            raise errors.UpstreamResponseError(
                "the response is to another call"
            )
        parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=HEAD_MAX_BYTES
        )
        parser.send(
            h11.Request(
                method=self._request.method,
                target=b"/",
                headers=[(b"host", b"-")],
            )
        )
        parser.send(h11.EndOfMessage())
        if trailing_data:
            parser.receive_data(trailing_data)
        self._h11 = parser

    def _update_idle_limit(
        self, headers: tuple[tuple[bytes, bytes], ...]
    ) -> None:
        for name, value in headers:
            if name == b"keep-alive":
                match = re.search(rb"timeout=(\d+)", value)
                if match:
                    self.idle_max_s = int(match[1]) * IDLE_TIMEOUT_FRACTION

    def finish(self, now_s: float) -> None:
        """Prepare the connection for another request if HTTP allows it."""
        if self._h11.trailing_data != (b"", False):
            # Bytes after a complete response belong to no call.
            self._must_close = True
        elif self._h11.states == {
            h11.CLIENT: h11.DONE,
            h11.SERVER: h11.DONE,
        }:
            self._h11.start_next_cycle()
        self._throttle.reset()
        self.idle_since_s = now_s

    async def aclose(self) -> None:
        """Close the connection without waiting for the upstream."""
        self._stream.abort()

    def _parse(self) -> object:
        self._throttle.count_event()
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            raise errors.UpstreamResponseError(str(error)) from error

    async def _next_event(self) -> object:
        while True:
            if self._throttle.is_pause_due:
                await self._throttle.pause()
            event = self._parse()
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._stream.receive(RECEIVE_BYTES)
            except anyio.EndOfStream:
                data = b""
            except (anyio.BrokenResourceError, OSError) as error:
                raise errors.UpstreamResponseError(
                    "the connection broke"
                ) from error
            try:
                self._h11.receive_data(data)
            except RuntimeError as error:
                raise errors.UpstreamResponseError(str(error)) from error

    async def _send(self, data: bytes) -> None:
        self._write_incomplete = True
        try:
            await self._stream.send(data)
        except (anyio.BrokenResourceError, OSError) as error:
            raise errors.UpstreamResponseError(
                "the upstream closed the connection"
            ) from error
        self._write_incomplete = False


def _is_response_to(
    call_id: tuple[bytes, bytes], headers: tuple[tuple[bytes, bytes], ...]
) -> bool:
    """Return whether a response belongs to a call, as in `receive_head`."""
    name, value = call_id
    if not name:
        return True
    values = {header[1] for header in headers if header[0] == name}
    return value in values if value else not values


class ConnectionPool:
    """Connection pool of limited size to the upstream of this node.

    Attributes:
        host: IP address of the upstream.
        port: Port of the upstream; 0 until the upstream is announced.
        upstream_id: Identifier that the upstream gave itself, or empty.
        process_number: Number of the current upstream process, different from
            those of earlier processes.
    """

    def __init__(
        self,
        *,
        host: str,
        connections_max: int,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ):
        self.host = host
        self.port = 0
        self.upstream_id = b""
        self.process_number = 0
        self._idle: list[Connection] = []
        self._connect_timeout_s = connect_timeout_s
        self._slots = anyio.Semaphore(connections_max)

    def switch_process(
        self, *, port: int, upstream_id: bytes, process_number: int
    ) -> None:
        """Connect to another upstream process from now on.

        Args:
            port: Port of the process; 0 keeps the current one.
            upstream_id: Identifier that the process gave itself, or empty.
            process_number: Number of the process.
        """
        if port:
            self.port = port
        self.upstream_id = upstream_id
        self.process_number = process_number

    async def acquire(
        self, now_s: float, *, idempotent: bool = True
    ) -> Connection:
        """Return an idle or new connection for exclusive use.

        Args:
            now_s: Current time.
            idempotent: Whether the call can be sent again if the upstream
                has just closed the connection.

        Returns:
            A connection that the caller must pass to `release`.

        Raises:
            UpstreamConnectError: No connection could be opened.
        """
        await self._slots.acquire()
        try:
            while self._idle:
                connection = self._idle.pop()
                idle_s = now_s - connection.idle_since_s
                idle_max_s = connection.idle_max_s
                if not idempotent:
                    idle_max_s = min(idle_max_s, NON_IDEMPOTENT_IDLE_MAX_S)
                is_fresh = idle_s < idle_max_s and not connection.is_stale
                if (
                    is_fresh
                    and connection.process_number == self.process_number
                ):
                    return connection
                await connection.aclose()
            return await self._open()
        except BaseException:
            self._slots.release()
            raise

    async def release(
        self, connection: Connection, now_s: float, *, reuse: bool
    ) -> None:
        """Return a connection to the pool, or close it.

        Args:
            connection: A connection from `acquire`.
            now_s: Current time.
            reuse: Whether the exchange ended with a complete response.
        """
        connection.finish(now_s)
        try:
            is_current = connection.process_number == self.process_number
            if reuse and is_current and connection.is_reusable:
                self._idle.append(connection)
            else:
                await connection.aclose()
        finally:
            self._slots.release()

    async def close_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self._idle.pop().aclose()

    async def _open(self) -> Connection:
        if not self.port:
            raise errors.UpstreamConnectError("no upstream is announced")
        process_number = self.process_number
        try:
            with anyio.fail_after(self._connect_timeout_s):
                stream = await streams.connect(self.host, self.port)
        except (OSError, TimeoutError) as error:
            raise errors.UpstreamConnectError(str(error)) from error
        return Connection(stream=stream, process_number=process_number)
