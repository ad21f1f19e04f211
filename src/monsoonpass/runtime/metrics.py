"""Prometheus metrics of one node."""

from collections.abc import Iterable

from monsoonpass.core.rollouts import rollout_state
from monsoonpass.runtime import metric_types

LATENCY_BUCKETS_S = (
    0.0005,
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
)

# Labels of the distance between two nodes: in the same data centre, in the same
# region, or in different regions.
DISTANCE_LABELS = ("data_centre", "region", "across")

Counter = metric_types.CounterValue


class Metrics:
    """The metrics of one node, in a separate registry.

    Attributes:
        registry: The registry that /metrics renders.
        calls: Finished calls by outcome: "answered", or the outcome of a
            failure.
        refusals: Calls answered with the outcome "not-run", by reason.
        quota_calls: Calls of limited workspaces by decision: "admitted",
            "waited" (before either of the others) or "refused".
        quota_requests: Requests for tokens that this node sent.
        quota_own_share: Whether calls are admitted from the own share, because
            no allocator answers.
        call_duration: Time from the arrival of a call to the end of its
            answer.
        calls_in_progress: Calls in progress through this node.
        upstream_slots: Slots of the local upstream.
        upstream_slots_used: Slots of the local upstream that are in use.
        queued_calls: Calls that wait for a slot.
        configuration_version: Configuration version in force.
        members: Members present in the data centre.
        peer_links: Open links to peers.
        peer_bytes: Bytes exchanged with peers, by direction and by kind of
            transport.
        peer_message_bytes: Bytes sent to peers, by type of message and by
            distance.
        disk_sync_duration: Time to write and sync a batch of journal records.
        caller_connections: Open connections, by kind of port.
        caller_received_bytes: Bytes received from callers and not passed on.
        callers_shed: What was refused or closed because of a limit on all
            callers together, by kind.
        rollout_share: Share of a service's calls that its newest rollout gives
            to the target, as far as this node knows.
        rollout_phase: 1 for the phase of a service's newest rollout.
        confined_failures: Unexpected errors that did not end the node, by the
            effect or component that failed.
    """

    def __init__(self) -> None:
        registry = metric_types.Registry()
        self.registry = registry
        self.calls = metric_types.Counter(
            "monsoonpass_calls",
            "Calls by outcome.",
            ["outcome"],
            registry=registry,
        )
        self.refusals = metric_types.Counter(
            "monsoonpass_refusals",
            "Calls that were refused and have not run, by reason.",
            ["reason"],
            registry=registry,
        )
        self.quota_calls = metric_types.Gauge(
            "monsoonpass_quota_calls",
            "Calls of limited workspaces since the start, by decision.",
            ["decision"],
            registry=registry,
        )
        self.quota_requests = metric_types.Gauge(
            "monsoonpass_quota_requests",
            "Requests for tokens sent since the start.",
            registry=registry,
        )
        self.quota_own_share = metric_types.Gauge(
            "monsoonpass_quota_own_share",
            "1 while no allocator answers and the own share is used.",
            registry=registry,
        )
        self.call_duration = metric_types.Histogram(
            "monsoonpass_call_duration_seconds",
            "Time from a call's arrival to its whole answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.calls_in_progress = metric_types.Gauge(
            "monsoonpass_calls_in_progress",
            "Calls in progress through this node.",
            registry=registry,
        )
        self.upstream_slots = metric_types.Gauge(
            "monsoonpass_upstream_slots",
            "Slots of the own upstream.",
            registry=registry,
        )
        self.upstream_slots_used = metric_types.Gauge(
            "monsoonpass_upstream_slots_used",
            "Slots in use.",
            registry=registry,
        )
        self.queued_calls = metric_types.Gauge(
            "monsoonpass_queued_calls",
            "Calls that wait for a slot.",
            registry=registry,
        )
        self.configuration_version = metric_types.Gauge(
            "monsoonpass_configuration_version",
            "Configuration version in force.",
            registry=registry,
        )
        self.members = metric_types.Gauge(
            "monsoonpass_members",
            "Members present in the data centre.",
            registry=registry,
        )
        self.peer_links = metric_types.Gauge(
            "monsoonpass_peer_links", "Streams to peers.", registry=registry
        )
        self.peer_bytes = metric_types.Counter(
            "monsoonpass_peer_bytes",
            "Bytes exchanged with peers.",
            ["direction", "kind"],
            registry=registry,
        )
        self.peer_message_bytes = metric_types.Counter(
            "monsoonpass_peer_message_bytes",
            "Bytes sent to peers by kind of message.",
            ["kind", "distance"],
            registry=registry,
        )
        self.disk_sync_duration = metric_types.Histogram(
            "monsoonpass_disk_sync_duration_seconds",
            "Time of a group of journal writes and its sync.",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.caller_connections = metric_types.Gauge(
            "monsoonpass_caller_connections",
            "Open connections by kind of port.",
            ["port"],
            registry=registry,
        )
        self.caller_received_bytes = metric_types.Gauge(
            "monsoonpass_caller_received_bytes",
            "Bytes received from callers and not passed on.",
            registry=registry,
        )
        self.callers_shed = metric_types.Counter(
            "monsoonpass_callers_shed",
            "Connections and requests refused or closed by limits.",
            ["kind"],
            registry=registry,
        )
        self.rollout_share = metric_types.Gauge(
            "monsoonpass_rollout_share",
            "Share of a service's calls that go to the rollout's target.",
            ["service"],
            registry=registry,
        )
        self.rollout_phase = metric_types.Gauge(
            "monsoonpass_rollout_phase",
            "1 for the phase of a service's newest rollout.",
            ["service", "phase"],
            registry=registry,
        )
        self.confined_failures = metric_types.Counter(
            "monsoonpass_confined_failures",
            "Unexpected errors that did not end the node.",
            ["place"],
            registry=registry,
        )

    def set_rollouts(self, known: Iterable[rollout_state.KnownRollout]) -> None:
        """Set the metrics of the rollouts that the node knows."""
        self.rollout_phase.clear()
        self.rollout_share.clear()
        for item in known:
            rollout = item.rollout
            self.rollout_share.labels(rollout.service).set(rollout.share)
            phase = rollout.phase.value
            self.rollout_phase.labels(rollout.service, phase).set(1)

    def render(self) -> bytes:
        """Return the registry in Prometheus's text format."""
        return self.registry.render()
