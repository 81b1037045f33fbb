"""Connections to targets that wait for their next request."""

from collections import deque

import anyio

from .upstream_link import open_link

__all__ = ["LinkPool"]

# Seconds that a target's idle connection is used again where it does not say
# how long it keeps them; shorter than the timeouts servers commonly have.
IDLE_DEFAULT = 4.0
IDLE_MARGIN = 1.0  # seconds before the target's own limit
# Part of the idle time within which a connection still counts as sound for a
# request that must not be sent twice.
SOUND_PART = 0.25
CONNECT_MIN = 0.25  # seconds; many times what a connection within a region takes
CONNECT_FACTOR = 4.0  # round trips that opening a connection may take


class LinkPool:
    """Open connections by target id; the one used last goes first."""

    __slots__ = ("_idle", "opened")

    def __init__(self):
        self._idle = {}
        self.opened = 0

    async def take(self, target, round_trip, must_be_sound):
        """Return a connection to a target, a new one if none is fit.

        :param round_trip: seconds there and back, as far as known.
        :param must_be_sound: whether the request must not be sent twice.
        :raises ConnectFailed: if no connection came about.
        """
        waiting = self._idle.get(target.endpoint.id)
        now = anyio.current_time()
        while waiting:
            link, since = waiting.pop()
            idle, limit = now - since, _get_idle_limit(link)
            if not link.is_reusable() or idle >= limit:
                link.close()
            elif must_be_sound and idle >= SOUND_PART * limit:
                waiting.appendleft((link, since))
                break
            else:
                return link
        self.opened += 1
        timeout = max(CONNECT_MIN, CONNECT_FACTOR * round_trip)
        link = await open_link(target.endpoint.address, timeout)
        target.round_trip = link.round_trip
        return link

    def release(self, target, link, most):
        """Keep a connection for the next request, if it is fit for one.

        :param most: idle connections to the target that may be kept.
        """
        waiting = self._idle.setdefault(target.endpoint.id, deque())
        if not link.is_reusable() or target.is_removed or len(waiting) >= most:
            link.close()
            return
        waiting.append((link, anyio.current_time()))

    def forget(self, target_id):
        """Close the idle connections to a target."""
        for link, _ in self._idle.pop(target_id, ()):
            link.close()

    def close_idle(self):
        """Close connections that have been idle for too long."""
        now = anyio.current_time()
        for target_id, waiting in list(self._idle.items()):
            while waiting and now - waiting[0][1] >= _get_idle_limit(waiting[0][0]):
                waiting.popleft()[0].close()
            if not waiting:
                del self._idle[target_id]


def _get_idle_limit(link):
    if link.keepalive is None:
        return IDLE_DEFAULT
    return max(0.0, link.keepalive - IDLE_MARGIN)
