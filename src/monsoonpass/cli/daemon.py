"""The daemon `monsoonpassd`: runs one node from a settings file.

Usage:
  monsoonpassd --settings node.ini           run until SIGTERM or SIGINT
  monsoonpassd --settings node.ini --check   check the settings only

Either signal starts a planned stop: the upstream drains and calls in progress
end. The daemon checks the settings file for changes while it runs and applies
them.

Exit codes: 0 stopped as planned; 2 invalid settings, one line for each fault;
3 the data folder cannot be used; 4 an address cannot be bound.
"""

import faulthandler
import pathlib
import signal
import sys

import anyio

from monsoonpass import errors
from monsoonpass.formats import settings as settings_lib
from monsoonpass.runtime import daemon as daemon_lib
from monsoonpass.runtime import event_log

EXIT_SETTINGS = 2
EXIT_DISK = 3
EXIT_LISTEN = 4
RELOAD_INTERVAL_S = 1.0  # Interval of checks for a changed settings file.


def run() -> None:
    """Run the daemon (entry point)."""
    arguments = sys.argv[1:]
    if len(arguments) == 2 and arguments[0] == "--settings":
        # The usual command needs no parser, and absl takes 1.3 MB.
        faulthandler.enable()
        sys.exit(serve_file(arguments[1]))
    _run_with_flags()


def _run_with_flags() -> None:
    """Parse the command with absl and run it."""
    from absl import app
    from absl import flags

    settings = flags.DEFINE_string(
        "settings", None, "INI file with this node's settings.", required=False
    )
    check = flags.DEFINE_bool(
        "check", False, "Check the settings and exit without running."
    )

    def main(arguments: list[str]) -> int:
        if settings.value is None or len(arguments) > 1:
            print("usage: monsoonpassd --settings node.ini", file=sys.stderr)
            return EXIT_SETTINGS
        if check.value:
            return check_file(settings.value)
        return serve_file(settings.value)

    # absl prints the doc string of the main module as the help text.
    sys.modules["__main__"].__doc__ = __doc__
    app.run(main)


def check_file(path: str) -> int:
    """Validate a settings file and return the exit code."""
    settings = _load_or_print_faults(path)
    if settings is None:
        return EXIT_SETTINGS
    print("settings are valid")
    return 0


def serve_file(path: str) -> int:
    """Run a node from a settings file until it is stopped.

    Args:
        path: Path of the INI file, which is reloaded when it changes.

    Returns:
        The exit code.
    """
    # SIGHUP must not end the process before the event loop handles it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    settings = _load_or_print_faults(path)
    if settings is None:
        return EXIT_SETTINGS
    event_log.open_log(settings.telemetry.log_file)
    try:
        anyio.run(_serve, settings, path)
    except (errors.DiskError, OSError, ExceptionGroup) as error:
        return _exit_code(error)
    return 0


def _exit_code(error: Exception) -> int:
    """Print why the node could not run and return the exit code."""
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    if not isinstance(error, errors.DiskError | OSError):
        raise error
    print(f"monsoonpassd: {error}", file=sys.stderr)
    return EXIT_DISK if isinstance(error, errors.DiskError) else EXIT_LISTEN


def _load_or_print_faults(path: str) -> settings_lib.Settings | None:
    """Return the settings, or print their faults and return None."""
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
    """Reload the settings file when it changes, with or without SIGHUP."""
    known_content = pathlib.Path(path).read_bytes()
    with anyio.open_signal_receiver(signal.SIGHUP):
        # The receiver only keeps SIGHUP from ending the process.
        while True:
            await anyio.sleep(RELOAD_INTERVAL_S)
            try:
                content = pathlib.Path(path).read_bytes()
            except OSError:
                continue
            if content == known_content:
                continue
            known_content = content
            try:
                settings = settings_lib.load(path)
            except errors.SettingsError as error:
                daemon.log_invalid_settings(error)
                continue
            daemon.apply_settings(settings)
