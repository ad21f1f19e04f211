"""Benchmarks of monsoonpass; the tests assert no timings."""
