"""A pool of idle connections to the targets that this instance owns."""

from collections import deque

from .connection import Connection

__all__ = ["TargetConnectionPool"]

MAX_IDLE_PER_TARGET = 16  # connections


class TargetConnectionPool:
    """Keeps idle connections to targets for reuse, the most recently used first.

    Requests that must not run twice are sent on a new connection. On a reused
    one, a close by the target before it received the request cannot be distinguished
    from a lost response.
    """

    __slots__ = ("_idle",)

    def __init__(self):
        self._idle = {}

    async def aclose(self):
        """Close all idle connections."""
        for name in list(self._idle):
            await self.close_idle(name)

    async def close_idle(self, target_name):
        """Close the idle connections to a target."""
        idle_connections = self._idle.pop(target_name, ())
        while idle_connections:
            await idle_connections.pop().aclose()

    async def acquire(self, target, must_be_fresh):
        """Return an idle or a new connection to a target.

        :param must_be_fresh: whether to return a new one in any case.
        """
        idle_connections = self._idle.setdefault(target.name, deque())
        while idle_connections and not must_be_fresh:
            connection = idle_connections.pop()
            if connection.is_usable():
                return connection
            await connection.aclose()
        return Connection(target.address)

    async def release(self, target, connection):
        """Return a connection to the pool, or close it if it cannot be reused.

        The connection that was idle longest is closed if there are too many.
        """
        if connection.is_open():
            idle_connections = self._idle.setdefault(target.name, deque())
            idle_connections.append(connection)
            if len(idle_connections) > MAX_IDLE_PER_TARGET:
                await idle_connections.popleft().aclose()
        else:
            await connection.aclose()
