"""The ASGI application for other instances and operators."""

import hmac

import anyio
import msgspec

from ..errors import RequestRejected, UpstreamCut
from ..events import catalogue
from ..forwarding import CallerDisconnected, Responder
from ..forwarding.headers import (
    HOME_REGION_HEADER,
    ORIGIN_HEADER,
    PEER_KEY_HEADER,
    QUEUE_WAIT_HEADER,
    ROLE_HEADER,
)
from ..forwarding.peer_forwarder import ROLE_HOME
from ..headers import get_header
from ..operation import KeyInvalid, OperationKey
from ..ranges import MAX_INTEGER, parse_integer
from ..units import MS_PER_SECOND
from ..verdict import Verdict
from .caller_application import (
    get_verdict,
    make_request,
    raise_if_failed,
    split_service,
)

__all__ = ["PeerApplication"]


class PeerApplication:
    """Handles requests forwarded by other instances, called peers.

    A peer forwards a request to the owner of targets, the one instance that grants
    their slots, or to the home of the request's operation key, the one instance
    that may run the key. The application also serves manifests and chunks of the
    configuration, the status and the metrics.
    """

    __slots__ = ("_instance",)

    def __init__(self, instance):
        """Serve for an :class:`~turmericrudder.daemon.entry_instance.EntryInstance`."""
        self._instance = instance

    async def __call__(self, scope, receive, send):
        """Handle one HTTP request of a peer or an operator."""
        headers = scope["headers"]
        responder = self._make_responder(send, headers)
        try:
            with self._instance.track_in_flight():
                await self._serve(scope, receive, responder)
        except CallerDisconnected:
            self._instance.log.write(catalogue.ROUTE_CANCELLED, path=scope["path"])
        except RequestRejected as exc:
            if not responder.has_started:
                verdict = _get_verdict(exc, headers)
                await responder.reject(exc.status, exc.reason, verdict, exc.retry_after)
        except UpstreamCut as exc:
            self._instance.log.write(
                catalogue.ROUTE_CUT, path=scope["path"], reason=exc
            )
            if not responder.has_started:
                await responder.reject(502, "cut", Verdict.MAY_HAVE_RUN)
        except Exception as exc:
            self._instance.log.write(
                catalogue.TASK_FAILED, path=scope["path"], error=repr(exc)
            )
            if not responder.has_started:
                await responder.reject(500, "internal", Verdict.MAY_HAVE_RUN)
        except anyio.get_cancelled_exc_class():
            await responder.reject_cancelled()
            raise

    async def _serve(self, scope, receive, responder):
        path = scope["path"]
        if path == "/metrics":
            await self._write_metrics(responder)
            return
        self._check_peer_key(scope["headers"])
        if path == "/status":
            status = msgspec.json.encode(self._instance.get_status())
            await responder.write_json(200, status)
        elif path.startswith("/part/"):
            await self._write_blob(path, responder)
        else:
            await self._run_request(scope, receive, responder)

    def _make_responder(self, send, headers):
        instance = self._instance
        origin = (get_header(headers, ORIGIN_HEADER) or b"").decode("latin-1")
        member = instance.membership.view.get(origin)
        region = member.region if member else instance.settings.region
        return Responder(
            send, instance.settings.name, instance.bandwidth_limiter, region
        )

    def _check_peer_key(self, headers):
        peer_key = get_header(headers, PEER_KEY_HEADER) or b""
        if not hmac.compare_digest(peer_key, self._instance.settings.peer_key.encode()):
            raise RequestRejected(403, "peer_key")

    async def _write_metrics(self, responder):
        text = self._instance.metrics.format(self._instance.get_gauges())
        await responder.write_json(200, text.encode())

    async def _write_blob(self, path, responder):
        data = self._instance.configurator.get_blob(path.rpartition("/")[2])
        if data is None:
            raise RequestRejected(404, "unknown_part")
        await responder.write_json(200, data)

    async def _run_request(self, scope, receive, responder):
        instance = self._instance
        configuration = instance.configurator.configuration
        if configuration is None:
            raise RequestRejected(503, "no_configuration")
        name, path = split_service(scope)
        service = configuration.services.get(name)
        if service is None:
            raise RequestRejected(404, f"unknown service {name!r}")
        headers = scope["headers"]
        home_region = (get_header(headers, HOME_REGION_HEADER) or b"").decode("latin-1")
        queue_timeout = _get_queue_timeout(headers)
        request = make_request(
            scope, receive, service, path, home_region, queue_timeout
        )
        await request.body.prefetch(instance.settings.limits.replay_bytes)
        if get_header(headers, ROLE_HEADER) == ROLE_HOME:
            await self._run_home(request, responder)
        else:
            await self._run_owned(request, responder, queue_timeout > 0)

    async def _run_home(self, request, responder):
        """Run the operation key of a request as its home."""
        try:
            key = OperationKey.parse(request.key)
        except KeyInvalid:
            raise RequestRejected(428, "key_invalid") from None
        await self._instance.operation_coordinator.run_as_home(request, responder, key)

    async def _run_owned(self, request, responder, may_queue):
        """Run a request at a target that this instance owns."""
        instance = self._instance

        async def route():
            raise_if_failed(
                await instance.router.route_forwarded(request, responder, may_queue)
            )

        await instance.run_until_disconnect(request, route())


def _get_verdict(rejection, headers):
    """Return the verdict for a rejection.

    An owner's verdict is about this attempt alone, a home's about the operation
    key.
    """
    if get_header(headers, ROLE_HEADER) == ROLE_HOME:
        return get_verdict(rejection, headers)
    return rejection.verdict


def _get_queue_timeout(headers):
    """Return the seconds for which a forwarded request may queue, 0 for none."""
    value = get_header(headers, QUEUE_WAIT_HEADER) or b"0"
    return (parse_integer(value, MAX_INTEGER) or 0) / MS_PER_SECOND
