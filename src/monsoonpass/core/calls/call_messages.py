"""Messages that carry calls between the entry node and the owner node.

The `call` number is chosen by the entry node and never reused, over restarts
too, so a late message for a forgotten call is dropped.
"""

import dataclasses
import math

from monsoonpass import codec
from monsoonpass.core.calls import outcome

Headers = tuple[tuple[bytes, bytes], ...]


@codec.register(100)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallOpen:
    """Begins a call.

    Attributes:
        call: Number of the attempt.
        service: Service called.
        method: HTTP method.
        target: Path and query.
        headers: Request headers, lower case, without hop-by-hop ones.
        route: Name of the route, for its learned service time.
        timeout_s: Time left until the deadline.
        priority: Order of admission, lowest first.
        bulk: Whether the route is bulk.
        reroutable: Whether to refuse it rather than to queue it.
        body: The first part of the body.
        ended: Whether that is the whole body.
        traceparent: W3C trace context, or empty.
        idempotent: Whether it may be sent to an upstream again.
        objective_s: Time left within which its answer is worth most.
    """

    call: int
    service: str
    method: str
    target: bytes
    headers: Headers
    route: str
    timeout_s: float
    priority: int
    bulk: bool
    reroutable: bool
    body: bytes
    ended: bool
    traceparent: str
    idempotent: bool = True
    objective_s: float = math.inf


@codec.register(101)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallBody:
    """Carries more of the request body."""

    call: int
    body: bytes
    ended: bool


@codec.register(102)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallCredit:
    """Lets the entry node send more of the request body."""

    call: int
    size_bytes: int


@codec.register(103)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallCancel:
    """Gives the call up."""

    call: int


@codec.register(104)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerHead:
    """Begins the answer.

    Attributes:
        call: Number of the attempt.
        status: HTTP status.
        headers: Answer headers, lower case, without hop-by-hop ones.
        load: The owner's load.
        body: The first part of the body.
        ended: Whether that is the whole body.
        digest: Digest of the whole body when ended, else empty.
    """

    call: int
    status: int
    headers: Headers
    load: outcome.Load
    body: bytes
    ended: bool
    digest: bytes


@codec.register(105)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerBody:
    """Carries more of the answer's body; the last one its digest."""

    call: int
    body: bytes
    ended: bool
    digest: bytes


@codec.register(106)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerCredit:
    """Lets the owner send more of the answer's body."""

    call: int
    size_bytes: int


@codec.register(107)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerFailed:
    """Ends the call without a whole answer."""

    call: int
    failure: outcome.Failure
    load: outcome.Load


@codec.register(108)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeQuery:
    """Asks what became of a call whose stream broke.

    Attributes:
        call: Number of the attempt.
        incarnation: The owner's incarnation when the call was sent.
    """

    call: int
    incarnation: int


@codec.register(109)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeRunning:
    """Says that the call still waits or runs; its answer will follow."""

    call: int
