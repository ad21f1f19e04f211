"""Events: everything that happens to a node, with its time and random bits."""

import dataclasses
import math
from typing import Any

from monsoonpass.core import address
from monsoonpass.core import timers
from monsoonpass.core.calls import outcome
from monsoonpass.core.distribution import catalog


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """Base of all events.

    Attributes:
        now_s: Time on a clock that never goes back and counts suspension.
        entropy: 64 random bits.
    """

    now_s: float
    entropy: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Started(Event):
    """The process started.

    Attributes:
        wall_ms: Wall clock, used only to order incarnations.
        journal: Records recovered from the disk; empty without a disk.
    """

    wall_ms: int
    journal: tuple[Any, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerMessage(Event):
    """A message came from a peer, by stream or datagram."""

    sender: address.Address
    message: Any


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LinkLost(Event):
    """The last stream to a peer ended, or none could be opened."""

    instance: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimerFired(Event):
    """A timer fired."""

    timer: timers.Timer


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DiskSynced(Event):
    """All writes up to a number are durable."""

    sequence: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DiskFailed(Event):
    """A write failed; nothing after it will be durable until it succeeds."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DiskRecovered(Event):
    """A write that had failed has succeeded."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SubmitRequested(Event):
    """An operator submitted a valid configuration.

    Attributes:
        request_id: Number of the request.
        snapshot: The configuration.
        base_version: Version that it must replace; -1 for any older one.
    """

    request_id: int
    snapshot: catalog.Snapshot
    base_version: int = -1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NewestRequested(Event):
    """An operator asked for the last accepted configuration."""

    request_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamAnnounced(Event):
    """The upstream of this instance announced itself.

    Attributes:
        service: Name of the service it serves.
        slots: Calls that it runs at once.
        cold: Whether it has a cold start ahead.
        port: Where it listens.
        cold_s: How much longer it will be slow; 0 for the usual time.
        draining: Whether it announced that it leaves.
        upstream_id: Its own name, new with most starts, or empty.
        born_ms: When it started, by the wall clock; None if not told.
        sequence: Grows with each announcement of one start; None if not told.
        request_id: Request to answer, or 0.
    """

    service: str
    slots: int
    cold: bool
    port: int = 0
    cold_s: float = 0.0
    draining: bool = False
    upstream_id: str = ""
    born_ms: int | None = None
    sequence: int | None = None
    request_id: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamDraining(Event):
    """The upstream of this instance announced that it leaves.

    Attributes:
        upstream_id: Its own name, or empty for whichever is there.
        born_ms: When it started; None if not told.
    """

    upstream_id: str = ""
    born_ms: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallArrived(Event):
    """A caller's call arrived at this node.

    Attributes:
        call_id: The call's number at this node.
        host: Host addressed; the name of a service is one, too.
        method: HTTP method.
        path: Path without the query.
        timeout_s: The caller's own limit, or None.
        key: Idempotency key, or None.
        fingerprint: Digest of the request; only used with a key.
    """

    call_id: int
    host: str
    method: str
    path: str
    timeout_s: float | None
    key: str | None
    fingerprint: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyedAnswer(Event):
    """A call with a key got its whole answer.

    Attributes:
        call_id: The call's number at this node.
        status: HTTP status.
        headers: Answer headers.
        body: Answer body, or None if it was passed on in pieces.
    """

    call_id: int
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerGone(Event):
    """The caller closed its connection before the answer was complete."""

    call_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerCallArrived(Event):
    """A peer forwarded a call for this node's own upstream.

    Attributes:
        work_id: The call's number at this node.
        service: Service addressed.
        timeout_s: Time left until its deadline.
        priority: Order of admission, lowest first.
        bulk: Whether the route is bulk.
        route: Name of the route, for its learned service time.
        reroutable: Whether to refuse it rather than to queue it.
        idempotent: Whether it may be sent to an upstream again.
        objective_s: Time left within which its answer is worth most.
    """

    work_id: int
    service: str
    timeout_s: float
    priority: int
    bulk: bool
    route: str
    reroutable: bool = False
    idempotent: bool = True
    objective_s: float = math.inf


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerCallCancelled(Event):
    """The peer gave up a call that it forwarded."""

    work_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkFinished(Event):
    """A call on this node's own upstream ended.

    Attributes:
        work_id: The call's number at this node.
        service_time_s: Time from dispatch to the end of the answer.
        failure: None after a whole answer.
        shed: Whether the upstream itself refused for load.
    """

    work_id: int
    service_time_s: float
    failure: outcome.Failure | None
    shed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptHeadReceived(Event):
    """The owner began to answer an attempt.

    Attributes:
        call_id: The call's number at this node.
        attempt: Number of the attempt; 0 for the own upstream.
        load: The owner's load, if it told.
    """

    call_id: int
    attempt: int
    load: outcome.Load | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptEnded(Event):
    """An attempt ended.

    Attributes:
        call_id: The call's number at this node.
        attempt: Number of the attempt.
        failure: None after a whole answer.
        load: The owner's load, if it told.
    """

    call_id: int
    attempt: int
    failure: outcome.Failure | None
    load: outcome.Load | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopRequested(Event):
    """A planned stop began."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SettingsChanged(Event):
    """Settings that may change while the node runs have changed.

    Attributes:
        seeds: Nodes known in advance (`node.Seed`).
        service: Service of the own upstream, or empty.
    """

    seeds: tuple[Any, ...]
    service: str
