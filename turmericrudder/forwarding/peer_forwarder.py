"""Forward requests to other instances."""

import anyio

from ..events import catalogue
from ..headers import get_header
from ..units import MS_PER_SECOND
from ..verdict import Verdict
from .headers import HOME_REGION, ORIGIN, PEER_KEY, QUEUE_WAIT, ROLE, VERDICT
from .response import NoResponse, NotSent
from .step import MayHaveRun, NotRun, RanWithoutResponse, ResponseSent
from .upstream_request import get_timeouts, get_upstream_headers

__all__ = ["ROLE_HOME", "ROLE_OWNER", "PeerForwarder"]

# A peer answers by itself shortly after the deadline; this is for silent ones.
MARGIN = 0.25  # seconds
ROLE_OWNER = b"owner"
ROLE_HOME = b"home"


class PeerForwarder:
    """Sends requests to the owners of targets and the homes of keys."""

    __slots__ = ("_here", "_links", "_log", "_pacer", "_peer_key", "_prefetch_bytes")

    def __init__(self, own_member, settings, connection_pool, bandwidth_limiter, log):
        self._here = own_member
        self._peer_key = settings.peer_key.encode()
        self._prefetch_bytes = settings.limits.replay_bytes
        self._links = connection_pool
        self._pacer = bandwidth_limiter
        self._log = log

    async def forward(self, member, role, wait, request, responder, recorder):
        """Return how the request ended at a peer.

        :param wait: whether the peer may queue it for a slot.
        :raises UpstreamCut: if the answer broke off after its head.
        """
        self._log.write(
            catalogue.ROUTE_PEER,
            service=request.service.name,
            request_class=request.request_class.name,
            peer=member.name,
            role=role.decode(),
        )
        exchanged, link = await self._links.send_request(
            member.peer_address,
            request.method,
            b"/" + request.service.name.encode() + request.path,
            self._get_headers(request, role, wait),
            self._pacer.iter_throttled(member.region, request.body.iter_chunks()),
            get_timeouts(request, MARGIN),
        )
        match exchanged:
            case NotSent(reason):
                return NotRun(reason)
            case NoResponse(reason):
                return MayHaveRun(reason)
        kept = False
        try:
            ended = await self._read(exchanged, request, responder, recorder)
            kept = True
            return ended
        finally:
            await exchanged.aclose()
            if kept:
                await self._links.release(member.peer_address, link)
            else:
                await link.aclose()

    async def _read(self, response, request, responder, recorder):
        verdict = get_header(response.headers, VERDICT)
        if not request.request_class.is_long or verdict is not None:
            await response.prefetch(self._prefetch_bytes)
        if verdict is not None:
            return _read_verdict(verdict)
        await responder.stream_response(response, recorder)
        return ResponseSent()

    def _get_headers(self, request, role, wait):
        return [
            *get_upstream_headers(request),
            (PEER_KEY, self._peer_key),
            (ORIGIN, self._here.name.encode()),
            (HOME_REGION, request.admission_request.home_region.encode()),
            (ROLE, role),
            (QUEUE_WAIT, str(_get_wait_ms(request) if wait else 0).encode()),
        ]


def _get_wait_ms(request):
    """Return the milliseconds for which the request may still queue."""
    left = request.admission_request.queue_until - anyio.current_time()
    return max(0, int(left * MS_PER_SECOND))


def _read_verdict(value):
    """Return what a peer's refusal means."""
    if value == Verdict.NOT_RUN.value.encode():
        return NotRun("peer")
    if value == Verdict.RAN.value.encode():
        return RanWithoutResponse("peer")
    return MayHaveRun("peer")
