"""Runs a node with the settings file that `MONSOONPASS_BOOT` names."""

import os
import pathlib
import sys

SETTINGS_VARIABLE = "MONSOONPASS_BOOT"


def main() -> int:
    """Run the node until it is stopped; return its exit code."""
    # The platform runs this file by its path, so Python puts this file's folder
    # first in sys.path. The folder must not stay there; the folder that holds
    # the package, which is missing in sys.path, replaces it.
    source = pathlib.Path(__file__).resolve().parents[2]
    sys.path[0] = str(source)
    from monsoonpass import start

    return start.import_daemon().serve_file(os.environ[SETTINGS_VARIABLE])


if __name__ == "__main__":
    sys.exit(main())
