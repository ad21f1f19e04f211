"""Structured logs by eliot: one numbered event a line, bounded in volume."""

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
LINES_AT_ONCE = 400.0  # A start of a node with all its peers fits in.
STANDARD_OUTPUT = "-"


class Logger:
    """Writes the numbered events of one node.

    Lines beyond the bound are dropped, counted and told, so that a storm of
    failures does not cost the calls that could still succeed.

    Attributes:
        instance: Name of the instance, in every line.
    """

    def __init__(self, *, instance: str):
        self.instance = instance
        self._tokens = LINES_AT_ONCE
        self._counted_s = time.monotonic()
        self._dropped = 0

    def write(self, code: log_events.Code, **fields: object) -> None:
        """Write one event.

        Args:
            code: Its entry in the catalogue.
            **fields: Values for the line.
        """
        if not self._take_token():
            self._dropped += 1
            return
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            self.write(log_events.Code.LINES_DROPPED, count=dropped)
        eliot.log_message(
            message_type=f"monsoonpass:{code.number}",
            event=code.name.lower(),
            level=code.level,
            instance=self.instance,
            **fields,
        )

    def perform(self, effect: effects.Log) -> None:
        """Write the event of a `Log` effect."""
        self.write(effect.code, **effect.fields)

    def _take_token(self) -> bool:
        now_s = time.monotonic()
        self._tokens += (now_s - self._counted_s) * LINES_PER_S
        self._tokens = min(self._tokens, LINES_AT_ONCE)
        self._counted_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class StandardOutput:
    """Writes lines to the standard output without ever waiting for it."""

    def __init__(self) -> None:
        self._file = sys.stdout.fileno()
        self._lost = 0
        self._rest = b""
        os.set_blocking(self._file, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one message (an eliot destination)."""
        if self._lost:
            message = {**message, "lines_lost_before": self._lost}
        line = json.dumps(message, default=eliot.json.json_default)
        data = self._rest + line.encode() + b"\n"
        try:
            written = os.write(self._file, data)
        except BlockingIOError:
            self._lost += 1
            return
        except OSError:
            # Nobody reads any more; the node serves on without a log.
            return
        self._lost = 0
        self._rest = data[written:]


def open_log(path: str) -> None:
    """Send this process's events to a file, appending.

    Args:
        path: The file; empty writes no log, "-" the standard output.
    """
    if path == STANDARD_OUTPUT:
        eliot.add_destinations(StandardOutput())
    elif path:
        eliot.to_file(open(path, "a", buffering=1, encoding="utf-8"))  # noqa: SIM115
