"""What the leader knows of each other member of the group."""

import collections
import dataclasses


@dataclasses.dataclass(kw_only=True, slots=True)
class Progress:
    """What the leader knows of one other member.

    Attributes:
        match_index: Highest index known to be synced there.
        next_index: Next index to send.
        probing: Whether the matching index is still being searched for.
        in_flight: Last indexes of the batches that are not yet answered.
        unanswered: Heartbeats sent since the last answer.
        heard_sent_s: Send time of the newest request that it answered.
        heard_s: When it last answered.
    """

    match_index: int = 0
    next_index: int = 1
    probing: bool = True
    in_flight: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )
    unanswered_heartbeats: int = 0
    last_acked_send_s: float = float("-inf")
    last_reply_s: float = float("-inf")

    def restart_probe(self) -> None:
        """Forget what is in flight and search for the match again."""
        self.probing = True
        self.in_flight.clear()
        if self.match_index:
            self.next_index = self.match_index + 1

    def record_success(self, match_index: int) -> None:
        """Take the word that everything up to an index is synced there."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probing = False
        while self.in_flight and self.in_flight[0] <= match_index:
            self.in_flight.popleft()

    def record_rejection(self, hint_index: int, last_index: int) -> None:
        """Search for the match again, from where the logs may agree."""
        self.restart_probe()
        self.next_index = max(
            self.match_index + 1, min(hint_index + 1, last_index + 1)
        )
