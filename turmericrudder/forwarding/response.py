"""Results of sending a request: a response, or why there is none."""

from dataclasses import dataclass

import anyio

from ..errors import UpstreamCut
from ..head_scanner import HeadScanner
from ..http_client import TRANSPORT_ERRORS

__all__ = ["BODYLESS_STATUSES", "NoResponse", "NotSent", "Response"]

BODYLESS_STATUSES = (204, 304)  # whatever length the head names


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was sent, so it did not run."""

    reason: str


@dataclass(frozen=True, slots=True)
class NoResponse:
    """The request was sent in full or in part, but no response arrived."""

    reason: str


class Response:
    """A response whose head has arrived and whose body has yet to be read.

    :param response: the httpcore response.
    :ivar status: HTTP status code.
    :ivar headers: (name, value) pairs as bytes.
    """

    __slots__ = (
        "_chunks",
        "_prefetched",
        "_response",
        "_scanner",
        "headers",
        "status",
    )
    __match_args__ = ("status",)

    def __init__(self, response):
        self.status = response.status
        self.headers = response.headers
        self._response = response
        self._chunks = None
        self._prefetched = []
        self._scanner = None

    def expect_no_other(self, id_header):
        """Fail if another response with the same id begins within the body.

        :param id_header: name of the header with the id, in lower case.
        """
        for name, value in self.headers:
            if name.lower() == id_header:
                self._scanner = HeadScanner(id_header)
                self._scanner.start((value,), name)

    async def prefetch(self, limit):
        """Buffer the body until it is complete or exceeds ``limit`` bytes.

        :raises UpstreamCut: if the response is truncated.
        """
        size = 0
        async for chunk in self._iter_response():
            self._prefetched.append(chunk)
            size += len(chunk)
            if size > limit:
                return

    async def iter_chunks(self):
        """Yield the chunks of the body from its start.

        :raises UpstreamCut: if the response is truncated.
        """
        for chunk in self._prefetched:
            yield chunk
        async for chunk in self._iter_response():
            yield chunk

    async def aclose(self):
        """End the response; close its connection if the body was not fully read."""
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
                if self._scanner is not None and self._scanner.feed(chunk):
                    raise UpstreamCut("another response within the body")
                yield chunk
        except TRANSPORT_ERRORS as exc:
            raise UpstreamCut(f"{type(exc).__name__}: {exc}") from exc
