"""Connections to any number of addresses, kept while idle."""

from collections import deque

from ..address import Address
from .connection import Connection
from .response import Response

__all__ = ["ConnectionPool"]

MAX_IDLE_PER_PEER = 16


class ConnectionPool:
    """Idle connections by address; each carries one request at a time."""

    __slots__ = ("_idle", "_local_address")

    def __init__(self, local_address=None):
        """Prepare without connecting.

        :param local_address: IP number to send from.
        """
        self._idle = {}
        self._local_address = local_address

    async def aclose(self):
        """Close all idle connections."""
        for links in self._idle.values():
            while links:
                await links.pop().aclose()

    async def send_request(self, address, method, path, headers, content, limits):
        """Send a request.

        :param limits: (first_byte, idle) in seconds.
        :returns: (exchange result, connection to give to :meth:`release`).
        """
        link = await self._take(address)
        result = await link.send_request(method, path, headers, content, *limits)
        if not isinstance(result, Response):
            await link.aclose()
        return result, link

    async def release(self, address, link):
        """Keep a connection for later, if it can be used again."""
        links = self._idle.setdefault(address, deque())
        if len(links) < MAX_IDLE_PER_PEER and link.is_usable():
            links.append(link)
        else:
            await link.aclose()

    async def _take(self, address):
        links = self._idle.setdefault(address, deque())
        while links:
            link = links.pop()
            if link.is_usable():
                return link
            await link.aclose()
        return Connection(Address.parse(address), self._local_address)
