"""Write answers and refusals to an ASGI ``send``."""

import msgspec

from ..errors import UpstreamCut
from ..verdict import Verdict
from .headers import INSTANCE, KEY_PREFIX, VERDICT, strip_headers
from .response import Response

__all__ = ["Responder"]


class Responder:
    """The answer to one caller or peer.

    :param region: region the answer's bytes travel to.
    """

    __slots__ = (
        "_instance",
        "_pacer",
        "_region",
        "_send",
        "extra_headers",
        "has_started",
        "status",
    )

    def __init__(self, send, instance, bandwidth_limiter, region):
        self._send = send
        self._instance = instance.encode()
        self._pacer = bandwidth_limiter
        self._region = region
        self.extra_headers = []
        self.has_started = False
        self.status = 0

    async def stream_response(self, response: Response, recorder=None):
        """Stream an upstream's answer.

        :param recorder: gets a copy, or ``None``.
        :raises UpstreamCut: if it broke off; the caller's is cut then as well.
        """
        headers = strip_headers(response.headers)
        if recorder is not None:
            recorder.start(response.status, headers)
        await self._start(response.status, headers)
        async for chunk in response.iter_chunks():
            if recorder is not None:
                recorder.add(chunk)
            await self._pacer.throttle(self._region, len(chunk))
            await self._write(chunk, True)
        await self._write(b"", False)

    async def replay(self, outcome):
        """Write a kept outcome of a key that ran."""
        if not outcome.is_complete:
            await self.reject(502, "answer_lost", Verdict.RAN)
            return
        await self._start(outcome.status, outcome.headers)
        await self._write(outcome.body, False)

    async def reject(self, status, reason, verdict, retry_after=None, prefix=""):
        """Write a refusal with its verdict.

        :param retry_after: whole seconds, or ``None``.
        :param prefix: operation-key prefix to use next.
        """
        body = {"verdict": verdict.value, "reason": reason}
        headers = [(VERDICT, verdict.value.encode())]
        if retry_after is not None:
            headers.append((b"retry-after", str(retry_after).encode()))
        if prefix:
            headers.append((KEY_PREFIX, prefix.encode()))
        await self.write_json(status, msgspec.json.encode(body), headers)

    async def write_json(self, status, body, headers=()):
        """Write a whole JSON answer."""
        await self._start(
            status,
            [
                (b"content-type", b"application/json"),
                (b"content-length", str(len(body)).encode()),
                *headers,
            ],
        )
        await self._write(body, False)

    async def _start(self, status, headers):
        if self.has_started:
            raise UpstreamCut("the answer has begun already")
        self.has_started = True
        self.status = status
        head = [*headers, *self.extra_headers, (INSTANCE, self._instance)]
        await self._send(
            {"type": "http.response.start", "status": status, "headers": head}
        )

    async def _write(self, chunk, more):
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": more}
        )
