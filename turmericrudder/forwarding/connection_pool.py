"""A pool of idle connections to any number of addresses."""

from collections import deque

from ..address import Address
from .connection import Connection
from .response import Response

__all__ = ["ConnectionPool"]

MAX_IDLE_PER_PEER = 16  # connections to one address


class ConnectionPool:
    """Keeps idle connections for reuse, the most recently used first."""

    __slots__ = ("_idle", "_local_address")

    def __init__(self, local_address=None):
        """Prepare without connecting.

        :param local_address: IP address to connect from, or ``None`` for any.
        """
        self._idle = {}
        self._local_address = local_address

    async def aclose(self):
        """Close all idle connections."""
        for connections in self._idle.values():
            while connections:
                await connections.pop().aclose()

    async def send_request(self, address, method, path, headers, content, timeouts):
        """Send a request on an idle or a new connection.

        :param address: ``IP:PORT`` as text.
        :param timeouts: (seconds until the head of the response must have
            arrived, seconds that one read or write may take).
        :returns: (result of :meth:`Connection.send_request`, connection). If the
            result is a :class:`Response`, the connection has to be passed to
            :meth:`release` or closed; otherwise it is closed already.
        """
        connection = await self._acquire(address)
        result = await connection.send_request(
            method, path, headers, content, *timeouts
        )
        if not isinstance(result, Response):
            await connection.aclose()
        return result, connection

    async def release(self, address, connection):
        """Return a connection to the pool, or close it.

        It is closed if it cannot be reused or enough idle ones are kept.
        """
        connections = self._idle.setdefault(address, deque())
        if len(connections) < MAX_IDLE_PER_PEER and connection.is_usable():
            connections.append(connection)
        else:
            await connection.aclose()

    async def _acquire(self, address):
        connections = self._idle.setdefault(address, deque())
        while connections:
            connection = connections.pop()
            if connection.is_usable():
                return connection
            await connection.aclose()
        return Connection(Address.parse(address), self._local_address)
