"""Idempotency keys: claimed, settled and asked for."""
