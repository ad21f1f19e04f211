"""Tests of monsoonpass."""
