"""A pool of idle connections to the targets that this instance owns."""

from collections import deque
from dataclasses import dataclass

import anyio

from .connection import Connection

__all__ = ["TargetConnectionPool"]

MAX_IDLE_PER_TARGET = 16  # connections
# A connection that was idle for less than this is reused without a check that
# it is still open. The check costs as much as a tenth of a request, and a
# request that is sent on a reused connection may be retried.
MAX_UNCHECKED_IDLE = 0.5  # seconds


@dataclass(frozen=True, slots=True)
class _IdleConnection:
    """An idle connection and the monotonic time of its last use."""

    connection: Connection
    idle_since: float


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
            await idle_connections.pop().connection.aclose()

    async def acquire(self, target, must_be_fresh):
        """Return an idle or a new connection to a target.

        :param must_be_fresh: whether to return a new one in any case.
        """
        idle_connections = self._idle.setdefault(target.name, deque())
        while idle_connections and not must_be_fresh:
            idle = idle_connections.pop()
            is_recent = anyio.current_time() - idle.idle_since < MAX_UNCHECKED_IDLE
            if is_recent or idle.connection.is_usable():
                return idle.connection
            await idle.connection.aclose()
        return Connection(target.address)

    async def release(self, target, connection):
        """Return a connection to the pool, or close it if it cannot be reused.

        The connection that was idle longest is closed if there are too many.
        """
        if connection.is_open():
            idle_connections = self._idle.setdefault(target.name, deque())
            idle_connections.append(_IdleConnection(connection, anyio.current_time()))
            if len(idle_connections) > MAX_IDLE_PER_TARGET:
                await idle_connections.popleft().connection.aclose()
        else:
            await connection.aclose()
