"""Connection of one caller: reads requests, and answers them in their order.

Requests that a caller sends before it has the answer to an earlier one are
served at once, up to `PIPELINE_MAX` of them. Each has a parser of its own,
which gets the bytes of this request only; bytes that are not parsed yet stay in
one small buffer, and beyond that in the kernel.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import re
from typing import Any

import anyio
import anyio.abc
import anyio.lowlevel
import h11

from monsoonpass.core.calls import answer_check
from monsoonpass.core.distribution import host_route
from monsoonpass.runtime import caller_load
from monsoonpass.runtime import caller_request
from monsoonpass.runtime import caller_stream

RECEIVE_BYTES = 16 * 1024
RECEIVE_BODY_BYTES = 64 * 1024
# Unparsed bytes above which nothing more is read, unless a head is longer.
UNPARSED_MAX_BYTES = 16 * 1024
# Requests of one connection that are served at once.
PIPELINE_MAX = 8
# Pause before a connection's next request after a refusal, if so many bytes of
# requests wait behind it. Its caller does not slow down by itself, and a few
# hundred of them would leave no room for callers that wait for their answers.
REFUSAL_PAUSE_S = 1.0
FLOOD_BYTES = UNPARSED_MAX_BYTES // 2
# Time for the caller to read the answer before the connection is closed.
LINGER_TIMEOUT_S = 1.0
# A caller that accepts no data for this time counts as disconnected.
SEND_TIMEOUT_S = 30.0
# Idle connections are kept longer than the configured timeout by this margin.
IDLE_TIMEOUT_MARGIN_S = 2.0
REFUSAL_RETRY_AFTER_S = 1

# As in h11.
_HEAD_END = re.compile(rb"\n\r?\n")
_HEAD_END_MAX_BYTES = 3
_PRINTABLE_MIN = 0x21


def refusal(status: int) -> bytes:
    """Return an empty answer that ends the connection."""
    headers = "connection: close\r\ncontent-length: 0\r\n"
    if status in answer_check.NOT_RUN_STATUSES:
        headers += "monsoonpass-outcome: not-run\r\n"
    if status == 503:
        headers += f"retry-after: {REFUSAL_RETRY_AFTER_S}\r\n"
    return f"HTTP/1.1 {status} \r\n{headers}\r\n".encode()


App = Callable[[dict[str, Any], Any, Any], Awaitable[None]]


@dataclasses.dataclass(kw_only=True)
class Service:
    """What the connections of one server share.

    Attributes:
        app: The ASGI application.
        limits: Returns the limits in force for requests.
        is_closing: Returns whether connections should be closed after the
            next answer.
        on_error: Called with an unexpected error, which ends only its
            connection.
        count_open: Called with the change of the number of open requests.
        load: What all connections of the node use together.
        hangups: Reports callers that leave while reading is paused.
    """

    app: App
    limits: Callable[[], host_route.RequestLimits]
    is_closing: Callable[[], bool]
    on_error: Callable[[Exception], None]
    count_open: Callable[[int], None]
    load: caller_load.CallerLoad
    hangups: caller_stream.HangupWatch


class Connection:
    """Connection of one caller.

    Attributes:
        load: What all connections of the node use together.
        peer: Address of the caller.
        is_disconnected: Whether the end of the stream was read.
    """

    def __init__(self, *, service: Service, stream: caller_stream.CallerStream):
        self.load = service.load
        self.peer = stream.peer
        self.is_disconnected = False
        self._service = service
        self._stream = stream
        self._holder = self.load.open_holder(self)
        # Made here, since the connection may be closed before it is run.
        self._scope = anyio.CancelScope()
        self._group: anyio.abc.TaskGroup | None = None
        self._received = bytearray()
        self._head_search_start = 0
        self._data_arrived = anyio.Event()
        self._space_made = anyio.Event()
        self._is_discarding = False
        self._closes_next = False
        self._paused_until_s = 0.0
        self._awaits_body = False
        # Requests in progress, in their order.
        self._requests: collections.deque[caller_request.CallerRequest] = (
            collections.deque()
        )
        # A parsed request, or the error of a malformed one, that has to wait
        # until all requests before it have been answered.
        self._held_request: caller_request.CallerRequest | None = None
        self._held_error: h11.RemoteProtocolError | None = None

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            with self._scope:
                async with anyio.create_task_group() as group:
                    self._group = group
                    group.start_soon(self._read)
                    while await self._serve_next():
                        pass
                    group.cancel_scope.cancel()
        finally:
            self._reset_if_answering()
            self._service.hangups.remove(self._stream)
            self._count_open(-len(self._requests))
            self.load.close_holder(self._holder)

    def _reset_if_answering(self) -> None:
        """Reset a connection that ends in the middle of an answer.

        Callers with HTTP/1.0 take a close for the end of the answer.
        """
        if any(
            request.parser.our_state is h11.SEND_BODY
            for request in self._requests
        ):
            self._stream.reset_on_close()

    @property
    def is_caller_gone(self) -> bool:
        """Whether the caller has closed, even if data before that is unread."""
        return self.is_disconnected or self._stream.is_hung_up

    def stalled_since_s(self) -> float | None:
        """Return since when only the caller can go on, or None."""
        if self._stream.send_waits_since_s is not None:
            return self._stream.send_waits_since_s
        if not self._requests or self._holder.collecting:
            return self._holder.progress_s
        return None

    def close_for_others(self) -> None:
        """Close the connection without another answer."""
        self.load.on_shed(caller_load.CONNECTION_CLOSED)
        if self._requests:
            self._stream.reset_on_close()
        self._scope.cancel()

    def close_after_answer(self) -> bool:
        """Close a connection with requests that wait, after its next answer.

        Returns:
            Whether requests wait behind the one that is being served.
        """
        waits = bool(
            self._requests
            and self._requests[-1].allows_another
            and (
                self._received
                or self._held_request is not None
                or len(self._requests) > 1
            )
        )
        self._closes_next = waits
        if waits:
            self.load.on_shed(caller_load.CONNECTION_CLOSED)
        return waits

    def refuse_body(self) -> None:
        """Refuse the request whose body is being received."""
        self._requests[-1].refuse(503)

    def take(self, max_bytes: int) -> bytes:
        """Remove received bytes and return them."""
        data = bytes(self._received[:max_bytes])
        del self._received[:max_bytes]
        self._space_made.set()
        return data

    def put_back(self, data: bytes) -> None:
        """Return bytes that belong to the next request."""
        self._received[:0] = data

    def release(self, size_bytes: int) -> None:
        """Count taken bytes as passed on."""
        self.load.budget.remove(self._holder, size_bytes)

    def set_collecting(self, collecting: bool) -> None:
        """Record whether a body is received whose request may be refused."""
        if collecting != self._holder.collecting:
            self.load.budget.set_collecting(self._holder, collecting)

    def wake(self) -> None:
        """End a wait for data, so that its task looks at its state."""
        self._data_arrived.set()

    async def wait_for_data(self) -> None:
        """Wait until more was received, or the caller has disconnected."""
        self._data_arrived = anyio.Event()
        if not self.is_disconnected:
            self._awaits_body = bool(self._requests)
            await self._data_arrived.wait()
            self._awaits_body = False

    async def send(self, data: bytes) -> None:
        """Send data to the caller.

        Raises:
            OSError: The connection is broken.
            TimeoutError: The caller accepts no data.
        """
        try:
            await self._stream.send(data, SEND_TIMEOUT_S)
        except TimeoutError:
            self.load.on_shed(caller_load.ANSWER_UNREAD)
            raise

    def closes_after(self, request: caller_request.CallerRequest) -> bool:
        """Return whether the connection ends with a request's answer.

        A closing server still answers the requests that it has started.
        """
        if not self._is_closing:
            return False
        return all(
            other is request or other.is_parked for other in self._requests
        )

    @property
    def _is_paused(self) -> bool:
        return bool(self._paused_until_s) and (
            anyio.current_time() < self._paused_until_s
        )

    @property
    def _is_closing(self) -> bool:
        return self._closes_next or self._service.is_closing()

    async def _read(self) -> None:
        """Move bytes from the socket to the buffer until end of stream."""
        while not self.is_disconnected:
            unparsed_max_bytes = max(
                UNPARSED_MAX_BYTES, self._service.limits().header_max_bytes
            )
            if len(self._received) > unparsed_max_bytes:
                await self._wait_for_space()
                continue
            size_bytes = RECEIVE_BYTES
            if self._awaits_body:
                size_bytes = RECEIVE_BODY_BYTES
            try:
                data = await self._stream.receive(size_bytes)
            except OSError:
                break
            if not data:
                break
            if self._is_discarding:
                continue
            self._received += data
            self.load.count_received(self._holder, len(data))
            self._data_arrived.set()
            if self._requests:
                self.start_pipelined()
        self._disconnect()

    async def _wait_for_space(self) -> None:
        """Wait until bytes were parsed, or the caller has hung up."""
        self._space_made = anyio.Event()
        self._service.hangups.add(self._stream, self._disconnect)
        await self._space_made.wait()
        self._service.hangups.remove(self._stream)

    def _disconnect(self) -> None:
        """End all waits for the caller, since it has left."""
        self.is_disconnected = True
        self._space_made.set()
        self._data_arrived.set()
        for request in self._requests:
            request.disconnect()

    async def _serve_next(self) -> bool:
        """Serve one request; return whether another may follow."""
        if self._requests:
            request = self._requests[0]
            await request.ended.wait()
        else:
            if self._is_paused:
                await anyio.sleep_until(self._paused_until_s)
            request = await self._next_request()
            if request is None:
                return False
            self._add(request)
            request.become_first()
            if request.is_declared_too_long:
                await self._reject(413)
                return False
            if self._received:
                self.start_pipelined()
            await self._run(request)
        if not await self._conclude(request):
            return False
        self._requests.popleft()
        self._count_open(-1)
        self._holder.progress_s = anyio.current_time()
        if request.is_refusal and len(self._received) >= FLOOD_BYTES:
            self._paused_until_s = anyio.current_time() + REFUSAL_PAUSE_S
        if self._requests:
            self._requests[0].become_first()
            self.start_pipelined()
        if self._received:
            # Other connections get their turn between pipelined requests.
            await anyio.lowlevel.checkpoint()
        return True

    def _add(self, request: caller_request.CallerRequest) -> None:
        self._requests.append(request)
        self._count_open(1)

    def _count_open(self, change: int) -> None:
        self.load.open_requests += change
        self._service.count_open(change)

    async def _run(self, request: caller_request.CallerRequest) -> None:
        await request.run(self._service.app, self._service.on_error)

    async def _conclude(self, request: caller_request.CallerRequest) -> bool:
        """End the first request; return whether the connection stays open."""
        parser = request.parser
        if request.failed or request.is_broken_off:
            # The answer is incomplete. A reset keeps the caller from taking
            # it for a complete one.
            self._stream.reset_on_close()
            return False
        if parser.our_state is h11.SEND_RESPONSE:
            if not self.is_disconnected:
                # The body was refused, or did not arrive in time.
                await self._reject(request.refused_status or 408)
            return False
        if parser.our_state is h11.SEND_BODY:
            self._stream.reset_on_close()
            return False
        if parser.our_state is not h11.DONE or not request.allows_another:
            await self._close()
            return False
        return not self.is_disconnected

    def start_pipelined(self) -> None:
        """Start requests that have arrived behind others, as far as allowed."""
        while (
            self._received
            and len(self._requests) < PIPELINE_MAX
            and self.load.open_requests < self.load.limits.pipelined_max
            and self._requests[-1].allows_another
            and self._held_request is None
            and self._held_error is None
            and not self._is_paused
            and not self._is_closing
        ):
            try:
                request = self._parse_head()
            except h11.RemoteProtocolError as error:
                self._held_error = error
                return
            if request is None:
                return
            if not request.may_run_early:
                self._held_request = request
                return
            self._add(request)
            self._group.start_soon(self._run, request)

    async def _next_request(self) -> caller_request.CallerRequest | None:
        """Wait for a request; return None if there is no other."""
        limits = self._service.limits()
        idle_s = limits.idle_timeout_s + IDLE_TIMEOUT_MARGIN_S
        head_started = False
        with anyio.move_on_after(idle_s) as scope:
            while True:
                try:
                    request = self._parse_head()
                except h11.RemoteProtocolError as error:
                    await self._reject(error.error_status_hint)
                    return None
                if request is not None or self.is_disconnected:
                    return request
                if not head_started and self._received:
                    head_started = True
                    scope.deadline = (
                        anyio.current_time() + limits.header_timeout_s
                    )
                await self.wait_for_data()
        if head_started:
            await self._reject(408)
        return None

    def _parse_head(self) -> caller_request.CallerRequest | None:
        """Return the next request if its head has arrived.

        Raises:
            RemoteProtocolError: The request is malformed or its head too long.
        """
        if self._held_error is not None:
            raise self._held_error
        if self._held_request is not None:
            request, self._held_request = self._held_request, None
            return request
        received = self._received
        if not received:
            return None
        limits = self._service.limits()
        end = _HEAD_END.search(received, self._head_search_start)
        if end is None and (
            len(received) <= limits.header_max_bytes
            and received[0] >= _PRINTABLE_MIN
        ):
            self._head_search_start = max(
                len(received) - _HEAD_END_MAX_BYTES + 1, 0
            )
            return None
        data = self.take(len(received) if end is None else end.end())
        self.release(len(data))
        self._head_search_start = 0
        parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_max_bytes
        )
        parser.receive_data(data)
        head = parser.next_event()
        if not isinstance(head, h11.Request):
            raise h11.RemoteProtocolError("the head is too long", 431)
        return caller_request.CallerRequest(
            connection=self,
            parser=parser,
            head=head,
            body_max_bytes=limits.body_max_bytes,
        )

    async def _reject(self, status: int) -> None:
        """Send an empty answer without the application, and close."""
        try:
            await self.send(refusal(status))
            await self._close()
        except (TimeoutError, OSError):
            return

    async def _close(self) -> None:
        """Close the connection after the caller had time to read the answer.

        A caller may still be sending. Closing the socket with unread data
        would reset the connection and could destroy the answer, so received
        data is discarded until the caller closes or a timeout expires.
        """
        with anyio.move_on_after(LINGER_TIMEOUT_S):
            try:
                self._stream.send_eof()
            except OSError:
                return
            self._is_discarding = True
            self.release(len(self._received))
            self._received.clear()
            self._space_made.set()
            while not self.is_disconnected:
                self._data_arrived = anyio.Event()
                await self._data_arrived.wait()
