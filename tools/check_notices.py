"""Finds upstreams that were offered after their notice of leaving.

Reads the logs of a played day, or of nodes that ran elsewhere, and compares
each notice (event 505) with the announcements (event 500) that the same
instance took after it, over restarts of its process.

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
    """An upstream that was offered although it had given notice.

    Attributes:
        instance: The instance beside which it ran.
        upstream: Its name.
        after_s: Time between the notice and the offer.
    """

    instance: str
    upstream: str
    after_s: float


@dataclasses.dataclass(kw_only=True, slots=True)
class Report:
    """What the logs tell.

    Attributes:
        notices: Notices of leaving.
        unknown: Notices to a process that did not know their upstream.
        late: Announcements that were ignored after a notice.
        offers: Upstreams that were offered after theirs.
    """

    notices: int = 0
    unknown: int = 0
    late: int = 0
    offers: list[Offer] = dataclasses.field(default_factory=list)


def check(lines: Iterable[str]) -> Report:
    """Compare notices with the announcements that follow them.

    Args:
        lines: Log lines in order; what stands before the JSON is skipped.

    Returns:
        The report.
    """
    report = Report()
    noticed: dict[tuple[str, str], dict[str, Any]] = {}
    for line in _parse(lines):
        key = (line.get("instance", ""), line.get("upstream", ""))
        if line["event"] == "upstream_notice":
            report.notices += 1
            report.unknown += line["known"] != line["upstream"]
            noticed[key] = line
        elif line["event"] == "announcement_ignored":
            report.late += key in noticed
        elif line["event"] == "upstream_announced" and key in noticed:
            notice = noticed[key]
            if _is_bound(notice, line["born"]):
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
            # The last line of a process that was killed may be cut.
            continue


def _is_bound(notice: dict[str, Any], started_ms: int | None) -> bool:
    """Return whether a start is not later than the one that gave notice."""
    if not started_ms:
        return True
    return started_ms <= (notice["born"] or notice["timestamp"] * MS_PER_S)


def main(names: list[str]) -> int:
    """Print what the logs in some files tell.

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
