"""The small ASGI applications beside the clients' address."""

import anyio

from ..platform import decode_resolve_request, encode_resolve_response, protocol

__all__ = [
    "DirectoryApplication",
    "MetricsApplication",
    "ReadinessApplication",
    "SimpleApplication",
]

# Part of the time that an answer may be kept at most: clients that kept it
# leave a stopping instance within its grace time.
TTL_PART = 0.2


class SimpleApplication:
    """Answers each request at once."""

    __slots__ = ("_instance",)

    limits = None

    def __init__(self, instance):
        self._instance = instance

    async def __call__(self, scope, receive, send):
        """Handle one HTTP request."""
        status, kind, body = await self.respond(scope["path"], scope["query_string"])
        headers = [(b"content-type", kind), (b"content-length", b"%d" % len(body))]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})

    async def respond(self, path, query):
        """Return (status, content type, body)."""
        raise NotImplementedError


class ReadinessApplication(SimpleApplication):
    """Tells the platform whether clients should come here."""

    __slots__ = ()

    async def respond(self, path, query):
        """Return (status, content type, body)."""
        if path != protocol.READINESS_PATH:
            return 404, b"text/plain", b""
        return (200 if self._instance.is_ready() else 503), b"text/plain", b""


class DirectoryApplication(SimpleApplication):
    """Tells clients which entry instances to connect to."""

    __slots__ = ()

    async def respond(self, path, query):
        """Return (status, content type, body)."""
        if path != protocol.RESOLVE_PATH:
            return 404, b"text/plain", b""
        instance = self._instance
        failure_domain, region = decode_resolve_request(query)
        members = instance.choose_entry_instances(failure_domain, region)
        if not members:
            return 503, b"text/plain", b""
        ttl = instance.settings.bounds.lookup_ttl * TTL_PART
        return 200, b"application/json", encode_resolve_response(members, ttl)


class MetricsApplication(SimpleApplication):
    """Serves counters and histograms as text."""

    __slots__ = ()

    async def respond(self, path, query):
        """Return (status, content type, body)."""
        if path != "/metrics":
            return 404, b"text/plain", b""
        # In a thread: the first time, a library is loaded.
        text = await anyio.to_thread.run_sync(self._instance.format_metrics)
        return 200, b"text/plain; version=0.0.4", text.encode()
