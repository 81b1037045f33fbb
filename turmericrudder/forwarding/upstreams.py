"""Connections to owned targets: one per slot, kept while idle."""

from collections import deque

from .connection import Connection

__all__ = ["Upstreams"]

MAX_IDLE_PER_TARGET = 16


class Upstreams:
    """Idle connections by target.

    Work that must not run twice goes on a new connection: on a kept one, a
    close by the target cannot be told from a lost answer.
    """

    __slots__ = ("_idle",)

    def __init__(self):
        self._idle = {}

    async def aclose(self):
        """Close all idle connections."""
        for name in list(self._idle):
            await self.forget(name)

    async def forget(self, target_name):
        """Close the idle connections to a target."""
        links = self._idle.pop(target_name, ())
        while links:
            await links.pop().aclose()

    async def take(self, target, must_be_fresh):
        """Return a connection to a target."""
        links = self._idle.setdefault(target.name, deque())
        while links and not must_be_fresh:
            link = links.pop()
            if link.is_usable():
                return link
            await link.aclose()
        return Connection(target.address)

    async def release(self, target, link):
        """Keep a connection for the next request, if it can be used again."""
        if link.is_usable():
            self._idle.setdefault(target.name, deque()).append(link)
            if len(self._idle[target.name]) > MAX_IDLE_PER_TARGET:
                await self._idle[target.name].popleft().aclose()
        else:
            await link.aclose()
