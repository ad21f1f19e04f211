"""Limits the time that parsing one HTTP message takes from other tasks.

Load pattern: a sender whose message arrives in very small pieces and has no
end. Each piece costs the parser the same, however few bytes it has. A message
is therefore parsed in bursts, with pauses that limit the rate of parser events.
During a pause nothing is read, so TCP flow control slows the sender down.
"""

import anyio

BURST_EVENTS_MAX = 256  # About three milliseconds of parsing.
EVENTS_PER_S = 1000.0  # About 2 % of a core, or 1 MB/s in pieces of 1 KB.
# Of all messages that share a limit: about an eighth of a core.
SHARED_EVENTS_PER_S = 10_000.0
SHARED_BURST_S = 0.1


class SharedParseRate:
    """Limits the rate of parser events over many messages.

    Load pattern: hundreds of senders of such messages at once.
    """

    def __init__(self) -> None:
        self._used_until_s = float("-inf")

    def reserve(self, event_count: int, now_s: float) -> float:
        """Count events; return the time until which to pause for them."""
        self._used_until_s = max(self._used_until_s, now_s)
        self._used_until_s += event_count / SHARED_EVENTS_PER_S
        return self._used_until_s - SHARED_BURST_S


class ParseThrottle:
    """Limits the rate of parser events within a message.

    Attributes:
        is_pause_due: Whether `pause` must be called before more is parsed.
    """

    def __init__(self, *, shared: SharedParseRate | None = None) -> None:
        self.is_pause_due = False
        self._shared = shared
        self._event_count = 0
        self._pause_end_s = float("-inf")

    def reset(self) -> None:
        """Start counting the events of another message."""
        self.is_pause_due = False
        self._event_count = 0

    def count_event(self, count: int = 1) -> None:
        """Count events of the parser, or work that takes as long."""
        self._event_count += count
        self.is_pause_due = self._event_count >= BURST_EVENTS_MAX

    async def pause(self) -> None:
        """Let other tasks run, for as long as the rate limit requires."""
        event_count = max(self._event_count, BURST_EVENTS_MAX)
        self.reset()
        now_s = anyio.current_time()
        pause_end_s = self._pause_end_s + event_count / EVENTS_PER_S
        if self._shared is not None:
            shared_end_s = self._shared.reserve(event_count, now_s)
            pause_end_s = max(pause_end_s, shared_end_s)
        self._pause_end_s = max(now_s, pause_end_s)
        await anyio.sleep(max(pause_end_s - now_s, 0.0))
