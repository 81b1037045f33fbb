"""Sending of the response to a client, with metrics and log lines."""

import anyio

from ..errors import RequestRejected, ResponseFailed
from ..events import catalogue
from ..platform import protocol
from ..units import MS_PER_SECOND
from .request_log import RequestLogBuffer

__all__ = ["ResponseWriter"]

_REMOVED_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"transfer-encoding", b"content-length", b"upgrade")
)
# Ways in which the end of a target's body is recognised.
FRAMING_LENGTH = "length"
FRAMING_CHUNKED = "chunked"
FRAMING_CLOSE = "close"  # of the connection
_BODYLESS_STATUSES = (204, 304)


class ResponseWriter:
    """Sends the response to one request and records its result.

    :ivar request: the :class:`~.client_request.ClientRequest`, or ``None`` if the
        request is rejected before it is parsed.
    """

    __slots__ = (
        "_body_fields",
        "_instance",
        "_scope",
        "_send",
        "_started_at",
        "log_buffer",
        "request",
    )

    def __init__(self, scope, send, instance):
        self._scope = scope
        self._send = send
        self._instance = instance
        self._started_at = anyio.current_time()
        self.request = None
        self._body_fields = {}
        request_headers = dict(scope["headers"])
        self.log_buffer = RequestLogBuffer(
            request_headers.get(protocol.ATTEMPT_ID_HEADER, b"").decode("latin-1")
        )

    async def write_complete(self, response):
        """Send a target's complete response."""
        headers = self._filter_headers(response.headers)
        if self.request.method == "HEAD":
            # It is the length that the body of a GET would have.
            headers += _get_content_length(response.headers)
        elif response.status not in _BODYLESS_STATUSES:
            headers.append((b"content-length", b"%d" % len(response.body)))
        await self._start(response.status, headers)
        await self._write(response.body, False)
        self._record_body(response, len(response.body))
        self.finish(catalogue.ROUTE_ANSWERED, response.status)

    async def write_streaming(self, response):
        """Send a target's response while its body is received.

        :raises RequestRejected: if the client could not tell the end of the body.
        :raises ResponseFailed: if the target's response is truncated, or not complete
            or not read by the client when the request expires.
        """
        headers = self._filter_headers(response.headers)
        headers += _get_content_length(response.headers)
        size = 0
        try:
            if self._is_end_unknown(response):
                raise RequestRejected(502, "an HTTP/1.0 client needs a length")
            await self._start(response.status, headers)
            async for chunk in response.connection.iter_chunks(self.request.expires):
                size += len(chunk)
                await self._write_in_time(chunk, True)
            await self._write_in_time(b"", False)
        finally:
            self._record_body(response, size)
            response.connection.close()
        self.finish(catalogue.ROUTE_ANSWERED, response.status)

    def _is_end_unknown(self, response):
        """Return whether a client without chunks could not tell the end of a body."""
        is_chunkless = self._scope["http_version"] == "1.0"
        return is_chunkless and not _get_content_length(response.headers)

    async def write_local(self, response):
        """Send a response made by this instance."""
        headers = [(b"content-length", b"0")]
        if response.retry_after is not None:
            headers.append((b"retry-after", b"%.3f" % response.retry_after))
        if response.status in (400, 408, 413, 431):
            headers.append((b"connection", b"close"))
        await self._start(response.status, headers)
        await self._write(b"", False)
        self.finish(
            catalogue.ROUTE_REFUSED,
            response.status,
            response.reason,
            retry_after_s=response.retry_after,
        )

    def finish(self, event, status, reason=None, **fields):
        """Record the request's metrics and log lines.

        :param event: event of the request's last log line.
        :param status: HTTP status sent, or 0 if no complete response was sent.
        :param reason: why the request failed, or ``None`` if it did not.
        """
        request, instance = self.request, self._instance
        seconds = anyio.current_time() - self._started_at
        instance.metrics.observe("request_seconds", seconds)
        instance.metrics.increment("requests", status=status, event=event.name)
        if reason is not None:
            instance.metrics.increment("failures", status=status)
        if self._body_fields:
            instance.metrics.increment(
                "bodies", framing=self._body_fields["framing"], event=event.name
            )
        is_normal = (
            status == 200
            and request is not None
            and seconds <= request.route.objective
            and self.log_buffer.count(catalogue.ROUTE_SENT) == 1
            # Nothing else shows whether such a body was complete.
            and self._body_fields.get("framing") != FRAMING_CLOSE
        )
        instance.request_log.finish_request(
            self.log_buffer,
            event,
            is_normal,
            status=status,
            reason=reason,
            route=request.route.name if request else None,
            service=request.service if request else None,
            object_key=request.affinity_key if request else None,
            version=instance.cached_state.version,
            ms=round(seconds * MS_PER_SECOND, 1),
            **self._body_fields,
            **fields,
        )

    def _record_body(self, response, size):
        """Add the framing of the target's body and its size to the last log line."""
        left = self.request.expires - anyio.current_time()
        self._body_fields = {
            "framing": self._get_framing(response),
            "body_bytes": size,
            "left_ms": round(left * MS_PER_SECOND, 1),
        }

    def _get_framing(self, response):
        names = {name for name, _ in response.headers}
        if b"transfer-encoding" in names:
            return FRAMING_CHUNKED
        is_bodyless = (
            response.status in _BODYLESS_STATUSES or self.request.method == "HEAD"
        )
        if is_bodyless or b"content-length" in names:
            return FRAMING_LENGTH
        return FRAMING_CLOSE

    def _filter_headers(self, headers):
        return [pair for pair in headers if pair[0] not in _REMOVED_HEADERS]

    async def _start(self, status, headers):
        if self._instance.is_shutting_down:
            headers.append((b"connection", b"close"))
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def _write_in_time(self, chunk, has_more):
        with anyio.move_on_at(self.request.expires) as scope:
            await self._write(chunk, has_more)
        if scope.cancelled_caught:
            raise ResponseFailed("response not read by the client in time")

    async def _write(self, chunk, has_more):
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": has_more}
        )


def _get_content_length(headers):
    return [pair for pair in headers if pair[0] == b"content-length"]
