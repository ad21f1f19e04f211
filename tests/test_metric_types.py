"""The metrics page against the page of prometheus_client."""

import re

import hypothesis
from hypothesis import strategies as st
import prometheus_client
import pytest

from monsoonpass.runtime import metric_types

AMOUNTS = st.floats(0, 1e12) | st.integers(0, 10**9)
LABELS = st.text(st.sampled_from('ab"\\\n\u00e9'), max_size=3)
BUCKETS = (0.005, 0.5, 1.0, 2500.0)


def fill(library, registry, counted, level, observed) -> None:
    """Create one metric of each type with a library, and change them."""
    counter = library.Counter(
        "calls", "Calls\\by\noutcome.", ["outcome", "kind"], registry=registry
    )
    plain = library.Counter("plain", "Without labels.", registry=registry)
    gauge = library.Gauge("level", "A level.", registry=registry)
    levels = library.Gauge("levels", "Levels.", ["place"], registry=registry)
    levels.labels("cleared").set(1.0)
    levels.clear()
    for label, amount in counted:
        levels.labels(label).set(amount)
    histogram = library.Histogram(
        "duration", "Durations.", buckets=BUCKETS, registry=registry
    )
    for label, amount in counted:
        counter.labels(label, "x").inc(amount)
        plain.inc(amount)
    open_now = library.Gauge("open", "Open now.", registry=registry)
    open_now.set_function(lambda: level)
    gauge.set(level)
    gauge.inc()
    gauge.dec(0.25)
    for value in observed:
        histogram.observe(value)


def without_times(page: bytes) -> str:
    """Return a page without the creation times of its values."""
    return re.sub(r"(?m)^(\w+_created.*) \S+$", r"\1", page.decode())


class TestPage:
    @hypothesis.given(
        counted=st.lists(st.tuples(LABELS, AMOUNTS), max_size=5),
        level=st.floats(allow_nan=True),
        observed=st.lists(st.floats(0, 1e5) | st.sampled_from(BUCKETS)),
    )
    def test_page_is_the_one_of_prometheus_client(
        self, counted, level, observed
    ):
        """Monitoring would miss a metric whose name or format differs."""
        registry = metric_types.Registry()
        fill(metric_types, registry, counted, level, observed)
        expected = prometheus_client.CollectorRegistry()
        fill(prometheus_client, expected, counted, level, observed)
        assert without_times(registry.render()) == without_times(
            prometheus_client.generate_latest(expected)
        )

    def test_counter_does_not_shrink(self):
        counter = metric_types.CounterValue()
        with pytest.raises(ValueError):
            counter.inc(-1)

    def test_wrong_number_of_labels_is_refused(self):
        counter = metric_types.Counter(
            "c", "C.", ["a"], registry=metric_types.Registry()
        )
        with pytest.raises(ValueError):
            counter.labels("x", "y")
