"""Membership of nodes and the lifecycle of their upstreams."""
