"""A token bucket that limits the bytes sent per second."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Bytes that may be sent now, of this instance's share of a link between regions.

    The number of tokens may become negative; later senders wait until it is not.
    """

    __slots__ = ("_burst", "_filled_at", "_rate", "_tokens")

    def __init__(self, bytes_per_second, burst_seconds, now):
        """Initialize a full bucket.

        :param burst_seconds: size of the bucket, in seconds at the full rate.
        """
        self._rate = bytes_per_second
        self._burst = bytes_per_second * burst_seconds
        self._tokens = self._burst
        self._filled_at = now

    def take(self, count, now):
        """Take ``count`` tokens and return the seconds to wait before sending."""
        self._tokens = min(
            self._burst, self._tokens + (now - self._filled_at) * self._rate
        )
        self._filled_at = now
        self._tokens -= count
        return max(0.0, -self._tokens / self._rate)

    def has_tokens(self, now):
        """Return whether any tokens are left, so that a new request may be sent."""
        return self._tokens + (now - self._filled_at) * self._rate > 0
