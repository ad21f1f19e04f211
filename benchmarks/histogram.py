"""Percentiles of latencies, computed with HdrHistogram."""

from collections.abc import Iterable

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def make_histogram(latencies_s: Iterable[float]) -> histogram.HdrHistogram:
    """Return a histogram in microseconds of latencies in seconds."""
    result = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    for latency_s in latencies_s:
        result.record_value(max(int(latency_s * 1e6), LOWEST_US))
    return result


def summarize(latencies_s: list[float]) -> dict[str, float]:
    """Return percentiles and maximum in milliseconds, and the count."""
    recorded = make_histogram(latencies_s)
    result = {
        f"p{percentile:g}_ms": round(
            recorded.get_value_at_percentile(percentile) / 1000.0, 3
        )
        for percentile in PERCENTILES
    }
    result["max_ms"] = round(max(latencies_s, default=0.0) * 1000.0, 3)
    result["count"] = len(latencies_s)
    return result


def compare(
    series: dict[str, list[float]], *, baseline: str
) -> dict[str, object]:
    """Summarize each series of latencies and its difference from a baseline.

    Args:
        series: Latencies in seconds by name of the series.
        baseline: Name of the series that the others are compared with.

    Returns:
        The summary of each series, and the differences of percentiles in
        milliseconds for each series other than the baseline.
    """
    result: dict[str, object] = {
        name: summarize(values) for name, values in series.items()
    }
    baseline_summary = summarize(series[baseline])
    for name, values in series.items():
        if name == baseline:
            continue
        summary = summarize(values)
        result[f"{name} minus {baseline}"] = {
            key: round(summary[key] - baseline_summary[key], 3)
            for key in ("p50_ms", "p90_ms", "p99_ms")
        }
    return result
