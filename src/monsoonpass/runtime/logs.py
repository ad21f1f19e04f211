"""Structured logs by eliot: one numbered event a line."""

import sys

import eliot
import eliot.json

from monsoonpass.core import effects
from monsoonpass.core import logbook


class Logger:
    """Writes the numbered events of one node.

    Attributes:
        instance: Name of the instance, in every line.
    """

    def __init__(self, *, instance: str):
        self.instance = instance

    def write(self, code: logbook.Code, **fields: object) -> None:
        """Write one event.

        Args:
            code: Its entry in the catalogue.
            **fields: Values for the line.
        """
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


def open_log(path: str) -> None:
    """Send this process's events to a file, appending.

    Args:
        path: The file; empty writes no log, "-" the standard output.
    """
    if path == "-":
        eliot.to_file(sys.stdout)
    elif path:
        eliot.to_file(open(path, "a", buffering=1, encoding="utf-8"))  # noqa: SIM115
