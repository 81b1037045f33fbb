"""An HTTP/1.1 client connection that carries one request at a time."""

import anyio
import httpcore

from ..http_client import TRANSPORT_ERRORS, make_timeout_extensions
from .response import BODYLESS_STATUSES, NoResponse, NotSent, Response

__all__ = ["Connection"]

CONNECT_TIMEOUT = 0.5  # seconds
KEEPALIVE_EXPIRY = 20.0  # idle seconds after which a connection is not reused

_CONNECT_FAILURES = (httpcore.ConnectError, httpcore.ConnectTimeout)


class Connection:
    """A connection to one address, opened by the first request.

    It is closed if a response is not read to its end. Otherwise the rest of
    that response could be taken for the response to another caller's request.
    """

    __slots__ = ("_address", "_connection", "_local_address")

    def __init__(self, address, local_address=None):
        """Prepare without connecting.

        :param local_address: IP address to connect from, or ``None`` for any.
        """
        self._address = address
        self._local_address = local_address
        self._connection = self._open()

    async def aclose(self):
        """Close the connection."""
        with anyio.CancelScope(shield=True):
            await self._connection.aclose()

    def is_open(self):
        """Return whether this process has not closed the connection."""
        return not self._connection.inner.is_closed()

    def is_usable(self):
        """Return whether a request can be sent.

        Unlike :meth:`is_open`, this also checks how long the connection was idle and
        whether the server has closed it or sent more than the response, which could be
        taken for the next one.
        """
        connection = self._connection
        return (
            self.is_open()
            and not connection.has_excess_bytes()
            and not connection.inner.has_expired()
        )

    async def send_request(
        self, method, path, headers, content, first_byte_timeout, idle_timeout
    ):
        """Send a request and wait for the head of the response.

        :param path: path and query as bytes.
        :param content: async iterator of the body's chunks, or ``None``.
        :param first_byte_timeout: seconds until the head must have arrived.
        :param idle_timeout: seconds that one read or write may take.
        :returns: :class:`Response`, :class:`NotSent` or :class:`NoResponse`.
        """
        request = self._make_request(method, path, headers, content, idle_timeout)
        connection = self._connection
        try:
            with anyio.fail_after(first_byte_timeout):
                response = await connection.handle(request)
        except _CONNECT_FAILURES as exc:
            return NotSent(type(exc).__name__)
        except TimeoutError:
            await self.aclose()
            return (
                NoResponse("first_byte")
                if connection.has_connected
                else NotSent("connect")
            )
        except TRANSPORT_ERRORS as exc:
            await self.aclose()
            return NoResponse(type(exc).__name__)
        if not _has_delimited_body(method, response):
            await response.aclose()
            return NoResponse("undelimited")
        return Response(response)

    def _open(self):
        return _TrackedConnection(self._address, self._local_address)

    def _make_request(self, method, path, headers, content, idle_timeout):
        url = httpcore.URL(
            scheme=b"http",
            host=self._address.host.encode(),
            port=self._address.port,
            target=path,
        )
        host = (b"host", str(self._address).encode())
        return httpcore.Request(
            method,
            url,
            headers=[host, *headers],
            content=content,
            extensions=make_timeout_extensions(
                CONNECT_TIMEOUT, read=idle_timeout, write=idle_timeout
            ),
        )


class _TrackedConnection:
    """An httpcore connection that records whether it was established."""

    __slots__ = ("has_connected", "inner")

    def __init__(self, address, local_address):
        origin = httpcore.Origin(b"http", address.host.encode(), address.port)
        self.inner = httpcore.AsyncHTTPConnection(
            origin, keepalive_expiry=KEEPALIVE_EXPIRY, local_address=local_address
        )
        self.has_connected = False

    async def handle(self, request):
        if not self.has_connected:
            # Tracing is stopped once connected: it costs more than the rest
            # of a short request.
            request.extensions["trace"] = self._trace
        return await self.inner.handle_async_request(request)

    def has_excess_bytes(self):
        """Return whether bytes after the end of the response were received."""
        # httpcore keeps them for the next response and has no public access to them.
        http11_connection = self.inner._connection
        if http11_connection is None:
            return False
        data, _ = http11_connection._h11_state.trailing_data
        return bool(data)

    async def aclose(self):
        await self.inner.aclose()

    async def _trace(self, name, info):
        if name == "connection.connect_tcp.complete":
            self.has_connected = True


def _has_delimited_body(method, response):
    """Return whether a truncated body can be distinguished from a complete one."""
    if method == "HEAD" or response.status in BODYLESS_STATUSES:
        return True
    names = {name.lower() for name, _ in response.headers}
    return b"content-length" in names or b"transfer-encoding" in names
