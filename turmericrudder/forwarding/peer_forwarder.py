"""Forwarding of requests to other instances."""

import anyio

from ..events import catalogue
from ..headers import get_header
from ..units import MS_PER_SECOND
from ..verdict import Verdict
from .headers import (
    HOME_REGION_HEADER,
    ORIGIN_HEADER,
    PEER_KEY_HEADER,
    QUEUE_WAIT_HEADER,
    ROLE_HEADER,
    VERDICT_HEADER,
)
from .response import NoResponse, NotSent
from .step import MayHaveRun, NotRun, RanWithoutResponse, ResponseSent
from .upstream_request import get_timeouts, get_upstream_headers

__all__ = ["ROLE_HOME", "ROLE_OWNER", "PeerForwarder"]

# Added to the timeout: a peer sends its own rejection shortly after the deadline,
# so only a request to a peer that does not respond times out here.
RESPONSE_MARGIN = 0.25  # seconds
ROLE_OWNER = b"owner"
ROLE_HOME = b"home"


class PeerForwarder:
    """Forwards requests to the owners of targets and the homes of operation keys."""

    __slots__ = (
        "_bandwidth_limiter",
        "_connection_pool",
        "_log",
        "_own_member",
        "_peer_key",
        "_prefetch_bytes",
    )

    def __init__(self, own_member, settings, connection_pool, bandwidth_limiter, log):
        self._own_member = own_member
        self._peer_key = settings.peer_key.encode()
        self._prefetch_bytes = settings.limits.replay_bytes
        self._connection_pool = connection_pool
        self._bandwidth_limiter = bandwidth_limiter
        self._log = log

    async def forward(self, member, role, may_queue, request, responder, recorder):
        """Forward a request to a peer and write its response.

        :param member: the peer's member record.
        :param role: :data:`ROLE_OWNER` if the peer has to run the request at a
            target it owns, :data:`ROLE_HOME` if it is the home of its key.
        :param may_queue: whether the peer may queue it if no slot is free.
        :param recorder: :class:`ResponseRecorder` that gets a copy, or ``None``.
        :returns: :class:`ResponseSent`, or if the peer rejected the request or
            did not respond, :class:`RanWithoutResponse`, :class:`NotRun` or
            :class:`MayHaveRun`.
        :raises UpstreamCut: if the response is truncated.
        """
        self._log.write(
            catalogue.ROUTE_PEER,
            service=request.service.name,
            request_class=request.request_class.name,
            peer=member.name,
            role=role.decode(),
        )
        send_result, connection = await self._connection_pool.send_request(
            member.peer_address,
            request.method,
            b"/" + request.service.name.encode() + request.path,
            self._get_headers(request, role, may_queue),
            self._bandwidth_limiter.iter_throttled(
                member.region, request.body.iter_chunks()
            ),
            get_timeouts(request, RESPONSE_MARGIN),
        )
        match send_result:
            case NotSent(reason):
                return NotRun(reason)
            case NoResponse(reason):
                return MayHaveRun(reason)
        is_reusable = False
        try:
            result = await self._read_response(
                send_result, request, responder, recorder
            )
            is_reusable = True
            return result
        finally:
            await send_result.aclose()
            if is_reusable:
                await self._connection_pool.release(member.peer_address, connection)
            else:
                await connection.aclose()

    async def _read_response(self, response, request, responder, recorder):
        verdict = get_header(response.headers, VERDICT_HEADER)
        if not request.request_class.is_long or verdict is not None:
            await response.prefetch(self._prefetch_bytes)
        if verdict is not None:
            return _parse_verdict(verdict)
        await responder.stream_response(response, recorder)
        return ResponseSent()

    def _get_headers(self, request, role, may_queue):
        return [
            *get_upstream_headers(request),
            (PEER_KEY_HEADER, self._peer_key),
            (ORIGIN_HEADER, self._own_member.name.encode()),
            (HOME_REGION_HEADER, request.admission_request.home_region.encode()),
            (ROLE_HEADER, role),
            (
                QUEUE_WAIT_HEADER,
                str(_get_wait_ms(request) if may_queue else 0).encode(),
            ),
        ]


def _get_wait_ms(request):
    """Return the milliseconds for which the request may still be queued."""
    remaining = request.admission_request.queue_until - anyio.current_time()
    return max(0, int(remaining * MS_PER_SECOND))


def _parse_verdict(value):
    """Return the result that the verdict header of a peer's rejection means."""
    if value == Verdict.NOT_RUN.value.encode():
        return NotRun("peer")
    if value == Verdict.RAN.value.encode():
        return RanWithoutResponse("peer")
    return MayHaveRun("peer")
