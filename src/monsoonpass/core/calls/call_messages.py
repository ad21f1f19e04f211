"""Messages that carry calls between the entry node and the owner node.

The entry node chooses the `call` number and never reuses it, not even after a
restart. A late message for a call that has ended is therefore dropped.
"""

import math

from monsoonpass import codec
from monsoonpass import immutable
from monsoonpass.core.calls import outcome

Headers = tuple[tuple[bytes, bytes], ...]


@codec.register(100)
@immutable.dataclass
class CallOpen:
    """Opens a call.

    Attributes:
        call: Number of the attempt.
        service: Service called.
        method: HTTP method.
        target: Path and query.
        headers: Request headers, lower case, without hop-by-hop ones.
        route: Name of the route, under which service times are learned.
        timeout_s: Time left until the deadline.
        priority: Order of admission, lowest first.
        bulk: Whether the route is declared bulk.
        reroutable: Whether the owner should refuse the call rather than queue
            it.
        body: The first part of the body.
        ended: Whether `body` is the complete body.
        traceparent: W3C trace context, or empty.
        idempotent: Whether the call may be sent to an upstream again.
        objective_s: Time left of the response time objective.
        route_priority: Priority of the route if `priority` is that of a
            workspace, else None.
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
    route_priority: int | None = codec.appended_field(default=None)


@codec.register(101)
@immutable.dataclass
class CallBody:
    """Carries more of the request body."""

    call: int
    body: bytes
    ended: bool


@codec.register(102)
@immutable.dataclass
class CallCredit:
    """Grants the entry node credit to send more of the request body."""

    call: int
    size_bytes: int


@codec.register(103)
@immutable.dataclass
class CallCancel:
    """Cancels the call."""

    call: int


@codec.register(104)
@immutable.dataclass
class AnswerHead:
    """Carries the head of the answer.

    Attributes:
        call: Number of the attempt.
        status: HTTP status.
        headers: Answer headers, lower case, without hop-by-hop ones.
        load: Load of the owner's upstream.
        body: The first part of the body.
        ended: Whether `body` is the complete body.
        digest: Digest of the complete body if `ended`, else empty.
    """

    call: int
    status: int
    headers: Headers
    load: outcome.Load
    body: bytes
    ended: bool
    digest: bytes


@codec.register(105)
@immutable.dataclass
class AnswerBody:
    """Carries more of the answer's body; the last one carries the digest."""

    call: int
    body: bytes
    ended: bool
    digest: bytes


@codec.register(106)
@immutable.dataclass
class AnswerCredit:
    """Grants the owner credit to send more of the answer's body."""

    call: int
    size_bytes: int


@codec.register(107)
@immutable.dataclass
class AnswerFailed:
    """Ends the call without a complete answer."""

    call: int
    failure: outcome.Failure
    load: outcome.Load


@codec.register(108)
@immutable.dataclass
class OutcomeQuery:
    """Asks for the outcome of a call whose stream broke.

    Attributes:
        call: Number of the attempt.
        incarnation: Incarnation of the owner when the call was sent.
    """

    call: int
    incarnation: int


@codec.register(109)
@immutable.dataclass
class OutcomeRunning:
    """Says that the call is still queued or running; the answer will follow."""

    call: int
