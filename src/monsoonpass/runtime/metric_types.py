"""Counters, gauges and histograms, and their page in Prometheus's text format.

Importing prometheus_client takes 3.6 MB, most of it for exports that a node
does not have, and each change of a value takes a lock, which the single thread
of a node's event loop does not need. The page is byte for byte the same; the
tests compare it with that library's.
"""

import bisect
from collections.abc import Sequence
import dataclasses
import math
import time
from typing import Any


class Registry:
    """The metrics of one page, in the order of their creation."""

    def __init__(self) -> None:
        self.metrics: list[_Metric] = []

    def render(self) -> bytes:
        """Return the page in Prometheus's text format, version 0.0.4."""
        lines: list[str] = []
        for metric in self.metrics:
            for family in metric.collect():
                help_text = family.documentation.replace("\\", r"\\")
                help_text = help_text.replace("\n", r"\n")
                lines.append(f"# HELP {family.name} {help_text}\n")
                lines.append(f"# TYPE {family.name} {family.type}\n")
                lines.extend(_sample_line(sample) for sample in family.samples)
        return "".join(lines).encode()


@dataclasses.dataclass(kw_only=True, slots=True)
class Sample:
    """One line of a page."""

    name: str
    labels: dict[str, str]
    value: float


@dataclasses.dataclass(kw_only=True, slots=True)
class Family:
    """The lines of a page under one name."""

    name: str
    documentation: str
    type: str
    samples: list[Sample]


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

    def collect(self) -> list[Family]:
        """Return the families of lines of this metric."""
        raise NotImplementedError

    def _make_value(self) -> Any:
        return self.value_type()

    def _named_values(self) -> list[tuple[dict[str, str], Any]]:
        return [
            (dict(zip(self._label_names, labels, strict=True)), value)
            for labels, value in self._values.items()
        ]

    def _created_family(self, name: str) -> list[Family]:
        """Return the family of creation times, if there is any value."""
        samples = [
            Sample(name=name, labels=labels, value=value.created_s)
            for labels, value in self._named_values()
        ]
        family = Family(
            name=name,
            documentation=self.documentation,
            type="gauge",
            samples=samples,
        )
        return [family] if samples else []


class Counter(_Metric):
    """A metric that only grows."""

    value_type = CounterValue

    def inc(self, amount: float = 1.0) -> None:
        """Add an amount to the value of a metric without labels."""
        self._values[()].inc(amount)

    def collect(self) -> list[Family]:
        """Return the families of lines of this metric."""
        name = f"{self.name}_total"
        samples = [
            Sample(name=name, labels=labels, value=value.value)
            for labels, value in self._named_values()
        ]
        family = Family(
            name=name,
            documentation=self.documentation,
            type="counter",
            samples=samples,
        )
        return [family, *self._created_family(f"{self.name}_created")]


class Gauge(_Metric):
    """A metric without labels that rises and falls."""

    value_type = CounterValue

    def set(self, value: float) -> None:
        """Set the value."""
        self._values[()].value = float(value)

    def inc(self, amount: float = 1.0) -> None:
        """Add an amount."""
        self._values[()].value += amount

    def dec(self, amount: float = 1.0) -> None:
        """Subtract an amount."""
        self._values[()].value -= amount

    def collect(self) -> list[Family]:
        """Return the family of lines of this metric."""
        sample = Sample(name=self.name, labels={}, value=self._values[()].value)
        return [
            Family(
                name=self.name,
                documentation=self.documentation,
                type="gauge",
                samples=[sample],
            )
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

    def collect(self) -> list[Family]:
        """Return the families of lines of this metric."""
        value = self._values[()]
        samples = []
        count = 0
        for bound, bucket_count in zip(value.bounds, value.counts, strict=True):
            count += bucket_count
            samples.append(
                Sample(
                    name=f"{self.name}_bucket",
                    labels={"le": _format_number(bound)},
                    value=float(count),
                )
            )
        for suffix, number in (("count", float(count)), ("sum", value.sum)):
            samples.append(
                Sample(name=f"{self.name}_{suffix}", labels={}, value=number)
            )
        family = Family(
            name=self.name,
            documentation=self.documentation,
            type="histogram",
            samples=samples,
        )
        return [family, *self._created_family(f"{self.name}_created")]


def _sample_line(sample: Sample) -> str:
    labels = ",".join(
        f'{name}="{_escape_label(value)}"'
        for name, value in sorted(sample.labels.items())
    )
    braces = f"{{{labels}}}" if labels else ""
    return f"{sample.name}{braces} {_format_number(sample.value)}\n"


def _escape_label(value: str) -> str:
    escaped = value.replace("\\", r"\\").replace("\n", r"\n")
    return escaped.replace('"', r"\"")


def _format_number(value: float) -> str:
    """Format a number, from 10**6 on with an exponent."""
    if math.isinf(value):
        return "+Inf" if value > 0 else "-Inf"
    if math.isnan(value):
        return "NaN"
    text = repr(float(value))
    dot = text.find(".")
    if value > 0 and dot > 6:
        digits = f"{text[0]}.{text[1:dot]}{text[dot + 1 :]}".rstrip("0.")
        return f"{digits}e+{dot - 1:02}"
    return text
