"""Runs experiments and compares their results.

Usage:
  python -m benchmarks list
  python -m benchmarks run NAME [NAME ...]   (or: run all)
  python -m benchmarks compare OLD.json NEW.json

The options of each experiment are read from benchmarks/experiments.ini; --set
overrides one of them for this run, as in --set hop.calls=500. Results are
written to NAME.json in the folder named by --out.
"""

import configparser
import datetime
import importlib
import json
import logging
import pathlib
import platform
import sys
import tempfile

from absl import app
from absl import flags

_OVERRIDES = flags.DEFINE_multi_string(
    "set", [], "Overrides an option of an experiment; NAME.OPTION=VALUE."
)
_RESULTS_FOLDER = flags.DEFINE_string(
    "out", "results", "Folder for the results."
)
EXPERIMENTS_INI = pathlib.Path(__file__).with_name("experiments.ini")


def _main(arguments: list[str]) -> int:
    logging.getLogger("httpx").setLevel(logging.WARNING)
    experiments = configparser.ConfigParser()
    experiments.read(EXPERIMENTS_INI)
    for override in _OVERRIDES.value:
        target, _, value = override.partition("=")
        name, _, option = target.partition(".")
        experiments[name][option] = value
    command = arguments[1] if len(arguments) > 1 else ""
    if command == "list":
        for name in experiments.sections():
            print(f"{name:14} {experiments[name]['about']}")
        return 0
    if command == "run" and len(arguments) > 2:
        names = arguments[2:]
        if names == ["all"]:
            names = experiments.sections()
        for name in names:
            _run(name, dict(experiments[name]))
        return 0
    if command == "compare" and len(arguments) == 4:
        _compare(*arguments[2:])
        return 0
    print(__doc__, file=sys.stderr)
    return 2


def _run(name: str, options: dict[str, str]) -> None:
    module = importlib.import_module(f"benchmarks.{options['module']}")
    with tempfile.TemporaryDirectory(prefix="monsoonpass-") as folder:
        result = module.run(options, pathlib.Path(folder))
    record = {
        "experiment": name,
        "options": options,
        "python": platform.python_version(),
        "when": datetime.datetime.now(datetime.UTC).isoformat(),
        "result": result,
    }
    results_folder = pathlib.Path(_RESULTS_FOLDER.value)
    results_folder.mkdir(parents=True, exist_ok=True)
    (results_folder / f"{name}.json").write_text(json.dumps(record, indent=2))
    print(f"== {name}: {options['about']}")
    for key, value in flatten(result).items():
        print(f"{key:48} {value}")


def _compare(old_path: str, new_path: str) -> None:
    old = flatten(json.loads(pathlib.Path(old_path).read_text())["result"])
    new = flatten(json.loads(pathlib.Path(new_path).read_text())["result"])
    for key in sorted({*old, *new}):
        print(f"{key:48} {old.get(key, '-')!s:>12} {new.get(key, '-')!s:>12}")


def flatten(value: object, prefix: str = "") -> dict[str, object]:
    """Return nested results as a flat mapping with keys joined by dots."""
    if isinstance(value, dict):
        result: dict[str, object] = {}
        for key, item in value.items():
            result.update(flatten(item, f"{prefix}.{key}" if prefix else key))
        return result
    return {prefix: value}


if __name__ == "__main__":
    app.run(_main)
