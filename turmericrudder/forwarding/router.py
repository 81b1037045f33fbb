"""Find a slot for a request, send it there, and pass the answer on."""

import anyio

from ..configuration import RequestClass
from ..errors import UpstreamCut
from ..events import catalogue
from ..routing import (
    Budget,
    Cancelled,
    Failed,
    Finished,
    PeerLoad,
    Refusal,
    Shed,
    rank_peers,
)
from ..verdict import Verdict
from .connection import Connection
from .dispatcher import GiveBack
from .exchange import Answered, NoAnswer, NotSent
from .headers import (
    DEADLINE,
    HOME_REGION,
    KEY,
    ORIGIN,
    PEER_KEY,
    ROLE,
    VERDICT,
    WAIT,
    get_header,
)
from .step import AtPeer, AtTarget, Passed, Ran, Turned, Unknown, plan_steps

__all__ = ["Passed", "Router", "Turned", "Unknown"]

RETRY_SHARE = 0.05
RETRY_BURST = 10
MAX_RETRIES = 2
MS_PER_SECOND = 1000
# A peer answers by itself shortly after the deadline; this is for silent ones.
PEER_MARGIN = 0.25  # seconds
STATUS_TIMEOUT = 0.5  # seconds
ROLE_OWNER = b"owner"
ROLE_HOME = b"home"


class Router:
    """Routes requests over owned targets and other owners."""

    __slots__ = (
        "_budget",
        "_dispatcher",
        "_free",
        "_here",
        "_log",
        "_members",
        "_ownership",
        "_pacer",
        "_peer_key",
        "_peer_links",
        "_random",
        "_replay_bytes",
        "_upstreams",
    )

    def __init__(
        self, here, settings, dispatcher, upstreams, links, pacer, log, random
    ):
        self._here = here
        self._peer_key = settings.peer_key.encode()
        self._replay_bytes = settings.limits.replay_bytes
        self._dispatcher = dispatcher
        self._upstreams = upstreams
        self._peer_links = links
        self._pacer = pacer
        self._log = log
        self._random = random
        self._budget = Budget(RETRY_SHARE, RETRY_BURST)
        self._ownership = None
        self._members = {}
        self._free = {}

    def update(self, ownership, members, free):
        """Take the state that routes are chosen by.

        :param members: {name: member record} that can be forwarded to.
        :param free: {name: {service: free slots}} as the peers told.
        """
        self._ownership = ownership
        self._members = members
        self._free = free

    async def route(self, request, responder, collector=None):
        """Route a caller's request; return how it ended.

        :returns: :class:`Passed`, :class:`Ran`, :class:`Turned` or
            :class:`Unknown`.
        :raises UpstreamCut: if the answer broke off after its head.
        """
        self._budget.earn()
        steps = plan_steps(self._owns_targets(request), self._rank_peers(request))
        return await self._walk(steps, request, responder, collector)

    async def route_owned(self, request, responder, wait):
        """Run a request that another instance forwarded; never forward it again."""
        if not self._owns_targets(request):
            return Turned("not_owned")
        return await self._walk([AtTarget(wait)], request, responder, None)

    async def forward_home(self, member, request, responder):
        """Pass a request to the home of its key."""
        return await self._forward(member, ROLE_HOME, True, request, responder, None)

    async def _walk(self, steps, request, responder, collector):
        steps = list(steps)
        ended = Turned("no_owner")
        retries = 0
        while steps:
            ended = await self._take(steps.pop(0), request, responder, collector)
            if isinstance(ended, Passed | Ran) or _is_final(ended, request):
                return ended
            if isinstance(ended, Unknown) or ended.worked:
                if retries == MAX_RETRIES or not self._budget.spend():
                    return ended
                retries += 1
                self._log_retry(request, ended)
                steps.insert(0, AtTarget(wait=True))
        return ended

    async def _take(self, step, request, responder, collector):
        match step:
            case AtTarget(wait):
                return await self._use_target(request, responder, wait, collector)
            case AtPeer(peer, wait):
                member = self._members.get(peer.name)
                if member is None or not self._pacer.is_open(member.region):
                    return Turned("link_full")
                return await self._forward(
                    member, ROLE_OWNER, wait, request, responder, collector
                )

    async def _use_target(self, request, responder, wait, collector):
        answer = await self._dispatcher.claim(request.work, wait)
        if isinstance(answer, Refusal):
            return Turned(answer.obstacle.value)
        target = answer.state.target
        self._log.write(
            catalogue.ROUTE_TARGET,
            service=target.service,
            request_class=request.request_class.name,
            target=target.name,
            home_region=request.work.home_region,
            in_flight=answer.state.in_flight,
        )
        result = Cancelled()
        try:
            ended, result = await self._send_to_target(
                answer.state, request, responder, collector
            )
            return ended
        except UpstreamCut:
            result = Failed()
            raise
        finally:
            self._dispatcher.tell(GiveBack(answer, result))

    async def _send_to_target(self, state, request, responder, collector):
        must_be_fresh = not request.request_class.idempotent
        link = await self._upstreams.take(state.target, must_be_fresh)
        began = anyio.current_time()
        kept = False
        try:
            exchanged = await link.exchange(
                request.method,
                request.path,
                self._get_upstream_headers(request),
                request.body.iter_chunks(),
                *self._get_limits(request, 0.0),
            )
            latency = anyio.current_time() - began
            ended, result = await self._finish(
                exchanged, state, latency, request, responder, collector
            )
            kept = isinstance(ended, Passed)
            if isinstance(ended, Unknown) and request.request_class.at_most_once:
                ended = await self._resolve(ended, state, request)
            return ended, result
        finally:
            if kept:
                await self._upstreams.release(state.target, link)
            else:
                await link.aclose()

    async def _finish(self, exchanged, state, latency, request, responder, collector):
        match exchanged:
            case NotSent(reason):
                return Turned(reason), Failed()
            case NoAnswer(reason):
                return Unknown(reason), Failed()
        service = state.service
        if exchanged.status in (service.shed_status, service.drain_status):
            await exchanged.aclose()
            draining = exchanged.status == service.drain_status
            return Turned("shed", worked=True), Shed(draining)
        ended = await self._pass_on(exchanged, request, responder, collector)
        if isinstance(ended, Passed):
            return ended, Finished(latency)
        return ended, Failed()

    async def _resolve(self, ended, state, request):
        """Ask the target whether a key ran whose answer did not come.

        Only a yes counts: after a no, the request may still arrive.
        """
        if not state.service.status_path or not request.key:
            return ended
        path = state.service.status_path.encode() + request.key.encode()
        link = Connection(state.target.address)
        try:
            exchanged = await link.exchange(
                "GET", path, [], None, STATUS_TIMEOUT, STATUS_TIMEOUT
            )
            if isinstance(exchanged, Answered) and exchanged.status == 200:
                return Ran(ended.reason)
            return ended
        finally:
            await link.aclose()

    async def _forward(self, member, role, wait, request, responder, collector):
        self._log.write(
            catalogue.ROUTE_PEER,
            service=request.service.name,
            request_class=request.request_class.name,
            peer=member.name,
            role=role.decode(),
        )
        content = request.body.iter_chunks()
        exchanged, link = await self._peer_links.exchange(
            member.peers,
            request.method,
            b"/" + request.service.name.encode() + request.path,
            self._get_peer_headers(request, role, wait),
            self._pacer.iter_paced(member.region, content),
            self._get_limits(request, PEER_MARGIN),
        )
        match exchanged:
            case NotSent(reason):
                return Turned(reason)
            case NoAnswer(reason):
                return Unknown(reason)
        kept = False
        try:
            ended = await self._read_peer(exchanged, request, responder, collector)
            kept = True
            return ended
        finally:
            if kept:
                await self._peer_links.release(member.peers, link)
            else:
                await link.aclose()

    async def _read_peer(self, answered, request, responder, collector):
        verdict = get_header(answered.headers, VERDICT)
        if verdict is not None:
            await answered.prefetch(self._replay_bytes)
            return _read_verdict(verdict)
        return await self._pass_on(answered, request, responder, collector)

    async def _pass_on(self, answered: Answered, request, responder, collector):
        try:
            if not request.request_class.long:
                # Until the head is passed on, a cut can still be mended.
                await answered.prefetch(self._replay_bytes)
        except UpstreamCut:
            await answered.aclose()
            return Unknown("cut")
        try:
            await responder.pass_on(answered, collector)
        finally:
            await answered.aclose()
        return Passed()

    def _owns_targets(self, request):
        return bool(self._dispatcher.pool.get_states(request.service.name))

    def _rank_peers(self, request):
        if self._ownership is None:
            return []
        service = request.service.name
        peers = []
        for name in self._ownership.get_owners(service):
            member = self._members.get(name)
            if member is not None and name != self._here.name:
                free = self._free.get(name, {}).get(service)
                peers.append(PeerLoad(name, member.region, member.failure_domain, free))
        return rank_peers(peers, self._here, request.work.home_region, self._random)

    def _get_limits(self, request, margin):
        item: RequestClass = request.request_class
        left = max(0.001, request.expires - anyio.current_time()) + margin
        first_byte = min(item.first_byte + margin, left)
        return first_byte, min(item.idle, item.deadline)

    def _get_upstream_headers(self, request):
        headers = [*request.headers, (DEADLINE, self._get_deadline(request))]
        if request.key:
            headers.append((KEY, request.key.encode()))
        return headers

    def _get_peer_headers(self, request, role, wait):
        return [
            *self._get_upstream_headers(request),
            (PEER_KEY, self._peer_key),
            (ORIGIN, self._here.name.encode()),
            (HOME_REGION, request.work.home_region.encode()),
            (ROLE, role),
            (WAIT, b"1" if wait else b"0"),
        ]

    def _get_deadline(self, request):
        left = max(0.0, request.expires - anyio.current_time())
        return str(int(left * MS_PER_SECOND)).encode()

    def _log_retry(self, request, ended):
        self._log.write(
            catalogue.ROUTE_RETRIED,
            service=request.service.name,
            request_class=request.request_class.name,
            reason=ended.reason,
        )


def _is_final(ended, request):
    """Return whether a request that was not passed must not be tried again."""
    if anyio.current_time() >= request.expires:
        return True
    if not request.body.is_replayable():
        return True
    return isinstance(ended, Unknown) and not request.request_class.idempotent


def _read_verdict(value):
    """Return what a peer's refusal means."""
    if value == Verdict.NOT_RUN.value.encode():
        return Turned("peer")
    if value == Verdict.RAN.value.encode():
        return Ran("peer")
    return Unknown("peer")
