"""Computes the delay after which a request is hedged: sent to a second target too."""

from collections import deque

__all__ = ["HedgeDelay"]

MAX_SAMPLES = 300
MAX_SAMPLE_AGE = 10.0  # seconds; twice the maximum age of a load report
MIN_SAMPLES = 40  # fewer give no usable quantile
REFRESH_SAMPLES = 20  # new latencies before the delay is computed again
QUANTILE = 0.97
MIN_DELAY = 0.005  # seconds


class HedgeDelay:
    """A high quantile of recent latencies, recomputed every few responses."""

    __slots__ = ("_delay", "_latencies", "_new_samples")

    def __init__(self):
        self._latencies = deque(maxlen=MAX_SAMPLES)
        self._new_samples = 0
        self._delay = None

    def record_latency(self, latency, now):
        """Record the seconds from sending a request to its response head."""
        self._latencies.append((now, latency))
        self._new_samples += 1
        if self._new_samples >= REFRESH_SAMPLES and len(self._latencies) >= MIN_SAMPLES:
            self._new_samples = 0
            self._drop_old_samples(now)
            ranked = sorted(latency for _, latency in self._latencies)
            self._delay = max(MIN_DELAY, ranked[int(len(ranked) * QUANTILE)])

    def get_delay(self):
        """Return the delay in seconds, ``None`` until there are enough latencies."""
        return self._delay

    def _drop_old_samples(self, now):
        """Drop latencies that are too old, but keep :data:`MIN_SAMPLES`."""
        samples = self._latencies
        while len(samples) > MIN_SAMPLES and samples[0][0] < now - MAX_SAMPLE_AGE:
            samples.popleft()
