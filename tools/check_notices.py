"""Finds upstreams that were offered to callers after their notice of leaving.

Reads log files of one or more nodes. Compares each notice (event 505) with the
later announcements (event 500) of the same upstream at the same instance, also
if the process of the node restarted in between.

Usage: python tools/check_notices.py FILE...
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import json
import pathlib
import sys
from typing import Any

MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Offer:
    """An upstream that was offered after its notice of leaving.

    Attributes:
        instance: Instance of the node beside the upstream.
        upstream: Name of the upstream.
        after_s: Time between the notice and the offer.
    """

    instance: str
    upstream: str
    after_s: float


@dataclasses.dataclass(kw_only=True, slots=True)
class Report:
    """Counts of notices, and the offers that should not have been made.

    Attributes:
        notices: Number of notices of leaving.
        unknown: Number of notices to a process that did not know the upstream,
            as after a restart.
        late: Number of announcements that were ignored after a notice.
        offers: Upstreams that were offered after their notice.
    """

    notices: int = 0
    unknown: int = 0
    late: int = 0
    offers: list[Offer] = dataclasses.field(default_factory=list)


def check(lines: Iterable[str]) -> Report:
    """Compare notices with the announcements that follow them.

    Args:
        lines: Log lines in order of time. Text before the JSON object is
            skipped, and so are lines without one.

    Returns:
        The report on these lines.
    """
    report = Report()
    last_notices: dict[tuple[str, str], dict[str, Any]] = {}
    for line in _parse(lines):
        key = (line.get("instance", ""), line.get("upstream", ""))
        if line["event"] == "upstream_notice":
            report.notices += 1
            report.unknown += line["known"] != line["upstream"]
            last_notices[key] = line
        elif line["event"] == "announcement_ignored":
            report.late += key in last_notices
        elif line["event"] == "upstream_announced" and key in last_notices:
            notice = last_notices[key]
            if _covers_start(notice, line["born"]):
                after_s = line["timestamp"] - notice["timestamp"]
                report.offers.append(
                    Offer(instance=key[0], upstream=key[1], after_s=after_s)
                )
    return report


def _parse(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        start = line.find('{"event"')
        if start < 0:
            continue
        try:
            yield json.loads(line[start:])
        except ValueError:
            # A killed process may leave its last line incomplete.
            continue


def _covers_start(notice: dict[str, Any], started_ms: int | None) -> bool:
    """Return whether a notice also covers the upstream started at a time.

    A notice covers the process that gave it and earlier ones of the same name;
    a later process may be offered. Without a start time in the notice, every
    process that started before the notice is covered.

    Args:
        notice: Log line of the notice.
        started_ms: Start of the announced process, in Unix milliseconds; None
            or 0 if unknown, which counts as covered.
    """
    if not started_ms:
        return True
    return started_ms <= (notice["born"] or notice["timestamp"] * MS_PER_S)


def main(names: list[str]) -> int:
    """Print a report on each log file.

    Returns:
        The exit code: 1 if an upstream was offered after its notice.
    """
    failed = False
    for name in names:
        with pathlib.Path(name).open(encoding="utf-8", errors="replace") as log:
            report = check(log)
        print(
            f"{name}: {report.notices} notices, {report.unknown} to a process "
            f"that did not know the upstream, {report.late} late announcements "
            f"ignored, {len(report.offers)} offers after a notice"
        )
        for offer in report.offers:
            print(
                f"  {offer.instance} offered {offer.upstream} "
                f"{offer.after_s:.2f} s after its notice"
            )
        failed = failed or bool(report.offers)
    return int(failed)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
