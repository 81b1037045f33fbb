"""The ASGI application for callers: look-ups and requests."""

import math
import time
from urllib.parse import parse_qsl, unquote

import anyio

from ..errors import (
    ConfigurationMissing,
    LookupInvalid,
    OperationRejected,
    RequestRejected,
    UpstreamCut,
)
from ..events import catalogue
from ..forwarding import (
    CallerDisconnected,
    MayHaveRun,
    NotRun,
    RanWithoutResponse,
    Request,
    RequestBody,
    Responder,
    ResponseSent,
)
from ..forwarding.headers import DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, strip_headers
from ..headers import get_header
from ..ranges import MAX_INTEGER, parse_integer
from ..routing import AdmissionRequest
from ..units import MS_PER_SECOND
from ..verdict import Verdict

__all__ = ["CallerApplication", "get_verdict"]

RETRY_AFTER = 1  # seconds
MAX_PATH_BYTES = 8192  # without the query
TRANSFER_ENCODING_HEADER = b"transfer-encoding"
CHUNKED = b"chunked"


class CallerApplication:
    """Responds to look-ups of callers and forwards their requests.

    Callers are the programs that use the entry instances to reach services. A
    look-up returns the entry instances to which a caller should send its requests
    to a service; ``/health`` returns whether the instance is live.
    """

    __slots__ = ("_instance",)

    def __init__(self, instance):
        """Serve for an :class:`~turmericrudder.daemon.entry_instance.EntryInstance`."""
        self._instance = instance

    async def __call__(self, scope, receive, send):
        """Handle one HTTP request."""
        responder = self._make_responder(send)
        started_at = time.perf_counter()
        path = scope["path"]
        try:
            if path == "/lookup":
                await self._look_up(scope, responder)
            elif path == "/health":
                await self._write_health(responder)
            else:
                with self._instance.track_in_flight():
                    await self._handle_request(scope, receive, responder)
        except CallerDisconnected:
            self._instance.log.write(catalogue.ROUTE_CANCELLED, path=path)
        except RequestRejected as exc:
            verdict = get_verdict(exc, scope["headers"])
            await self._reject(responder, exc, verdict, path)
        except UpstreamCut as exc:
            await self._handle_truncation(responder, exc, path)
        except Exception as exc:
            await self._handle_error(responder, exc, path)
        except anyio.get_cancelled_exc_class():
            await responder.reject_cancelled()
            raise
        seconds = time.perf_counter() - started_at
        name = "lookup" if path == "/lookup" else "request"
        self._instance.metrics.observe(f"{name}_seconds", seconds)
        self._instance.metrics.increment(f"{name}s", status=responder.status)

    def _make_responder(self, send):
        instance = self._instance
        return Responder(
            send,
            instance.settings.name,
            instance.bandwidth_limiter,
            instance.settings.region,
        )

    async def _look_up(self, scope, responder):
        """Respond to a look-up of a service, for the caller or another client."""
        query = _parse_query(scope["query_string"])
        service = query.get("service", "")
        client = query.get("client") or scope["client"][0]
        instance = self._instance
        if instance.is_shutting_down():
            # Callers cache the response and could send operation keys with its
            # prefix after the end of this incarnation (one start of the process),
            # the only one that can run them.
            raise RequestRejected(503, "leaving", retry_after=RETRY_AFTER)
        try:
            body = instance.resolver.get_encoded_response(service, client)
        except ConfigurationMissing as exc:
            raise RequestRejected(503, str(exc), retry_after=RETRY_AFTER) from None
        except LookupInvalid as exc:
            instance.log.write(catalogue.LOOKUP_REFUSED, reason=exc)
            status = 404 if "service" in str(exc) else 400
            raise RequestRejected(status, str(exc)) from None
        instance.log.write(catalogue.LOOKUP_ANSWERED, service=service, client=client)
        max_age = b"max-age=%d" % int(instance.settings.timing.lookup_ttl)
        await responder.write_json(200, body, [(b"cache-control", max_age)])

    async def _write_health(self, responder):
        status = 200 if self._instance.is_ready() else 503
        body = b'{"serving":%s}' % (b"true" if status == 200 else b"false")
        await responder.write_json(status, body)

    async def _handle_request(self, scope, receive, responder):
        instance = self._instance
        if instance.is_rejecting_requests():
            raise RequestRejected(503, "leaving", retry_after=RETRY_AFTER)
        request = self._parse_request(scope, receive)
        if request.request_class.is_at_most_once:
            await self._run_operation(request, responder)
            return
        await instance.run_until_disconnect(request, self._route(request, responder))

    async def _run_operation(self, request, responder):
        """Run a request of an at-most-once class under its operation key."""
        await request.body.prefetch(self._instance.settings.limits.replay_bytes)
        await self._instance.operation_coordinator.run_request(
            request, responder, request.key
        )

    async def _route(self, request, responder):
        await request.body.prefetch(self._instance.settings.limits.replay_bytes)
        raise_if_failed(await self._instance.router.route(request, responder))

    def _parse_request(self, scope, receive):
        instance = self._instance
        configuration = instance.configurator.configuration
        if configuration is None:
            raise RequestRejected(503, "no_configuration", retry_after=RETRY_AFTER)
        headers = scope["headers"]
        check_head_size(headers, scope["raw_path"], instance.settings.limits)
        name, path = split_service(scope)
        service = configuration.services.get(name)
        if service is None:
            raise RequestRejected(404, f"unknown service {name!r}")
        home_region = instance.resolver.get_home_region(scope["client"][0])
        return make_request(scope, receive, service, path, home_region)

    async def _reject(self, responder, exc, verdict, path):
        instance = self._instance
        instance.log.write(
            catalogue.ROUTE_REFUSED,
            path=path,
            status=exc.status,
            reason=exc.reason,
            verdict=verdict.value,
        )
        instance.metrics.increment("refusals", verdict=verdict.value)
        if not responder.has_started:
            await responder.reject(
                exc.status,
                exc.reason,
                verdict,
                exc.retry_after,
                instance.operation_coordinator.prefix,
            )

    async def _handle_truncation(self, responder, exc, path):
        self._instance.log.write(catalogue.ROUTE_CUT, path=path, reason=exc)
        self._instance.metrics.increment("cuts")
        if not responder.has_started:
            await responder.reject(502, "cut", Verdict.MAY_HAVE_RUN)

    async def _handle_error(self, responder, exc, path):
        self._instance.log.write(catalogue.TASK_FAILED, path=path, error=repr(exc))
        if not responder.has_started:
            await responder.reject(500, "internal", Verdict.MAY_HAVE_RUN)


def get_verdict(rejection, headers):
    """Return the verdict to send with a rejection.

    A rejection with status 5xx, other than :class:`OperationRejected`, means that
    the instance could not serve the request and has not looked up its operation
    key. The key may have run elsewhere, so the verdict must not be ``NOT_RUN``.
    """
    is_key_unknown = rejection.status >= 500 and not isinstance(
        rejection, OperationRejected
    )
    if (
        is_key_unknown
        and get_header(headers, IDEMPOTENCY_KEY_HEADER)
        and rejection.verdict is Verdict.NOT_RUN
    ):
        return Verdict.MAY_HAVE_RUN
    return rejection.verdict


def split_service(scope):
    """Return (service name, path and query) of a request.

    The first segment of the path names the service; the rest is returned as bytes.
    """
    name, _, rest = scope["raw_path"].lstrip(b"/").partition(b"/")
    query = scope["query_string"]
    path = b"/" + rest + (b"?" + query if query else b"")
    return unquote(name.decode("latin-1")), path


def check_head_size(headers, raw_path, limits):
    """Check the size of a request's path and headers.

    :raises RequestRejected: with status 431 if it exceeds the limits.
    """
    size = len(raw_path) + sum(len(name) + len(value) for name, value in headers)
    if size > limits.head_bytes or len(raw_path) > MAX_PATH_BYTES:
        raise RequestRejected(431, "head_too_large")


def make_request(scope, receive, service, path, home_region, queue_timeout=math.inf):
    """Return the :class:`Request` of an ASGI scope.

    :param path: path and query without the service name, as bytes.
    :param home_region: region to which the caller's address belongs.
    :param queue_timeout: seconds the request may queue for a slot; the service's
        own limit applies if it is shorter.
    :raises RequestRejected: if no request class matches or a header is malformed or
        not supported.
    """
    headers = scope["headers"]
    bare_path = path.partition(b"?")[0].decode("latin-1")
    request_class = service.get_request_class(scope["method"], bare_path)
    if request_class is None:
        raise RequestRejected(404, "no_request_class")
    expires = anyio.current_time() + _get_timeout(headers, request_class)
    key = get_header(headers, IDEMPOTENCY_KEY_HEADER) or b""
    queue_until = anyio.current_time() + min(queue_timeout, service.queue_timeout)
    return Request(
        method=scope["method"],
        path=path,
        headers=[
            *(
                pair
                for pair in strip_headers(headers)
                if pair[0].lower() != IDEMPOTENCY_KEY_HEADER
            ),
            *_get_framing(headers),
        ],
        body=RequestBody(receive),
        service=service,
        request_class=request_class,
        admission_request=AdmissionRequest(
            service.name, home_region, request_class.is_long, expires, queue_until
        ),
        key=key.decode("latin-1"),
    )


def raise_if_failed(result):
    """Raise an error unless a routed request got its response.

    :param result: what :meth:`Router.route` returned.
    :raises RequestRejected: with the status, reason and verdict to respond with.
    """
    match result:
        case ResponseSent():
            return
        case RanWithoutResponse(reason):
            raise RequestRejected(502, "answer_lost", Verdict.RAN)
        case NotRun(reason):
            raise RequestRejected(503, reason, Verdict.NOT_RUN, RETRY_AFTER)
        case MayHaveRun(reason):
            raise RequestRejected(504, reason, Verdict.MAY_HAVE_RUN)


def _parse_query(query):
    """Return the query parameters of a look-up as a dict."""
    text = query.decode("latin-1")
    if "%" in text or "+" in text:
        return dict(parse_qsl(text))
    return dict(part.split("=", 1) for part in text.split("&") if "=" in part)


def _get_framing(headers):
    """Return the header that delimits a body in chunks; a length is passed on as is.

    :raises RequestRejected: if the body has another transfer coding, too.
    """
    coding = get_header(headers, TRANSFER_ENCODING_HEADER)
    if coding is None:
        return ()
    if coding.lower() != CHUNKED:
        raise RequestRejected(501, "transfer_encoding")
    return ((TRANSFER_ENCODING_HEADER, CHUNKED),)


def _get_timeout(headers, request_class):
    """Return the seconds until the deadline of a request.

    The caller's deadline header can only shorten the timeout of the request class.

    :raises RequestRejected: if the deadline header is not a whole number.
    """
    value = get_header(headers, DEADLINE_HEADER)
    if value is None:
        return request_class.timeout
    milliseconds = parse_integer(value, MAX_INTEGER)
    if milliseconds is None:
        raise RequestRejected(400, "deadline_invalid")
    return min(request_class.timeout, milliseconds / MS_PER_SECOND)
