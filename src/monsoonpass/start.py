"""Imports the daemon with as little processor time and memory as possible.

Nodes restart throughout the day, and a node refuses calls until it has
started. Searching for pydantic plugins and collecting garbage among imported
modules, which live as long as the process, take a tenth of the start.

A node speaks no TLS, but asyncio and anyio import the ssl module, and hashlib
prefers OpenSSL's hashes. Without OpenSSL's libraries a process takes 4.5 MB
less. asyncio and hashlib do without them where they are missing; anyio gets an
empty module. A later import, as by hypercorn, finds the real ones.
"""

from collections.abc import Iterator
import contextlib
import gc
import importlib
import importlib.util
import os
import sys
import types

# Modules with the hashes that hashlib takes from OpenSSL otherwise.
BUILT_IN_HASHES = ("_md5", "_sha1", "_sha256", "_sha512", "_sha3", "_blake2")


def import_daemon() -> types.ModuleType:
    """Import and return the module of the daemon's command."""
    os.environ.setdefault("PYDANTIC_DISABLE_PLUGINS", "__all__")
    gc.disable()
    try:
        with _without_openssl():
            from monsoonpass.cli import daemon
    finally:
        gc.freeze()
        gc.enable()
    return daemon


@contextlib.contextmanager
def _without_openssl() -> Iterator[None]:
    """Hide OpenSSL from the modules imported meanwhile, if it is not loaded."""
    has_hashes = all(map(importlib.util.find_spec, BUILT_IN_HASHES))
    is_loaded = "ssl" in sys.modules or "_hashlib" in sys.modules
    if is_loaded or not has_hashes:
        yield
        return
    sys.modules["ssl"] = sys.modules["_hashlib"] = None
    try:
        import asyncio
        import hashlib
        import hmac

        assert asyncio and hashlib and hmac  # Imported for their effects.
        empty = types.ModuleType("ssl")
        empty.SSLContext = type("SSLContext", (), {})
        sys.modules["ssl"] = empty
        import anyio

        # anyio imports these only when they are first used.
        assert anyio.create_tcp_listener and anyio.create_udp_socket
        importlib.import_module("anyio._backends._asyncio")
        yield
    finally:
        for name in ("ssl", "_hashlib"):
            sys.modules.pop(name, None)


def run() -> None:
    """Run the daemon (entry point)."""
    import_daemon().run()
