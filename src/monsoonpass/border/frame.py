"""Frames on the streams between nodes: a length, then one message."""

from collections.abc import Iterator
from typing import Any

from monsoonpass import codec
from monsoonpass import errors

FRAME_MAX_BYTES = 8 * 1024 * 1024
LENGTH_BYTES = 4


def pack(message: Any) -> bytes:
    """Return a message as a frame.

    Args:
        message: A registered message.

    Returns:
        The frame's bytes.

    Raises:
        FrameTooLargeError: The message is longer than the bound.
    """
    payload = codec.encode(message)
    if len(payload) > FRAME_MAX_BYTES:
        raise errors.FrameTooLargeError(
            f"a frame of {len(payload)} bytes exceeds {FRAME_MAX_BYTES}"
        )
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


class FrameReader:
    """Cuts a stream of bytes into messages.

    >>> reader = FrameReader(max_bytes=16)
    >>> reader.push(bytes(2))
    >>> reader.pop() is None
    True

    Attributes:
        max_bytes: Bound of a frame's length.
    """

    def __init__(self, *, max_bytes: int = FRAME_MAX_BYTES):
        self.max_bytes = max_bytes
        self._buffer = bytearray()
        self._position = 0

    def push(self, data: bytes) -> None:
        """Take received bytes."""
        if self._position:
            del self._buffer[: self._position]
            self._position = 0
        self._buffer += data

    def pop(self) -> Any | None:
        """Return the next whole message, or None.

        Raises:
            FrameTooLargeError: A frame announces more than the bound.
            BadFrameError: A frame is not a valid message.
            UnknownMessageError: A frame has an unknown message number.
        """
        start = self._position + LENGTH_BYTES
        if len(self._buffer) < start:
            return None
        size_bytes = int.from_bytes(self._buffer[self._position : start], "big")
        if size_bytes > self.max_bytes:
            raise errors.FrameTooLargeError(
                f"a frame announces {size_bytes} bytes"
            )
        end = start + size_bytes
        if len(self._buffer) < end:
            return None
        self._position = end
        return codec.decode(bytes(self._buffer[start:end]))

    def feed(self, data: bytes) -> Iterator[Any]:
        """Take received bytes and yield the messages completed by them.

        Args:
            data: Bytes as received.

        Yields:
            Messages, in order.

        Raises:
            ProtocolError: As for `pop`.
        """
        self.push(data)
        while (message := self.pop()) is not None:
            yield message
