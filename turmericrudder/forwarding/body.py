"""The body of a caller's request, read once and kept while it is small."""

import anyio

from ..errors import TurmericrudderError

__all__ = ["CallerDisconnected", "RequestBody"]


class CallerDisconnected(TurmericrudderError):
    """The caller closed its connection."""


class RequestBody:
    """Chunks of a request's body from an ASGI ``receive``.

    Reading follows the upstream's pace. What :meth:`prefetch` has read can be
    sent again; a longer body can be sent only once.
    """

    __slots__ = ("_chunks", "_complete", "_receive", "_streamed")

    def __init__(self, receive):
        self._receive = receive
        self._chunks = []
        self._complete = anyio.Event()
        self._streamed = False

    async def prefetch(self, limit):
        """Read until the body is complete or exceeds ``limit`` bytes."""
        size = sum(map(len, self._chunks))
        while not self._complete.is_set() and size <= limit:
            chunk = await self._read()
            self._chunks.append(chunk)
            size += len(chunk)

    def is_replayable(self):
        """Return whether the body can be sent from its start (again)."""
        return not self._streamed

    def is_complete(self):
        """Return whether the whole body has been read."""
        return self._complete.is_set()

    async def iter_chunks(self):
        """Yield the body from its start.

        :raises CallerDisconnected: if the caller went away before its end.
        """
        for chunk in self._chunks:
            yield chunk
        while not self._complete.is_set():
            self._streamed = True
            chunk = await self._read()
            if chunk:
                yield chunk

    async def wait_disconnected(self):
        """Return once the caller has closed its connection."""
        await self._complete.wait()
        message = await self._receive()
        while message["type"] != "http.disconnect":
            message = await self._receive()

    async def _read(self):
        message = await self._receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnected("the caller closed its connection")
        if not message.get("more_body", False):
            self._complete.set()
        return message.get("body", b"")
