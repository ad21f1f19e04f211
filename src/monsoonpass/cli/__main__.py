"""Runs the daemon as `python -m monsoonpass.cli`."""

from monsoonpass.cli import daemon

if __name__ == "__main__":
    daemon.run()
