"""A pool of idle connections to targets."""

from collections import deque
from functools import partial

import anyio

from .upstream_connection import open_connection

__all__ = ["UpstreamConnectionPool"]

# Seconds for which an idle connection is reusable if the target sends no Keep-Alive
# header; shorter than the timeouts servers commonly have.
DEFAULT_IDLE_TIMEOUT = 4.0
IDLE_TIMEOUT_MARGIN = 1.0  # seconds before the target's own timeout
# Fraction of the idle timeout up to which a connection counts as fresh, which a request
# that must not be retried requires.
FRESH_FRACTION = 0.25
# Seconds; many times what opening a connection within a region takes.
MIN_CONNECT_TIMEOUT = 0.25
CONNECT_TIMEOUT_ROUND_TRIPS = 4.0  # round trips that opening a connection may take


class UpstreamConnectionPool:
    """Keeps idle connections to targets for reuse, the most recently used first.

    :ivar opened_count: connections opened so far, including failed attempts.
    """

    __slots__ = ("_idle", "opened_count")

    def __init__(self):
        self._idle = {}
        self.opened_count = 0

    async def acquire(self, target, round_trip, must_be_fresh):
        """Return an idle connection to a target, or a new one if none is suitable.

        :param round_trip: estimated round trip to the target in seconds, which the
            timeout of a new connection is based on.
        :param must_be_fresh: whether to reuse only connections that were idle briefly,
            for a request that must not be retried.
        :raises ConnectFailed: if no connection was established.
        """
        idle = self._idle.get(target.endpoint.id)
        now = anyio.current_time()
        while idle:
            connection, idle_since = idle.pop()
            idle_time, idle_timeout = now - idle_since, _get_idle_timeout(connection)
            if not connection.is_reusable() or idle_time >= idle_timeout:
                connection.close()
            elif must_be_fresh and idle_time >= FRESH_FRACTION * idle_timeout:
                idle.appendleft((connection, idle_since))
                break
            else:
                connection.on_idle_end = None
                return connection
        self.opened_count += 1
        timeout = max(MIN_CONNECT_TIMEOUT, CONNECT_TIMEOUT_ROUND_TRIPS * round_trip)
        connection = await open_connection(target.endpoint.address, timeout)
        target.round_trip = connection.round_trip
        return connection

    def release(self, target, connection, max_idle):
        """Return a connection to the pool, or close it if it cannot be reused.

        :param max_idle: maximum number of idle connections to the target.
        """
        idle = self._idle.setdefault(target.endpoint.id, deque())
        is_unusable = target.is_removed or target.notices.is_leaving
        if is_unusable or not connection.is_reusable() or len(idle) >= max_idle:
            connection.close()
            return
        now = anyio.current_time()
        ends_at = now + _get_idle_timeout(connection)
        connection.on_idle_end = partial(_doubt_if_early, target, ends_at)
        idle.append((connection, now))

    def close_idle(self, target_id):
        """Close the idle connections to a target."""
        for connection, _ in self._idle.pop(target_id, ()):
            connection.close()

    def close_expired(self):
        """Close connections whose idle timeout has passed."""
        now = anyio.current_time()
        for target_id, idle in list(self._idle.items()):
            while idle and now - idle[0][1] >= _get_idle_timeout(idle[0][0]):
                idle.popleft()[0].close()
            if not idle:
                del self._idle[target_id]


def _doubt_if_early(target, ends_at):
    """Take the end of an idle connection before its timeout for a restart."""
    now = anyio.current_time()
    if now < ends_at:
        target.cold.doubt(now)


def _get_idle_timeout(connection):
    if connection.keepalive_timeout is None:
        return DEFAULT_IDLE_TIMEOUT
    return max(0.0, connection.keepalive_timeout - IDLE_TIMEOUT_MARGIN)
