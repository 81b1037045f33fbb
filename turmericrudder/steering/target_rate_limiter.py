"""This instance's part of the request rate that a target in need has named.

The target names one limit for all instances. Each instance takes a fixed part of it,
which follows from the members alone, so that nothing has to be agreed on.
"""

import math

__all__ = ["TargetRateLimiter"]

# Requests per second assumed for a lower limit, so that its end is noticed.
MIN_LIMIT = 0.25
# Instances that send to a target at least, however low its limit: a single one rarely
# has a request for it.
MIN_SENDERS = 3
BURST_SECONDS = 1.0  # part of the rate that may be saved for later, in seconds of it
# Seconds without a response after which one request is sent to learn whether the target
# still has the limit.
MIN_PROBE_INTERVAL = 10.0
# Fraction of the limit that all instances may use for such requests.
PROBE_FRACTION = 0.1


class TargetRateLimiter:
    """A token bucket that is refilled at this instance's part of the limit.

    About as many instances send as the target takes requests in a second, so that all
    their buckets together hold little more than two seconds' worth of the limit.

    :ivar limit: requests per second for all instances, ``None`` without a limit.
    """

    __slots__ = (
        "_filled_at",
        "_members_revision",
        "_probe_at",
        "_probe_interval",
        "_rate",
        "_tokens",
        "limit",
    )

    def __init__(self):
        self.limit = None
        self._members_revision = None
        self._probe_at = math.inf
        self._probe_interval = MIN_PROBE_INTERVAL
        self._rate = 0.0
        self._tokens = 0.0
        self._filled_at = 0.0

    def record_limit(self, limit, member_count, now, random):
        """Set the limit that the target named in a response, ``None`` without one.

        :param member_count: number of live instances.
        :param now: monotonic time of the response.
        :param random: a ``random.Random``; it spreads the instances' probes.
        """
        if limit != self.limit:
            if self.limit is None:
                self._tokens, self._filled_at = 0.0, now
            self.limit = limit
            self._members_revision = None
        if limit is not None:
            interval = member_count / (PROBE_FRACTION * max(MIN_LIMIT, limit))
            self._probe_interval = max(MIN_PROBE_INTERVAL, interval) * (
                1.0 + random.random()
            )
            self._probe_at = now + self._probe_interval

    def get_wait(self, endpoint, members, now):
        """Return the seconds until one more request may be sent, 0 if it may now.

        They are infinite if only other instances send to the target.

        :param members: has ``revision``, which changes with the live instances, and
            ``get_rate_share(endpoint, sender_count)``.
        """
        if self.limit is None:
            return 0.0
        if now >= self._probe_at:
            return 0.0
        if self._members_revision != members.revision:
            self._members_revision = members.revision
            limit = max(MIN_LIMIT, self.limit)
            self._rate = limit * members.get_rate_share(
                endpoint, max(MIN_SENDERS, int(limit))
            )
        self._refill(now)
        if self._tokens >= 1.0:
            return 0.0
        return (1.0 - self._tokens) / self._rate if self._rate > 0.0 else math.inf

    def record_request(self, now):
        """Count a request that is sent now."""
        if self.limit is not None:
            self._refill(now)
            self._tokens -= 1.0
            if now >= self._probe_at:
                self._probe_at = now + self._probe_interval

    def _refill(self, now):
        added = (now - self._filled_at) * self._rate
        self._filled_at = now
        size = max(1.0, self._rate * BURST_SECONDS)
        self._tokens = min(size, self._tokens + added)
