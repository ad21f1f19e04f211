"""Bounds of what a node remembers."""

from typing import Any


def make_room(mapping: dict[Any, Any], most: int) -> None:
    """Drop the oldest entry of a mapping that is full.

    Args:
        mapping: Entries in the order in which they came; changed in place.
        most: Entries that it may hold.
    """
    if len(mapping) >= most:
        mapping.pop(next(iter(mapping)))
