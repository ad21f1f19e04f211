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
class AnswerPart:
    """A piece of the answer on its way to the caller.

    Attributes:
        status: HTTP status with the first piece, else 0.
        headers: Answer headers with the first piece.
        body: Bytes of the body.
        ended: Whether the answer is complete with it.
        failure: The final failure instead, or None.
        caller_gone: Whether the caller has left instead.
        credit: Called once the caller has taken the piece.
    """

    status: int = 0
    headers: messages.Headers = ()
    body: bytes = b""
    ended: bool = False
    failure: outcome.Failure | None = None
    caller_gone: bool = False
    credit: Callable[[int], None] | None = None


class Exchange:
    """One call of a caller.

    Attributes:
        call_id: Its number at this node.
        method: HTTP method.
        target: Path and query.
        headers: Request headers to pass on.
        host: Host addressed.
        body_start: The first part of the body.
        body_complete: Whether that is the whole body.
        body_consumed: Whether more of the body was taken from the caller.
        span: The hop's span.
        receive: Receives more of the request (ASGI).
        answer_started: Whether a part of an answer was queued for the caller.
        answer_finished: Whether the whole answer, or the failure, was queued.
        idempotency_key: Idempotency key, or empty.
        on_answer_finished: Called with the head and, if in one piece, the body.
    """

    def __init__(
        self,
        *,
        call_id: int,
        host: str,
        method: str,
        target: bytes,
        headers: messages.Headers,
        body_start: bytes,
        body_complete: bool,
        span: tracing.Span,
        receive: Receive,
    ):
        self.call_id = call_id
        self.host = host
        self.method = method
        self.target = target
        self.headers = headers
        self.body_start = body_start
        self.body_complete = body_complete
        self.body_consumed = False
        self.span = span
        self.receive = receive
        self.answer_started = False
        self.answer_finished = False
        self.idempotency_key = ""
        self.on_answer_finished: (
            Callable[[AnswerPart, bytes | None], None] | None
        ) = None
        self._head: AnswerPart | None = None
        self._parts: collections.deque[AnswerPart] = collections.deque()
        self._part_available = anyio.Event()

    def put(self, part: AnswerPart) -> None:
        """Queue a piece of the answer."""
        if self.answer_finished:
            return
        whole_body = (
            part.body if part.ended and not self.answer_started else None
        )
        self._head = self._head or part
        self.answer_started = True
        self.answer_finished = part.ended or part.failure is not None
        if part.ended and self.on_answer_finished is not None:
            self.on_answer_finished(self._head, whole_body)
        self._parts.append(part)
        self._part_available.set()

    def put_caller_gone(self) -> None:
        """Tell whoever waits for the answer that the caller has left."""
        self._parts.append(AnswerPart(caller_gone=True))
        self._part_available.set()

    async def get(self) -> AnswerPart:
        """Return the next piece of the answer."""
        while not self._parts:
            self._part_available = anyio.Event()
            await self._part_available.wait()
        return self._parts.popleft()
