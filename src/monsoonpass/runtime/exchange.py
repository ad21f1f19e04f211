"""One call of a caller, between its request and its answer."""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any

import anyio

from monsoonpass.core.calls import call_messages as messages
from monsoonpass.core.calls import outcome
from monsoonpass.runtime import tracing

Receive = Callable[[], Awaitable[dict[str, Any]]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Part:
    """A piece of the answer on its way to the caller.

    Attributes:
        status: HTTP status with the first piece, else 0.
        headers: Answer headers with the first piece.
        body: Bytes of the body.
        ended: Whether the answer is complete with it.
        failure: The final failure instead, or None.
        gone: Whether the caller has left instead.
        credit: Called once the caller has taken the piece.
    """

    status: int = 0
    headers: messages.Headers = ()
    body: bytes = b""
    ended: bool = False
    failure: outcome.Failure | None = None
    gone: bool = False
    credit: Callable[[int], None] | None = None


class Exchange:
    """One call of a caller.

    Attributes:
        call_id: Its number at this node.
        method: HTTP method.
        target: Path and query.
        headers: Request headers to pass on.
        host: Host addressed.
        first: The first part of the body.
        ended: Whether that is the whole body.
        streaming: Whether more of the body was taken from the caller.
        span: The hop's span.
        receive: Receives more of the request (ASGI).
        started: Whether a part of an answer was queued for the caller.
        finished: Whether the whole answer, or the failure, was queued.
        key: Idempotency key, or empty.
        on_whole: Called with the head and, if in one piece, the body.
    """

    def __init__(
        self,
        *,
        call_id: int,
        host: str,
        method: str,
        target: bytes,
        headers: messages.Headers,
        first: bytes,
        ended: bool,
        span: tracing.Span,
        receive: Receive,
    ):
        self.call_id = call_id
        self.host = host
        self.method = method
        self.target = target
        self.headers = headers
        self.first = first
        self.ended = ended
        self.streaming = False
        self.span = span
        self.receive = receive
        self.started = False
        self.finished = False
        self.key = ""
        self.on_whole: Callable[[Part, bytes | None], None] | None = None
        self._head: Part | None = None
        self._parts: collections.deque[Part] = collections.deque()
        self._wanted = anyio.Event()

    def put(self, part: Part) -> None:
        """Queue a piece of the answer."""
        if self.finished:
            return
        whole = part.body if part.ended and not self.started else None
        self._head = self._head or part
        self.started = True
        self.finished = part.ended or part.failure is not None
        if part.ended and self.on_whole is not None:
            self.on_whole(self._head, whole)
        self._parts.append(part)
        self._wanted.set()

    def put_gone(self) -> None:
        """Tell whoever waits for the answer that the caller has left."""
        self._parts.append(Part(gone=True))
        self._wanted.set()

    async def get(self) -> Part:
        """Return the next piece of the answer."""
        while not self._parts:
            self._wanted = anyio.Event()
            await self._wanted.wait()
        return self._parts.popleft()
