"""Tests of the bound on the pieces of one message, under a virtual clock."""

import anyio

from monsoonpass.runtime import pieces


class Clock:
    """Stands for anyio in the module; sleeping moves its time."""

    def __init__(self):
        self.now_s = 100.0

    def current_time(self) -> float:
        return self.now_s

    async def sleep(self, delay_s: float) -> None:
        self.now_s += delay_s


def read(counter, count: int, clock, cost_s: float = 0.0) -> None:
    """Count pieces that cost the parser some time each."""

    async def run():
        for _ in range(count):
            clock.now_s += cost_s
            counter.count()
            if counter.is_due:
                await counter.rest()

    anyio.run(run)


class TestPieces:
    def test_message_without_end_is_read_as_fast_as_the_bound(
        self, monkeypatch
    ):
        clock = Clock()
        monkeypatch.setattr(pieces, "anyio", clock)
        counter = pieces.Pieces()
        count = 100 * pieces.PIECES_AT_ONCE
        read(counter, count, clock)
        least_s = (count - pieces.PIECES_AT_ONCE) / pieces.PIECES_PER_S
        assert clock.now_s - 100.0 >= least_s

    def test_slow_message_does_not_wait(self, monkeypatch):
        clock = Clock()
        monkeypatch.setattr(pieces, "anyio", clock)
        cost_s = 2.0 / pieces.PIECES_PER_S
        read(pieces.Pieces(), 10 * pieces.PIECES_AT_ONCE, clock, cost_s)
        taken_s = 10 * pieces.PIECES_AT_ONCE * cost_s
        assert abs(clock.now_s - 100.0 - taken_s) < 1e-6

    def test_short_messages_in_a_row_never_rest(self, monkeypatch):
        clock = Clock()
        monkeypatch.setattr(pieces, "anyio", clock)
        counter = pieces.Pieces()
        for _ in range(1000):
            counter.begin()
            read(counter, 5, clock)
        assert clock.now_s == 100.0
