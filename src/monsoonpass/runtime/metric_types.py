"""Counters, gauges and histograms that are cheap to change and to import.

Importing prometheus_client takes 3.6 MB and a twentieth of a node's start, and
each change of one of its values takes a lock, which the single thread of a
node's event loop does not need. So the values are kept here, and that library
is imported to render them once monitoring asks for the page.
"""

import bisect
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import math
import time
from typing import Any


class Registry:
    """The metrics of one page, in the order of their creation."""

    def __init__(self) -> None:
        self.metrics: list[_Metric] = []

    def render(self) -> bytes:
        """Return the page in Prometheus's text format, version 0.0.4."""
        import prometheus_client

        return prometheus_client.generate_latest(self)

    def collect(self) -> Iterator[Any]:
        """Yield the metrics as families of prometheus_client."""
        import prometheus_client

        for metric in self.metrics:
            family = prometheus_client.Metric(
                metric.name, metric.documentation, metric.type_name
            )
            for sample in metric.samples():
                family.add_sample(*sample)
            yield family


# Name, labels and value of a line of the page.
Sample = tuple[str, dict[str, str], float]


class CounterValue:
    """A value that only grows."""

    def __init__(self) -> None:
        self.value = 0.0
        self.created_s = time.time()

    def inc(self, amount: float = 1.0) -> None:
        """Add an amount, which must not be negative."""
        if amount < 0:
            raise ValueError("counters can only be incremented")
        self.value += amount


class _Metric:
    """A metric with a value for each combination of its labels."""

    type_name: str
    value_type: type[Any]

    def __init__(
        self,
        name: str,
        documentation: str,
        labels: Sequence[str] = (),
        *,
        registry: Registry,
    ):
        self.name = name
        self.documentation = documentation
        self._label_names = tuple(labels)
        self._values: dict[tuple[str, ...], Any] = {}
        if not self._label_names:
            self._values[()] = self._make_value()
        registry.metrics.append(self)

    def labels(self, *values: str) -> Any:
        """Return the value for a combination of labels."""
        found = self._values.get(values)
        if found is None:
            if len(values) != len(self._label_names):
                raise ValueError("wrong number of labels")
            found = self._values[values] = self._make_value()
        return found

    def clear(self) -> None:
        """Remove the values of all combinations of labels."""
        self._values.clear()

    def samples(self) -> list[Sample]:
        """Return the lines of this metric."""
        raise NotImplementedError

    def _make_value(self) -> Any:
        return self.value_type()

    def _named_values(self) -> list[tuple[dict[str, str], Any]]:
        return [
            (dict(zip(self._label_names, labels, strict=True)), value)
            for labels, value in self._values.items()
        ]

    def _created_samples(self) -> list[Sample]:
        """Return the lines with the creation times of the values."""
        return [
            (f"{self.name}_created", labels, value.created_s)
            for labels, value in self._named_values()
        ]


class Counter(_Metric):
    """A metric that only grows."""

    type_name = "counter"
    value_type = CounterValue

    def inc(self, amount: float = 1.0) -> None:
        """Add an amount to the value of a metric without labels."""
        self._values[()].inc(amount)

    def samples(self) -> list[Sample]:
        """Return the lines of this metric."""
        values = [
            (f"{self.name}_total", labels, value.value)
            for labels, value in self._named_values()
        ]
        return values + self._created_samples()


class GaugeValue:
    """A value that rises and falls, or the result of a function."""

    def __init__(self) -> None:
        self.value = 0.0
        self._function: Callable[[], float] | None = None

    def read(self) -> float:
        """Return the value."""
        return self.value if self._function is None else self._function()

    def set_function(self, function: Callable[[], float]) -> None:
        """Set the function that returns the value."""
        self._function = function

    def set(self, value: float) -> None:
        """Set the value."""
        self.value = float(value)

    def inc(self, amount: float = 1.0) -> None:
        """Add an amount."""
        self.value += amount

    def dec(self, amount: float = 1.0) -> None:
        """Subtract an amount."""
        self.value -= amount


class Gauge(_Metric):
    """A metric that rises and falls."""

    type_name = "gauge"
    value_type = GaugeValue

    def set(self, value: float) -> None:
        """Set the value of a metric without labels."""
        self._values[()].set(value)

    def inc(self, amount: float = 1.0) -> None:
        """Add an amount to the value of a metric without labels."""
        self._values[()].inc(amount)

    def dec(self, amount: float = 1.0) -> None:
        """Subtract an amount from the value of a metric without labels."""
        self._values[()].dec(amount)

    def set_function(self, function: Callable[[], float]) -> None:
        """Set the function for the value of a metric without labels."""
        self._values[()].set_function(function)

    def samples(self) -> list[Sample]:
        """Return the lines of this metric."""
        return [
            (self.name, labels, value.read())
            for labels, value in self._named_values()
        ]


class HistogramValue:
    """Numbers of observed values by bucket, and their sum."""

    def __init__(self, bounds: tuple[float, ...]):
        self.bounds = bounds
        self.counts = [0] * len(bounds)
        self.sum = 0.0
        self.created_s = time.time()

    def observe(self, value: float) -> None:
        """Count a value in the first bucket whose bound it does not exceed."""
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.sum += value


class Histogram(_Metric):
    """A metric without labels that counts values by size."""

    type_name = "histogram"

    def __init__(
        self,
        name: str,
        documentation: str,
        *,
        buckets: Sequence[float],
        registry: Registry,
    ):
        self._bounds = (*map(float, buckets), math.inf)
        super().__init__(name, documentation, registry=registry)

    def _make_value(self) -> HistogramValue:
        return HistogramValue(self._bounds)

    def observe(self, value: float) -> None:
        """Count a value."""
        self._values[()].observe(value)

    def samples(self) -> list[Sample]:
        """Return the lines of this metric."""
        import prometheus_client.utils

        value = self._values[()]
        result: list[Sample] = []
        count = 0
        for bound, bucket_count in zip(value.bounds, value.counts, strict=True):
            count += bucket_count
            label = prometheus_client.utils.floatToGoString(bound)
            result.append((f"{self.name}_bucket", {"le": label}, count))
        result.append((f"{self.name}_count", {}, count))
        result.append((f"{self.name}_sum", {}, value.sum))
        return result + self._created_samples()
