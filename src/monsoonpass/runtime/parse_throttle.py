"""The time that one peer's message may take from all other work.

Load pattern: a peer whose message comes in very small pieces and without end.
Each piece costs the parser the same, however few bytes it has, so a message is
read in turns, and between them only as fast as the bound allows. The bytes that
are not read hold the peer back.
"""

import anyio

BURST_EVENTS_MAX = 256  # About three milliseconds of parsing.
EVENTS_PER_S = 1000.0  # About 2 % of a core; 1 MB/s in pieces of 1 KB.


class ParseThrottle:
    """Counts the pieces of one message at a time.

    Attributes:
        is_pause_due: Whether it is time to rest.
    """

    def __init__(self) -> None:
        self.is_pause_due = False
        self._event_count = 0
        self._pause_end_s = float("-inf")

    def reset(self) -> None:
        """Begin to count another message."""
        self.is_pause_due = False
        self._event_count = 0

    def count_event(self) -> None:
        """Count a piece."""
        self._event_count += 1
        self.is_pause_due = self._event_count >= BURST_EVENTS_MAX

    async def pause(self) -> None:
        """Let other work run, as long as the bound on pieces asks for."""
        self.reset()
        now_s = anyio.current_time()
        pause_end_s = self._pause_end_s + BURST_EVENTS_MAX / EVENTS_PER_S
        self._pause_end_s = max(now_s, pause_end_s)
        await anyio.sleep(max(pause_end_s - now_s, 0.0))
