"""Tools for developers of monsoonpass."""
