"""Tests of the tool that finds offers after a notice of leaving."""

import json

from tools import check_notices


def make_line(event, at_s, *, instance="n-1", upstream="i-1", **fields) -> str:
    """Return a log line with a time and a process name before the JSON."""
    all_fields = {
        "event": event,
        "instance": instance,
        "upstream": upstream,
        "timestamp": 1000.0 + at_s,
        **fields,
    }
    return f"  {at_s:.4f} side-1 {json.dumps(all_fields)}\n"


def make_notice(at_s=1.0, **fields) -> str:
    return make_line(
        "upstream_notice", at_s, **{"born": None, "known": "", **fields}
    )


def make_announcement(at_s, born, **fields) -> str:
    return make_line("upstream_announced", at_s, born=born, **fields)


class TestCheck:
    def test_offer_after_notice_to_process_that_did_not_know_the_upstream(self):
        report = check_notices.check(
            [make_notice(), make_announcement(3.1, 900_000)]
        )
        assert (report.notices, report.unknown) == (1, 1)
        (offer,) = report.offers
        assert (offer.instance, offer.upstream) == ("n-1", "i-1")
        assert round(offer.after_s, 2) == 2.1

    def test_offer_before_notice_or_by_another_instance_or_upstream_is_ignored(
        self,
    ):
        lines = [
            make_announcement(0.5, 900_000),
            make_notice(known="i-1"),
            make_announcement(2.0, 900_000, instance="n-2"),
            make_announcement(2.0, 900_000, upstream="i-2"),
        ]
        report = check_notices.check(lines)
        assert report.offers == []
        assert report.unknown == 0

    def test_later_process_of_the_same_name_may_be_offered(self):
        lines = [make_notice(), make_announcement(3.0, 1_002_500)]
        assert check_notices.check(lines).offers == []
        lines = [make_notice(born=900_000), make_announcement(3.0, 900_001)]
        assert check_notices.check(lines).offers == []

    def test_ignored_announcements_are_counted_and_other_lines_skipped(self):
        ignored = make_line("announcement_ignored", 2.0, born=900_000)
        report = check_notices.check(
            ["built in 3 s\n", ignored, make_notice(), ignored, '{"event": "cu']
        )
        assert report.late == 1


class TestMain:
    def test_exit_code_is_1_after_an_offer(self, tmp_path, capsys):
        path = tmp_path / "day.log"
        path.write_text(make_notice() + make_announcement(3.1, 900_000))
        assert check_notices.main([str(path)]) == 1
        assert "n-1 offered i-1 2.10 s after" in capsys.readouterr().out
