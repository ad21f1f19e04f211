"""Tests of the limit on the parsing rate of a message, with a virtual clock."""

import anyio

from monsoonpass.runtime import parse_throttle


class Clock:
    """Replaces anyio in the tested module; sleeping advances its time."""

    def __init__(self):
        self.now_s = 100.0

    def current_time(self) -> float:
        return self.now_s

    async def sleep(self, delay_s: float) -> None:
        self.now_s += delay_s


def feed(throttle, count: int, clock, cost_s: float = 0.0) -> None:
    """Count parser events that take a given time each."""

    async def run():
        for _ in range(count):
            clock.now_s += cost_s
            throttle.count_event()
            if throttle.is_pause_due:
                await throttle.pause()

    anyio.run(run)


class TestParseThrottle:
    def test_endless_message_is_parsed_no_faster_than_the_limit(
        self, monkeypatch
    ):
        clock = Clock()
        monkeypatch.setattr(parse_throttle, "anyio", clock)
        throttle = parse_throttle.ParseThrottle()
        count = 100 * parse_throttle.BURST_EVENTS_MAX
        feed(throttle, count, clock)
        min_duration_s = (
            count - parse_throttle.BURST_EVENTS_MAX
        ) / parse_throttle.EVENTS_PER_S
        assert clock.now_s - 100.0 >= min_duration_s

    def test_message_slower_than_the_limit_is_not_delayed(self, monkeypatch):
        clock = Clock()
        monkeypatch.setattr(parse_throttle, "anyio", clock)
        cost_s = 2.0 / parse_throttle.EVENTS_PER_S
        feed(
            parse_throttle.ParseThrottle(),
            10 * parse_throttle.BURST_EVENTS_MAX,
            clock,
            cost_s,
        )
        duration_s = 10 * parse_throttle.BURST_EVENTS_MAX * cost_s
        assert abs(clock.now_s - 100.0 - duration_s) < 1e-6

    def test_consecutive_short_messages_are_not_delayed(self, monkeypatch):
        clock = Clock()
        monkeypatch.setattr(parse_throttle, "anyio", clock)
        throttle = parse_throttle.ParseThrottle()
        for _ in range(1000):
            throttle.reset()
            feed(throttle, 5, clock)
        assert clock.now_s == 100.0
