"""Limits the time that parsing one HTTP message takes from other tasks.

Load pattern: a sender whose message arrives in very small pieces and has no
end. Each piece costs the parser the same, however few bytes it has. A message
is therefore parsed in bursts, with pauses that limit the rate of parser events.
During a pause nothing is read, so TCP flow control slows the sender down.
"""

import anyio

BURST_EVENTS_MAX = 256  # About three milliseconds of parsing.
EVENTS_PER_S = 1000.0  # About 2 % of a core, or 1 MB/s in pieces of 1 KB.


class ParseThrottle:
    """Limits the rate of parser events within a message.

    Attributes:
        is_pause_due: Whether `pause` must be called before more is parsed.
    """

    def __init__(self) -> None:
        self.is_pause_due = False
        self._event_count = 0
        self._pause_end_s = float("-inf")

    def reset(self) -> None:
        """Start counting the events of another message."""
        self.is_pause_due = False
        self._event_count = 0

    def count_event(self) -> None:
        """Count one event of the parser."""
        self._event_count += 1
        self.is_pause_due = self._event_count >= BURST_EVENTS_MAX

    async def pause(self) -> None:
        """Let other tasks run, for as long as the rate limit requires."""
        self.reset()
        now_s = anyio.current_time()
        pause_end_s = self._pause_end_s + BURST_EVENTS_MAX / EVENTS_PER_S
        self._pause_end_s = max(now_s, pause_end_s)
        await anyio.sleep(max(pause_end_s - now_s, 0.0))
