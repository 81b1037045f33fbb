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
    """Named counts, and a histogram for each timed thing.

    Durations are counted by value first and put into the histogram when it is
    asked for: that takes a tenth of the time at each request.
    """

    __slots__ = ("_counts", "_histograms", "_pending")

    def __init__(self):
        self._counts = Counter()
        self._histograms = {}
        self._pending = {}

    def count(self, name, **labels):
        """Add one to a counter."""
        self._counts[name, tuple(labels.items())] += 1

    def record(self, name, seconds):
        """Add a duration to a histogram."""
        pending = self._pending.get(name)
        if pending is None:
            pending = self._pending[name] = Counter()
        pending[_round(int(seconds * US_PER_SECOND))] += 1

    def format(self, gauges):
        """Return all series as text lines.

        :param gauges: {series name: value} known elsewhere.
        """
        self._flush()
        lines = [
            f"{_get_series(name, labels)} {value}"
            for (name, labels), value in self._counts.items()
        ]
        lines += [f"{name} {value}" for name, value in gauges.items()]
        for name, histogram in self._histograms.items():
            lines += _format_histogram(name, histogram)
        return "\n".join(sorted(lines)) + "\n"

    def _flush(self):
        for name, pending in self._pending.items():
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
                self._histograms[name] = histogram
            for micros, count in pending.items():
                histogram.record_value(micros, count)
            pending.clear()


def _round(micros):
    """Return the duration with the digits that the histogram keeps."""
    micros = min(HIGHEST_US, max(LOWEST_US, micros))
    surplus = max(0, micros.bit_length() - (DIGITS * 4))
    return micros >> surplus << surplus


def _format_histogram(name, histogram):
    for quantile in QUANTILES:
        seconds = histogram.get_value_at_percentile(quantile) / US_PER_SECOND
        yield f"{_get_series(name, (('quantile', quantile / 100),))} {seconds}"
    yield f"{_get_series(name + '_count', ())} {histogram.get_total_count()}"


def _get_series(name, labels):
    if not labels:
        return f"turmericrudder_{name}"
    inner = ",".join(f'{key}="{value}"' for key, value in labels)
    return f"turmericrudder_{name}{{{inner}}}"
