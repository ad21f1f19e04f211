"""Runs a node with the settings file that `MONSOONPASS_BOOT` names."""

import os
import pathlib
import sys

SETTINGS_VARIABLE = "MONSOONPASS_BOOT"


def main() -> int:
    """Run the node until it is stopped; return its exit code."""
    # The platform runs this file by its path, so sys.path starts with this
    # file's folder, which must not stay there, and lacks the package's parent.
    source = pathlib.Path(__file__).resolve().parents[2]
    sys.path[0] = str(source)
    from monsoonpass import start

    return start.import_daemon().serve_file(os.environ[SETTINGS_VARIABLE])


if __name__ == "__main__":
    sys.exit(main())
