"""Outcomes of forwarded calls, for peers that lost the link during a call."""

import collections

from monsoonpass.core.calls import call_messages as messages

ENTRIES_MAX = 4096
SIZE_MAX_BYTES = 8 * 1024 * 1024
# Size of an entry's objects beside the contents, of a 64-bit CPython.
ANSWER_OVERHEAD_BYTES = 256
FAILURE_OVERHEAD_BYTES = 128
HEADER_OVERHEAD_BYTES = 136  # A tuple and two byte strings.

FinalMessage = messages.AnswerHead | messages.AnswerFailed


class OutcomeCache:
    """Final messages of recent calls, limited in number and size.

    The call numbers of one sender only grow. A call with a number up to the
    highest evicted one may therefore have run although no entry is left.
    """

    def __init__(
        self,
        *,
        entries_max: int = ENTRIES_MAX,
        size_max_bytes: int = SIZE_MAX_BYTES,
    ):
        self._entries_max = entries_max
        self._size_max_bytes = size_max_bytes
        self._messages: collections.OrderedDict[
            tuple[str, int], FinalMessage
        ] = collections.OrderedDict()
        self._size_bytes = 0
        self._evicted_up_to: dict[str, int] = {}

    def add(self, sender: str, message: FinalMessage) -> None:
        """Store the final message of a call.

        Args:
            sender: Instance that forwarded the call.
            message: The message that ended the call.
        """
        self._messages[(sender, message.call)] = message
        self._size_bytes += _entry_size_bytes(message)
        while (
            len(self._messages) > self._entries_max
            or self._size_bytes > self._size_max_bytes
        ):
            (evicted_sender, call), evicted = self._messages.popitem(last=False)
            self._size_bytes -= _entry_size_bytes(evicted)
            evicted_up_to = self._evicted_up_to.get(evicted_sender, 0)
            self._evicted_up_to[evicted_sender] = max(evicted_up_to, call)

    def find(self, sender: str, call: int) -> FinalMessage | None:
        """Return the final message of a call, or None."""
        return self._messages.get((sender, call))

    def may_have_been_evicted(self, sender: str, call: int) -> bool:
        """Return whether the outcome of a call may have been evicted."""
        return call <= self._evicted_up_to.get(sender, 0)


def _entry_size_bytes(message: FinalMessage) -> int:
    """Return the approximate size of an entry in memory."""
    if not isinstance(message, messages.AnswerHead):
        return FAILURE_OVERHEAD_BYTES
    headers_bytes = sum(
        len(name) + len(value) + HEADER_OVERHEAD_BYTES
        for name, value in message.headers
    )
    return len(message.body) + headers_bytes + ANSWER_OVERHEAD_BYTES
