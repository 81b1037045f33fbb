"""Take clients' requests: match, check, read, forward, answer."""

import anyio

from ..cancellation import RequestCancelled, run_cancellable
from ..errors import RequestRejected, ResponseFailed
from ..events import catalogue
from ..platform import protocol
from ..units import MS_PER_SECOND
from .body_reader import BodyReader
from .client_request import ClientRequest
from .outcome import CompleteResponse, LocalResponse, StreamingResponse
from .response_writer import ResponseWriter

__all__ = ["ClientApplication"]

CONFIGURATION_WAIT = 0.4  # seconds a request waits for the first configuration


class ClientApplication:
    """The ASGI application on the clients' address."""

    __slots__ = ("_instance",)

    def __init__(self, instance):
        """Serve for a :class:`~turmericrudder.gateway.instance.Gateway`."""
        self._instance = instance

    @property
    def limits(self):
        """Bounds on clients, or ``None`` until a configuration is known."""
        return self._instance.cached_state.limits

    async def __call__(self, scope, receive, send):
        """Handle one HTTP request."""
        if scope["type"] != "http":
            return
        writer = ResponseWriter(scope, send, self._instance)
        try:
            await self._take(scope, receive, writer)
        except RequestRejected as exc:
            await writer.write_local(
                LocalResponse(exc.status, exc.reason, exc.retry_after)
            )
        except RequestCancelled:
            writer.finish(catalogue.ROUTE_CANCELLED, 0, "the client went away")
        except ResponseFailed as exc:
            # The head is out: only a cut tells the client that this is no answer.
            writer.finish(catalogue.ROUTE_CUT, 0, str(exc))
            raise

    async def _take(self, scope, receive, writer):
        instance = self._instance
        if instance.cached_state.route_table is None:
            # An instance that has just started knows it within a few round trips.
            await instance.cached_state.wait_configured(CONFIGURATION_WAIT)
        now = anyio.current_time()
        request = self._parse(scope, now, writer.log_buffer)
        writer.request = request
        if instance.is_rejecting_requests():
            raise RequestRejected(503, "stopping", retry_after=0.05)
        reader = BodyReader(scope, receive, instance.cached_state.limits)
        await reader.read(request)
        forward = instance.forwarder.forward(request)
        if request.route.is_idempotent and request.body is not None:
            answer = await run_cancellable(reader.wait_disconnected, forward)
        else:
            answer = await forward
        match answer:
            case LocalResponse():
                await writer.write_local(answer)
            case CompleteResponse():
                await writer.write_complete(answer)
            case StreamingResponse():
                await writer.write_streaming(answer)

    def _parse(self, scope, now, log_buffer):
        instance = self._instance
        table = instance.cached_state.route_table
        if table is None:
            raise RequestRejected(503, "no configuration", retry_after=0.2)
        headers = scope["headers"]
        found = dict(headers)
        if scope.get("head_bytes", 0) > table.configuration.limits.head_bytes:
            raise RequestRejected(431, "head too large")
        host = found.get(b"host")
        if host is None:
            raise RequestRejected(400, "no host")
        target = scope["raw_target"]
        path = scope["raw_path"].decode("latin-1")
        route = table.get_route(host.decode("latin-1"), path)
        if route is None:
            raise RequestRejected(404, "no route")
        if not found.get(protocol.ATTEMPT_ID_HEADER):
            raise RequestRejected(400, "no attempt id")
        patience = _get_patience(found)
        deadline = now + (route.timeout if patience is None else patience)
        affinity_key = (
            found.get(protocol.AFFINITY_KEY_HEADER) if route.has_affinity else None
        )
        return ClientRequest(
            method=scope["method"],
            request_target=target,
            headers=headers,
            attempt_id=found[protocol.ATTEMPT_ID_HEADER],
            affinity_key=affinity_key.decode("latin-1") if affinity_key else None,
            route=route,
            service=instance.get_split(route).choose(route.backends),
            arrived_at=now,
            expires=min(now + route.timeout, deadline),
            deadline=deadline,
            log_buffer=log_buffer,
        )


def _get_patience(found):
    """Return the seconds that the client waits, or ``None`` if it does not say."""
    value = found.get(protocol.DEADLINE_HEADER)
    if value is None:
        return None
    if not value.isdigit():
        raise RequestRejected(400, "the deadline is not a whole number")
    return int(value) / MS_PER_SECOND
