"""Imports the daemon with as little processor time as possible.

Nodes restart throughout the day, and a node refuses calls until it has
started. Searching for pydantic plugins and collecting garbage among imported
modules, which live as long as the process, take a tenth of the start.
"""

import gc
import os
import types


def import_daemon() -> types.ModuleType:
    """Import and return the module of the daemon's command."""
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
    import_daemon().run()
