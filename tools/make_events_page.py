"""Writes docs/EVENTS.md from the log events in `log_events.Code`."""

import pathlib

from monsoonpass.core import log_events

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "EVENTS.md"
HEAD = """# Log events

One JSON object a line, written by eliot. `message_type` is
`monsoonpass:NUMBER`; `event`, `level`, `instance` and the event's own fields
stand beside it. Numbers are never reused. This page is made by
`python tools/make_events_page.py`; a test compares it with the code.

| number | event | level | meaning |
|---|---|---|---|
"""


def render() -> str:
    """Return the text of the page."""
    rows = [
        f"| {code.number} | {code.name.lower()} | {code.level} "
        f"| {code.meaning} |"
        for code in sorted(log_events.Code, key=lambda code: code.number)
    ]
    return HEAD + "\n".join(rows) + "\n"


if __name__ == "__main__":
    PAGE.write_text(render(), encoding="utf-8")
