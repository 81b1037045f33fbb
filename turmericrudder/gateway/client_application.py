"""Take clients' requests: match, check, read, forward, answer."""

import anyio

from ..errors import LinkBroken, RequestRefused
from ..events import catalogue
from ..interrupt import Interrupted, run_until
from ..platform import names
from .client_request import ClientRequest
from .forwarder import Refusal
from .outcome import Streaming, Whole
from .request_log import RequestTrail

__all__ = ["ClientApplication"]

MS_PER_SECOND = 1000
CONFIGURATION_WAIT = 0.4  # seconds a request waits for the first configuration
DISCARD_SECONDS = 1.0  # of a body that is too large, before it is refused
HELD_BODY_BYTES = 512 * 1024  # longest request body that is read before it is sent
_DROPPED = frozenset(
    (b"connection", b"keep-alive", b"transfer-encoding", b"content-length", b"upgrade")
)


class ClientApplication:
    """The ASGI application on the clients' address."""

    __slots__ = ("_instance",)

    def __init__(self, instance):
        """Serve for a :class:`~turmericrudder.gateway.instance.Gateway`."""
        self._instance = instance

    @property
    def limits(self):
        """Bounds on clients, or ``None`` until a configuration is known."""
        return self._instance.limits

    async def __call__(self, scope, receive, send):
        """Handle one HTTP request."""
        if scope["type"] != "http":
            return
        reply = _Reply(scope, send, self._instance)
        try:
            await self._take(scope, receive, reply)
        except RequestRefused as exc:
            await reply.refuse(Refusal(exc.status, exc.reason, exc.retry_after))
        except Interrupted:
            reply.end(catalogue.ROUTE_CANCELLED, 0, "the client went away")
        except LinkBroken as exc:
            # The head is out: only a cut tells the client that this is no answer.
            reply.end(catalogue.ROUTE_CUT, 0, str(exc))
            raise

    async def _take(self, scope, receive, reply):
        instance = self._instance
        if instance.route_table is None:
            # An instance that has just started knows it within a few round trips.
            await instance.wait_configured(CONFIGURATION_WAIT)
        now = anyio.current_time()
        request = self._parse(scope, now, reply.trail)
        reply.request = request
        if instance.refuses_new():
            raise RequestRefused(503, "stopping", retry_after=0.05)
        reader = _BodyReader(scope, receive, instance.limits)
        await reader.read(request)
        forward = instance.forwarder.forward(request)
        if request.route.is_idempotent and request.body is not None:
            answer = await run_until(reader.wait_gone, forward)
        else:
            answer = await forward
        match answer:
            case Refusal():
                await reply.refuse(answer)
            case Whole():
                await reply.pass_whole(answer)
            case Streaming():
                await reply.pass_stream(answer)

    def _parse(self, scope, now, trail):
        instance = self._instance
        table = instance.route_table
        if table is None:
            raise RequestRefused(503, "no configuration", retry_after=0.2)
        headers = scope["headers"]
        found = dict(headers)
        if scope.get("head_bytes", 0) > table.configuration.limits.head_bytes:
            raise RequestRefused(431, "head too large")
        host = found.get(b"host")
        if host is None:
            raise RequestRefused(400, "no host")
        target = scope["raw_target"]
        path = scope["raw_path"].decode("latin-1")
        route = table.get_route(host.decode("latin-1"), path)
        if route is None:
            raise RequestRefused(404, "no route")
        patience = _get_patience(found)
        deadline = now + (route.timeout if patience is None else patience)
        object_key = found.get(names.AFFINITY) if route.has_affinity else None
        return ClientRequest(
            method=scope["method"],
            target=target,
            headers=headers,
            attempt_id=found.get(names.ATTEMPT_ID, b""),
            object_key=object_key.decode("latin-1") if object_key else None,
            route=route,
            service=instance.get_split(route).choose(route.backends),
            arrived=now,
            expires=min(now + route.timeout, deadline),
            deadline=deadline,
            trail=trail,
        )


class _BodyReader:
    """Reads a request's body within the operator's limits."""

    __slots__ = ("_limits", "_receive", "_scope")

    def __init__(self, scope, receive, limits):
        self._scope = scope
        self._receive = receive
        self._limits = limits

    async def read(self, request):
        """Read a body that is short enough to be held, or prepare to stream it."""
        found = dict(self._scope["headers"])
        length = found.get(b"content-length")
        request.length = int(length) if length is not None else None
        if request.length is not None and request.length > self._limits.body_bytes:
            await self._discard()
            raise RequestRefused(413, "body too large")
        chunks, size = [], 0
        while True:
            chunk, more = await self._read_chunk(request)
            chunks.append(chunk)
            size += len(chunk)
            if not more:
                request.body = b"".join(chunks)
                request.length = size
                return
            if size > HELD_BODY_BYTES:
                request.body = None
                request.stream = self._iter_rest(request, chunks, size)
                return

    async def wait_gone(self):
        """Return once the client has closed its connection."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def _discard(self):
        """Read on for a moment: unread bytes would reset the connection, and
        the client would miss its answer."""
        with anyio.move_on_after(DISCARD_SECONDS):
            while (await self._receive()).get("more_body", False):
                pass

    async def _iter_rest(self, request, chunks, size):
        is_chunked = request.length is None
        for chunk in chunks:
            yield _frame(chunk) if is_chunked else chunk
        more = True
        while more:
            chunk, more = await self._read_chunk(request)
            size += len(chunk)
            if size > self._limits.body_bytes:
                raise RequestRefused(413, "body too large")
            if chunk:
                yield _frame(chunk) if is_chunked else chunk
        if is_chunked:
            yield b"0\r\n\r\n"

    async def _read_chunk(self, request):
        with anyio.move_on_at(request.expires) as scope:
            message = await self._receive()
        if scope.cancelled_caught:
            raise RequestRefused(408, "the body did not arrive in time")
        if message["type"] == "http.disconnect":
            raise Interrupted("the client went away")
        return message.get("body", b""), message.get("more_body", False)


class _Reply:
    """The answer to one client, with its log line."""

    __slots__ = ("_began", "_instance", "_scope", "_send", "request", "trail")

    def __init__(self, scope, send, instance):
        self._scope = scope
        self._send = send
        self._instance = instance
        self._began = anyio.current_time()
        self.request = None
        found = dict(scope["headers"])
        self.trail = RequestTrail(found.get(names.ATTEMPT_ID, b"").decode("latin-1"))

    async def pass_whole(self, answer):
        """Write a target's whole answer."""
        headers = self._get_headers(answer.headers)
        if answer.status not in (204, 304):
            headers.append((b"content-length", b"%d" % len(answer.body)))
        await self._start(answer.status, headers)
        await self._write(answer.body, False)
        self.end(catalogue.ROUTE_ANSWERED, answer.status)

    async def pass_stream(self, answer):
        """Write a target's answer while it arrives.

        :raises LinkBroken: if it broke off.
        """
        headers = self._get_headers(answer.headers)
        headers += [pair for pair in answer.headers if pair[0] == b"content-length"]
        try:
            await self._start(answer.status, headers)
            async for chunk in answer.link.iter_chunks():
                await self._write(chunk, True)
            await self._write(b"", False)
        finally:
            answer.link.close()
        self.end(catalogue.ROUTE_ANSWERED, answer.status)

    async def refuse(self, refusal):
        """Write a refusal of our own."""
        headers = [(b"content-length", b"0")]
        if refusal.retry_after is not None:
            headers.append((b"retry-after", b"%.3f" % refusal.retry_after))
        if refusal.status in (400, 408, 413, 431):
            headers.append((b"connection", b"close"))
        await self._start(refusal.status, headers)
        await self._write(b"", False)
        self.end(
            catalogue.ROUTE_REFUSED,
            refusal.status,
            refusal.reason,
            retry_after_s=refusal.retry_after,
        )

    def end(self, event, status, reason=None, **fields):
        """Count the request and write its lines."""
        request, instance = self.request, self._instance
        seconds = anyio.current_time() - self._began
        instance.metrics.record("request_seconds", seconds)
        instance.metrics.count("requests", status=status, event=event.name)
        if reason is not None:
            instance.metrics.count("failures", status=status)
        is_plain = (
            status == 200
            and request is not None
            and seconds <= request.route.objective
            and self.trail.count(catalogue.ROUTE_SENT) == 1
        )
        instance.request_log.end(
            self.trail,
            event,
            is_plain,
            status=status,
            reason=reason,
            route=request.route.name if request else None,
            service=request.service if request else None,
            object_key=request.object_key if request else None,
            version=instance.version,
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


def _get_patience(found):
    """Return the seconds that the client waits, or ``None`` if it does not say."""
    value = found.get(names.DEADLINE)
    if value is None:
        return None
    if not value.isdigit():
        raise RequestRefused(400, "the deadline is not a whole number")
    return int(value) / MS_PER_SECOND


def _frame(chunk):
    return b"%x\r\n%s\r\n" % (len(chunk), chunk)
