"""Imports and garbage collection at the start of the daemon."""

import subprocess
import sys

IMPORT_SCRIPT = """
import gc, sys
from monsoonpass import start
start.import_daemon()
print(gc.isenabled(), gc.get_freeze_count() > 10_000)
print([m for m in ("yaml", "opentelemetry", "httpx") if m in sys.modules])
"""


class TestImportDaemon:
    def test_imported_modules_are_frozen_and_collection_is_enabled(self):
        """Guard: gc.freeze and gc.enable in start.import_daemon."""
        lines = self.run_script()
        assert lines[0] == "True True"

    def test_slow_optional_modules_are_not_imported(self):
        lines = self.run_script()
        assert lines[1] == "[]"

    def run_script(self) -> list[str]:
        """Load the daemon in a new process; return the lines of its output."""
        done = subprocess.run(
            [sys.executable, "-c", IMPORT_SCRIPT],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        return done.stdout.splitlines()
