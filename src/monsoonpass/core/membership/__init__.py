"""Nodes and their upstreams: who is there and who leaves."""
