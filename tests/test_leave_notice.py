"""Tests of notices of leaving, with and without the start of the upstream."""

import dataclasses
import itertools

import pytest

from monsoonpass.core.membership import leave_notice as notice_lib

DELAY_MS = int(notice_lib.ANNOUNCEMENT_DELAY_MAX_S * 1000)
RECEIVED_MS = 1_000_000


def make_notice(
    *, started_ms=None, omits_start=True, name="i-1", received_ms=RECEIVED_MS
):
    """Return a notice received at `received_ms`, by default without a start."""
    return notice_lib.LeaveNotice(
        name=name,
        received_ms=received_ms,
        started_ms=started_ms,
        startless_received_ms=received_ms if omits_start else None,
    )


class TestAppliesTo:
    @pytest.mark.parametrize(
        ("notice", "started_ms", "after_ms", "applies_to"),
        [
            # The notice names its start.
            (make_notice(started_ms=500, omits_start=False), 500, 10**9, True),
            (make_notice(started_ms=500, omits_start=False), 499, 10**9, True),
            (make_notice(started_ms=500, omits_start=False), 501, 0, False),
            # The notice omits its start: applies to all starts up to its time.
            (make_notice(), RECEIVED_MS - 1, 0, True),
            (make_notice(), RECEIVED_MS, DELAY_MS, True),
            (make_notice(), RECEIVED_MS + 1, 0, False),
            (make_notice(), RECEIVED_MS, DELAY_MS + 1, False),
            # The notice omits its start, but the start was already known.
            (make_notice(started_ms=500), 500, 10**9, True),
            (make_notice(started_ms=500), RECEIVED_MS, DELAY_MS, True),
            (make_notice(started_ms=500), RECEIVED_MS, DELAY_MS + 1, False),
            # The announcement omits its start.
            (
                make_notice(started_ms=500, omits_start=False),
                None,
                DELAY_MS,
                True,
            ),
            (make_notice(), None, DELAY_MS, True),
            (make_notice(), None, DELAY_MS + 1, False),
        ],
    )
    def test_notice_applies_to_start(
        self, notice, started_ms, after_ms, applies_to
    ):
        assert (
            notice.applies_to(started_ms, RECEIVED_MS + after_ms) is applies_to
        )

    def test_notice_still_applies_after_the_clock_went_back(self):
        assert make_notice().applies_to(RECEIVED_MS - 5, RECEIVED_MS - 4000)


class TestMerged:
    def test_order_of_two_notices_makes_no_difference(self):
        notices = [
            make_notice(),
            make_notice(received_ms=RECEIVED_MS + 7),
            make_notice(started_ms=500, omits_start=False),
            make_notice(
                started_ms=900, omits_start=False, received_ms=RECEIVED_MS - 7
            ),
        ]
        for one, other in itertools.product(notices, repeat=2):
            merged = dataclasses.astuple(one.merged(other))
            assert merged == dataclasses.astuple(other.merged(one))

    def test_merged_notice_applies_to_what_either_applies_to(self):
        with_start = make_notice(
            started_ms=500, omits_start=False, received_ms=RECEIVED_MS + 10
        )
        merged = with_start.merged(make_notice())
        assert merged.applies_to(500, RECEIVED_MS + 10**9)
        assert merged.applies_to(RECEIVED_MS, RECEIVED_MS + DELAY_MS)
        assert not merged.applies_to(RECEIVED_MS + 1, RECEIVED_MS + 10)


class TestNotices:
    def test_notice_does_not_apply_to_other_names(self):
        notices = notice_lib.LeaveNotices()
        notices.add([make_notice()])
        assert notices.applies_to("i-1", 5, RECEIVED_MS)
        assert not notices.applies_to("i-2", 5, RECEIVED_MS)

    def test_oldest_names_are_evicted_at_the_limit(self):
        notices = notice_lib.LeaveNotices()
        count = notice_lib.NOTICES_MAX + 1
        notices.add(make_notice(name=f"i-{number}") for number in range(count))
        notices.add([make_notice(name="i-1")])
        assert len(notices.all) == notice_lib.NOTICES_MAX
        assert notices.get("i-0") is None
        assert notices.all[-1].name == "i-1"
