"""Writing of responses and rejections to an ASGI ``send`` function."""

import anyio
import msgspec

from ..errors import UpstreamCut
from ..verdict import Verdict
from .headers import INSTANCE_HEADER, KEY_PREFIX_HEADER, VERDICT_HEADER, strip_headers
from .response import BODYLESS_STATUSES, Response

__all__ = ["Responder"]

REJECTION_TIMEOUT = 0.5  # seconds to write a rejection while the process ends


class Responder:
    """Writes the response to one request of a caller or of another instance.

    :param instance: name of this instance, sent in a header.
    :param region: region the response is sent to, for the bandwidth limit.
    :ivar extra_headers: (name, value) pairs to add to the response.
    :ivar has_started: whether the head of the response has been written.
    :ivar status: HTTP status that was written, 0 before.
    """

    __slots__ = (
        "_bandwidth_limiter",
        "_instance",
        "_region",
        "_send",
        "extra_headers",
        "has_started",
        "status",
    )

    def __init__(self, send, instance, bandwidth_limiter, region):
        self._send = send
        self._instance = instance.encode()
        self._bandwidth_limiter = bandwidth_limiter
        self._region = region
        self.extra_headers = []
        self.has_started = False
        self.status = 0

    async def stream_response(self, response: Response, recorder=None):
        """Write the response of a target or of another instance as it arrives.

        :param recorder: :class:`ResponseRecorder` that gets a copy, or ``None``.
        :raises UpstreamCut: if the response is truncated; the one written here
            is then truncated as well.
        """
        headers = strip_headers(response.headers)
        if response.status in BODYLESS_STATUSES:
            headers = [pair for pair in headers if pair[0].lower() != b"content-length"]
        if recorder is not None:
            recorder.start(response.status, headers)
        await self._start(response.status, headers)
        async for chunk in response.iter_chunks():
            if recorder is not None:
                recorder.add(chunk)
            await self._bandwidth_limiter.throttle(self._region, len(chunk))
            await self._write(chunk, True)
        await self._write(b"", False)

    async def replay(self, outcome):
        """Write the recorded outcome of an operation that ran.

        :param outcome: the :class:`~turmericrudder.control.OperationOutcome`;
            if it is incomplete, a rejection with the verdict "ran" is written.
        """
        if not outcome.is_complete:
            await self.reject(502, "answer_lost", Verdict.RAN)
            return
        await self._start(outcome.status, outcome.headers)
        await self._write(outcome.body, False)

    async def reject(self, status, reason, verdict, retry_after=None, prefix=""):
        """Write a rejection that says whether the request may have run.

        :param status: HTTP status code.
        :param reason: short reason, for the JSON body.
        :param verdict: the :class:`~turmericrudder.verdict.Verdict`.
        :param retry_after: whole seconds after which to retry, or ``None``.
        :param prefix: prefix for the caller's next operation keys, or empty.
        """
        body = {"verdict": verdict.value, "reason": reason}
        headers = [(VERDICT_HEADER, verdict.value.encode())]
        if retry_after is not None:
            headers.append((b"retry-after", str(retry_after).encode()))
        if prefix:
            headers.append((KEY_PREFIX_HEADER, prefix.encode()))
        await self.write_json(status, msgspec.json.encode(body), headers)

    async def reject_cancelled(self):
        """Reject a request whose task was cancelled, unless a response has started."""
        if not self.has_started:
            with anyio.move_on_after(REJECTION_TIMEOUT, shield=True):
                await self.reject(504, "stopped", Verdict.MAY_HAVE_RUN)

    async def write_json(self, status, body, headers=()):
        """Write a complete JSON response.

        :param body: the encoded document as bytes.
        :param headers: (name, value) pairs to add.
        """
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
            raise UpstreamCut("cannot send another response: one has already started")
        self.has_started = True
        self.status = status
        head = [*headers, *self.extra_headers, (INSTANCE_HEADER, self._instance)]
        await self._send(
            {"type": "http.response.start", "status": status, "headers": head}
        )

    async def _write(self, chunk, has_more):
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": has_more}
        )
