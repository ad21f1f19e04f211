"""The daemon's and the command-line tool's entry points."""
