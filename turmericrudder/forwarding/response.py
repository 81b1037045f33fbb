"""What became of one attempt to send a request."""

from dataclasses import dataclass

import anyio

from ..errors import UpstreamCut
from ..http_client import TRANSPORT_ERRORS

__all__ = ["NoResponse", "NotSent", "Response"]


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request left, so it did not run."""

    reason: str


@dataclass(frozen=True, slots=True)
class NoResponse:
    """The request was sent, wholly or in part, and no answer came."""

    reason: str


class Response:
    """The head of an answer; the body still has to be read."""

    __slots__ = ("_chunks", "_prefetched", "_response", "headers", "status")
    __match_args__ = ("status",)

    def __init__(self, response):
        self.status = response.status
        self.headers = response.headers
        self._response = response
        self._chunks = None
        self._prefetched = []

    async def prefetch(self, limit):
        """Read ahead until the body ends or exceeds ``limit`` bytes.

        :raises UpstreamCut: if the answer breaks off.
        """
        size = 0
        async for chunk in self._iter_response():
            self._prefetched.append(chunk)
            size += len(chunk)
            if size > limit:
                return

    async def iter_chunks(self):
        """Yield the body.

        :raises UpstreamCut: if the answer breaks off.
        """
        for chunk in self._prefetched:
            yield chunk
        async for chunk in self._iter_response():
            yield chunk

    async def aclose(self):
        """Give the connection back, or close it if the body was not read."""
        with anyio.CancelScope(shield=True):
            await self._response.aclose()

    async def _iter_response(self):
        if self._chunks is None:
            self._chunks = aiter(self._response.stream)
        try:
            while True:
                chunk = await anext(self._chunks, None)
                if chunk is None:
                    return
                yield chunk
        except TRANSPORT_ERRORS as exc:
            raise UpstreamCut(f"{type(exc).__name__}: {exc}") from exc
