"""Measurements of monsoonpass: timings live here, never in the tests."""
