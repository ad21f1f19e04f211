"""Quotas of workspaces: tokens, their allocator and their holders."""
