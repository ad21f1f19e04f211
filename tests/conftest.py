"""Configures Hypothesis for reproducible runs, and known failures.

Tests listed in KNOWN-RED.txt run and are expected to fail. If one passes, the
test run fails until its line is removed from the file.
"""

import os
import pathlib

# Read when the package is imported, so it is set before any other import.
os.environ["MONSOONPASS_CHECK_IMMUTABLE"] = "1"

import hypothesis
import pytest

KNOWN_FAILURES_FILE = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    # Failures are reported unreduced; HYPOTHESIS_PROFILE=shrink reduces them.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.register_profile(
    "shrink",
    parent=hypothesis.settings.get_profile("ci"),
    phases=tuple(hypothesis.Phase),
)
hypothesis.settings.load_profile(
    "shrink" if os.environ.get("HYPOTHESIS_PROFILE") == "shrink" else "ci"
)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests that KNOWN-RED.txt lists as expected to fail."""
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    reasons = dict(
        line.split(maxsplit=1) for line in lines if line.startswith("tests/")
    )
    for item in items:
        reason = reasons.get(item.nodeid.partition("[")[0])
        if reason is not None:
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))
