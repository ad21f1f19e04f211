"""Events: the inputs of the reducer, each with its time and random bits."""

import math
from typing import Any

from monsoonpass import immutable
from monsoonpass.core import address
from monsoonpass.core import timers
from monsoonpass.core.calls import outcome
from monsoonpass.core.distribution import catalog


@immutable.dataclass
class Event:
    """Base of all events.

    Attributes:
        now_s: Time of a monotonic clock that keeps running during system
            suspension.
        random_bits: 64 random bits.
    """

    now_s: float
    random_bits: int


@immutable.dataclass
class Started(Event):
    """The process started.

    Attributes:
        wall_ms: Wall clock time of the start; the first incarnation of the
            node's member record.
        journal: Records recovered from the disk; empty without a disk.
    """

    wall_ms: int
    journal: tuple[Any, ...]


@immutable.dataclass
class PeerMessage(Event):
    """A message arrived from a peer, over a stream or in a datagram."""

    sender: address.Address
    message: Any


@immutable.dataclass
class LinkLost(Event):
    """The last stream to a peer ended, or none could be opened."""

    instance: str


@immutable.dataclass
class TimerFired(Event):
    """A timer fired."""

    timer: timers.Timer


@immutable.dataclass
class DiskSynced(Event):
    """All writes up to a sequence number are durable."""

    sequence: int


@immutable.dataclass
class DiskFailed(Event):
    """A write failed; no later write is durable until this one succeeds."""

    detail: str


@immutable.dataclass
class DiskRecovered(Event):
    """A write that failed earlier has succeeded."""


@immutable.dataclass
class SubmitRequested(Event):
    """An operator submitted a valid configuration.

    Attributes:
        request_id: Number of the request.
        snapshot: The configuration.
        base_version: Version that the configuration must replace; -1 for any
            older version.
    """

    request_id: int
    snapshot: catalog.Snapshot
    base_version: int = -1


@immutable.dataclass
class ConfigReadRequested(Event):
    """An operator requested the last accepted configuration."""

    request_id: int


@immutable.dataclass
class RolloutRequested(Event):
    """An operator ordered a rollout.

    Attributes:
        request_id: Number of the request.
        service: The service.
        target_version: Version that its upstreams move to.
        duration_s: Time until the rollout must be completed.
    """

    request_id: int
    service: str
    target_version: str
    duration_s: float


@immutable.dataclass
class RolloutReadRequested(Event):
    """An operator requested the state of a service's newest rollout."""

    request_id: int
    service: str


@immutable.dataclass
class UpstreamAnnounced(Event):
    """The upstream of this instance announced itself.

    Attributes:
        service: Name of the service that the upstream serves.
        slots: Number of calls that the upstream runs concurrently.
        cold: Whether the upstream is still warming up.
        port: Port on which the upstream listens.
        cold_s: Remaining warm-up time; 0 for the default.
        draining: Whether the announcement is a notice of leaving.
        upstream_id: Name of the upstream, usually new with each start, or
            empty.
        started_ms: Wall clock time of the upstream's start; None if omitted.
        sequence: Increases with each announcement of one start; None if
            omitted.
        request_id: Number of the request to answer, or 0.
        version: Software version of the upstream; empty if omitted.
    """

    service: str
    slots: int
    cold: bool
    port: int = 0
    cold_s: float = 0.0
    draining: bool = False
    upstream_id: str = ""
    started_ms: int | None = None
    sequence: int | None = None
    request_id: int = 0
    version: str = ""


@immutable.dataclass
class UpstreamDraining(Event):
    """The upstream of this instance gave notice of leaving.

    Attributes:
        upstream_id: Name of the upstream; empty for the current one, whatever
            its name.
        started_ms: Wall clock time of the upstream's start; None if omitted.
        request_id: Request to reply to; 0 for none.
    """

    upstream_id: str = ""
    started_ms: int | None = None
    request_id: int = 0


@immutable.dataclass
class CallArrived(Event):
    """A call arrived at this node from a caller.

    Attributes:
        call_id: Number of the call at this node.
        host: Requested host; may be the name of a service.
        method: HTTP method.
        path: Path without the query.
        timeout_s: Timeout that the caller set, or None.
        key: Idempotency key, or None.
        fingerprint: Digest of the request; only used with a key.
        body_rest_bytes: Declared length of the part of the request body that
            has not arrived yet.
        workspace: Workspace whose key the request carries, or None.
        has_unknown_key: Whether the request carries a key of no workspace.
    """

    call_id: int
    host: str
    method: str
    path: str
    timeout_s: float | None
    key: str | None
    fingerprint: bytes = b""
    body_rest_bytes: int = 0
    workspace: catalog.Workspace | None = None
    has_unknown_key: bool = False


@immutable.dataclass
class KeyedCallAnswered(Event):
    """A call with an idempotency key received its complete answer.

    Attributes:
        call_id: Number of the call at this node.
        status: HTTP status.
        headers: Headers of the answer.
        body: Body of the answer, or None if it was streamed to the caller.
    """

    call_id: int
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | None


@immutable.dataclass
class CallerDisconnected(Event):
    """The caller closed its connection before the answer was complete."""

    call_id: int


@immutable.dataclass
class PeerCallArrived(Event):
    """A peer forwarded a call for this node's own upstream.

    Attributes:
        owner_call_id: Number of the call at this node.
        service: Name of the requested service.
        timeout_s: Time left until the call's deadline.
        priority: Order of admission, lowest first.
        bulk: Whether the route carries bulk traffic.
        route: Name of the route, for which service times are estimated.
        reroutable: Whether to refuse the call rather than queue it.
        idempotent: Whether the call may be sent to an upstream again.
        objective_s: Time left to meet the call's latency objective; infinite if
            there is none.
        route_priority: Priority of the route if `priority` is that of a
            workspace, else None.
    """

    owner_call_id: int
    service: str
    timeout_s: float
    priority: int
    bulk: bool
    route: str
    reroutable: bool = False
    idempotent: bool = True
    objective_s: float = math.inf
    route_priority: int | None = None


@immutable.dataclass
class PeerCallCancelled(Event):
    """The peer cancelled a call that it had forwarded."""

    owner_call_id: int


@immutable.dataclass
class OwnerCallFinished(Event):
    """A call on this node's own upstream ended.

    Attributes:
        owner_call_id: Number of the call at this node.
        service_time_s: Time from dispatch to the end of the answer.
        failure: Why the call failed, or None after a complete answer.
        shed: Whether the upstream itself refused the call because of load.
        silent: Whether the call was sent, and ended without any answer while
            its connection was still open.
        status: HTTP status of the upstream's answer; 0 without one.
    """

    owner_call_id: int
    service_time_s: float
    failure: outcome.Failure | None
    shed: bool = False
    silent: bool = False
    status: int = 0


@immutable.dataclass
class AttemptHeadReceived(Event):
    """The head of the answer to an attempt arrived from the owner node.

    Attributes:
        call_id: Number of the call at this node.
        attempt: Number of the attempt; 0 for the own upstream.
        load: Load of the owner node, or None if not reported.
    """

    call_id: int
    attempt: int
    load: outcome.Load | None


@immutable.dataclass
class AttemptEnded(Event):
    """An attempt ended.

    Attributes:
        call_id: Number of the call at this node.
        attempt: Number of the attempt.
        failure: Why the attempt failed, or None after a complete answer.
        load: Load of the owner node, or None if not reported.
    """

    call_id: int
    attempt: int
    failure: outcome.Failure | None
    load: outcome.Load | None


@immutable.dataclass
class StopRequested(Event):
    """A planned stop began."""


@immutable.dataclass
class SettingsChanged(Event):
    """The settings that can be reloaded while the node runs have changed.

    Attributes:
        seeds: Seed nodes (`node.Seed`).
        service: Service of the own upstream, or empty.
    """

    seeds: tuple[Any, ...]
    service: str
