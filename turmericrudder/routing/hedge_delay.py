"""After which time a second target is asked as well."""

from collections import deque

__all__ = ["HedgeDelay"]

KEPT = 300
KEPT_SECONDS = 10.0  # twice the age that a load report may have
MIN_KEPT = 40
REFRESH = 20
QUANTILE = 0.97
MIN_DELAY = 0.005  # seconds


class HedgeDelay:
    """A high quantile of recent latencies, refreshed every few answers."""

    __slots__ = ("_delay", "_latencies", "_since")

    def __init__(self):
        self._latencies = deque(maxlen=KEPT)
        self._since = 0
        self._delay = None

    def record_latency(self, latency, now):
        """Take the seconds that an answer's head took."""
        self._latencies.append((now, latency))
        self._since += 1
        if self._since >= REFRESH and len(self._latencies) >= MIN_KEPT:
            self._since = 0
            self._forget_old(now)
            ranked = sorted(latency for _, latency in self._latencies)
            self._delay = max(MIN_DELAY, ranked[int(len(ranked) * QUANTILE)])

    def get(self):
        """Return the delay in seconds, ``None`` while too little is known."""
        return self._delay

    def _forget_old(self, now):
        """Forget what is old, but for the fewest that a quantile needs."""
        kept = self._latencies
        while len(kept) > MIN_KEPT and kept[0][0] < now - KEPT_SECONDS:
            kept.popleft()
