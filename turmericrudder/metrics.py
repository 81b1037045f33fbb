"""Counters and latency histograms of one process, as text for collectors."""

from collections import Counter

from hdrh.histogram import HdrHistogram

__all__ = ["Metrics"]

PREFIX = "turmericrudder_"
LOWEST_US = 1
HIGHEST_US = 600_000_000
DIGITS = 2
US_PER_SECOND = 1_000_000
# Upper bounds in seconds of the buckets that collectors see; each is about
# twice the one before, from a look-up to the longest deadlines.
BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 15)


class Metrics:
    """Named counts, and a histogram for each timed thing.

    Durations are counted by value first and put into the histogram when it is
    asked for: that takes a tenth of the time at each request.
    """

    __slots__ = ("_counts", "_histograms", "_pending", "_sums")

    def __init__(self):
        self._counts = Counter()
        self._histograms = {}
        self._pending = {}
        self._sums = Counter()

    def increment(self, name, **labels):
        """Add one to a counter."""
        self._counts[name, tuple(labels.items())] += 1

    def observe(self, name, seconds):
        """Add a duration to a histogram."""
        pending = self._pending.get(name)
        if pending is None:
            pending = self._pending[name] = Counter()
        pending[_round(int(seconds * US_PER_SECOND))] += 1
        self._sums[name] += seconds

    def format(self, gauges):
        """Return all series as text in the format that collectors read.

        :param gauges: {series name: value} known elsewhere.
        """
        # The client library takes more memory than the rest of the process's
        # metrics, so it is loaded when a collector first asks.
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(_Collector(list(self._iter_families(gauges))))
        return generate_latest(registry).decode()

    def _iter_families(self, gauges):
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        families = {}
        for (name, labels), value in sorted(self._counts.items()):
            family = families.get(name)
            if family is None:
                keys = [key for key, _ in labels]
                family = CounterMetricFamily(PREFIX + name, name, labels=keys)
                families[name] = family
            family.add_metric([str(text) for _, text in labels], value)
        yield from families.values()
        for name, value in gauges.items():
            yield GaugeMetricFamily(PREFIX + name, name, value=value)
        self._flush()
        for name, histogram in self._histograms.items():
            buckets = list(_iter_buckets(histogram))
            yield HistogramMetricFamily(
                PREFIX + name, name, buckets=buckets, sum_value=self._sums[name]
            )

    def _flush(self):
        for name, pending in self._pending.items():
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
                self._histograms[name] = histogram
            for micros, count in pending.items():
                histogram.record_value(micros, count)
            pending.clear()


class _Collector:
    """What the client library asks for the families of one collection."""

    def __init__(self, families):
        self._families = families

    def collect(self):
        return self._families


def _iter_buckets(histogram):
    """Yield (upper bound as text, values up to it) as collectors expect."""
    counts = [0] * len(BUCKETS)
    for item in histogram.get_recorded_iterator():
        for number, bound in enumerate(BUCKETS):
            if item.value_iterated_to <= bound * US_PER_SECOND:
                counts[number] += item.count_added_in_this_iter_step
    yield from zip(map(str, BUCKETS), counts, strict=True)
    yield "+Inf", histogram.get_total_count()


def _round(micros):
    """Return the duration with the digits that the histogram keeps."""
    micros = min(HIGHEST_US, max(LOWEST_US, micros))
    surplus = max(0, micros.bit_length() - (DIGITS * 4))
    return micros >> surplus << surplus
