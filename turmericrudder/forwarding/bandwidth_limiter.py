"""Keep this instance's bytes to other regions within its share of a link."""

import anyio

from ..routing import TokenBucket

__all__ = ["BandwidthLimiter"]

BURST_SECONDS = 0.25


class BandwidthLimiter:
    """One token bucket per other region.

    The share is that of the configured instances, never of the live ones, so
    that the instances of a region together cannot exceed the link.
    """

    __slots__ = ("_buckets", "_region", "_share")

    def __init__(self, region):
        self._region = region
        self._share = None
        self._buckets = {}

    def update(self, configuration):
        """Take link size and instance counts from a configuration."""
        instances = sum(
            count
            for domain, count in configuration.entry_counts.items()
            if configuration.get_region(domain) == self._region
        )
        share = configuration.link_bytes_per_second / max(1, instances)
        if share != self._share:
            self._share = share
            self._buckets.clear()

    def can_send(self, region):
        """Return whether a new request may go to a region."""
        if region == self._region:
            return True
        return self._get_bucket(region).has_tokens(anyio.current_time())

    async def throttle(self, region, count):
        """Wait until ``count`` bytes may be sent to a region."""
        if region != self._region and count:
            wait = self._get_bucket(region).take(count, anyio.current_time())
            if wait:
                await anyio.sleep(wait)

    async def iter_throttled(self, region, chunks):
        """Yield chunks at the pace of the link."""
        async for chunk in chunks:
            await self.throttle(region, len(chunk))
            yield chunk

    def _get_bucket(self, region):
        if region not in self._buckets:
            self._buckets[region] = TokenBucket(
                self._share, BURST_SECONDS, anyio.current_time()
            )
        return self._buckets[region]
