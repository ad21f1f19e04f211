"""Counts what a node sends to its peers, by message type and distance.

The counters show which messages use the bandwidth between nodes. They are also
logged at intervals, so that the figures outlive the process.
"""

import collections

import anyio

from monsoonpass.core import log_events
from monsoonpass.runtime import event_log
from monsoonpass.runtime import metrics as metrics_lib

REPORT_INTERVAL_S = 5.0
REPORTED_ENTRIES_MAX = 12  # Entries in a log line; the rest is summed up.


class PeerTraffic:
    """Counts messages and bytes sent to peers, and logs them at intervals."""

    def __init__(
        self, *, metrics: metrics_lib.Metrics, logger: event_log.Logger
    ):
        self._byte_counter = metrics.peer_message_bytes
        self._logger = logger
        self._labelled_counters: dict[tuple[str, str], metrics_lib.Counter] = {}
        self._sent_since_report: dict[tuple[str, str], list[int]] = (
            collections.defaultdict(lambda: [0, 0])
        )

    def count_sent(
        self, message: object, distance: str, size_bytes: int
    ) -> None:
        """Count a sent message.

        Args:
            message: The message; its class name is the label of its type.
            distance: Distance of the peer, one of
                `metrics.DISTANCE_LABELS`.
            size_bytes: Size of the encoded message, without TCP, UDP and IP
                headers.
        """
        key = (type(message).__name__, distance)
        counter = self._labelled_counters.get(key)
        if counter is None:
            counter = self._byte_counter.labels(*key)
            self._labelled_counters[key] = counter
        counter.inc(size_bytes)
        totals = self._sent_since_report[key]
        totals[0] += 1
        totals[1] += size_bytes

    async def run(self) -> None:
        """Call `report` every `REPORT_INTERVAL_S` seconds until cancelled."""
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            self.report()

    def report(self) -> None:
        """Log the messages and bytes sent since the last report.

        The largest `REPORTED_ENTRIES_MAX` pairs of type and distance are
        listed; the bytes of all others are summed up.
        """
        totals, self._sent_since_report = (
            self._sent_since_report,
            collections.defaultdict(lambda: [0, 0]),
        )
        largest = sorted(totals.items(), key=lambda item: -item[1][1])
        if not largest:
            return
        self._logger.write(
            log_events.Code.TRAFFIC,
            sent={
                f"{kind}/{distance}": counts
                for (kind, distance), counts in largest[:REPORTED_ENTRIES_MAX]
            },
            other_bytes=sum(
                size_bytes
                for _, (_, size_bytes) in largest[REPORTED_ENTRIES_MAX:]
            ),
        )
