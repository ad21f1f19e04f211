"""Length-prefixed message frames on the streams between nodes."""

from collections.abc import Iterator
from typing import Any

from monsoonpass import codec
from monsoonpass import errors

FRAME_MAX_BYTES = 8 * 1024 * 1024
LENGTH_BYTES = 4


def pack(message: Any) -> bytes:
    """Encode a message as a frame.

    Args:
        message: A registered message.

    Returns:
        The frame's bytes.

    Raises:
        FrameTooLargeError: The message is longer than `FRAME_MAX_BYTES`.
    """
    payload = codec.encode(message)
    if len(payload) > FRAME_MAX_BYTES:
        raise errors.FrameTooLargeError(
            f"a frame of {len(payload)} bytes exceeds {FRAME_MAX_BYTES}"
        )
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


class FrameReader:
    """Decodes the messages of a byte stream.

    >>> reader = FrameReader(max_bytes=16)
    >>> reader.push(bytes(2))
    >>> reader.pop() is None
    True

    Attributes:
        max_bytes: Maximum length of a frame, without its length prefix.
        skipped: Descriptions of the messages that `feed` has skipped since
            they were last taken, because this build does not know their types.
    """

    def __init__(self, *, max_bytes: int = FRAME_MAX_BYTES):
        self.max_bytes = max_bytes
        self.skipped: list[str] = []
        self._buffer = bytearray()
        self._position = 0

    def push(self, data: bytes) -> None:
        """Append received bytes to the buffer."""
        if self._position:
            del self._buffer[: self._position]
            self._position = 0
        self._buffer += data

    def pop(self) -> Any | None:
        """Return the next complete message, or None if there is none yet.

        Raises:
            FrameTooLargeError: A frame is longer than `max_bytes`.
            FrameDecodeError: A frame is not a valid message.
            UnknownMessageError: A frame has an unknown message tag.
        """
        start = self._position + LENGTH_BYTES
        if len(self._buffer) < start:
            return None
        size_bytes = int.from_bytes(self._buffer[self._position : start], "big")
        if size_bytes > self.max_bytes:
            raise errors.FrameTooLargeError(
                f"a frame of {size_bytes} bytes is too long"
            )
        end = start + size_bytes
        if len(self._buffer) < end:
            return None
        self._position = end
        return codec.decode(bytes(self._buffer[start:end]))

    def feed(self, data: bytes) -> Iterator[Any]:
        """Append received bytes and yield the messages that they complete.

        Messages of unknown types are skipped: during an upgrade, some peers
        run a newer build.

        Args:
            data: The received bytes.

        Yields:
            The messages, in the order of the stream.

        Raises:
            ProtocolError: A frame is invalid, as for `pop`.
        """
        self.push(data)
        while True:
            try:
                message = self.pop()
            except errors.UnknownMessageError as error:
                self.skipped.append(str(error))
                continue
            if message is None:
                return
            yield message
