"""Metrics of one node, by prometheus_client."""

import prometheus_client

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

DISTANCES = ("data_centre", "region", "across")

Counter = prometheus_client.Counter


class Metrics:
    """All metrics of a node, in a registry of its own.

    Attributes:
        registry: The registry that /metrics renders.
        calls: Calls by outcome ("answered" or a failure's outcome).
        call_seconds: Time from a call's arrival to its whole answer.
        calls_in_progress: Calls in progress through this node.
        slots: Slots of the own upstream.
        slots_used: Slots in use.
        queued: Calls that wait for a slot.
        version: Configuration version in force.
        members: Members present in the data centre.
        links: Streams to peers.
        peer_bytes: Bytes exchanged with peers, by direction and kind.
        peer_message_bytes: Bytes sent to peers, by kind of message and by
            distance: within the data centre, the region, or across regions.
        disk_sync: Time of a group of writes and its sync.
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
        self.call_seconds = prometheus_client.Histogram(
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
        self.slots = prometheus_client.Gauge(
            "monsoonpass_upstream_slots",
            "Slots of the own upstream.",
            registry=registry,
        )
        self.slots_used = prometheus_client.Gauge(
            "monsoonpass_upstream_slots_used",
            "Slots in use.",
            registry=registry,
        )
        self.queued = prometheus_client.Gauge(
            "monsoonpass_queued_calls",
            "Calls that wait for a slot.",
            registry=registry,
        )
        self.version = prometheus_client.Gauge(
            "monsoonpass_configuration_version",
            "Configuration version in force.",
            registry=registry,
        )
        self.members = prometheus_client.Gauge(
            "monsoonpass_members",
            "Members present in the data centre.",
            registry=registry,
        )
        self.links = prometheus_client.Gauge(
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
        self.disk_sync = prometheus_client.Histogram(
            "monsoonpass_disk_sync_duration_seconds",
            "Time of a group of journal writes and its sync.",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )

    def render(self) -> bytes:
        """Return the registry in Prometheus's text format."""
        return prometheus_client.generate_latest(self.registry)
