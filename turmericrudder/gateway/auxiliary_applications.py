"""ASGI applications for readiness checks, the client directory and metrics."""

import anyio

from ..platform import decode_directory_request, encode_directory_response, protocol

__all__ = [
    "DirectoryApplication",
    "MetricsApplication",
    "ReadinessApplication",
    "SimpleApplication",
    "write_response",
]

# Fraction of ``lookup_ttl``, the longest time permitted, for which clients may cache a
# directory response. It is small so that they stop using a stopping instance within
# its grace time.
TTL_FRACTION = 0.2


async def write_response(send, status, content_type, body):
    """Send a complete response."""
    headers = [
        (b"content-type", content_type),
        (b"content-length", b"%d" % len(body)),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


class SimpleApplication:
    """Base class of ASGI applications that respond without reading a body."""

    __slots__ = ("_instance",)

    def __init__(self, instance):
        self._instance = instance

    async def __call__(self, scope, receive, send):
        """Handle one HTTP request."""
        await write_response(
            send, *await self.respond(scope["path"], scope["query_string"])
        )

    async def respond(self, path, query):
        """Return (status, content type, body)."""
        raise NotImplementedError


class ReadinessApplication(SimpleApplication):
    """Readiness check: 200 if clients should connect to this instance, else 503."""

    __slots__ = ()

    async def respond(self, path, query):
        """Return (status, content type, body)."""
        if path != protocol.READINESS_PATH:
            return 404, b"text/plain", b""
        return (200 if self._instance.is_ready() else 503), b"text/plain", b""


class DirectoryApplication(SimpleApplication):
    """Client directory: the entry instances that a client should connect to."""

    __slots__ = ()

    async def respond(self, path, query):
        """Return (status, content type, body)."""
        if path != protocol.RESOLVE_PATH:
            return 404, b"text/plain", b""
        instance = self._instance
        failure_domain, region = decode_directory_request(query)
        members = instance.choose_entry_instances(failure_domain, region)
        if not members:
            return 503, b"text/plain", b""
        ttl = instance.settings.bounds.lookup_ttl * TTL_FRACTION
        return 200, b"application/json", encode_directory_response(members, ttl)


class MetricsApplication(SimpleApplication):
    """Metrics in the Prometheus text format."""

    __slots__ = ()

    async def respond(self, path, query):
        """Return (status, content type, body)."""
        if path != "/metrics":
            return 404, b"text/plain", b""
        instance = self._instance
        # In a thread, because the first call loads a library.
        text = await anyio.to_thread.run_sync(
            instance.metrics.format, instance.get_gauges()
        )
        return 200, b"text/plain; version=0.0.4", text.encode()
