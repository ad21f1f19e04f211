"""Simulated upstreams and local meshes for the demo, tests and benchmarks."""
