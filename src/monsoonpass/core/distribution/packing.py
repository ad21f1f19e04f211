"""Contents as bytes: packed once, then passed on as they are.

Names and fields of a configuration repeat from route to route, so a whole one
takes a third of its bytes when compressed. Small changes are not: they would
only grow.
"""

from typing import Any
import zlib

from monsoonpass import codec
from monsoonpass import errors

PLAIN_MAX_BYTES = 512  # Below this size compression gains next to nothing.
CONTENT_MAX_BYTES = 64 * 1024 * 1024  # 300 times the target configuration.
_PLAIN = b"\x00"
_COMPRESSED = b"\x01"


def pack(message: Any) -> bytes:
    """Return a registered message as bytes for `unpack`."""
    data = codec.encode(message)
    if len(data) <= PLAIN_MAX_BYTES:
        return _PLAIN + data
    return _COMPRESSED + zlib.compress(data)


def unpack(data: bytes, expected: type) -> Any:
    """Return the message of packed bytes.

    Args:
        data: What `pack` returned.
        expected: The type that the message must have.

    Returns:
        The message.

    Raises:
        BadContentError: The bytes are damaged, too many, or hold another
            type of message.
    """
    format_byte, body = data[:1], data[1:]
    if format_byte == _COMPRESSED:
        body = _decompress(body)
    elif format_byte != _PLAIN:
        raise errors.BadContentError(f"unknown form of content {format_byte!r}")
    try:
        message = codec.decode(body)
    except errors.ProtocolError as error:
        raise errors.BadContentError(str(error)) from error
    if not isinstance(message, expected):
        raise errors.BadContentError(
            f"a {type(message).__name__} in place of a {expected.__name__}"
        )
    return message


def _decompress(body: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        result = decompressor.decompress(body, CONTENT_MAX_BYTES)
    except zlib.error as error:
        raise errors.BadContentError(str(error)) from error
    if not decompressor.eof:
        raise errors.BadContentError(
            f"content is cut short or exceeds {CONTENT_MAX_BYTES} bytes"
        )
    return result
