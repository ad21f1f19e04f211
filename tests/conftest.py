"""Settings of the whole test run: Hypothesis gives the same verdict."""

import os

import hypothesis

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    # A failure is told at once; set HYPOTHESIS_PROFILE=shrink to reduce it.
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
