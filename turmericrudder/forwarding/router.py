"""Routing of a request to a target, directly or through the target's owner."""

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

MAX_RETRIES = 2  # per request


class Router:
    """Runs the steps of a request, with retries, until one gives a response."""

    __slots__ = (
        "_allocator",
        "_bandwidth_limiter",
        "_log",
        "_members",
        "_own_member",
        "_ownership",
        "_peer_capacity",
        "_peer_forwarder",
        "_random",
        "_retry_budget",
        "_target_forwarder",
    )

    def __init__(
        self,
        own_member,
        allocator,
        target_forwarder,
        peer_forwarder,
        bandwidth_limiter,
        retry_budget,
        log,
        random,
    ):
        """Prepare; :meth:`update` sets which instances own targets.

        :param own_member: this instance's member record.
        :param allocator: the :class:`~turmericrudder.routing.SlotAllocator` of
            the targets that this instance owns.
        :param target_forwarder: the :class:`TargetForwarder`.
        :param peer_forwarder: the :class:`PeerForwarder`.
        :param retry_budget: bounds retries and hedges together.
        """
        self._own_member = own_member
        self._allocator = allocator
        self._target_forwarder = target_forwarder
        self._peer_forwarder = peer_forwarder
        self._bandwidth_limiter = bandwidth_limiter
        self._retry_budget = retry_budget
        self._log = log
        self._random = random
        self._ownership = None
        self._members = {}
        self._peer_capacity = PeerCapacity()

    def update(self, ownership, members, heartbeats):
        """Set the state of the other instances.

        :param ownership: the :class:`~turmericrudder.routing.Ownership` of all
            targets.
        :param members: {name: member record} of the reachable instances.
        :param heartbeats: {name: latest heartbeat} of the peers.
        """
        self._ownership = ownership
        self._members = members
        self._peer_capacity.update(heartbeats)

    async def route(self, request, responder, recorder=None):
        """Route a caller's request and write its response.

        :param recorder: :class:`ResponseRecorder` that gets a copy of the
            response, or ``None``.
        :returns: :class:`ResponseSent`, or if no response was written,
            :class:`RanWithoutResponse`, :class:`NotRun` or :class:`MayHaveRun`.
        :raises UpstreamCut: if a response is truncated and the request is not retried.
        """
        self._retry_budget.record_request()
        steps = plan_steps(self._owns_targets(request), self._rank_peers(request))
        return await self._run_steps(steps, request, responder, recorder)

    async def route_forwarded(self, request, responder, may_queue):
        """Run a request that another instance forwarded to the owner of targets.

        It is never forwarded again.

        :param may_queue: whether to queue it if no slot is free.
        :returns: as :meth:`route` does.
        :raises UpstreamCut: as :meth:`route` does.
        """
        if not self._owns_targets(request):
            return NotRun("not_owned")
        return await self._run_steps([TargetStep(may_queue)], request, responder, None)

    async def forward_to_home(self, member, request, responder):
        """Forward a request to the home of its operation key.

        The home is the instance that issued the key and alone may run it.

        :param member: the home's member record.
        :returns: as :meth:`route` does.
        :raises UpstreamCut: as :meth:`route` does.
        """
        return await self._peer_forwarder.forward(
            member, ROLE_HOME, True, request, responder, None
        )

    async def _run_steps(self, steps, request, responder, recorder):
        """Run steps until one ends the request, with retries after failed attempts."""
        steps = list(steps)
        result = NotRun("no_owner")
        retries = 0
        while steps:
            step_result = await self._run_step(
                steps.pop(0), request, responder, recorder
            )
            result = combine_results(result, step_result)
            if isinstance(result, ResponseSent | RanWithoutResponse) or _is_final(
                result, request
            ):
                return result
            if isinstance(step_result, MayHaveRun) or step_result.is_shed:
                if retries == MAX_RETRIES or not self._retry_budget.try_spend_retry():
                    return result
                retries += 1
                self._log_retry(request, step_result)
                if self._owns_targets(request):
                    steps.insert(0, TargetStep(may_queue=True))
        return result

    async def _run_step(self, step, request, responder, recorder):
        match step:
            case TargetStep(may_queue):
                return await self._target_forwarder.forward(
                    request, responder, may_queue, recorder
                )
            case PeerStep(peer, may_queue):
                member = self._members.get(peer.name)
                if member is None or not self._bandwidth_limiter.can_send(
                    member.region
                ):
                    return NotRun("link_full")
                step_result = await self._peer_forwarder.forward(
                    member, ROLE_OWNER, may_queue, request, responder, recorder
                )
                if isinstance(step_result, NotRun):
                    self._peer_capacity.mark_exhausted(peer.name, request.service.name)
                return step_result

    def _owns_targets(self, request):
        return bool(self._allocator.get_states(request.service.name))

    def _rank_peers(self, request):
        if self._ownership is None:
            return []
        service = request.service.name
        peers = []
        for name in self._ownership.get_owners(service):
            member = self._members.get(name)
            if member is not None and name != self._own_member.name:
                free_slots = self._peer_capacity.get_free_slots(name, service)
                peers.append(
                    PeerLoad(name, member.region, member.failure_domain, free_slots)
                )
        return rank_peers(
            peers, self._own_member, request.admission_request.home_region, self._random
        )

    def _log_retry(self, request, result):
        self._log.write(
            catalogue.ROUTE_RETRIED,
            service=request.service.name,
            request_class=request.request_class.name,
            reason=result.reason,
        )


def _is_final(result, request):
    """Return whether a request without a response must not be attempted again."""
    if anyio.current_time() >= request.expires:
        return True
    if not request.body.is_replayable():
        return True
    return isinstance(result, MayHaveRun) and not request.request_class.is_idempotent
