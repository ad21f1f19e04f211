"""Prometheus metrics of one node."""

from collections.abc import Iterable

import prometheus_client

from monsoonpass.core.rollouts import rollout_state

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

Counter = prometheus_client.Counter


class Metrics:
    """The metrics of one node, in a separate registry.

    Attributes:
        registry: The registry that /metrics renders.
        calls: Finished calls by outcome: "answered", or the outcome of a
            failure.
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
        rollout_share: Share of a service's calls that its newest rollout gives
            to the target, as far as this node knows.
        rollout_phase: 1 for the phase of a service's newest rollout.
        confined_failures: Unexpected errors that did not end the node, by the
            effect or component that failed.
    """

    def __init__(self) -> None:
        registry = prometheus_client.CollectorRegistry()
        self.registry = registry
        self.calls = prometheus_client.Counter(
            "monsoonpass_calls",
            "Calls by outcome.",
            ["outcome"],
            registry=registry,
        )
        self.call_duration = prometheus_client.Histogram(
            "monsoonpass_call_duration_seconds",
            "Time from a call's arrival to its whole answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.calls_in_progress = prometheus_client.Gauge(
            "monsoonpass_calls_in_progress",
            "Calls in progress through this node.",
            registry=registry,
        )
        self.upstream_slots = prometheus_client.Gauge(
            "monsoonpass_upstream_slots",
            "Slots of the own upstream.",
            registry=registry,
        )
        self.upstream_slots_used = prometheus_client.Gauge(
            "monsoonpass_upstream_slots_used",
            "Slots in use.",
            registry=registry,
        )
        self.queued_calls = prometheus_client.Gauge(
            "monsoonpass_queued_calls",
            "Calls that wait for a slot.",
            registry=registry,
        )
        self.configuration_version = prometheus_client.Gauge(
            "monsoonpass_configuration_version",
            "Configuration version in force.",
            registry=registry,
        )
        self.members = prometheus_client.Gauge(
            "monsoonpass_members",
            "Members present in the data centre.",
            registry=registry,
        )
        self.peer_links = prometheus_client.Gauge(
            "monsoonpass_peer_links", "Streams to peers.", registry=registry
        )
        self.peer_bytes = prometheus_client.Counter(
            "monsoonpass_peer_bytes",
            "Bytes exchanged with peers.",
            ["direction", "kind"],
            registry=registry,
        )
        self.peer_message_bytes = prometheus_client.Counter(
            "monsoonpass_peer_message_bytes",
            "Bytes sent to peers by kind of message.",
            ["kind", "distance"],
            registry=registry,
        )
        self.disk_sync_duration = prometheus_client.Histogram(
            "monsoonpass_disk_sync_duration_seconds",
            "Time of a group of journal writes and its sync.",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.rollout_share = prometheus_client.Gauge(
            "monsoonpass_rollout_share",
            "Share of a service's calls that go to the rollout's target.",
            ["service"],
            registry=registry,
        )
        self.rollout_phase = prometheus_client.Gauge(
            "monsoonpass_rollout_phase",
            "1 for the phase of a service's newest rollout.",
            ["service", "phase"],
            registry=registry,
        )
        self.confined_failures = prometheus_client.Counter(
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
        return prometheus_client.generate_latest(self.registry)
