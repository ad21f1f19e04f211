"""Tests of the outcomes that a node keeps for calls of its peers."""

import tracemalloc

from monsoonpass.core.calls import call_messages
from monsoonpass.core.calls import outcome
from monsoonpass.runtime import outcome_cache

SIZE_MAX_BYTES = 1024 * 1024
LOAD = outcome.Load(slots=4, in_progress=1, queued=0, service_time_s=0.1)


def make_answer(call: int, header_count: int) -> call_messages.AnswerHead:
    """Return a whole answer without a body."""
    return call_messages.AnswerHead(
        call=call,
        status=200,
        headers=tuple(
            (f"a{number}".encode(), f"b{number}".encode())
            for number in range(header_count)
        ),
        load=LOAD,
        body=b"",
        ended=True,
        digest=b"",
    )


class TestSize:
    def test_heads_count_as_bodies_do(self):
        """Failure: long heads of a faulty upstream filled the memory.

        Guard: `headers_bytes` in _entry_size_bytes.
        """
        cache = outcome_cache.OutcomeCache(size_max_bytes=SIZE_MAX_BYTES)
        tracemalloc.start()
        for call in range(1, 101):
            cache.add("n0", make_answer(call, header_count=1_000))
        kept_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        assert cache.find("n0", 100) is not None
        assert cache.find("n0", 1) is None
        assert kept_bytes < 1.5 * SIZE_MAX_BYTES

    def test_evicted_outcome_is_known_to_be_unknown(self):
        cache = outcome_cache.OutcomeCache(size_max_bytes=SIZE_MAX_BYTES)
        for call in range(1, 101):
            cache.add("n0", make_answer(call, header_count=1_000))
        assert cache.may_have_been_evicted("n0", 1)
        assert not cache.may_have_been_evicted("n0", 100)
