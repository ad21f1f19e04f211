"""The record of a script, and the way in which it ends."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import signal
import sys
import time
import traceback

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: pathlib.Path):
        """Begin an empty record.

        Args:
            folder: Folder of the case.
        """
        self._path = folder / "record.txt"
        self._path.write_text("", encoding="utf-8")
        self._started_s = time.monotonic()
        self.write(f"TROUBLE={int(TROUBLE)}")

    def write(self, text: str) -> None:
        """Write one line, with the time since the start."""
        passed_s = time.monotonic() - self._started_s
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{passed_s:8.3f}  {text}\n")


def _interrupt(number: int, frame: object) -> None:
    """Let a case that is ended from outside end what it has started.

    Raises:
        KeyboardInterrupt: Always.
    """
    raise KeyboardInterrupt


def main(
    folder: pathlib.Path, case: Callable[[Record], Awaitable[bool]]
) -> None:
    """Run a case and exit: 1 broken, 0 held, 2 could not run.

    Args:
        folder: Folder of the case.
        case: Returns whether the rule was broken.
    """
    signal.signal(signal.SIGTERM, _interrupt)
    record = Record(folder)
    try:
        broken = asyncio.run(case(record))
    except (Exception, KeyboardInterrupt):
        record.write("the case could not run:\n" + traceback.format_exc())
        sys.exit(2)
    record.write("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
