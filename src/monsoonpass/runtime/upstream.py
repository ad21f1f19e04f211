"""HTTP/1.1 to the own upstream, by h11 on pooled anyio streams."""

from collections.abc import AsyncIterator
import dataclasses
import re
import select

import anyio
import anyio.abc
import h11

from monsoonpass import errors
from monsoonpass.runtime import parse_throttle

CONNECT_TIMEOUT_S = 0.5  # The upstream is on the same instance.
IDLE_MAX_S = 4.0  # Below the five seconds that common HTTP servers keep one.
IDLE_TIMEOUT_FRACTION = 0.8  # Part of the told idle time that is used.
# A call that must not repeat needs a fresher one.
NON_IDEMPOTENT_IDLE_MAX_S = 1.0
NO_CALL_ID = (b"", b"")
RECEIVE_BYTES = 64 * 1024
HEAD_MAX_BYTES = 64 * 1024
# Informational answers to one call; servers send one or two.
INTERIM_RESPONSES_MAX = 16
# Answers to other calls before that to one; late ones are few.
SKIPPED_RESPONSES_MAX = 4
# Of each; a longer one costs a connection.
SKIPPED_RESPONSE_MAX_BYTES = 1024 * 1024
BODY_PART_BYTES = 64 * 1024  # Of a body in small pieces, passed on as one.


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Head:
    """The head of an upstream's answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]


class Connection:
    """One connection to the upstream.

    Attributes:
        process_number: Number of the process that it leads to.
        idle_since_s: When its last exchange ended.
        idle_max_s: Time for which the upstream keeps it idle.
    """

    def __init__(self, *, stream: anyio.abc.SocketStream, process_number: int):
        self.process_number = process_number
        self._stream = stream
        self._is_tainted = False
        self._throttle = parse_throttle.ParseThrottle()
        self._request: h11.Request | None = None
        self.idle_max_s = IDLE_MAX_S
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=HEAD_MAX_BYTES
        )
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        self._poll = select.poll()
        self._poll.register(raw.fileno(), select.POLLIN | select.POLLRDHUP)
        self.idle_since_s = 0.0

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent."""
        return self._h11.our_state is h11.IDLE and not self._is_tainted

    @property
    def is_stale(self) -> bool:
        """Whether the upstream has closed it or sent something unasked."""
        return bool(self._poll.poll(0))

    async def send_head(
        self,
        method: str,
        target: bytes,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes = b"",
        *,
        ended: bool = False,
    ) -> None:
        """Send the request's head, with the first or all of its body.

        Raises:
            UpstreamBrokenError: The upstream closed the connection, or the
                request is not valid HTTP.
        """
        try:
            request = h11.Request(
                method=method, target=target, headers=list(headers)
            )
            data = self._h11.send(request)
            self._request = request
            if body:
                data += self._h11.send(h11.Data(data=body))
            if ended:
                data += self._h11.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            raise errors.UpstreamBrokenError(str(error)) from error
        await self._send(data)

    async def send_body(self, body: bytes, *, ended: bool) -> None:
        """Send more of the body.

        Raises:
            UpstreamBrokenError: The upstream closed the connection, or the
                body does not fit its declared length.
        """
        try:
            data = self._h11.send(h11.Data(data=body)) if body else b""
            if ended:
                data += self._h11.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            raise errors.UpstreamBrokenError(str(error)) from error
        if data:
            await self._send(data)

    async def receive_head(
        self, call_id: tuple[bytes, bytes] = NO_CALL_ID
    ) -> Head:
        """Receive the answer's head, skipping informational ones.

        An answer to another call, which the upstream sent once too often, is
        skipped too; the connection is not used again after that.

        Args:
            call_id: Header that the answer must repeat, if it has a name; with
                an empty value, one that the answer must not have.

        Raises:
            UpstreamBrokenError: The answer broke off or is malformed.
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
                raise errors.UpstreamBrokenError("the answer has no head")
        raise errors.UpstreamBrokenError(
            f"{interim_count} informational answers and {skipped_count} to "
            "other calls came instead of one"
        )

    async def receive_body(self) -> AsyncIterator[bytes]:
        """Yield the answer's body; ending without an error means whole.

        Raises:
            UpstreamBrokenError: The answer broke off or is malformed.
        """
        is_ended = False
        while not is_ended:
            part, is_ended = await self._next_part()
            if part:
                yield part

    async def _next_part(self) -> tuple[bytes, bool]:
        """Return what has arrived of the body, and whether that ends it."""
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
            raise errors.UpstreamBrokenError("the answer broke off")
        return b"".join(parts), True

    async def _skip_response(self) -> None:
        """Drop an answer and make the parser ready for the next one.

        Raises:
            UpstreamBrokenError: Nothing can follow it.
        """
        self._is_tainted = True
        size_bytes = 0
        async for part in self.receive_body():
            size_bytes += len(part)
            if size_bytes > SKIPPED_RESPONSE_MAX_BYTES:
                raise errors.UpstreamBrokenError(
                    "an answer is too long to skip"
                )
        trailing_data, is_closed = self._h11.trailing_data
        if is_closed or self._h11.our_state is not h11.DONE:
            raise errors.UpstreamBrokenError("the answer is to another call")
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
        """Make the connection ready for another request if HTTP allows."""
        if self._h11.trailing_data != (b"", False):
            # Bytes after a whole answer belong to no call.
            self._is_tainted = True
        elif self._h11.states == {
            h11.CLIENT: h11.DONE,
            h11.SERVER: h11.DONE,
        }:
            self._h11.start_next_cycle()
        self._throttle.reset()
        self.idle_since_s = now_s

    async def aclose(self) -> None:
        """Close the connection at once."""
        await anyio.aclose_forcefully(self._stream)

    def _parse(self) -> object:
        self._throttle.count_event()
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            raise errors.UpstreamBrokenError(str(error)) from error

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
                raise errors.UpstreamBrokenError(
                    "the connection broke"
                ) from error
            try:
                self._h11.receive_data(data)
            except RuntimeError as error:
                raise errors.UpstreamBrokenError(str(error)) from error

    async def _send(self, data: bytes) -> None:
        try:
            await self._stream.send(data)
        except (anyio.BrokenResourceError, OSError) as error:
            raise errors.UpstreamBrokenError(
                "the upstream closed the connection"
            ) from error


def _is_response_to(
    call_id: tuple[bytes, bytes], headers: tuple[tuple[bytes, bytes], ...]
) -> bool:
    """Return whether an answer repeats the id of a call, or the lack of it."""
    name, value = call_id
    if not name:
        return True
    values = {header[1] for header in headers if header[0] == name}
    return value in values if value else not values


class Pool:
    """The connections to the own upstream, at most a fixed number.

    Attributes:
        host: IP number of the upstream.
        port: Its port; set when it announces itself.
        upstream_id: Its own name, if it told one.
        process_number: Tells it from the processes that were there before.
    """

    def __init__(self, *, host: str, limit: int):
        self.host = host
        self.port = 0
        self.upstream_id = b""
        self.process_number = 0
        self._idle: list[Connection] = []
        self._slots = anyio.Semaphore(limit)

    def switch_process(
        self, *, port: int, upstream_id: bytes, process_number: int
    ) -> None:
        """Lead to another process from now on.

        Args:
            port: Its port; 0 if that is the same.
            upstream_id: Its own name, if it told one.
            process_number: Its number.
        """
        if port:
            self.port = port
        self.upstream_id = upstream_id
        self.process_number = process_number

    async def acquire(
        self, now_s: float, *, idempotent: bool = True
    ) -> Connection:
        """Return a connection that no other exchange uses.

        Args:
            now_s: Current time.
            idempotent: Whether the call can be sent again if the upstream
                has just closed the connection.

        Returns:
            A connection; give it back with `release`.

        Raises:
            UpstreamConnectError: None could be opened.
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
        """Give a connection back, or close it if it cannot be reused."""
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
        """Close all connections that no exchange uses."""
        while self._idle:
            await self._idle.pop().aclose()

    async def _open(self) -> Connection:
        if not self.port:
            raise errors.UpstreamConnectError("no upstream is announced")
        process_number = self.process_number
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(self.host, self.port)
        except (OSError, TimeoutError) as error:
            raise errors.UpstreamConnectError(str(error)) from error
        return Connection(stream=stream, process_number=process_number)
