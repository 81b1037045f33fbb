"""Clocks besides the monotonic one of the event loop."""

import time

__all__ = ["get_boot_time"]


def get_boot_time():
    """Return monotonic seconds that, unlike the event loop's, count a suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
