"""Submission, replication and distribution of mesh configurations."""
