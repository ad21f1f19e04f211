"""Runs the daemon as `python -m monsoonpass.cli`."""

from monsoonpass import start

if __name__ == "__main__":
    start.run()
