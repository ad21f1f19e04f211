"""Checks that imports name modules, not classes, functions or constants.

Names may be imported from typing, collections.abc and __future__.

Usage: python tools/check_imports.py FOLDER...
"""

import ast
import importlib.util
import pathlib
import sys

NAME_IMPORTS_ALLOWED = ("typing", "collections.abc", "__future__")


def find_faults(path: pathlib.Path) -> list[str]:
    """Return a message for each import of a name that is not a module."""
    faults = []
    tree = ast.parse(path.read_text(encoding="utf-8"))
    for statement in ast.walk(tree):
        if not isinstance(statement, ast.ImportFrom):
            continue
        if statement.module in NAME_IMPORTS_ALLOWED:
            continue
        for alias in statement.names:
            if not _is_module(f"{statement.module}.{alias.name}"):
                faults.append(
                    f"{path}:{statement.lineno}: {alias.name} is not a module"
                )
    return faults


def _is_module(name: str) -> bool:
    try:
        return importlib.util.find_spec(name) is not None
    except ModuleNotFoundError:
        return False


def main(folders: list[str]) -> int:
    """Print the faults of all Python files below some folders.

    Returns:
        The exit code: 1 if there are faults.
    """
    sys.path.insert(0, str(pathlib.Path.cwd()))
    faults = []
    for folder in folders:
        for path in sorted(pathlib.Path(folder).rglob("*.py")):
            faults += find_faults(path)
    for fault in faults:
        print(fault)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
