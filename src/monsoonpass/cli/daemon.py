"""The daemon `monsoonpassd`: runs one node from a settings file.

Usage:
  monsoonpassd --settings node.ini           run until SIGTERM or SIGINT
  monsoonpassd --settings node.ini --check   check the settings only

A signal begins a planned stop: the upstream drains and calls in progress end.

Exit codes: 0 stopped as planned; 2 wrong settings, one line for each fault;
3 the data folder cannot be used; 4 an address cannot be bound.
"""

import pathlib
import signal
import sys

from absl import app
from absl import flags
import anyio

from monsoonpass import errors
from monsoonpass.border import settings as settings_lib
from monsoonpass.runtime import daemon as daemon_lib
from monsoonpass.runtime import logs

EXIT_SETTINGS = 2
EXIT_DISK = 3
EXIT_LISTEN = 4
RELOAD_S = 1.0  # Time between two looks at the settings file.

_SETTINGS = flags.DEFINE_string(
    "settings", None, "INI file with this node's settings.", required=False
)
_CHECK = flags.DEFINE_bool(
    "check", False, "Check the settings and exit without running."
)


def run() -> None:
    """Run the daemon (entry point)."""
    # absl shows the main module's description as the help.
    sys.modules["__main__"].__doc__ = __doc__
    app.run(_main)


def _main(arguments: list[str]) -> int:
    if _SETTINGS.value is None or len(arguments) > 1:
        print("usage: monsoonpassd --settings node.ini", file=sys.stderr)
        return EXIT_SETTINGS
    if _CHECK.value:
        return check_file(_SETTINGS.value)
    return serve_file(_SETTINGS.value)


def check_file(path: str) -> int:
    """Check a settings file and return the exit code."""
    settings = _load(path)
    if settings is None:
        return EXIT_SETTINGS
    print("settings are valid")
    return 0


def serve_file(path: str) -> int:
    """Run a node from a settings file until it is stopped.

    Args:
        path: The INI file; changes of it come into force while it runs.

    Returns:
        The exit code.
    """
    # Until the loop takes the signal, it must not end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    settings = _load(path)
    if settings is None:
        return EXIT_SETTINGS
    logs.open_log(settings.telemetry.log_file)
    try:
        anyio.run(_serve, settings, path)
    except (errors.DiskError, OSError, ExceptionGroup) as error:
        return _exit_code(error)
    return 0


def _exit_code(error: Exception) -> int:
    """Tell why the node could not run and return the exit code."""
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    if not isinstance(error, errors.DiskError | OSError):
        raise error
    print(f"monsoonpassd: {error}", file=sys.stderr)
    return EXIT_DISK if isinstance(error, errors.DiskError) else EXIT_LISTEN


def _load(path: str) -> settings_lib.Settings | None:
    """Return checked settings, or None after telling their faults."""
    try:
        return settings_lib.load(path)
    except errors.SettingsError as error:
        for issue in error.issues:
            print(f"monsoonpassd: {issue}", file=sys.stderr)
    return None


async def _serve(settings: settings_lib.Settings, path: str) -> None:
    daemon = daemon_lib.Daemon(settings=settings)
    async with anyio.create_task_group() as group:
        group.start_soon(_stop_on_signal, daemon)
        group.start_soon(_reload_on_change, daemon, path)
        await daemon.run()
        group.cancel_scope.cancel()


async def _stop_on_signal(daemon: daemon_lib.Daemon) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            daemon.stop()


async def _reload_on_change(daemon: daemon_lib.Daemon, path: str) -> None:
    """Bring changed settings into force, announced by a signal or not."""
    known = pathlib.Path(path).read_bytes()
    with anyio.open_signal_receiver(signal.SIGHUP):
        # The handler only keeps the signal from ending the process.
        while True:
            await anyio.sleep(RELOAD_S)
            try:
                found = pathlib.Path(path).read_bytes()
            except OSError:
                continue
            if found == known:
                continue
            known = found
            try:
                settings = settings_lib.load(path)
            except errors.SettingsError as error:
                daemon.refuse_settings(error)
                continue
            daemon.reload(settings)
