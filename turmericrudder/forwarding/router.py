"""Find a slot for a request, here or at another owner."""

import anyio

from ..events import catalogue
from ..routing import PeerLoad, rank_peers
from .peer_capacity import PeerCapacity
from .peer_forwarder import ROLE_HOME, ROLE_OWNER
from .step import (
    MayHaveRun,
    NotRun,
    PeerStep,
    RanWithoutResponse,
    ResponseSent,
    TargetStep,
    combine_results,
    plan_steps,
)

__all__ = ["Router"]

MAX_RETRIES = 2


class Router:
    """Walks the steps that a request takes until it is answered."""

    __slots__ = (
        "_budget",
        "_here",
        "_hints",
        "_log",
        "_members",
        "_ownership",
        "_pacer",
        "_peers",
        "_pool",
        "_random",
        "_targets",
    )

    def __init__(
        self,
        own_member,
        allocator,
        targets,
        peers,
        bandwidth_limiter,
        budget,
        log,
        random,
    ):
        """Prepare without owners.

        :param targets: the :class:`TargetForwarder`.
        :param peers: the :class:`PeerForwarder`.
        :param budget: bounds retries, together with hedges.
        """
        self._here = own_member
        self._pool = allocator
        self._targets = targets
        self._peers = peers
        self._pacer = bandwidth_limiter
        self._budget = budget
        self._log = log
        self._random = random
        self._ownership = None
        self._members = {}
        self._hints = PeerCapacity()

    def update(self, ownership, members, heartbeats):
        """Take the state that routes are chosen by.

        :param members: {name: member record} that can be forwarded to.
        :param heartbeats: {name: latest heartbeat} of the peers.
        """
        self._ownership = ownership
        self._members = members
        self._hints.update(heartbeats)

    async def route(self, request, responder, recorder=None):
        """Route a caller's request; return how it ended.

        :returns: :class:`ResponseSent`, :class:`RanWithoutResponse`, :class:`NotRun` or
            :class:`MayHaveRun`.
        :raises UpstreamCut: if the answer broke off after its head.
        """
        self._budget.deposit()
        steps = plan_steps(self._owns_targets(request), self._rank_peers(request))
        return await self._walk(steps, request, responder, recorder)

    async def route_forwarded(self, request, responder, wait):
        """Run a request that another instance forwarded; never forward it again."""
        if not self._owns_targets(request):
            return NotRun("not_owned")
        return await self._walk([TargetStep(wait)], request, responder, None)

    async def forward_to_home(self, member, request, responder):
        """Pass a request to the home of its key."""
        return await self._peers.forward(
            member, ROLE_HOME, True, request, responder, None
        )

    async def _walk(self, steps, request, responder, recorder):
        steps = list(steps)
        ended = NotRun("no_owner")
        retries = 0
        while steps:
            took = await self._take(steps.pop(0), request, responder, recorder)
            ended = combine_results(ended, took)
            if isinstance(ended, ResponseSent | RanWithoutResponse) or _is_final(
                ended, request
            ):
                return ended
            if isinstance(took, MayHaveRun) or took.is_shed:
                if retries == MAX_RETRIES or not self._budget.try_spend_retry():
                    return ended
                retries += 1
                self._log_retry(request, took)
                if self._owns_targets(request):
                    steps.insert(0, TargetStep(wait=True))
        return ended

    async def _take(self, step, request, responder, recorder):
        match step:
            case TargetStep(wait):
                return await self._targets.forward(request, responder, wait, recorder)
            case PeerStep(peer, wait):
                member = self._members.get(peer.name)
                if member is None or not self._pacer.can_send(member.region):
                    return NotRun("link_full")
                took = await self._peers.forward(
                    member, ROLE_OWNER, wait, request, responder, recorder
                )
                if isinstance(took, NotRun):
                    self._hints.mark_exhausted(peer.name, request.service.name)
                return took

    def _owns_targets(self, request):
        return bool(self._pool.get_states(request.service.name))

    def _rank_peers(self, request):
        if self._ownership is None:
            return []
        service = request.service.name
        peers = []
        for name in self._ownership.get_owners(service):
            member = self._members.get(name)
            if member is not None and name != self._here.name:
                free = self._hints.get_free_slots(name, service)
                peers.append(PeerLoad(name, member.region, member.failure_domain, free))
        return rank_peers(
            peers, self._here, request.admission_request.home_region, self._random
        )

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
    return isinstance(ended, MayHaveRun) and not request.request_class.is_idempotent
