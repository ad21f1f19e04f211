"""The start of the daemon: loads it for the least processor time.

Restarts happen all day, and callers are refused while they last. Looking for
plugins of the checks and collecting garbage of modules that stay cost a tenth
of the start.
"""

import gc
import os
import types


def load() -> types.ModuleType:
    """Import the daemon's command and return its module."""
    os.environ.setdefault("PYDANTIC_DISABLE_PLUGINS", "__all__")
    gc.disable()
    try:
        from monsoonpass.cli import daemon
    finally:
        gc.freeze()
        gc.enable()
    return daemon


def run() -> None:
    """Run the daemon (entry point)."""
    load().run()
