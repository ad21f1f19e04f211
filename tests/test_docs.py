"""Tests that the documentation agrees with the code."""

import pathlib
import re

from tools import make_events_page

from monsoonpass.core import log_events
from monsoonpass.core.calls import outcome
from monsoonpass.formats import operator_text

ROOT = pathlib.Path(__file__).parent.parent


class TestEventsPage:
    def test_page_lists_all_log_events(self):
        assert make_events_page.PAGE.read_text() == make_events_page.render()

    def test_numbers_are_unique(self):
        numbers = [code.number for code in log_events.Code]
        assert len(numbers) == len(set(numbers))

    def test_every_event_is_used_in_the_source(self):
        source = "".join(
            path.read_text()
            for path in (ROOT / "src").rglob("*.py")
            if path.name != "log_events.py"
        )
        for code in log_events.Code:
            assert f"Code.{code.name}" in source, f"{code.name} is not used"


class TestExamples:
    def test_examples_are_valid(self):
        paths = sorted((ROOT / "examples").glob("*.yaml"))
        assert len(paths) >= 2
        for path in paths:
            operator_text.compile_text(path.read_text())


class TestOutcomePage:
    def test_every_reason_is_explained(self):
        page = (ROOT / "docs/operators/outcomes.md").read_text()
        for reason in outcome.Reason:
            assert f"`{reason}`" in page, f"{reason} is not explained"


class TestLinks:
    def test_relative_links_point_to_existing_files(self):
        for page in [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]:
            for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
                assert (page.parent / target).exists(), f"{page}: {target}"
