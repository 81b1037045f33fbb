"""Limit the bandwidth that this instance uses to each other region."""

import anyio

from ..routing import TokenBucket

__all__ = ["BandwidthLimiter"]

BURST_SECONDS = 0.25  # seconds' worth of bytes that may be sent at once


class BandwidthLimiter:
    """Limits the bytes sent to each other region by a token bucket.

    The rate is the bandwidth of the link between regions, divided by the number
    of instances configured in this region. Instances that are not running count
    as well, so that those of a region together never exceed the bandwidth.
    Traffic within the region is not limited.
    """

    __slots__ = ("_buckets", "_bytes_per_second", "_region")

    def __init__(self, region):
        """Prepare; :meth:`update` has to be called before anything is sent.

        :param region: region of this instance.
        """
        self._region = region
        self._bytes_per_second = None
        self._buckets = {}

    def update(self, configuration):
        """Apply the link bandwidth and instance counts of a configuration."""
        instances = sum(
            count
            for domain, count in configuration.entry_counts.items()
            if configuration.get_region(domain) == self._region
        )
        bytes_per_second = configuration.link_bytes_per_second / max(1, instances)
        if bytes_per_second != self._bytes_per_second:
            self._bytes_per_second = bytes_per_second
            self._buckets.clear()

    def can_send(self, region):
        """Return whether a new request may be forwarded to a region now."""
        if region == self._region:
            return True
        return self._get_bucket(region).has_tokens(anyio.current_time())

    async def throttle(self, region, count):
        """Wait until ``count`` bytes may be sent to a region."""
        if region != self._region and count:
            delay = self._get_bucket(region).take(count, anyio.current_time())
            if delay:
                await anyio.sleep(delay)

    async def iter_throttled(self, region, chunks):
        """Yield chunks, each delayed until it may be sent to a region."""
        async for chunk in chunks:
            await self.throttle(region, len(chunk))
            yield chunk

    def _get_bucket(self, region):
        if region not in self._buckets:
            self._buckets[region] = TokenBucket(
                self._bytes_per_second, BURST_SECONDS, anyio.current_time()
            )
        return self._buckets[region]
