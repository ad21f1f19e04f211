"""What a node sends to its peers, by kind of message and by distance.

The counters tell what a node's share of a link is spent on; a line of the log
repeats them at intervals, so that they are known after the process is gone.
"""

import collections

import anyio

from monsoonpass.core import log_events
from monsoonpass.runtime import logs
from monsoonpass.runtime import metrics as metrics_lib

REPORT_S = 5.0
KINDS_MAX = 12  # In a line of the log, the largest first.


class Traffic:
    """Counts messages and bytes sent to peers."""

    def __init__(self, *, metrics: metrics_lib.Metrics, logger: logs.Logger):
        self._counters = metrics.peer_message_bytes
        self._logger = logger
        self._children: dict[tuple[str, str], metrics_lib.Counter] = {}
        self._recent: dict[tuple[str, str], list[int]] = (
            collections.defaultdict(lambda: [0, 0])
        )

    def sent(self, message: object, distance: str, size_bytes: int) -> None:
        """Count a message.

        Args:
            message: What was sent.
            distance: How far it goes, as `metrics.DISTANCES` names it.
            size_bytes: Its size on the wire, without headers of the network.
        """
        key = (type(message).__name__, distance)
        child = self._children.get(key)
        if child is None:
            child = self._counters.labels(*key)
            self._children[key] = child
        child.inc(size_bytes)
        recent = self._recent[key]
        recent[0] += 1
        recent[1] += size_bytes

    async def run(self) -> None:
        """Log the largest kinds at intervals, until cancelled."""
        while True:
            await anyio.sleep(REPORT_S)
            self.report()

    def report(self) -> None:
        """Log what was sent since the last report."""
        recent, self._recent = (
            self._recent,
            collections.defaultdict(lambda: [0, 0]),
        )
        largest = sorted(recent.items(), key=lambda item: -item[1][1])
        if not largest:
            return
        self._logger.write(
            log_events.Code.TRAFFIC,
            sent={
                f"{kind}/{distance}": counts
                for (kind, distance), counts in largest[:KINDS_MAX]
            },
            other_bytes=sum(
                size_bytes for _, (_, size_bytes) in largest[KINDS_MAX:]
            ),
        )
