"""The control group: a replicated log based on Raft.

The package covers leader election, log replication and membership changes.
"""
