"""Effects: what the reducer wants done, as data."""

import dataclasses
import math
from typing import Any

from monsoonpass.core import address
from monsoonpass.core import logbook
from monsoonpass.core import timers
from monsoonpass.core.calls import outcome


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Effect:
    """Base of all effects."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Send(Effect):
    """Send a message on the stream to a peer, best effort, in order."""

    to: address.Address
    message: Any


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendDatagram(Effect):
    """Send a message to a peer in one datagram."""

    to: address.Address
    message: Any


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WriteDisk(Effect):
    """Append records to the journal and sync it.

    Attributes:
        sequence: Reported back in `DiskSynced` once the records are durable.
        records: Registered messages, in order.
        replace: Whether the records replace the whole journal.
    """

    sequence: int
    records: tuple[Any, ...]
    replace: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SetTimer(Effect):
    """Fire a timer after a delay; an equal timer already set is replaced."""

    timer: timers.Timer
    delay_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CancelTimer(Effect):
    """Forget a timer."""

    timer: timers.Timer


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reply(Effect):
    """Answer a request of an operator.

    Attributes:
        request_id: The request's number, from its event.
        result: A typed result, or a `MonsoonpassError`.
    """

    request_id: int
    result: Any


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Log(Effect):
    """Write a numbered event to the log.

    Attributes:
        code: The event's entry in the catalogue.
        fields: Values for the log line, by name.
    """

    code: logbook.Code
    fields: dict[str, Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Forward(Effect):
    """Send a call to the node of another instance.

    Attributes:
        call_id: The call at this node.
        attempt: Number of this attempt, from 1.
        to: The node that owns the chosen upstream.
        service: Service called.
        timeout_s: Time left until the call's deadline.
        route: Name of the route.
        bulk: Whether the route is bulk.
        idempotent: Whether the route is idempotent.
        priority: Order of admission, lowest first.
        reroutable: Whether the owner should refuse rather than queue it.
        objective_s: Time left within which its answer is worth most.
    """

    call_id: int
    attempt: int
    to: address.Address
    service: str
    timeout_s: float
    route: str
    bulk: bool
    idempotent: bool
    priority: int
    reroutable: bool
    objective_s: float = math.inf


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CancelForward(Effect):
    """Give up an attempt: its answer, if one comes, is dropped."""

    call_id: int
    attempt: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UseUpstream(Effect):
    """Send calls to another process as the own upstream from now on.

    Attributes:
        port: Where it listens.
        upstream_id: Its own name, or empty.
        number: Tells it from the processes before it.
    """

    port: int
    upstream_id: str
    number: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Dispatch(Effect):
    """Run a call on this node's own upstream.

    Attributes:
        work_id: The call, or the peer's call, at this node.
        timeout_s: Time left until its deadline.
        upstream: Number of the process that it is for (`UseUpstream`).
        idempotent: Whether it may be sent to an upstream again.
    """

    work_id: int
    timeout_s: float
    upstream: int
    idempotent: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AbortDispatch(Effect):
    """Stop a call that is running on this node's own upstream."""

    work_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refuse(Effect):
    """Give a call its final failure.

    Attributes:
        call_id: The call, or the peer's call, at this node.
        failure: The outcome and reason to tell.
        context: What the decision was made from, for the log.
    """

    call_id: int
    failure: outcome.Failure
    context: dict[str, Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Replay(Effect):
    """Give a call the stored answer of an earlier call with its key."""

    call_id: int
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stopped(Effect):
    """The node has no work in progress: the process may end."""
