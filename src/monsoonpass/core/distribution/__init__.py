"""Configurations: submitted, accepted, spread and read."""
