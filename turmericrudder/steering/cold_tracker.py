"""What an instance knows of whether a target is cold, and what it sent to it.

A target is cold for some time after its start, while its caches are empty. It tolerates
few requests a second then.
"""

from collections import deque

__all__ = ["ColdTracker"]

WINDOW = 1.0  # seconds; the bound is in requests a second
MARGIN = 0.15  # seconds; requests sent further apart may arrive within a second


class ColdTracker:
    """Tells whether a target is cold, and counts the requests of the last second.

    All times are on the monotonic clock, in seconds.

    :ivar cold_until: time until which the target is known to be cold.
    """

    __slots__ = ("_sent_at", "cold_until")

    def __init__(self):
        self.cold_until = 0.0
        self._sent_at = deque()

    def make_successor(self):
        """Return the tracker of the target's next incarnation.

        What was sent lately may have reached that one.
        """
        successor = ColdTracker()
        successor._sent_at.extend(self._sent_at)
        return successor

    def mark_cold(self, until):
        """Record that the target is cold until a time, or later."""
        self.cold_until = max(self.cold_until, until)

    def is_cold(self, now):
        """Return whether the target is known to be cold."""
        return now < self.cold_until

    def count_recent(self, now):
        """Return the requests that count for the last second."""
        while self._sent_at and self._sent_at[0] <= now - WINDOW - MARGIN:
            self._sent_at.popleft()
        return len(self._sent_at)

    def record_request(self, now):
        """Count a request that is sent now."""
        self.count_recent(now)
        self._sent_at.append(now)
