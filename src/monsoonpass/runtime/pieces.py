"""The time that one peer's message may take from all other work.

Load pattern: a peer whose message comes in very small pieces and without end.
Each piece costs the parser the same, however few bytes it has, so a message is
read in turns, and between them only as fast as the bound allows. The bytes that
are not read hold the peer back.
"""

import anyio

PIECES_AT_ONCE = 256  # About three milliseconds of parsing.
PIECES_PER_S = 1000.0  # About 2 % of a core; 1 MB/s in pieces of 1 KB.


class Pieces:
    """Counts the pieces of one message at a time.

    Attributes:
        is_due: Whether it is time to rest.
    """

    def __init__(self) -> None:
        self.is_due = False
        self._count = 0
        self._rested_s = float("-inf")

    def begin(self) -> None:
        """Begin to count another message."""
        self.is_due = False
        self._count = 0

    def count(self) -> None:
        """Count a piece."""
        self._count += 1
        self.is_due = self._count >= PIECES_AT_ONCE

    async def rest(self) -> None:
        """Let other work run, as long as the bound on pieces asks for."""
        self.begin()
        now_s = anyio.current_time()
        until_s = self._rested_s + PIECES_AT_ONCE / PIECES_PER_S
        self._rested_s = max(now_s, until_s)
        await anyio.sleep(max(until_s - now_s, 0.0))
