"""Tests of the limits on what all callers of a node together may use."""

import h11
import hypothesis
from hypothesis import strategies as st

from monsoonpass.core.calls import caller_limits
from monsoonpass.core.calls import receive_budget
from monsoonpass.runtime import chunk_merger

KIB = 1024


class TestDerive:
    def test_defaults_leave_room_for_callers_within_the_limits(self):
        """Limits of a node beside an upstream, and of one with a disk."""
        for memory_mb, descriptors in ((200, 4100), (296, 4100), (0, 1024)):
            limits = caller_limits.derive(
                memory_mb=memory_mb, descriptors=descriptors
            )
            assert limits.connections_max >= 500
            assert limits.operator_connections_max >= 100
            # Uploads of 60 KB: 300 at once on one node.
            assert limits.received_max_bytes >= 300 * 60_000
            assert limits.pipelined_max >= 100

    def test_worst_case_fits_into_the_memory(self):
        limits = caller_limits.derive(memory_mb=200, descriptors=4100)
        connections = limits.connections_max + limits.operator_connections_max
        worst_bytes = (
            connections * caller_limits.CONNECTION_BYTES
            + limits.received_max_bytes
            + limits.pipelined_max * caller_limits.WAITING_ANSWER_BYTES
        )
        assert worst_bytes <= 0.41 * 200 * caller_limits.MIB

    def test_settings_take_precedence(self):
        limits = caller_limits.derive(
            memory_mb=200, connections=70, buffer_kb=512, descriptors=40
        )
        assert limits.connections_max == 70
        assert limits.received_max_bytes == 512 * KIB


class Crowd:
    """Replays callers that send bodies at given rates, in virtual time."""

    def __init__(self, limit_bytes: int):
        self.budget = receive_budget.ReceiveBudget(limit_bytes=limit_bytes)
        self.now_s = 0.0
        self.refused: list[receive_budget.Holder] = []
        self.held_max = 0

    def open(self) -> receive_budget.Holder:
        holder = receive_budget.Holder(progress_s=self.now_s)
        self.budget.set_collecting(holder, True)
        return holder

    def send(self, holder: receive_budget.Holder, size_bytes: int) -> bool:
        """Count received bytes; return whether the body may go on."""
        if holder in self.refused:
            return False
        self.budget.add(holder, size_bytes, self.now_s)
        while (refused := self.budget.next_refused(self.now_s)) is not None:
            self.budget.set_collecting(refused, False)
            self.budget.remove(refused, refused.held_bytes)
            self.refused.append(refused)
        self.held_max = max(self.held_max, self.budget.held_bytes)
        return holder not in self.refused

    def end(self, holder: receive_budget.Holder) -> None:
        """End a body whose request is then passed on."""
        self.budget.set_collecting(holder, False)
        self.budget.remove(holder, holder.held_bytes)


class TestReceiveBudget:
    def test_bodies_that_stop_make_way_for_callers_that_send(self):
        """300 bodies stop at 512 KiB; then 60 KB uploads arrive.

        Guard: the choice by `progress_s` in ReceiveBudget.next_refused.
        """
        crowd = Crowd(25 * KIB * KIB)
        for _ in range(300):
            holder = crowd.open()
            for _ in range(8):
                crowd.send(holder, 64 * KIB)
        assert crowd.held_max <= 25 * KIB * KIB
        crowd.now_s += receive_budget.STALLED_S
        for _ in range(500):
            crowd.now_s += 0.02
            holder = crowd.open()
            for _ in range(4):
                assert crowd.send(holder, 15_000)
            crowd.end(holder)

    def test_large_bodies_do_not_starve_small_ones(self):
        """Large bodies are all still being sent.

        Guard: the choice by `held_bytes` in ReceiveBudget.next_refused.
        """
        crowd = Crowd(4 * KIB * KIB)
        large = [crowd.open() for _ in range(20)]
        for _ in range(200):
            crowd.now_s += 0.01
            for index, holder in enumerate(large):
                if not crowd.send(holder, 16 * KIB):
                    large[index] = crowd.open()
            small = crowd.open()
            assert crowd.send(small, 60_000)
            crowd.end(small)
        assert crowd.refused

    def test_short_requests_are_never_refused(self):
        """Guard: FREE_BYTES."""
        crowd = Crowd(KIB)
        for _ in range(100):
            assert crowd.send(crowd.open(), receive_budget.FREE_BYTES)

    def test_requests_whose_call_has_started_are_never_refused(self):
        """A refusal promises that the request has not run."""
        crowd = Crowd(64 * KIB)
        started = crowd.open()
        crowd.send(started, 60 * KIB)
        crowd.budget.set_collecting(started, False)
        assert not crowd.send(crowd.open(), 60 * KIB)
        assert started not in crowd.refused


def parse_with_h11(data: bytes) -> tuple[bytes, str, bytes]:
    """Return the body, how it ends, and what follows it."""
    parser = make_parser()
    if data:
        parser.receive_data(data)
    body = b""
    try:
        while isinstance(event := parser.next_event(), h11.Data):
            body += event.data
    except h11.RemoteProtocolError:
        return body, "error", b""
    ended = isinstance(event, h11.EndOfMessage)
    return body, "end" if ended else "more", parser.trailing_data[0]


def make_parser() -> h11.Connection:
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(
        b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
    )
    parser.next_event()
    return parser


def parse_merged(pieces: list[bytes]) -> tuple[bytes, str, bytes]:
    """Parse received pieces as CallerRequest does."""
    parser = make_parser()
    merger = chunk_merger.ChunkMerger()
    body = b""
    state = "more"

    def parse(data: bytes) -> None:
        nonlocal body, state
        if data:
            parser.receive_data(data)
        while isinstance(event := parser.next_event(), h11.Data):
            body += event.data
        if isinstance(event, h11.EndOfMessage):
            state = "end"

    rest = b""
    try:
        for piece in pieces:
            if state == "end":
                rest += piece
                continue
            first, plain, last = merger.feed(piece)
            parse(first)
            body += plain
            parse(last)
    except h11.RemoteProtocolError:
        return body, "error", b""
    return (
        body,
        state,
        parser.trailing_data[0] + rest if state == "end" else b"",
    )


chunks = st.one_of(
    st.binary(min_size=1, max_size=20).map(
        lambda data: b"%x\r\n%b\r\n" % (len(data), data)
    ),
    st.just(b"1\r\nx\r\n" * 7),
    st.just(b"1\r\n\r\r\n1\r\n\n\r\n"),
    st.sampled_from(
        (
            b"3;a=b\r\nabc\r\n",
            b"03\r\nabc\r\n",
            b"2\r\nabc\r\n",
            b"g\r\n",
            b"1 \r\nx\r\n",
            b"\r\n",
            b"1\nx\n",
            b"123456789\r\nx",
            b"0\r\nname: value\r\n\r\n",
        )
    ),
)


class TestChunkMerger:
    @hypothesis.settings(max_examples=400)
    @hypothesis.given(
        body=st.lists(chunks, max_size=8),
        tail=st.sampled_from((b"0\r\n\r\n", b"", b"0\r\n\r\nGET / HTTP/1.1")),
        step=st.integers(1, 40),
    )
    def test_body_is_parsed_as_by_h11_alone(self, body, tail, step):
        """Guards against a body that one of the two ways would refuse."""
        data = b"".join(body) + tail
        pieces = [data[i : i + step] for i in range(0, len(data), step)]
        expected = parse_with_h11(data)
        actual = parse_merged(pieces)
        if expected[1] == "more":
            # The start of an incomplete chunk head may be kept back.
            assert actual[0] == expected[0] and actual[1] == "more"
        else:
            assert actual[1:] == expected[1:]
            if expected[1] == "end":
                assert actual[0] == expected[0]

    def test_one_byte_chunks_take_one_step(self):
        """Guards against work in proportion to the number of chunks."""
        merger = chunk_merger.ChunkMerger()
        _, plain, _ = merger.feed(b"1\r\nx\r\n" * 1000 + b"0")
        assert plain == b"x" * 1000
        assert merger.steps <= 2
