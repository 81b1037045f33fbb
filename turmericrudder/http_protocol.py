"""uvicorn's HTTP protocol with limits on request heads and framing."""

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .request_parser import RequestParser
from .steering import ClientLimits

__all__ = ["BoundedHttpProtocol"]

# In force until the operator's limits are known, and for applications without any.
DEFAULT_LIMITS = ClientLimits(
    head_bytes=64 * 1024,
    body_bytes=2**63,
    header_timeout=10.0,
    idle_timeout=60.0,
)

_HEAD_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
)
_HEAD_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
_BAD_FRAMING_RESPONSE = (
    b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
)
# Bytes of chunk headers and trailers of one request, to which
# FRAMING_BYTES_PER_BODY_BYTE is added for chunks of a few bytes each.
MAX_FRAMING_BYTES = 16 * 1024
FRAMING_BYTES_PER_BODY_BYTE = 8


class BoundedHttpProtocol(HttpToolsProtocol):
    """Limits the bytes of a request besides its body, the time of its head, and idling.

    A request that follows others on the connection may be invalid while their
    responses are due. Then nothing is sent for it: the connection is closed after those
    responses.

    The application may have the attribute ``limits``, a
    :class:`~turmericrudder.steering.ClientLimits` or ``None``; without it, there are
    default limits. The scope gets ``raw_target``, the request target, ``head_bytes``,
    the size of the head, and ``is_disconnected``, :meth:`is_disconnected`.
    """

    _head_timer = None
    _is_in_head = False
    _is_head_complete = False
    _is_discarding = False
    _framing_bytes = 0  # of the current request, body bytes excluded
    _body_bytes = 0

    def connection_made(self, transport):
        super().connection_made(transport)
        self.parser = RequestParser(self)
        self._start_idle_timer()

    def connection_lost(self, exc):
        self._stop_head_timer()
        super().connection_lost(exc)

    def data_received(self, data):
        if self._is_discarding:
            return
        limits = self._get_limits()
        self._framing_bytes += len(data)
        super().data_received(data)
        if self.parser is None or self._is_discarding:
            return
        self._restart_idle_timer()
        if not self._is_head_complete:
            if self._framing_bytes <= limits.head_bytes:
                return
            if self._is_in_head or not self._is_between_requests():
                self._reject(_HEAD_TOO_LARGE_RESPONSE)
            else:
                self.transport.close()  # there is no request to respond to
        elif self._framing_bytes > (
            limits.head_bytes
            + MAX_FRAMING_BYTES
            + FRAMING_BYTES_PER_BODY_BYTE * self._body_bytes
        ):
            self._reject(_BAD_FRAMING_RESPONSE)

    def send_400_response(self, msg):
        self._reject(_BAD_FRAMING_RESPONSE)

    def on_message_begin(self):
        if not self._is_in_head and self._is_between_requests():
            self._start_head_timer(self._get_limits())
        self._is_head_complete = False
        super().on_message_begin()

    def on_header(self, name, value):
        # Trailers are dropped: as headers, they could replace those of the head.
        if not self._is_head_complete:
            super().on_header(name, value)

    def on_headers_complete(self):
        if self.parser.should_upgrade():
            return
        self._is_in_head = False
        self._is_head_complete = True
        self._stop_head_timer()
        super().on_headers_complete()
        # The request cycle refers to this scope, and its task has not started yet.
        self.scope["is_disconnected"] = self.is_disconnected
        self.scope["raw_target"] = self.url
        self.scope["head_bytes"] = len(self.url) + sum(
            len(name) + len(value) + 4 for name, value in self.headers
        )

    def on_body(self, body):
        self._framing_bytes -= len(body)
        self._body_bytes += len(body)
        super().on_body(body)

    def on_message_complete(self):
        if self.parser.should_upgrade():
            return
        super().on_message_complete()
        self._is_head_complete = False
        self._framing_bytes = self._body_bytes = 0

    def on_response_complete(self):
        self.timeout_keep_alive = self._get_limits().idle_timeout
        super().on_response_complete()

    def _get_limits(self):
        return getattr(self.app, "limits", None) or DEFAULT_LIMITS

    def is_disconnected(self):
        """Return whether the client has closed the connection.

        The application is told of that later, after events that came before.
        """
        return self.parser is None or self.transport.is_closing()

    def _is_between_requests(self):
        return self.cycle is None or (
            self.cycle.response_complete and not self.cycle.more_body
        )

    def _start_idle_timer(self):
        self.timeout_keep_alive_task = self.loop.call_later(
            self._get_limits().idle_timeout, self.timeout_keep_alive_handler
        )

    def _restart_idle_timer(self):
        """Limit the wait for a request, or for the rest of one that was answered.

        Any bytes have stopped the timer, also empty lines, which belong to no request.
        """
        is_answered = self.cycle is None or self.cycle.response_complete
        if is_answered and not self._is_in_head and not self.transport.is_closing():
            self._unset_keepalive_if_required()
            self._start_idle_timer()

    def _start_head_timer(self, limits):
        self._is_in_head = True
        self._head_timer = self.loop.call_later(
            limits.header_timeout, self._reject, _HEAD_TIMEOUT_RESPONSE
        )

    def _stop_head_timer(self):
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _reject(self, response):
        """Send a response and close, or only close if earlier responses are due."""
        self._stop_head_timer()
        if self.transport.is_closing():
            return
        cycle = self.cycle
        if self._is_between_requests() or (
            cycle.more_body and not self.pipeline and not cycle.response_started
        ):
            self.transport.write(response)
            self.transport.close()
        elif cycle.response_complete:
            self.transport.close()  # in the rest of the body of an answered request
        else:
            self._is_discarding = True
            cycle.keep_alive = False
