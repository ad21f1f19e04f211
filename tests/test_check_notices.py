"""Tests of the tool that compares notices of leaving with what followed."""

import json

from tools import check_notices


def line(event, at_s, *, instance="n-1", upstream="i-1", **fields) -> str:
    """Return a log line as the bench prints it."""
    content = {
        "event": event,
        "instance": instance,
        "upstream": upstream,
        "timestamp": 1000.0 + at_s,
        **fields,
    }
    return f"  {at_s:.4f} side-1 {json.dumps(content)}\n"


def notice(at_s=1.0, **fields) -> str:
    return line(
        "upstream_notice", at_s, **{"born": None, "known": "", **fields}
    )


def announced(at_s, born, **fields) -> str:
    return line("upstream_announced", at_s, born=born, **fields)


class TestCheck:
    def test_offer_after_a_notice_to_a_process_that_knew_nothing(self):
        report = check_notices.check([notice(), announced(3.1, 900_000)])
        assert (report.notices, report.unknown) == (1, 1)
        (offer,) = report.offers
        assert (offer.instance, offer.upstream) == ("n-1", "i-1")
        assert round(offer.after_s, 2) == 2.1

    def test_offers_before_it_or_of_others_are_none(self):
        lines = [
            announced(0.5, 900_000),
            notice(known="i-1"),
            announced(2.0, 900_000, instance="n-2"),
            announced(2.0, 900_000, upstream="i-2"),
        ]
        report = check_notices.check(lines)
        assert report.offers == []
        assert report.unknown == 0

    def test_next_start_under_the_name_may_be_offered(self):
        lines = [notice(), announced(3.0, 1_002_500)]
        assert check_notices.check(lines).offers == []
        lines = [notice(born=900_000), announced(3.0, 900_001)]
        assert check_notices.check(lines).offers == []

    def test_late_announcements_are_counted_and_other_lines_skipped(self):
        ignored = line("announcement_ignored", 2.0, born=900_000)
        report = check_notices.check(
            ["built in 3 s\n", ignored, notice(), ignored, '{"event": "cu']
        )
        assert report.late == 1


class TestMain:
    def test_exit_code_tells_of_an_offer(self, tmp_path, capsys):
        path = tmp_path / "day.log"
        path.write_text(notice() + announced(3.1, 900_000))
        assert check_notices.main([str(path)]) == 1
        assert "n-1 offered i-1 2.10 s after" in capsys.readouterr().out
