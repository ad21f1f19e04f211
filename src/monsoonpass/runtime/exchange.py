"""State of one caller's call at the entry node."""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio

from monsoonpass import immutable
from monsoonpass.core.calls import call_messages as messages
from monsoonpass.core.calls import outcome
from monsoonpass.core.distribution import catalog
from monsoonpass.runtime import tracing

Receive = Callable[[], Awaitable[dict[str, Any]]]


@immutable.dataclass
class AnswerPart:
    """A part of the answer to a caller, or the event that ends the call.

    Attributes:
        status: HTTP status in the first part, else 0.
        headers: Answer headers in the first part, else empty.
        body: Bytes of the body.
        ended: Whether this part completes the answer.
        failure: The failure that replaces the answer, or None.
        caller_gone: Whether the caller has disconnected.
        credit: Called with the size of `body` once it was sent to the caller.
    """

    status: int = 0
    headers: messages.Headers = ()
    body: bytes = b""
    ended: bool = False
    failure: outcome.Failure | None = None
    caller_gone: bool = False
    credit: Callable[[int], None] | None = None


class Exchange:
    """One caller's request, and the queue of the parts of its answer.

    Attributes:
        call_id: Number of the call at this node.
        method: HTTP method.
        target: Path and query.
        headers: Request headers to forward.
        host: Host that the request addresses.
        body_start: The first part of the body.
        body_complete: Whether `body_start` is the whole body.
        body_consumed: Whether reading the body after `body_start` has begun;
            the request cannot be sent again then.
        span: Trace span of the call at this node.
        receive: Receives more of the request (ASGI).
        workspace: Workspace whose key the request carries, or None.
        has_unknown_key: Whether the request carries a key of no workspace.
        answer_started: Whether a part of the answer was queued.
        answer_finished: Whether the complete answer or a failure was queued.
        idempotency_key: Idempotency key, or empty.
        on_answer_finished: Called with the first part of a complete answer,
            and with the body if the answer is a single part, else None.
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
        workspace: catalog.Workspace | None = None,
        has_unknown_key: bool = False,
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
        self.workspace = workspace
        self.has_unknown_key = has_unknown_key
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
        """Queue a part of the answer; ignored once the answer is finished."""
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
        """Queue the event that the caller has disconnected."""
        self._parts.append(AnswerPart(caller_gone=True))
        self._part_available.set()

    async def get(self) -> AnswerPart:
        """Wait for the next part of the answer and return it."""
        while not self._parts:
            self._part_available = anyio.Event()
            await self._part_available.wait()
        return self._parts.popleft()
