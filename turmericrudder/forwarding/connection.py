"""One connection, one request at a time."""

import anyio
import httpcore

from ..http_client import TRANSPORT_ERRORS, make_timeout_extensions
from .response import NoResponse, NotSent, Response

__all__ = ["Connection"]

CONNECT_TIMEOUT = 0.5  # seconds
KEEPALIVE = 20.0  # seconds

_CONNECT_FAILURES = (httpcore.ConnectError, httpcore.ConnectTimeout)
_BODYLESS_STATUSES = (204, 304)


class Connection:
    """A connection to one address, opened when it is first used.

    An answer that was not read to its end closes the connection, so that no
    late or crossed answer can reach another caller.
    """

    __slots__ = ("_address", "_connection", "_local_address")

    def __init__(self, address, local_address=None):
        """Prepare without connecting.

        :param local_address: IP number to send from.
        """
        self._address = address
        self._local_address = local_address
        self._connection = self._open()

    async def aclose(self):
        """Close the connection."""
        with anyio.CancelScope(shield=True):
            await self._connection.aclose()

    def is_open(self):
        """Return whether the connection was not closed from this side."""
        return not self._connection.inner.is_closed()

    def is_usable(self):
        """Return whether the other side has not closed it either."""
        return self.is_open() and not self._connection.inner.has_expired()

    async def send_request(self, method, path, headers, content, first_byte, idle):
        """Send a request and return what became of it.

        :param content: async iterator of the body's chunks, or ``None``.
        :param first_byte: seconds until the answer's head must be there.
        :param idle: seconds between two reads of the body.
        :returns: :class:`Response`, :class:`NotSent` or :class:`NoResponse`.
        """
        request = self._build(method, path, headers, content, idle)
        sent = self._connection
        try:
            with anyio.fail_after(first_byte):
                response = await sent.handle(request)
        except _CONNECT_FAILURES as exc:
            return NotSent(type(exc).__name__)
        except TimeoutError:
            await self.aclose()
            return (
                NoResponse("first_byte") if sent.has_connected else NotSent("connect")
            )
        except TRANSPORT_ERRORS as exc:
            await self.aclose()
            return NoResponse(type(exc).__name__)
        if not _is_delimited(method, response):
            await response.aclose()
            return NoResponse("undelimited")
        return Response(response)

    def _open(self):
        return _Tracked(self._address, self._local_address)

    def _build(self, method, path, headers, content, idle):
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
            extensions=make_timeout_extensions(CONNECT_TIMEOUT, read=idle, write=idle),
        )


class _Tracked:
    """An httpcore connection that knows how far it has come."""

    __slots__ = ("has_connected", "inner")

    def __init__(self, address, local_address):
        origin = httpcore.Origin(b"http", address.host.encode(), address.port)
        self.inner = httpcore.AsyncHTTPConnection(
            origin, keepalive_expiry=KEEPALIVE, local_address=local_address
        )
        self.has_connected = False

    async def handle(self, request):
        if not self.has_connected:
            # Tracing costs more than the rest of a short request.
            request.extensions["trace"] = self._trace
        return await self.inner.handle_async_request(request)

    async def aclose(self):
        await self.inner.aclose()

    async def _trace(self, name, info):
        if name == "connection.connect_tcp.complete":
            self.has_connected = True


def _is_delimited(method, response):
    """Return whether the end of the body can be told from a cut."""
    if method == "HEAD" or response.status in _BODYLESS_STATUSES:
        return True
    names = {name.lower() for name, _ in response.headers}
    return b"content-length" in names or b"transfer-encoding" in names
