"""Runs a node on the users' platform, which names its settings file."""

import os
import pathlib
import sys

SETTINGS_VARIABLE = "MONSOONPASS_BOOT"


def main() -> int:
    """Run the node until it is stopped; return its exit code."""
    # The platform starts this file by its path, so the package's folder is
    # not yet on the path; the folder of this file must not stay there.
    source = pathlib.Path(__file__).resolve().parents[2]
    sys.path[0] = str(source)
    from monsoonpass import start

    return start.load().serve_file(os.environ[SETTINGS_VARIABLE])


if __name__ == "__main__":
    sys.exit(main())
