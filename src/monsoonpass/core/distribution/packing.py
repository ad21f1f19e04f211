"""Packing of configuration content, compressed if large.

Content is packed once, and nodes forward the packed bytes unchanged. Names and
fields repeat from route to route, so compression reduces a full configuration
to a third of its size. Small deltas are left uncompressed because compression
would make them larger.
"""

from typing import Any
import zlib

from monsoonpass import codec
from monsoonpass import errors

PLAIN_MAX_BYTES = 512  # Compression saves almost nothing up to this size.
# Bounds the memory that a received message can claim; 300 times the size of
# the target configuration.
CONTENT_MAX_BYTES = 64 * 1024 * 1024
_PLAIN = b"\x00"
_COMPRESSED = b"\x01"


def pack(message: Any) -> bytes:
    """Encode a registered message, and compress it if it is large.

    Args:
        message: An instance of a class registered with the codec.

    Returns:
        A format byte followed by the content; input of `unpack`.
    """
    data = codec.encode(message)
    if len(data) <= PLAIN_MAX_BYTES:
        return _PLAIN + data
    return _COMPRESSED + zlib.compress(data)


def unpack(data: bytes, expected: type) -> Any:
    """Decode a packed message.

    Args:
        data: Output of `pack`.
        expected: Type that the message must have.

    Returns:
        The message.

    Raises:
        PackedContentError: The data is damaged, decompresses to more than
            `CONTENT_MAX_BYTES`, or holds a message of another type.
    """
    format_byte, body = data[:1], data[1:]
    if format_byte == _COMPRESSED:
        body = _decompress(body)
    elif format_byte != _PLAIN:
        raise errors.PackedContentError(
            f"unknown content format {format_byte!r}"
        )
    try:
        message = codec.decode(body)
    except errors.ProtocolError as error:
        raise errors.PackedContentError(str(error)) from error
    if not isinstance(message, expected):
        raise errors.PackedContentError(
            f"content is a {type(message).__name__}, "
            f"expected a {expected.__name__}"
        )
    return message


def _decompress(body: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        result = decompressor.decompress(body, CONTENT_MAX_BYTES)
    except zlib.error as error:
        raise errors.PackedContentError(str(error)) from error
    if not decompressor.eof:
        raise errors.PackedContentError(
            f"content is truncated or exceeds {CONTENT_MAX_BYTES} bytes"
        )
    return result
