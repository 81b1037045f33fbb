"""Read a client's request body within the operator's limits."""

import anyio

from ..cancellation import RequestCancelled
from ..errors import RequestRejected

__all__ = ["BodyReader"]

HELD_BODY_BYTES = 512 * 1024  # longest request body that is read before it is sent
DISCARD_SECONDS = 1.0  # of a body that is too large, before it is refused


class BodyReader:
    """The body of one request."""

    __slots__ = ("_limits", "_receive", "_scope")

    def __init__(self, scope, receive, limits):
        self._scope = scope
        self._receive = receive
        self._limits = limits

    async def read(self, request):
        """Read a body that is short enough to be held, or prepare to stream it."""
        found = dict(self._scope["headers"])
        length = found.get(b"content-length")
        request.body_length = int(length) if length is not None else None
        if (
            request.body_length is not None
            and request.body_length > self._limits.body_bytes
        ):
            await self._discard()
            raise RequestRejected(413, "body too large")
        chunks, size = [], 0
        while True:
            chunk, more = await self._read_chunk(request)
            chunks.append(chunk)
            size += len(chunk)
            if not more:
                request.body = b"".join(chunks)
                request.body_length = size
                return
            if size > HELD_BODY_BYTES:
                request.body = None
                request.body_stream = self._iter_rest(request, chunks, size)
                return

    async def wait_disconnected(self):
        """Return once the client has closed its connection."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def _discard(self):
        """Read on for a moment: unread bytes would reset the connection, and
        the client would miss its answer."""
        with anyio.move_on_after(DISCARD_SECONDS):
            while (await self._receive()).get("more_body", False):
                pass

    async def _iter_rest(self, request, chunks, size):
        is_chunked = request.body_length is None
        for chunk in chunks:
            yield _frame(chunk) if is_chunked else chunk
        more = True
        while more:
            chunk, more = await self._read_chunk(request)
            size += len(chunk)
            if size > self._limits.body_bytes:
                raise RequestRejected(413, "body too large")
            if chunk:
                yield _frame(chunk) if is_chunked else chunk
        if is_chunked:
            yield b"0\r\n\r\n"

    async def _read_chunk(self, request):
        with anyio.move_on_at(request.expires) as scope:
            message = await self._receive()
        if scope.cancelled_caught:
            raise RequestRejected(408, "the body did not arrive in time")
        if message["type"] == "http.disconnect":
            raise RequestCancelled("the client went away")
        return message.get("body", b""), message.get("more_body", False)


def _frame(chunk):
    return b"%x\r\n%s\r\n" % (len(chunk), chunk)
