"""Token bucket for this instance's share of a link between regions."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Bytes that may be sent; may go into debt, which later senders wait out."""

    __slots__ = ("_burst", "_filled_at", "_rate", "_tokens")

    def __init__(self, bytes_per_second, burst_seconds, now):
        self._rate = bytes_per_second
        self._burst = bytes_per_second * burst_seconds
        self._tokens = self._burst
        self._filled_at = now

    def take(self, count, now):
        """Take ``count`` bytes and return the seconds to wait before sending."""
        self._tokens = min(
            self._burst, self._tokens + (now - self._filled_at) * self._rate
        )
        self._filled_at = now
        self._tokens -= count
        return max(0.0, -self._tokens / self._rate)

    def has_tokens(self, now):
        """Return whether a new request may use the link."""
        return self._tokens + (now - self._filled_at) * self._rate > 0
