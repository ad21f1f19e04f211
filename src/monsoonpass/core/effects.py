"""Effects: the actions that the reducer asks the runtime to perform."""

import dataclasses
import math
from typing import Any

from monsoonpass import immutable
from monsoonpass.core import address
from monsoonpass.core import log_events
from monsoonpass.core import timers
from monsoonpass.core.calls import outcome


@immutable.dataclass
class Effect:
    """Base of all effects."""


@immutable.dataclass
class Send(Effect):
    """Send a message over the stream to a peer: in order, best effort."""

    to: address.Address
    message: Any


@immutable.dataclass
class SendDatagram(Effect):
    """Send a message to a peer in one datagram."""

    to: address.Address
    message: Any


@immutable.dataclass
class WriteDisk(Effect):
    """Append records to the journal and sync the file.

    Attributes:
        sequence: Number that `DiskSynced` reports once the records are durable.
        records: Registered messages, in order.
        replace: Whether the records replace the whole journal.
    """

    sequence: int
    records: tuple[Any, ...]
    replace: bool = False


@immutable.dataclass
class SetTimer(Effect):
    """Start a timer; replaces an equal timer that is already running."""

    timer: timers.Timer
    delay_s: float


@immutable.dataclass
class CancelTimer(Effect):
    """Stop a timer."""

    timer: timers.Timer


@immutable.dataclass
class Reply(Effect):
    """Answer a request that came with an event.

    Attributes:
        request_id: Number of the request, from the event.
        result: A typed result, or a `MonsoonpassError`.
    """

    request_id: int
    result: Any


@immutable.dataclass
class Log(Effect):
    """Write a numbered event to the log.

    Attributes:
        code: The event's entry in the catalogue.
        fields: Values for the log line, by name.
    """

    code: log_events.Code
    fields: dict[str, Any] = dataclasses.field(default_factory=dict)


@immutable.dataclass
class Forward(Effect):
    """Send a call to the node of another instance.

    Attributes:
        call_id: Number of the call at this node.
        attempt: Number of this attempt, from 1.
        to: The node that owns the chosen upstream.
        service: Name of the called service.
        timeout_s: Time left until the call's deadline.
        route: Name of the route.
        bulk: Whether the route carries bulk traffic.
        idempotent: Whether calls of the route are idempotent.
        priority: Order of admission, lowest first.
        reroutable: Whether the owner node should refuse the call rather than
            queue it.
        objective_s: Time left to meet the call's latency objective; infinite if
            there is none.
        route_priority: Priority of the route if `priority` is that of a
            workspace, else None.
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
    route_priority: int | None = None


@immutable.dataclass
class CancelForward(Effect):
    """Cancel an attempt; a later answer to it is discarded."""

    call_id: int
    attempt: int


@immutable.dataclass
class SwitchUpstream(Effect):
    """Send further calls to another process as the own upstream.

    Attributes:
        port: Port on which the process listens.
        upstream_id: Name that the process announced, or empty.
        process_number: Distinguishes the process from earlier ones at this
            node.
    """

    port: int
    upstream_id: str
    process_number: int


@immutable.dataclass
class Dispatch(Effect):
    """Run a call on this node's own upstream.

    Attributes:
        owner_call_id: Number of the call, local or forwarded by a peer, at this
            node.
        timeout_s: Time left until the call's deadline.
        process_number: Number of the process that must run the call
            (`SwitchUpstream.process_number`).
        idempotent: Whether the call may be sent to an upstream again.
    """

    owner_call_id: int
    timeout_s: float
    process_number: int
    idempotent: bool = True


@immutable.dataclass
class AbortDispatch(Effect):
    """Abort a call that is running on this node's own upstream."""

    owner_call_id: int


@immutable.dataclass
class FailCall(Effect):
    """Answer a call with its final failure.

    Attributes:
        call_id: Number of the call, local or forwarded by a peer, at this
            node.
        failure: Outcome and reason to answer with.
        context: Inputs of the decision, for the log.
    """

    call_id: int
    failure: outcome.Failure
    context: dict[str, Any] = dataclasses.field(default_factory=dict)


@immutable.dataclass
class ReplayAnswer(Effect):
    """Answer a call with the stored answer to its idempotency key."""

    call_id: int
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@immutable.dataclass
class StopCompleted(Effect):
    """Report that the planned stop is over and the process may exit."""
