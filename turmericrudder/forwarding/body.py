"""The body of a caller's request, buffered for retries while it is small."""

import anyio

from ..errors import SteeringError

__all__ = ["CallerDisconnected", "RequestBody"]


class CallerDisconnected(SteeringError):
    """The caller closed its connection."""


class RequestBody:
    """Reads a request's body from an ASGI ``receive`` function.

    What :meth:`prefetch` has read is buffered and can be sent more than once.
    The rest is read as fast as the receiver takes it, is not buffered, and can
    be sent only once.
    """

    __slots__ = ("_chunks", "_completed", "_has_streamed", "_receive")

    def __init__(self, receive):
        self._receive = receive
        self._chunks = []
        self._completed = anyio.Event()
        self._has_streamed = False

    async def prefetch(self, limit):
        """Buffer the body until it is complete or exceeds ``limit`` bytes.

        :raises CallerDisconnected: if the caller disconnected before its end.
        """
        size = sum(map(len, self._chunks))
        while not self._completed.is_set() and size <= limit:
            chunk = await self._read()
            self._chunks.append(chunk)
            size += len(chunk)

    def is_replayable(self):
        """Return whether the body can still be sent from its start."""
        return not self._has_streamed

    def is_complete(self):
        """Return whether the body has been read to its end."""
        return self._completed.is_set()

    async def iter_chunks(self):
        """Yield the chunks of the body from its start.

        :raises CallerDisconnected: if the caller disconnected before its end.
        """
        for chunk in self._chunks:
            yield chunk
        while not self._completed.is_set():
            self._has_streamed = True
            chunk = await self._read()
            if chunk:
                yield chunk

    async def wait_disconnected(self):
        """Return once the caller has closed its connection.

        Waits until the body is complete. Before that, reading the body raises
        :class:`CallerDisconnected` if the caller disconnects.
        """
        await self._completed.wait()
        message = await self._receive()
        while message["type"] != "http.disconnect":
            message = await self._receive()

    async def _read(self):
        message = await self._receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnected("the caller closed its connection")
        if not message.get("more_body", False):
            self._completed.set()
        return message.get("body", b"")
