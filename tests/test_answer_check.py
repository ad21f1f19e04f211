"""Tests of the classification of upstream answers."""

import pytest

from monsoonpass.border import header_names
from monsoonpass.core.calls import answer_check

NAMES = header_names.HeaderNames(
    upstream_id=b"for", not_run=b"not-run", proof=b"proof"
)
Verdict = answer_check.Verdict


class TestJudge:
    @pytest.mark.parametrize(
        ("status", "headers", "expected"),
        [
            (200, {b"proof": b"x"}, Verdict.PASS),
            (500, {b"proof": b"x"}, Verdict.PASS),
            (504, {}, Verdict.PASS),
            (200, {}, Verdict.UNPROVEN),
            (
                200,
                {b"proof": b"x", b"content-encoding": b"gzip"},
                Verdict.UNPROVEN,
            ),
            (503, {b"not-run": b"1"}, Verdict.NOT_RUN),
            (503, {b"proof": b"x"}, Verdict.UNPROVEN),
            (429, {}, Verdict.UNPROVEN),
            (408, {}, Verdict.UNPROVEN),
            (421, {}, Verdict.REPLACED),
        ],
    )
    def test_only_proven_answers_and_promises_pass(
        self, status, headers, expected
    ):
        assert answer_check.judge(status, headers, NAMES) is expected

    def test_without_names_every_answer_passes(self):
        names = header_names.HeaderNames()
        assert answer_check.judge(503, {}, names) is Verdict.PASS
