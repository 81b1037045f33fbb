"""A retry budget over a sliding window, divided among the instances."""

from collections import deque

__all__ = ["WindowedRetryBudget"]

# Fraction of the bound that is used. It allows for small differences between clocks and
# between arrival times; the rest is left to an instance that was just restarted.
USED_FRACTION = 0.8
BUCKET_COUNT = 10  # buckets in a window; all counts of a bucket expire together


class WindowedRetryBudget:
    """Counts the requests and retries of one service over a sliding window.

    The bound applies to all instances together. Each may send ``ratio`` retries per
    request of its own and an equal share of the fixed extra, so instances do not have
    to communicate. Hedges are counted as retries.

    An instance that has just started may have been running until a moment before
    and have spent its share of the window. During its first window it uses only the
    fraction that a running instance leaves unused.
    """

    __slots__ = ("_buckets", "_extra", "_ratio", "_started_at", "_window")

    def __init__(self, ratio, extra, window, started_at):
        """Start empty.

        :param ratio: retries and hedges per request.
        :param extra: further retries and hedges in a window, for all instances
            together.
        :param window: seconds.
        :param started_at: monotonic time at which this instance started.
        """
        self._ratio = ratio
        self._extra = extra
        self._window = window
        self._started_at = started_at
        self._buckets = deque()  # [end of bucket, requests, retries]

    def record_request(self, now):
        """Count the first attempt of a request."""
        self._get_bucket(now)[1] += 1

    def try_spend(self, now, instances, max_fraction=1.0):
        """Return whether a retry or hedge may be sent now, and count it if so.

        :param instances: number of instances that share the fixed extra.
        :param max_fraction: fraction of the budget that may be in use afterwards.
        """
        current = self._get_bucket(now)
        requests = sum(bucket[1] for bucket in self._buckets)
        retries = sum(bucket[2] for bucket in self._buckets)
        limit = self._ratio * requests + self._extra / max(1, instances)
        is_first_window = now < self._started_at + self._window
        max_fraction *= 1.0 - USED_FRACTION if is_first_window else USED_FRACTION
        if retries + 1 > max_fraction * limit:
            return False
        current[2] += 1
        return True

    def _get_bucket(self, now):
        """Return the current bucket, after removing expired ones."""
        while self._buckets and self._buckets[0][0] <= now - self._window:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1][0] <= now:
            self._buckets.append([now + self._window / BUCKET_COUNT, 0, 0])
        return self._buckets[-1]
