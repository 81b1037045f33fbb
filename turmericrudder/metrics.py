"""Counters and latency histograms of one process, as text for scrapers."""

from collections import Counter

from hdrh.histogram import HdrHistogram

__all__ = ["Metrics"]

LOWEST_US = 1
HIGHEST_US = 600_000_000
DIGITS = 2
US_PER_SECOND = 1_000_000
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Named counts, and a histogram for each timed thing."""

    __slots__ = ("_counts", "_histograms")

    def __init__(self):
        self._counts = Counter()
        self._histograms = {}

    def count(self, name, **labels):
        """Add one to a counter."""
        self._counts[_get_series(name, labels)] += 1

    def record(self, name, seconds, **labels):
        """Add a duration to a histogram."""
        key = (name, tuple(sorted(labels.items())))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
            self._histograms[key] = histogram
        micros = int(seconds * US_PER_SECOND)
        histogram.record_value(min(HIGHEST_US, max(LOWEST_US, micros)))

    def format(self, gauges):
        """Return all series as text lines.

        :param gauges: {series name: value} known elsewhere.
        """
        lines = [f"{series} {value}" for series, value in self._counts.items()]
        lines += [f"{name} {value}" for name, value in gauges.items()]
        for (name, labels), histogram in self._histograms.items():
            lines += _format_histogram(name, dict(labels), histogram)
        return "\n".join(sorted(lines)) + "\n"


def _format_histogram(name, labels, histogram):
    for quantile in QUANTILES:
        seconds = histogram.get_value_at_percentile(quantile) / US_PER_SECOND
        series = _get_series(name, labels | {"quantile": quantile / 100})
        yield f"{series} {seconds}"
    yield f"{_get_series(name + '_count', labels)} {histogram.get_total_count()}"


def _get_series(name, labels):
    if not labels:
        return f"turmericrudder_{name}"
    inner = ",".join(f'{key}="{value}"' for key, value in labels.items())
    return f"turmericrudder_{name}{{{inner}}}"
