"""Bounds of the numbers and names that enter through the HTTP endpoints.

What is accepted there travels between nodes and into journals, so it must be
within what their encoding and a datagram can carry.
"""

from typing import Annotated

import pydantic

INTEGER_MAX = 2**53 - 1  # Every JSON reader keeps these integers exact.
WEIGHT_MAX = 1e9
RATE_MAX = 1e9
TIME_MAX_S = 24 * 3600.0
NAME_MAX_CHARS = 256
# Datagrams carry up to eight member records, each with a version.
VERSION_MAX_CHARS = 64
DECIMAL_DIGITS_MAX = 16  # Digits of `INTEGER_MAX`.

Count = Annotated[int, pydantic.Field(ge=0, le=INTEGER_MAX)]
PositiveInteger = Annotated[int, pydantic.Field(ge=1, le=INTEGER_MAX)]
Name = Annotated[
    str, pydantic.StringConstraints(min_length=1, max_length=NAME_MAX_CHARS)
]
Version = Annotated[
    str, pydantic.StringConstraints(max_length=VERSION_MAX_CHARS)
]


def parse_decimal(text: bytes) -> int | None:
    """Return the number of a header value; None if it is not within bounds.

    >>> parse_decimal(b"17")
    17
    >>> parse_decimal(b"-1") is parse_decimal(b"1" * 5000) is None
    True
    """
    if not text.isdigit() or len(text) > DECIMAL_DIGITS_MAX:
        return None
    number = int(text)
    return number if number <= INTEGER_MAX else None
