"""Reading of a client's request body within the operator's limits."""

import anyio

from ..cancellation import RequestCancelled
from ..errors import RequestRejected

__all__ = ["MAX_BUFFERED_BODY_BYTES", "BodyReader"]

# Larger request bodies are streamed to the target. Their requests cannot be retried
# once a part of the body may have been sent.
MAX_BUFFERED_BODY_BYTES = 512 * 1024
# Seconds for which a body that is too large is read before the request is rejected.
DISCARD_TIMEOUT = 1.0


class BodyReader:
    """Reads the body of one request, buffered or as a stream.

    :param limits: the :class:`~turmericrudder.steering.ClientLimits` in force.
    """

    __slots__ = ("_limits", "_receive", "_scope")

    def __init__(self, scope, receive, limits):
        self._scope = scope
        self._receive = receive
        self._limits = limits

    async def read(self, request):
        """Set the body of a request, or its stream if the body is too long to buffer.

        :raises RequestRejected: if the body is too large or late.
        :raises RequestCancelled: if the client disconnects.
        """
        headers = dict(self._scope["headers"])
        content_length = headers.get(b"content-length")
        request.body_length = (
            int(content_length) if content_length is not None else None
        )
        if (
            request.body_length is not None
            and request.body_length > self._limits.body_bytes
        ):
            await self._discard()
            raise RequestRejected(413, "request body too large")
        chunks, size = [], 0
        while True:
            chunk, has_more = await self._read_chunk(request)
            chunks.append(chunk)
            size += len(chunk)
            if not has_more:
                request.body = b"".join(chunks)
                request.body_length = size
                return
            if size > MAX_BUFFERED_BODY_BYTES:
                request.body = None
                request.body_start = b"".join(chunks)
                request.body_stream = self._iter_rest(request, chunks, size)
                return

    async def wait_disconnected(self):
        """Return once the client has closed its connection."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def _discard(self):
        """Read and discard the body for a limited time.

        Closing the connection with unread bytes would reset it, and the client might
        not receive its response.
        """
        with anyio.move_on_after(DISCARD_TIMEOUT):
            while (await self._receive()).get("more_body", False):
                pass

    async def _iter_rest(self, request, chunks, size):
        is_chunked = request.body_length is None
        for chunk in filter(None, chunks):
            yield _encode_chunk(chunk) if is_chunked else chunk
        has_more = True
        while has_more:
            chunk, has_more = await self._read_chunk(request)
            size += len(chunk)
            if size > self._limits.body_bytes:
                raise RequestRejected(413, "request body too large")
            if chunk:
                yield _encode_chunk(chunk) if is_chunked else chunk
        if is_chunked:
            yield b"0\r\n\r\n"

    async def _read_chunk(self, request):
        with anyio.move_on_at(request.expires) as scope:
            message = await self._receive()
        if scope.cancelled_caught:
            raise RequestRejected(408, "request body not received in time")
        if message["type"] == "http.disconnect":
            raise RequestCancelled("client disconnected")
        return message.get("body", b""), message.get("more_body", False)


def _encode_chunk(chunk):
    """Return a chunk; an empty one would be the last."""
    return b"%x\r\n%s\r\n" % (len(chunk), chunk)
