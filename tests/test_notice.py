"""Tests of notices of leaving, with and without the start of the upstream."""

import dataclasses
import itertools

import pytest

from monsoonpass.core.membership import notice as notice_lib

DELAY_MS = int(notice_lib.ANNOUNCEMENT_DELAY_MAX_S * 1000)
TAKEN_MS = 1_000_000


def make(*, born=None, is_open=True, name="i-1", taken=TAKEN_MS):
    """Return a notice received at `taken`, by default without a start."""
    return notice_lib.Notice(
        name=name,
        taken_ms=taken,
        born_ms=born,
        open_ms=taken if is_open else None,
    )


class TestBinds:
    @pytest.mark.parametrize(
        ("notice", "born", "after_ms", "binds"),
        [
            # The notice names its start.
            (make(born=500, is_open=False), 500, 10**9, True),
            (make(born=500, is_open=False), 499, 10**9, True),
            (make(born=500, is_open=False), 501, 0, False),
            # The notice omits its start: applies to all starts up to its time.
            (make(), TAKEN_MS - 1, 0, True),
            (make(), TAKEN_MS, DELAY_MS, True),
            (make(), TAKEN_MS + 1, 0, False),
            (make(), TAKEN_MS, DELAY_MS + 1, False),
            # The notice omits its start, but the start was already known.
            (make(born=500), 500, 10**9, True),
            (make(born=500), TAKEN_MS, DELAY_MS, True),
            (make(born=500), TAKEN_MS, DELAY_MS + 1, False),
            # The announcement omits its start.
            (make(born=500, is_open=False), None, DELAY_MS, True),
            (make(), None, DELAY_MS, True),
            (make(), None, DELAY_MS + 1, False),
        ],
    )
    def test_start_is_bound(self, notice, born, after_ms, binds):
        assert notice.binds(born, TAKEN_MS + after_ms) is binds

    def test_clock_that_went_back_releases_nothing(self):
        assert make().binds(TAKEN_MS - 5, TAKEN_MS - 4000)


class TestMerged:
    def test_order_of_two_notices_makes_no_difference(self):
        notices = [
            make(),
            make(taken=TAKEN_MS + 7),
            make(born=500, is_open=False),
            make(born=900, is_open=False, taken=TAKEN_MS - 7),
        ]
        for one, other in itertools.product(notices, repeat=2):
            merged = dataclasses.astuple(one.merged(other))
            assert merged == dataclasses.astuple(other.merged(one))

    def test_merged_notice_binds_what_either_binds(self):
        told = make(born=500, is_open=False, taken=TAKEN_MS + 10)
        merged = told.merged(make())
        assert merged.binds(500, TAKEN_MS + 10**9)
        assert merged.binds(TAKEN_MS, TAKEN_MS + DELAY_MS)
        assert not merged.binds(TAKEN_MS + 1, TAKEN_MS + 10)


class TestNotices:
    def test_other_names_are_not_bound(self):
        notices = notice_lib.Notices()
        notices.add([make()])
        assert notices.binds("i-1", 5, TAKEN_MS)
        assert not notices.binds("i-2", 5, TAKEN_MS)

    def test_oldest_names_are_forgotten_at_the_bound(self):
        notices = notice_lib.Notices()
        count = notice_lib.NOTICES_MAX + 1
        notices.add(make(name=f"i-{number}") for number in range(count))
        notices.add([make(name="i-1")])
        assert len(notices.all) == notice_lib.NOTICES_MAX
        assert notices.get("i-0") is None
        assert notices.all[-1].name == "i-1"
