"""The leader's replication state for each other member."""

import collections
import dataclasses


@dataclasses.dataclass(kw_only=True, slots=True)
class Progress:
    """The leader's replication state for one other member.

    Attributes:
        match_index: Highest index known to be synced on the member.
        next_index: Next index to send.
        probing: Whether the leader still searches for the match index.
        in_flight: Last index of each batch that awaits a reply.
        unanswered_heartbeats: Heartbeats sent since the last reply.
        last_acked_send_s: Send time of the newest request that was answered.
        last_reply_s: Time of the last reply.
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
        """Discard the batches in flight and search for the match index."""
        self.probing = True
        self.in_flight.clear()
        if self.match_index:
            self.next_index = self.match_index + 1

    def record_success(self, match_index: int) -> None:
        """Record that the member has synced all entries up to an index."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probing = False
        while self.in_flight and self.in_flight[0] <= match_index:
            self.in_flight.popleft()

    def record_rejection(self, hint_index: int, last_index: int) -> None:
        """Search for the match index again, from the follower's hint."""
        self.restart_probe()
        self.next_index = max(
            self.match_index + 1, min(hint_index + 1, last_index + 1)
        )
