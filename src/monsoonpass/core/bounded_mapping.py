"""Size limits for the mappings of a node's state."""

from typing import Any


def evict_oldest_if_full(mapping: dict[Any, Any], max_size: int) -> None:
    """Remove the oldest entry of a mapping that has reached its size limit.

    Args:
        mapping: Entries in insertion order; changed in place.
        max_size: Maximum number of entries.
    """
    if len(mapping) >= max_size:
        mapping.pop(next(iter(mapping)))
