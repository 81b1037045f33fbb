"""Find a slot for a request, here or at another owner."""

import anyio

from ..events import catalogue
from ..routing import PeerLoad, rank_peers
from .peer_hints import PeerHints
from .peer_runner import ROLE_HOME, ROLE_OWNER
from .step import (
    AtPeer,
    AtTarget,
    Passed,
    Ran,
    Turned,
    Unknown,
    combine_ends,
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

    def __init__(self, here, allocator, targets, peers, pacer, budget, log, random):
        """Prepare without owners.

        :param targets: the :class:`TargetRunner`.
        :param peers: the :class:`PeerRunner`.
        :param budget: bounds retries, together with hedges.
        """
        self._here = here
        self._pool = allocator
        self._targets = targets
        self._peers = peers
        self._pacer = pacer
        self._budget = budget
        self._log = log
        self._random = random
        self._ownership = None
        self._members = {}
        self._hints = PeerHints()

    def update(self, ownership, members, heard):
        """Take the state that routes are chosen by.

        :param members: {name: member record} that can be forwarded to.
        :param heard: {name: latest heartbeat} of the peers.
        """
        self._ownership = ownership
        self._members = members
        self._hints.update(heard)

    async def route(self, request, responder, collector=None):
        """Route a caller's request; return how it ended.

        :returns: :class:`Passed`, :class:`Ran`, :class:`Turned` or
            :class:`Unknown`.
        :raises UpstreamCut: if the answer broke off after its head.
        """
        self._budget.deposit()
        steps = plan_steps(self._owns_targets(request), self._rank_peers(request))
        return await self._walk(steps, request, responder, collector)

    async def route_owned(self, request, responder, wait):
        """Run a request that another instance forwarded; never forward it again."""
        if not self._owns_targets(request):
            return Turned("not_owned")
        return await self._walk([AtTarget(wait)], request, responder, None)

    async def forward_home(self, member, request, responder):
        """Pass a request to the home of its key."""
        return await self._peers.run(member, ROLE_HOME, True, request, responder, None)

    async def _walk(self, steps, request, responder, collector):
        steps = list(steps)
        ended = Turned("no_owner")
        retries = 0
        while steps:
            took = await self._take(steps.pop(0), request, responder, collector)
            ended = combine_ends(ended, took)
            if isinstance(ended, Passed | Ran) or _is_final(ended, request):
                return ended
            if isinstance(took, Unknown) or took.worked:
                if retries == MAX_RETRIES or not self._budget.try_spend_retry():
                    return ended
                retries += 1
                self._log_retry(request, took)
                if self._owns_targets(request):
                    steps.insert(0, AtTarget(wait=True))
        return ended

    async def _take(self, step, request, responder, collector):
        match step:
            case AtTarget(wait):
                return await self._targets.run(request, responder, wait, collector)
            case AtPeer(peer, wait):
                member = self._members.get(peer.name)
                if member is None or not self._pacer.is_open(member.region):
                    return Turned("link_full")
                took = await self._peers.run(
                    member, ROLE_OWNER, wait, request, responder, collector
                )
                if isinstance(took, Turned):
                    self._hints.note_refusal(peer.name, request.service.name)
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
    return isinstance(ended, Unknown) and not request.request_class.is_idempotent
