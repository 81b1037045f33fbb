"""A limit on the request rate to a cold target.

A target is cold for some time after its start, while its caches are empty.
"""

from collections import deque

__all__ = ["ColdRateLimiter"]

WINDOW = 1.0  # seconds; the cold rate is in requests per second
# Only one instance, chosen from the members, sends to a cold target. While snapshots of
# the members differ, two may be chosen, so each uses half of the bound.
SENDER_COUNT = 2
MARGIN = 0.15  # seconds; requests sent further apart may arrive within a second


class ColdRateLimiter:
    """A sliding window of the requests from this instance to one cold target."""

    __slots__ = ("_sent_at",)

    def __init__(self):
        self._sent_at = deque()

    def has_capacity(self, rate, overage, slack, now):
        """Return whether one more request may be sent now.

        :param rate: requests per second that the target tolerates.
        :param overage: factor on the rate that is still within the bound.
        :param slack: requests per second above ``rate * overage`` that are still
            within the bound.
        """
        while self._sent_at and self._sent_at[0] <= now - WINDOW - MARGIN:
            self._sent_at.popleft()
        limit = max(1, int((rate * overage + slack) / SENDER_COUNT))
        return len(self._sent_at) < limit

    def record_request(self, now):
        """Count a request that is sent now."""
        self._sent_at.append(now)
