"""I/O around the reducer: sockets, timers, disk, HTTP, logs and metrics."""
