"""uvicorn's HTTP protocol with the operator's limits on request heads."""

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

__all__ = ["ClientProtocol"]

_HEAD_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
)
_HEAD_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)


class ClientProtocol(HttpToolsProtocol):
    """Limits the size of a request's head, the time to receive it, and idle time.

    The application must have the attribute ``limits``, a
    :class:`~turmericrudder.steering.ClientLimits`, or ``None`` for no limits. The scope
    gets ``raw_target``, the request target, and ``head_bytes``, the size of the head.
    """

    _head_timer = None
    _head_bytes = 0
    _is_in_head = False

    def connection_made(self, transport):
        super().connection_made(transport)
        self._start_idle_timer()

    def connection_lost(self, exc):
        self._stop_head_timer()
        super().connection_lost(exc)

    def data_received(self, data):
        limits = self.app.limits
        if limits is not None and not self._is_in_head and self._is_between_requests():
            self._start_head_timer(limits)
        self._head_bytes += len(data)
        super().data_received(data)
        if not self._is_in_head or self.parser is None:
            return
        if limits is not None and self._head_bytes > limits.head_bytes:
            self._reject(_HEAD_TOO_LARGE_RESPONSE)

    def on_headers_complete(self):
        self._is_in_head = False
        self._stop_head_timer()
        super().on_headers_complete()
        # The request cycle refers to this scope, and its task has not started yet.
        self.scope["raw_target"] = self.url
        self.scope["head_bytes"] = len(self.url) + sum(
            len(name) + len(value) + 4 for name, value in self.headers
        )

    def on_response_complete(self):
        limits = self.app.limits
        if limits is not None:
            self.timeout_keep_alive = limits.idle_timeout
        super().on_response_complete()

    def _is_between_requests(self):
        return self.cycle is None or (
            self.cycle.response_complete and not self.cycle.more_body
        )

    def _start_idle_timer(self):
        limits = self.app.limits
        if limits is not None:
            self.timeout_keep_alive_task = self.loop.call_later(
                limits.idle_timeout, self.timeout_keep_alive_handler
            )

    def _start_head_timer(self, limits):
        self._is_in_head = True
        self._head_bytes = 0
        self._head_timer = self.loop.call_later(
            limits.header_timeout, self._reject, _HEAD_TIMEOUT_RESPONSE
        )

    def _stop_head_timer(self):
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _reject(self, response):
        self._stop_head_timer()
        if not self.transport.is_closing():
            self.transport.write(response)
            self.transport.close()
