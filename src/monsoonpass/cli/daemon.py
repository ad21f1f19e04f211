"""The daemon `monsoonpassd`: runs one node from a settings file.

Usage:
  monsoonpassd --settings node.ini           run until SIGTERM or SIGINT
  monsoonpassd --settings node.ini --check   check the settings only

A signal begins a planned stop: the upstream drains and calls in progress end.

Exit codes: 0 stopped as planned; 2 wrong settings, one line for each fault;
3 the data folder cannot be used; 4 an address cannot be bound.
"""

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
    try:
        settings = settings_lib.load(_SETTINGS.value)
    except errors.SettingsError as error:
        for issue in error.issues:
            print(f"monsoonpassd: {issue}", file=sys.stderr)
        return EXIT_SETTINGS
    if _CHECK.value:
        print("settings are valid")
        return 0
    logs.open_log(settings.telemetry.log_file)
    try:
        anyio.run(_serve, settings)
    except errors.DiskError as error:
        print(f"monsoonpassd: {error}", file=sys.stderr)
        return EXIT_DISK
    except OSError as error:
        print(f"monsoonpassd: {error}", file=sys.stderr)
        return EXIT_LISTEN
    return 0


async def _serve(settings: settings_lib.Settings) -> None:
    daemon = daemon_lib.Daemon(settings=settings)
    async with anyio.create_task_group() as group:
        group.start_soon(_stop_on_signal, daemon)
        await daemon.run()
        group.cancel_scope.cancel()


async def _stop_on_signal(daemon: daemon_lib.Daemon) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            daemon.stop()
