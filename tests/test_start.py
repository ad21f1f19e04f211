"""Imports and garbage collection at the start of the daemon."""

import hashlib
import hmac
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


TLS_SCRIPT = """
import sys
from monsoonpass import start
start.import_daemon()
import anyio
async def use_sockets():
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    await anyio.connect_tcp("127.0.0.1", port)
anyio.run(use_sockets)
print([m for m in ("ssl", "_ssl", "_hashlib") if m in sys.modules])
import hashlib, hmac
print(hmac.new(b"k", b"m", hashlib.sha256).hexdigest())
print(hashlib.blake2b(b"m", digest_size=8).hexdigest())
import hypercorn.asyncio, ssl
print(ssl.create_default_context().check_hostname)
"""


class TestWithoutOpenssl:
    def test_openssl_is_loaded_only_by_a_later_import(self):
        """Every process would hold 4.5 MB more, or none could use TLS.

        Guard: `_without_openssl` in start.import_daemon.
        """
        done = subprocess.run(
            [sys.executable, "-c", TLS_SCRIPT],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        modules, proof, digest, checks_hostname = done.stdout.splitlines()
        assert modules == "[]"
        assert proof == hmac.new(b"k", b"m", hashlib.sha256).hexdigest()
        assert digest == hashlib.blake2b(b"m", digest_size=8).hexdigest()
        assert checks_hostname == "True"
