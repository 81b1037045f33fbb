"""What an instance knows of whether a target is cold, and what it sent to it.

A target is cold for some time after its start, while its caches are empty. It tolerates
few requests a second then.
"""

import math
from collections import deque

__all__ = ["ColdTracker"]

WINDOW = 1.0  # seconds; the bound is in requests a second
MARGIN = 0.15  # seconds; requests sent further apart may arrive within a second
# Seconds for which the view of the registrations in the store stands for what they are
# now. A little before, targets in use are asked themselves.
VIEW_TTL = 4.0
MAX_UNASKED_VIEW_AGE = 3.0
# Seconds for which a target that said it is warm counts as warm without such a view,
# and from which it is asked again.
HEALTH_TTL = 2.0
HEALTH_REFRESH_AGE = 0.5


class ColdTracker:
    """Tells whether the bound of a cold target applies, and counts its requests.

    It applies while the target is known to be cold or may be: after a connection to it
    was lost or refused, since it may have started again, and, while the registrations
    in the store cannot be seen, unless it has said lately that it is warm.

    All times are on the monotonic clock, in seconds.

    :ivar cold_until: time until which the target is known to be cold.
    :ivar doubted_at: time of the latest sign that the target may have started again,
        ``None`` if it has been resolved.
    """

    __slots__ = (
        "_doubt_ends_at",
        "_sent_at",
        "_warm_at",
        "cold_until",
        "doubted_at",
    )

    def __init__(self):
        self.cold_until = 0.0
        self.doubted_at = None
        self._doubt_ends_at = math.inf
        self._sent_at = deque()
        self._warm_at = -math.inf

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

    def doubt(self, now):
        """Record a sign that the target may have started again."""
        self.doubted_at = now
        self._doubt_ends_at = math.inf

    def record_contact(self, cold_start, opened_at, now):
        """Record that the target has responded.

        If it started again before, it is warm after its cold start at the latest.

        :param cold_start: seconds for which a target of its service is cold.
        :param opened_at: time at which the connection was opened.
        """
        doubted_at = self.doubted_at
        if doubted_at is not None and opened_at > doubted_at:
            self._doubt_ends_at = min(self._doubt_ends_at, now + cold_start)

    def record_health(self, cold_left, asked_at, now):
        """Record what the target said of itself.

        :param cold_left: seconds for which it stays cold, 0 if it is warm.
        :param asked_at: time at which the connection for the question was opened.
        """
        if cold_left > 0.0:
            self.mark_cold(now + cold_left)
        if self.doubted_at is None or self.doubted_at < asked_at:
            self.doubted_at = None
            self._warm_at = asked_at

    def record_alive(self, asked_at):
        """Record that the target responded but said nothing of being cold."""
        if self.doubted_at is None:
            self._warm_at = asked_at

    def is_cold(self, now):
        """Return whether the target is known to be cold."""
        return now < self.cold_until

    def is_limited(self, view_age, now):
        """Return whether the bound applies.

        :param view_age: seconds since the registrations in the store were as they are
            known.
        """
        if now < self.cold_until:
            return True
        if self.doubted_at is not None:
            if now < self._doubt_ends_at:
                return True
            self.doubted_at = None
        return view_age >= VIEW_TTL and now >= self._warm_at + HEALTH_TTL

    def needs_health(self, view_age, now):
        """Return whether the target should be asked whether it is cold."""
        if self.doubted_at is not None:
            return True
        return (
            view_age >= MAX_UNASKED_VIEW_AGE
            and now >= self._warm_at + HEALTH_REFRESH_AGE
        )

    def count_recent(self, now):
        """Return the requests that count for the last second."""
        while self._sent_at and self._sent_at[0] <= now - WINDOW - MARGIN:
            self._sent_at.popleft()
        return len(self._sent_at)

    def record_request(self, now):
        """Count a request that is sent now."""
        self.count_recent(now)
        self._sent_at.append(now)
