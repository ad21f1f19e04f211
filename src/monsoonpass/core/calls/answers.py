"""What an upstream's answer is worth before it is passed on.

Some statuses promise that a call has not run. An upstream under load may send
one without meaning it, and a process that took over an address may send
anything; callers act on what they are told, so only proven promises and
proven successes reach them.
"""

from collections.abc import Mapping
import enum

from monsoonpass.border import header_names

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
MISDIRECTED_REQUEST = 421


class Verdict(enum.Enum):
    """What to do with an answer.

    PASS: Pass it on as it is.
    NOT_RUN: The upstream did not run the call.
    REPLACED: Another process has the upstream's address; it did not run it.
    UNPROVEN: It is not the upstream's whole word; the call may have run.
    """

    PASS = "pass"
    NOT_RUN = "not-run"
    REPLACED = "replaced"
    UNPROVEN = "unproven"


def judge(
    status: int, headers: Mapping[bytes, bytes], names: header_names.HeaderNames
) -> Verdict:
    """Judge an answer by its head.

    Args:
        status: HTTP status.
        headers: Headers, names in lower case.
        names: Names of the headers that prove something.

    Returns:
        The verdict; without such names every answer passes.
    """
    if names.upstream_id and status == MISDIRECTED_REQUEST:
        return Verdict.REPLACED
    if names.not_run and names.not_run in headers:
        return Verdict.NOT_RUN
    if names.not_run and status in NOT_RUN_STATUSES:
        return Verdict.UNPROVEN
    if names.proof and status < 300:
        encoding = headers.get(b"content-encoding", b"identity")
        if names.proof not in headers or encoding != b"identity":
            return Verdict.UNPROVEN
    return Verdict.PASS
