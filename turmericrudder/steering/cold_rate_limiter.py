"""Bound the requests that a cold target gets in a second."""

from collections import deque

__all__ = ["ColdRateLimiter"]

WINDOW = 1.0  # seconds; the unit of the rate that a cold target tolerates
# Two instances may each believe that it alone feeds a target while their views
# of the members differ, so each uses half of the bound.
HOLDERS = 2
MARGIN = 0.15  # seconds; requests sent further apart may arrive within a second


class ColdRateLimiter:
    """A sliding window of one target's sends by one instance."""

    __slots__ = ("_sent",)

    def __init__(self):
        self._sent = deque()

    def has_capacity(self, rate, overage, slack, now):
        """Return whether one more request may be sent now.

        :param rate: requests a second that the target tolerates.
        :param overage: factor on the rate that is still within the bound.
        :param slack: requests beyond it that are still within the bound.
        """
        while self._sent and self._sent[0] <= now - WINDOW - MARGIN:
            self._sent.popleft()
        limit = max(1, int((rate * overage + slack) / HOLDERS))
        return len(self._sent) < limit

    def record_request(self, now):
        """Count a request that is sent now."""
        self._sent.append(now)
