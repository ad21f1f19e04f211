"""What became of calls that peers forwarded, for peers whose link broke."""

import collections

from monsoonpass.core.calls import call_messages as messages

COUNT_MAX = 4096
SIZE_MAX_BYTES = 8 * 1024 * 1024

Final = messages.AnswerHead | messages.AnswerFailed


class Outcomes:
    """The final messages of recent calls, bounded by count and size.

    Call numbers of one sender only grow, so the highest number forgotten
    tells which calls may have run without leaving a trace here.
    """

    def __init__(
        self,
        *,
        count_max: int = COUNT_MAX,
        size_max_bytes: int = SIZE_MAX_BYTES,
    ):
        self._count_max = count_max
        self._size_max_bytes = size_max_bytes
        self._finals: collections.OrderedDict[tuple[str, int], Final] = (
            collections.OrderedDict()
        )
        self._size_bytes = 0
        self._forgotten: dict[str, int] = {}

    def finished(self, sender: str, final: Final) -> None:
        """Keep the final message of a call.

        Args:
            sender: Instance that forwarded the call.
            final: The message that ended it.
        """
        self._finals[(sender, final.call)] = final
        self._size_bytes += _size(final)
        while (
            len(self._finals) > self._count_max
            or self._size_bytes > self._size_max_bytes
        ):
            (old_sender, call), old = self._finals.popitem(last=False)
            self._size_bytes -= _size(old)
            known = self._forgotten.get(old_sender, 0)
            self._forgotten[old_sender] = max(known, call)

    def find(self, sender: str, call: int) -> Final | None:
        """Return the final message of a call, or None."""
        return self._finals.get((sender, call))

    def may_have_forgotten(self, sender: str, call: int) -> bool:
        """Return whether a call may have ended and been forgotten."""
        return call <= self._forgotten.get(sender, 0)


def _size(final: Final) -> int:
    if isinstance(final, messages.AnswerHead):
        return len(final.body) + 256
    return 128
