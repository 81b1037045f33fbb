"""A token bucket, for limits on bytes or requests per second."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Tokens that fill up at a fixed rate, one for each byte or request.

    The number of tokens may become negative; the caller then waits until it is not.
    """

    __slots__ = ("_burst", "_filled_at", "_rate", "_tokens")

    def __init__(self, rate, burst_seconds, now):
        """Initialize a full bucket.

        :param rate: tokens added per second.
        :param burst_seconds: size of the bucket, in seconds at the full rate.
        """
        self._rate = rate
        self._burst = rate * burst_seconds
        self._tokens = self._burst
        self._filled_at = now

    def take(self, count, now):
        """Take ``count`` tokens and return the seconds to wait before using them."""
        self._tokens = min(
            self._burst, self._tokens + (now - self._filled_at) * self._rate
        )
        self._filled_at = now
        self._tokens -= count
        return max(0.0, -self._tokens / self._rate)

    def has_tokens(self, now):
        """Return whether the number of tokens is positive."""
        return self._tokens + (now - self._filled_at) * self._rate > 0
