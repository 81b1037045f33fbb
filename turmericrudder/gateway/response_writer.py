"""The answer to one client, with its log lines."""

import anyio

from ..events import catalogue
from ..platform import protocol
from ..units import MS_PER_SECOND
from .request_log import RequestLogBuffer

__all__ = ["ResponseWriter"]

_DROPPED = frozenset(
    (b"connection", b"keep-alive", b"transfer-encoding", b"content-length", b"upgrade")
)


class ResponseWriter:
    """Writes one answer and counts the request."""

    __slots__ = ("_began", "_instance", "_scope", "_send", "log_buffer", "request")

    def __init__(self, scope, send, instance):
        self._scope = scope
        self._send = send
        self._instance = instance
        self._began = anyio.current_time()
        self.request = None
        found = dict(scope["headers"])
        self.log_buffer = RequestLogBuffer(
            found.get(protocol.ATTEMPT_ID_HEADER, b"").decode("latin-1")
        )

    async def write_complete(self, answer):
        """Write a target's whole answer."""
        headers = self._get_headers(answer.headers)
        if answer.status not in (204, 304):
            headers.append((b"content-length", b"%d" % len(answer.body)))
        await self._start(answer.status, headers)
        await self._write(answer.body, False)
        self.finish(catalogue.ROUTE_ANSWERED, answer.status)

    async def write_streaming(self, answer):
        """Write a target's answer while it arrives.

        :raises ResponseFailed: if it broke off.
        """
        headers = self._get_headers(answer.headers)
        headers += [pair for pair in answer.headers if pair[0] == b"content-length"]
        try:
            await self._start(answer.status, headers)
            async for chunk in answer.connection.iter_chunks():
                await self._write(chunk, True)
            await self._write(b"", False)
        finally:
            answer.connection.close()
        self.finish(catalogue.ROUTE_ANSWERED, answer.status)

    async def write_local(self, response):
        """Write a refusal of our own."""
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
        """Count the request and write its lines."""
        request, instance = self.request, self._instance
        seconds = anyio.current_time() - self._began
        instance.metrics.observe("request_seconds", seconds)
        instance.metrics.increment("requests", status=status, event=event.name)
        if reason is not None:
            instance.metrics.increment("failures", status=status)
        is_plain = (
            status == 200
            and request is not None
            and seconds <= request.route.objective
            and self.log_buffer.count(catalogue.ROUTE_SENT) == 1
        )
        instance.request_log.finish_request(
            self.log_buffer,
            event,
            is_plain,
            status=status,
            reason=reason,
            route=request.route.name if request else None,
            service=request.service if request else None,
            object_key=request.affinity_key if request else None,
            version=instance.cached_state.version,
            ms=round(seconds * MS_PER_SECOND, 1),
            **fields,
        )

    def _get_headers(self, headers):
        return [pair for pair in headers if pair[0] not in _DROPPED]

    async def _start(self, status, headers):
        if self._instance.is_stopping:
            headers.append((b"connection", b"close"))
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def _write(self, chunk, more):
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": more}
        )
