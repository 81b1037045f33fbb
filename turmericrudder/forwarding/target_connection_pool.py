"""Connections to owned targets: one per slot, kept while idle."""

from collections import deque
from dataclasses import dataclass

import anyio

from .connection import Connection

__all__ = ["TargetConnectionPool"]

MAX_IDLE_PER_TARGET = 16
# A connection that was used just now is not asked whether it is still open:
# asking costs as much as a tenth of a request, and what goes on a kept
# connection may be sent again.
TRUSTED_IDLE = 0.5  # seconds


@dataclass(frozen=True, slots=True)
class _Idle:
    """A kept connection and since when it is idle."""

    link: Connection
    since: float


class TargetConnectionPool:
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
            await self.close_idle(name)

    async def close_idle(self, target_name):
        """Close the idle connections to a target."""
        links = self._idle.pop(target_name, ())
        while links:
            await links.pop().link.aclose()

    async def acquire(self, target, must_be_fresh):
        """Return a connection to a target."""
        links = self._idle.setdefault(target.name, deque())
        while links and not must_be_fresh:
            idle = links.pop()
            trusted = anyio.current_time() - idle.since < TRUSTED_IDLE
            if trusted or idle.link.is_usable():
                return idle.link
            await idle.link.aclose()
        return Connection(target.address)

    async def release(self, target, link):
        """Keep a connection for the next request, if it can be used again."""
        if link.is_open():
            links = self._idle.setdefault(target.name, deque())
            links.append(_Idle(link, anyio.current_time()))
            if len(links) > MAX_IDLE_PER_TARGET:
                await links.popleft().link.aclose()
        else:
            await link.aclose()
