"""The command-line tool `monsoonpass`.

Usage:
  monsoonpass validate FILE         check an operator text, offline
  monsoonpass submit FILE           submit an operator text to a node
  monsoonpass status                versions in force, per data centre
  monsoonpass watch                 repeat `status` at an interval
  monsoonpass diff FILE             what FILE would change
  monsoonpass explain "GET SERVICE/PATH"   which route such a call takes
  monsoonpass rollout start SERVICE VERSION SECONDS
                                    move a service to upstreams of VERSION
  monsoonpass rollout show SERVICE  state of the service's newest rollout
  monsoonpass demo                  a small mesh in one process

Common flags: --node ADDRESS of a node's operator endpoint, --token_file FILE,
--json for machines, --wait to follow `submit` until every node is on the new
version. `monsoonpass --helpfull` lists all flags.

Exit codes: 0 done; 1 refused (invalid, conflict, not increasing); 2 wrong
usage; 3 not accepted, no quorum or node reached; 4 not confirmed, submit the
same text again; 5 accepted, but --wait ran out of time.
"""

import json
import logging
import pathlib
import sys
import time

from absl import app
from absl import flags

from monsoonpass import errors
from monsoonpass.cli import client as client_lib
from monsoonpass.cli import demo
from monsoonpass.cli import report
from monsoonpass.core.distribution import catalog as catalog_lib
from monsoonpass.formats import operator_models as models
from monsoonpass.formats import operator_text

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNAVAILABLE = 3
EXIT_UNCONFIRMED = 4
EXIT_WAIT_TIMEOUT = 5
POLL_INTERVAL_S = 0.25

EXIT_BY_STATUS = {
    "accepted": EXIT_OK,
    "superseded": EXIT_OK,
    "ordered": EXIT_OK,
    "repeated": EXIT_OK,
    "unavailable": EXIT_UNAVAILABLE,
    "busy": EXIT_UNAVAILABLE,
    "unconfirmed": EXIT_UNCONFIRMED,
}

_NODE = flags.DEFINE_string(
    "node", "127.0.0.1:8081", "Operator endpoint of any node of the mesh."
)
_TOKEN_FILE = flags.DEFINE_string(
    "token_file", "", "File that holds the operators' token."
)
_JSON = flags.DEFINE_bool("json", False, "Print JSON for machines.")
_WAIT = flags.DEFINE_bool(
    "wait", False, "After submit: wait until every node is on the version."
)
_WAIT_S = flags.DEFINE_float("wait_s", 30.0, "Longest time that --wait waits.")
_EVERY_S = flags.DEFINE_float("every_s", 1.0, "Interval of watch.")
_TIMES = flags.DEFINE_integer("times", 0, "Rounds of watch; 0 for no end.")


def run() -> None:
    """Run the tool (entry point)."""
    # absl prints the doc string of the main module as the help text.
    sys.modules["__main__"].__doc__ = __doc__
    app.run(_main)


def _main(arguments: list[str]) -> int:
    logging.getLogger("httpx").setLevel(logging.WARNING)
    handlers = {
        "validate": (_validate, 1),
        "submit": (_submit, 1),
        "status": (_status, 0),
        "watch": (_watch, 0),
        "diff": (_diff, 1),
        "explain": (_explain, 1),
        "rollout start": (_rollout_start, 3),
        "rollout show": (_rollout_show, 1),
        "demo": (_demo, 0),
    }
    words = 2 if arguments[1:2] == ["rollout"] else 1
    command = " ".join(arguments[1 : words + 1])
    handler, arguments_count = handlers.get(command, (None, 0))
    if handler is None or len(arguments) - words - 1 != arguments_count:
        print(__doc__, file=sys.stderr)
        return EXIT_USAGE
    try:
        return handler(*arguments[words + 1 :])
    except errors.OperatorApiError as error:
        print(f"monsoonpass: {_NODE.value}: {error}", file=sys.stderr)
        return EXIT_UNAVAILABLE
    except errors.OperatorTextError as error:
        for issue in error.issues:
            print(f"{arguments[-1]}: {issue}", file=sys.stderr)
        return EXIT_REFUSED
    except (OSError, UnicodeDecodeError) as error:
        print(f"monsoonpass: {error}", file=sys.stderr)
        return EXIT_USAGE


def _client() -> client_lib.Client:
    token = ""
    if _TOKEN_FILE.value:
        token = pathlib.Path(_TOKEN_FILE.value).read_text().strip()
    return client_lib.Client(node=_NODE.value, token=token)


def _validate(path: str) -> int:
    catalog = operator_text.compile_text(_read(path))
    summary = {
        "version": catalog.version,
        "services": len(catalog.services),
        "routes": sum(
            len(service.routes) for service in catalog.services.values()
        ),
    }
    _print(
        summary,
        f"{path}: version {summary['version']}, {summary['services']} "
        f"services, {summary['routes']} routes: valid",
    )
    return EXIT_OK


def _submit(path: str) -> int:
    text = _read(path)
    version = operator_text.compile_text(text).version
    with _client() as client:
        result = client.submit(text)
        _print(
            {"status": result.status, "version": result.version},
            report.submission_line(version, result),
        )
        for issue in result.issues:
            print(f"{path}: {issue}", file=sys.stderr)
        code = EXIT_BY_STATUS.get(result.status, EXIT_REFUSED)
        if code == EXIT_OK and _WAIT.value:
            return _wait_until_in_force(client, version)
        return code


def _wait_until_in_force(client: client_lib.Client, version: int) -> int:
    """Print progress until every node has the version or a later one."""
    deadline_s = time.monotonic() + _WAIT_S.value
    while True:
        status = client.status()
        updated, total = report.count_updated(status, version)
        if not _JSON.value:
            print(f"version {version}: in force on {updated} of {total} nodes")
        if updated == total and not status.missing:
            return EXIT_OK
        if time.monotonic() > deadline_s:
            return EXIT_WAIT_TIMEOUT
        time.sleep(POLL_INTERVAL_S)


def _status() -> int:
    with _client() as client:
        status = client.status()
    _print(status.model_dump(), report.status_table(status))
    return EXIT_OK


def _watch() -> int:
    rounds = 0
    with _client() as client:
        while True:
            status = client.status()
            _print(status.model_dump(), report.status_table(status))
            rounds += 1
            if _TIMES.value and rounds >= _TIMES.value:
                return EXIT_OK
            time.sleep(_EVERY_S.value)


def _diff(path: str) -> int:
    wanted = operator_text.compile_text(_read(path))
    with _client() as client:
        current = client.config()
    changes = report.change_lines(current, models.ConfigView.of(wanted))
    lines = [f"version {current.version} -> {wanted.version}", *changes]
    _print(
        {
            "from": current.version,
            "to": wanted.version,
            "changes": changes,
        },
        "\n".join(lines),
    )
    return EXIT_OK


def _explain(call: str) -> int:
    method, _, target = call.strip().partition(" ")
    service, slash, path = target.strip().partition("/")
    if not service or not slash:
        print('usage: monsoonpass explain "GET SERVICE/PATH"', file=sys.stderr)
        return EXIT_USAGE
    with _client() as client:
        view = client.config()
    catalog = _rebuild_catalog(view)
    route = catalog.find_route(service, method.upper(), f"/{path}")
    if route is None:
        reason = (
            "has no such route" if service in view.services else "is unknown"
        )
        _print(
            {"version": view.version, "route": None},
            f"version {view.version}: {service} {reason}",
        )
        return EXIT_REFUSED
    found = models.RouteView.of(route)
    _print(
        {"version": view.version, "route": found.model_dump()},
        report.route_properties(view.version, service, found),
    )
    return EXIT_OK


def _rollout_start(service: str, version: str, seconds: str) -> int:
    try:
        duration_s = float(seconds)
    except ValueError:
        print(f"monsoonpass: {seconds} is no number", file=sys.stderr)
        return EXIT_USAGE
    with _client() as client:
        status = client.start_rollout(service, version, duration_s)
    _print({"status": status}, f"rollout of {service} to {version}: {status}")
    return EXIT_BY_STATUS.get(status, EXIT_REFUSED)


def _rollout_show(service: str) -> int:
    with _client() as client:
        rollout = client.rollout(service)
    if rollout is None:
        _print({"state": None}, f"{service}: no rollout was ordered")
        return EXIT_REFUSED
    _print(
        rollout.model_dump(),
        f"{service}: rollout to {rollout.target_version} {rollout.state}",
    )
    return EXIT_OK


def _demo() -> int:
    return demo.run()


def _rebuild_catalog(view: models.ConfigView) -> catalog_lib.Catalog:
    """Rebuild the configuration, so that routes match as on a node."""
    services = {
        name: catalog_lib.Service(
            name=name,
            depends_on=tuple(service.depends_on),
            routes=tuple(
                catalog_lib.Route(
                    path=route.path,
                    methods=tuple(route.methods),
                    idempotent=route.idempotent,
                    priority=catalog_lib.Priority[route.priority.upper()],
                    deadline_s=route.deadline_s,
                    bulk=route.size == "bulk",
                )
                for route in service.routes
            ),
        )
        for name, service in view.services.items()
    }
    return catalog_lib.Catalog(version=view.version, services=services)


def _read(path: str) -> str:
    return pathlib.Path(path).read_text(encoding="utf-8")


def _print(value: dict[str, object], text: str) -> None:
    print(json.dumps(value) if _JSON.value else text, flush=True)
