"""A stand-in for an upstream, for the demo, the tests and the benchmarks."""
