"""Checks whether an upstream's answer may be passed on to the caller.

Some statuses tell the caller that a call has not run. An overloaded upstream
may send one of them after it has run the call, and another process that has
taken over the upstream's address may send any answer. Callers act on what they
receive, so successes and "not run" statuses are passed on only if a header
proves them.
"""

from collections.abc import Mapping
import enum

from monsoonpass.formats import header_names as header_names_lib

# Statuses from which a caller concludes that the call has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
MISDIRECTED_REQUEST = 421


class AnswerVerdict(enum.Enum):
    """How to treat an answer.

    PASS: Pass the answer on unchanged.
    NOT_RUN: The upstream did not run the call.
    REPLACED: Another process has the upstream's address and did not run the
        call.
    UNPROVEN: No header proves that the upstream made the complete answer; the
        call may have run.
    """

    PASS = "pass"
    NOT_RUN = "not-run"
    REPLACED = "replaced"
    UNPROVEN = "unproven"


def check_answer(
    status: int,
    headers: Mapping[bytes, bytes],
    header_names: header_names_lib.HeaderNames,
) -> AnswerVerdict:
    """Classify an answer by its status and headers.

    Args:
        status: HTTP status.
        headers: Headers, names in lower case.
        header_names: Configured names of the headers that prove where an
            answer comes from and that a call has not run.

    Returns:
        The verdict. A check whose header name is empty is skipped.
    """
    if header_names.upstream_id and status == MISDIRECTED_REQUEST:
        return AnswerVerdict.REPLACED
    if header_names.not_run and header_names.not_run in headers:
        return AnswerVerdict.NOT_RUN
    if header_names.not_run and status in NOT_RUN_STATUSES:
        return AnswerVerdict.UNPROVEN
    if header_names.proof and status < 300:
        encoding = headers.get(b"content-encoding", b"identity")
        if header_names.proof not in headers or encoding != b"identity":
            return AnswerVerdict.UNPROVEN
    return AnswerVerdict.PASS
