"""Where processor time goes: a call at each end, an idle second, a start.

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


def run(options: dict[str, str], folder: pathlib.Path) -> dict[str, object]:
    """Measure calls at the entry and the owner, an idle pair, and a start."""
    calls = int(options["calls"])
    result: dict[str, object] = {
        "start": _measure_start(int(options["starts"]))
    }
    with fleet_lib.run_pair(folder / "plain", hop.OPERATOR_TEXT) as pair:
        result["idle_ms_a_second"] = _measure_idle(pair)
        result["ms_a_call"] = _measure_calls(pair, calls)
    profiles = folder / "profiles"
    profiles.mkdir()
    with fleet_lib.run_pair(
        folder / "profiled", hop.OPERATOR_TEXT, profiles
    ) as pair:
        _make_calls(pair, calls)
        pair.fleet.terminate(pair.entry)
        pair.fleet.terminate(pair.owner)
    for role in ("entry", "owner"):
        result[f"{role}_percent"] = _shares(profiles / role)
    return result


def _make_calls(pair: fleet_lib.Pair, count: int) -> None:
    anyio.run(hop.make_calls, pair.entry.caller_port, "shop", count, 0.0)


def _measure_calls(pair: fleet_lib.Pair, count: int) -> dict[str, float]:
    """Return the processor time of a call at each node, in ms."""
    _make_calls(pair, count // 10)
    nodes = {"entry": pair.entry, "owner": pair.owner}
    before = {name: pair.fleet.cpu_s(node) for name, node in nodes.items()}
    _make_calls(pair, count)
    return {
        name: round((pair.fleet.cpu_s(node) - before[name]) * 1000 / count, 3)
        for name, node in nodes.items()
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
