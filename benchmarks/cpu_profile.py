"""Where processor time goes: a call at each end, an idle second, a start.

Nodes serve callers over HTTP/1.1, as in a deployment. Calls are made one after
another: on one kept connection, on a new connection each, and as uploads.

Processor times come from daemons without a profiler; the shares of libraries
and modules from daemons under cProfile, which slows Python functions down more
than built-in ones.
"""

import os
import pathlib
import pstats
import subprocess
import sys
import time

import anyio

from benchmarks import fleet as fleet_lib
from benchmarks import hop

SHOWN_COUNT = 12  # Libraries and modules shown for each role.
START_COMMAND = "from monsoonpass import start; start.import_daemon()"
IDLE_S = 5.0
ANSWER_BYTES = 3000
UPLOAD_BYTES = 60_000
# Processor time is counted in ticks of 10 ms. The best of several runs is the
# one least disturbed by other processes.
CALL_RUNS = 3


def run(options: dict[str, str], folder: pathlib.Path) -> dict[str, object]:
    """Measure calls at the entry and the owner, an idle pair, and a start."""
    calls = int(options["calls"])
    result: dict[str, object] = {
        "start": _measure_start(int(options["starts"]))
    }
    with fleet_lib.run_pair(
        folder / "plain", hop.OPERATOR_TEXT, http2=False
    ) as pair:
        nodes = {"entry": pair.entry, "owner": pair.owner}
        result["memory_kb_at_start"] = _peak_memory_kb(pair)
        result["idle_ms_a_second"] = _measure_idle(pair)
        for kind, count in (
            ("kept", calls),
            ("new", calls // 3),
            ("upload", calls // 3),
        ):
            _make_calls(pair, kind, count // 10)
            runs = [_measure_calls(pair, kind, count) for _ in range(CALL_RUNS)]
            result[f"ms_a_call_{kind}"] = {
                name: min(run[name] for run in runs) for name in nodes
            }
        result["memory_kb_after_calls"] = _peak_memory_kb(pair)
    profiles = folder / "profiles"
    profiles.mkdir()
    with fleet_lib.run_pair(
        folder / "profiled", hop.OPERATOR_TEXT, profiles, http2=False
    ) as pair:
        _make_calls(pair, "kept", calls)
        pair.fleet.terminate(pair.entry)
        pair.fleet.terminate(pair.owner)
    for role in ("entry", "owner"):
        result[f"{role}_percent"] = _shares(profiles / role)
    return result


def _make_calls(pair: fleet_lib.Pair, kind: str, count: int) -> None:
    anyio.run(_make_calls_of, kind, pair.entry.caller_port, count)


async def _make_calls_of(kind: str, port: int, count: int) -> None:
    """Make calls in sequence: "kept", "new" (connections) or "upload"."""
    target = f"/lots?ms=0&bytes={ANSWER_BYTES}"
    if kind == "kept":
        await hop.make_calls(port, "shop", count, 0.0, target=target)
    elif kind == "new":
        for _ in range(count):
            await hop.make_calls(port, "shop", 1, 0.0, target=target)
    else:
        await hop.make_calls(
            port,
            "shop",
            count,
            0.0,
            method="POST",
            target=target,
            body=bytes(UPLOAD_BYTES),
        )


def _measure_calls(
    pair: fleet_lib.Pair, kind: str, count: int
) -> dict[str, float]:
    """Return the processor time of a call at each node, in ms."""
    nodes = {"entry": pair.entry, "owner": pair.owner}
    before = {name: pair.fleet.cpu_s(node) for name, node in nodes.items()}
    _make_calls(pair, kind, count)
    return {
        name: round((pair.fleet.cpu_s(node) - before[name]) * 1000 / count, 3)
        for name, node in nodes.items()
    }


def _peak_memory_kb(pair: fleet_lib.Pair) -> dict[str, int]:
    return {
        node.name: pair.fleet.peak_memory_bytes(node) // 1024
        for node in (pair.entry, pair.owner)
    }


def _measure_idle(pair: fleet_lib.Pair) -> float:
    """Return the processor time of an idle node in ms a second."""
    before_s = pair.fleet.cpu_s(pair.entry)
    time.sleep(IDLE_S)
    return round((pair.fleet.cpu_s(pair.entry) - before_s) * 1000 / IDLE_S, 2)


def _measure_start(count: int) -> dict[str, float]:
    """Return the least processor time of an import of the daemon, in s."""
    times_s = []
    for _ in range(count):
        before = os.times()
        subprocess.run([sys.executable, "-c", START_COMMAND], check=True)
        after = os.times()
        times_s.append(
            after.children_user
            + after.children_system
            - before.children_user
            - before.children_system
        )
    times_s.sort()
    return {"least_s": round(times_s[0], 3), "median_s": times_s[count // 2]}


def _shares(path: pathlib.Path) -> dict[str, float]:
    """Return the shares of libraries in a profile, in per cent, largest first.

    The modules of this project are listed by package.
    """
    totals: dict[str, float] = {}
    # Waiting for events is a built-in function that takes no processor time.
    for (file, _, name), row in pstats.Stats(str(path)).stats.items():
        if "poll" in name or "sleep" in name:
            continue
        library = _library(file)
        totals[library] = totals.get(library, 0.0) + row[2]
    whole = sum(totals.values())
    largest = sorted(totals.items(), key=lambda item: -item[1])[:SHOWN_COUNT]
    return {name: round(100 * time_s / whole, 1) for name, time_s in largest}


def _library(file: str) -> str:
    parts = pathlib.PurePath(file).parts
    if "monsoonpass" in parts:
        after = parts[len(parts) - parts[::-1].index("monsoonpass") :]
        return "/".join(("monsoonpass", *after[:2]))
    if "site-packages" in parts:
        return parts[parts.index("site-packages") + 1]
    if file == "~":
        return "built-in"
    return parts[-2] if len(parts) > 1 else file
