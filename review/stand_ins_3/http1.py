"""A small HTTP/1.1 client and the parsing that the stand-ins share."""

import asyncio
import dataclasses

HEAD_MAX_BYTES = 64 * 1024


@dataclasses.dataclass
class Message:
    """A request or a response.

    Attributes:
        start: The first line's words.
        headers: Headers, names in lower case.
        body: The whole body.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])


async def read_message(
    reader: asyncio.StreamReader, *, is_response: bool = False
) -> Message | None:
    """Read a message; return None if the stream ends before its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers: dict[str, str] = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await _read_chunks(reader)
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif is_response:
            body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    except asyncio.LimitOverrunError:
        return None
    return Message(lines[0].split(" ", 2), headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(data[:-2])


async def request(
    address: tuple[str, int],
    method: str,
    target: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    source_ip: str = "",
    timeout_s: float = 5.0,
) -> Message | None:
    """Send a request on a new connection.

    Args:
        address: Address and port.
        method: Method.
        target: Path and query, sent as they are.
        headers: Headers besides the length and `Connection`.
        body: Body.
        source_ip: Own address, or empty for any.
        timeout_s: Longest wait for the answer.

    Returns:
        The answer, or None if there was none in time.
    """
    lines = [f"{method} {target} HTTP/1.1"]
    fields = {"Host": f"{address[0]}:{address[1]}", **(headers or {})}
    fields["Connection"] = "close"
    if body or method in ("POST", "PUT"):
        fields["Content-Length"] = str(len(body))
    lines += [f"{name}: {value}" for name, value in fields.items()]
    data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                *address,
                local_addr=(source_ip, 0) if source_ip else None,
                limit=HEAD_MAX_BYTES,
            )
            writer.write(data)
            await writer.drain()
            return await read_message(reader, is_response=True)
    except (TimeoutError, OSError):
        return None
    finally:
        if writer is not None:
            writer.close()
