"""I/O of a node: sockets, timers, disk, HTTP, logs and metrics."""
