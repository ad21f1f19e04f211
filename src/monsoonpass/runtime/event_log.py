"""Structured, rate-limited logs: one numbered event per line, with eliot."""

import json
import os
import sys
import time
from typing import Any

import eliot
import eliot.json

from monsoonpass.core import effects
from monsoonpass.core import log_events

LINES_PER_S = 100.0  # About a tenth of what one core can write.
LINES_BURST_MAX = 400.0  # Enough for the start of a node with all its peers.
STANDARD_OUTPUT_PATH = "-"


class Logger:
    """Logs the events of one node, rate-limited by a token bucket.

    Lines beyond the limit are dropped and counted; the next line that is
    written is preceded by a `LINES_DROPPED` event with the count. Otherwise
    logging many failures would take CPU time from calls that can succeed.

    Attributes:
        instance: Name of the instance, in every line.
    """

    def __init__(self, *, instance: str):
        self.instance = instance
        self._tokens = LINES_BURST_MAX
        self._refilled_s = time.monotonic()
        self._dropped_lines = 0

    def write(self, code: log_events.Code, **fields: object) -> None:
        """Log one event, or drop it if the rate limit is reached.

        Args:
            code: The event's entry in the catalogue.
            **fields: Further keys and values of the line.
        """
        if not self._take_token():
            self._dropped_lines += 1
            return
        if self._dropped_lines:
            dropped_lines, self._dropped_lines = self._dropped_lines, 0
            self.write(log_events.Code.LINES_DROPPED, count=dropped_lines)
        eliot.log_message(
            message_type=f"monsoonpass:{code.number}",
            event=code.name.lower(),
            level=code.level,
            instance=self.instance,
            **fields,
        )

    def write_effect(self, effect: effects.Log) -> None:
        """Perform a `Log` effect."""
        self.write(effect.code, **effect.fields)

    def _take_token(self) -> bool:
        now_s = time.monotonic()
        self._tokens += (now_s - self._refilled_s) * LINES_PER_S
        self._tokens = min(self._tokens, LINES_BURST_MAX)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class StandardOutputDestination:
    """Eliot destination that writes to standard output without blocking.

    Lines are dropped while the reader of the pipe is too slow; the next line
    has their number as `lines_lost_before`. Of a line that is written in part,
    the rest goes out before the next line.
    """

    def __init__(self) -> None:
        self._descriptor = sys.stdout.fileno()
        self._lost_lines = 0
        self._unwritten = b""
        os.set_blocking(self._descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one eliot message as a line of JSON."""
        if self._lost_lines:
            message = {**message, "lines_lost_before": self._lost_lines}
        line = json.dumps(message, default=eliot.json.json_default)
        line_bytes = self._unwritten + line.encode() + b"\n"
        try:
            written_bytes = os.write(self._descriptor, line_bytes)
        except BlockingIOError:
            self._lost_lines += 1
            return
        except OSError:
            # The reader has closed the pipe: serve without a log.
            return
        self._lost_lines = 0
        self._unwritten = line_bytes[written_bytes:]


def open_log(path: str) -> None:
    """Set where this process logs its events.

    Args:
        path: File to append to, "-" for standard output, or empty for no log.
    """
    if path == STANDARD_OUTPUT_PATH:
        eliot.add_destinations(StandardOutputDestination())
    elif path:
        eliot.to_file(open(path, "a", buffering=1, encoding="utf-8"))  # noqa: SIM115
