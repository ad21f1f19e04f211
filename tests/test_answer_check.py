"""Tests of the classification of upstream answers."""

import pytest

from monsoonpass.core.calls import answer_check
from monsoonpass.formats import header_names

NAMES = header_names.HeaderNames(
    upstream_id=b"for", not_run=b"not-run", proof=b"proof"
)
AnswerVerdict = answer_check.AnswerVerdict


class TestCheckAnswer:
    @pytest.mark.parametrize(
        ("status", "headers", "expected"),
        [
            (200, {b"proof": b"x"}, AnswerVerdict.PASS),
            (500, {b"proof": b"x"}, AnswerVerdict.PASS),
            (504, {}, AnswerVerdict.PASS),
            (200, {}, AnswerVerdict.UNPROVEN),
            (
                200,
                {b"proof": b"x", b"content-encoding": b"gzip"},
                AnswerVerdict.UNPROVEN,
            ),
            (503, {b"not-run": b"1"}, AnswerVerdict.NOT_RUN),
            (503, {b"proof": b"x"}, AnswerVerdict.UNPROVEN),
            (429, {}, AnswerVerdict.UNPROVEN),
            (408, {}, AnswerVerdict.UNPROVEN),
            (421, {}, AnswerVerdict.REPLACED),
        ],
    )
    def test_only_proven_answers_and_promises_pass(
        self, status, headers, expected
    ):
        assert answer_check.check_answer(status, headers, NAMES) is expected

    def test_without_names_every_answer_passes(self):
        names = header_names.HeaderNames()
        assert answer_check.check_answer(503, {}, names) is AnswerVerdict.PASS
