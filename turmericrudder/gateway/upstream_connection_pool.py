"""Connections to targets that wait for their next request."""

from collections import deque

import anyio

from .upstream_connection import open_connection

__all__ = ["UpstreamConnectionPool"]

# Seconds that a target's idle connection is used again where it does not say
# how long it keeps them; shorter than the timeouts servers commonly have.
IDLE_DEFAULT = 4.0
IDLE_MARGIN = 1.0  # seconds before the target's own limit
# Part of the idle time within which a connection still counts as sound for a
# request that must not be sent twice.
SOUND_PART = 0.25
CONNECT_MIN = 0.25  # seconds; many times what a connection within a region takes
CONNECT_FACTOR = 4.0  # round trips that opening a connection may take


class UpstreamConnectionPool:
    """Open connections by target id; the one used last goes first."""

    __slots__ = ("_idle", "opened_count")

    def __init__(self):
        self._idle = {}
        self.opened_count = 0

    async def acquire(self, target, round_trip, must_be_fresh):
        """Return a connection to a target, a new one if none is fit.

        :param round_trip: seconds there and back, as far as known.
        :param must_be_fresh: whether the request must not be sent twice.
        :raises ConnectFailed: if no connection came about.
        """
        waiting = self._idle.get(target.endpoint.id)
        now = anyio.current_time()
        while waiting:
            connection, since = waiting.pop()
            idle, limit = now - since, _get_idle_limit(connection)
            if not connection.is_reusable() or idle >= limit:
                connection.close()
            elif must_be_fresh and idle >= SOUND_PART * limit:
                waiting.appendleft((connection, since))
                break
            else:
                return connection
        self.opened_count += 1
        timeout = max(CONNECT_MIN, CONNECT_FACTOR * round_trip)
        connection = await open_connection(target.endpoint.address, timeout)
        target.round_trip = connection.round_trip
        return connection

    def release(self, target, connection, most):
        """Keep a connection for the next request, if it is fit for one.

        :param most: idle connections to the target that may be kept.
        """
        waiting = self._idle.setdefault(target.endpoint.id, deque())
        if not connection.is_reusable() or target.is_removed or len(waiting) >= most:
            connection.close()
            return
        waiting.append((connection, anyio.current_time()))

    def close_target(self, target_id):
        """Close the idle connections to a target."""
        for connection, _ in self._idle.pop(target_id, ()):
            connection.close()

    def close_idle(self):
        """Close connections that have been idle for too long."""
        now = anyio.current_time()
        for target_id, waiting in list(self._idle.items()):
            while waiting and now - waiting[0][1] >= _get_idle_limit(waiting[0][0]):
                waiting.popleft()[0].close()
            if not waiting:
                del self._idle[target_id]


def _get_idle_limit(connection):
    if connection.keepalive_timeout is None:
        return IDLE_DEFAULT
    return max(0.0, connection.keepalive_timeout - IDLE_MARGIN)
