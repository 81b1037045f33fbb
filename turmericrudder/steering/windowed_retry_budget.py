"""How many repeats of requests this instance may send to a service."""

from collections import deque

__all__ = ["WindowedRetryBudget"]

# Part of the bound that is used. Clocks and arrivals differ a little, and what is
# left is for an instance that has just been started again.
SAFETY = 0.8
SLICES = 10  # parts of a window; a whole slice is forgotten at once


class WindowedRetryBudget:
    """Counts requests and repeats over a sliding window.

    The bound covers all instances together. Each keeps ``ratio`` of its own
    requests and an equal part of the fixed extra, so no one has to be asked.

    An instance that has just started may have run until a moment ago and have
    spent its part of the window. It uses what that can have left.
    """

    __slots__ = ("_extra", "_ratio", "_slices", "_started", "_window")

    def __init__(self, ratio, extra, window, started):
        """Start empty.

        :param extra: repeats in a window that are free, for all instances.
        :param window: seconds.
        :param started: time at which this instance started.
        """
        self._ratio = ratio
        self._extra = extra
        self._window = window
        self._started = started
        self._slices = deque()  # [end of slice, requests, repeats]

    def record_request(self, now):
        """Count the first send of a request."""
        self._get_slice(now)[1] += 1

    def try_spend(self, now, instances, max_fraction=1.0):
        """Return whether a repeat may be sent now, and count it.

        :param instances: how many instances share the fixed extra.
        :param max_fraction: of the allowance that may be in use afterwards.
        """
        current = self._get_slice(now)
        requests = sum(item[1] for item in self._slices)
        repeats = sum(item[2] for item in self._slices)
        limit = self._ratio * requests + self._extra / max(1, instances)
        is_new = now < self._started + self._window
        max_fraction *= 1.0 - SAFETY if is_new else SAFETY
        if repeats + 1 > max_fraction * limit:
            return False
        current[2] += 1
        return True

    def _get_slice(self, now):
        while self._slices and self._slices[0][0] <= now - self._window:
            self._slices.popleft()
        if not self._slices or self._slices[-1][0] <= now:
            self._slices.append([now + self._window / SLICES, 0, 0])
        return self._slices[-1]
