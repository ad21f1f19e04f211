"""Size limits for the mappings of a node's state."""

from typing import Any


def make_room(mapping: dict[Any, Any], most: int) -> None:
    """Remove the oldest entry of a mapping that has reached its size limit.

    Args:
        mapping: Entries in insertion order; changed in place.
        most: Maximum number of entries.
    """
    if len(mapping) >= most:
        mapping.pop(next(iter(mapping)))
