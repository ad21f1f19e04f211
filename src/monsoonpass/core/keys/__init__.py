"""Idempotency keys: the replicated ledger, and claims of keyed calls."""
