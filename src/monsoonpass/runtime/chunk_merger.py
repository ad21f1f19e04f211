"""Merges the small chunks of a chunked request body before they are parsed.

Load pattern: bodies in chunks of one byte. h11 takes 11 us for each,
so that a few such bodies take all of a node's processor time. Complete chunks
without extensions need no parser; everything else is left to h11, which checks
it as strictly as before.
"""

import re

# Runs of one-byte chunks are matched without a Python step for each chunk.
_ONE_BYTE_CHUNKS = re.compile(rb"(?:1\r\n[\s\S]\r\n)+")
_CHUNK_HEAD = re.compile(rb"([0-9a-fA-F]{1,8})\r\n")
_INCOMPLETE_HEAD = re.compile(rb"[0-9a-fA-F]{0,8}\r?\Z")


class ChunkMerger:
    """Splits a chunked body into data, and bytes for the parser.

    Attributes:
        steps: Chunks and runs of chunks handled since the last reset; a
            measure of the processor time spent.
    """

    def __init__(self) -> None:
        self.steps = 0
        self._head_start = b""
        # Bytes until the end of a chunk whose start the parser has.
        self._parser_bytes = 0
        self._is_plain = True

    def feed(self, data: bytes) -> tuple[bytes, bytes, bytes]:
        """Split received bytes.

        Returns:
            Bytes for the parser, data of the body that follows, and bytes for
            the parser that follow that.
        """
        if not self._is_plain:
            return data, b"", b""
        first = data[: self._parser_bytes]
        self._parser_bytes -= len(first)
        if len(first) == len(data):
            return first, b"", b""
        data = self._head_start + data[len(first) :]
        self._head_start = b""
        parts: list[bytes] = []
        position = 0
        while position < len(data):
            self.steps += 1
            run = _ONE_BYTE_CHUNKS.match(data, position)
            if run is not None:
                parts.append(data[position + 3 : run.end() : 6])
                position = run.end()
                continue
            head = _CHUNK_HEAD.match(data, position)
            if head is None:
                if _INCOMPLETE_HEAD.match(data, position):
                    self._head_start = data[position:]
                    position = len(data)
                else:
                    self._is_plain = False
                break
            size_bytes = int(head[1], 16)
            end = head.end() + size_bytes + 2
            if end > len(data) and size_bytes:
                self._parser_bytes = end - len(data)
                break
            if not size_bytes or data[end - 2 : end] != b"\r\n":
                # The last chunk, with trailers behind it, or a malformed one.
                self._is_plain = False
                break
            parts.append(data[head.end() : end - 2])
            position = end
        return first, b"".join(parts), data[position:]
