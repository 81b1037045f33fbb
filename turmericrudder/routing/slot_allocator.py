"""Grants the slots of the targets that one instance owns, and queues requests."""

from collections import deque
from dataclasses import dataclass

from .admission_request import AdmissionRequest
from .adopted_target_limiter import AdoptedTargetLimiter
from .cap_allocation import allocate_cap
from .ramp import Ramp
from .reject_reason import RejectReason
from .takeover import Takeover
from .target_selection import choose_target
from .target_state import TargetState

__all__ = ["Grant", "QueuedRequest", "Rejection", "SlotAllocator"]


@dataclass(frozen=True, slots=True)
class Grant:
    """One slot of a target, held until :meth:`SlotAllocator.release`.

    :param granted_at: monotonic seconds.
    """

    state: TargetState
    admission_request: AdmissionRequest
    granted_at: float


@dataclass(frozen=True, slots=True)
class Rejection:
    """The request got no slot."""

    reason: RejectReason


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits for a slot.

    :param ticket: object by which the code that queued the request identifies it.
    :param queue_deadline: monotonic time in seconds until which it waits.
    """

    admission_request: AdmissionRequest
    ticket: object
    queue_deadline: float


class SlotAllocator:
    """Grants slots of owned targets and keeps a queue of requests per service.

    All methods that take ``now`` expect monotonic seconds.
    """

    __slots__ = (
        "_caps",
        "_configuration",
        "_foreign_limits",
        "_queues",
        "_ramps",
        "_random",
        "_released",
        "_states",
    )

    def __init__(self, random):
        self._random = random
        self._configuration = None
        self._states = {}
        self._released = {}
        self._ramps = {}
        self._foreign_limits = {}
        self._caps = {}
        self._queues = {}

    def get_states(self, service=None):
        """Return the :class:`TargetState` of each owned target.

        :param service: name of the only service to return targets of.
        """
        return [
            state
            for state in self._states.values()
            if service in (None, state.service.name)
        ]

    def get_state(self, target_name):
        """Return the state of a target, ``None`` if it is not owned."""
        return self._states.get(target_name)

    def get_released_in_flight(self, now):
        """Return {target name: in-flight requests} of targets owned before.

        Targets without such requests are not in the result.
        """
        self._remove_idle(now)
        return {name: state.in_flight for name, state in self._released.items()}

    def get_free_slots(self, now):
        """Return {service name: free slots at all its owned targets}."""
        free = {}
        for state in self._states.values():
            name = state.service.name
            free[name] = free.get(name, 0) + state.get_free_slots(now)
        return free

    def get_in_flight(self):
        """Return the number of in-flight requests.

        It includes failed and cancelled ones that keep their slots for a moment.
        """
        states = [*self._states.values(), *self._released.values()]
        return sum(state.in_flight for state in states)

    def set_owned_targets(self, configuration, owned, predecessors, now):
        """Replace the configuration and the set of owned targets.

        :param owned: {target name: whether it is adopted}, see :class:`Owner`.
        :param predecessors: names of targets whose previous owner is still reachable.
        :returns: (names of targets now owned, names of targets no longer owned),
            without those owned before and after.
        """
        if configuration is not self._configuration:
            self._configuration = configuration
            self._foreign_limits.clear()
            self._ramps.clear()
            self._caps = {}
            for service in configuration.services.values():
                self._caps |= self._allocate_caps(service, 1.0)
        released = [name for name in self._states if name not in owned]
        for name in released:
            self._released[name] = self._states.pop(name)
        added = [name for name in owned if name not in self._states]
        for name in owned:
            self._update_state(name, self._caps[name], name in predecessors, now)
            self._set_adopted(self._states[name], owned[name])
        self._remove_idle(now)
        return added, released

    def acquire(self, request, now, excluded=None):
        """Return a :class:`Grant`, or a :class:`Rejection` if no slot is free.

        :param excluded: state of a target that must not be granted.
        """
        foreign_limits = self._get_foreign_limits(request, now)
        candidates, reasons = [], set()
        for state in self.get_states(request.service):
            if state is excluded:
                continue
            foreign_limit = foreign_limits.get(state.target.name, 0)
            reason = state.get_reject_reason(request, foreign_limit, now)
            if reason is None:
                candidates.append(state)
            else:
                reasons.add(reason)
        if not candidates:
            return Rejection(_select_reason(reasons))
        state = choose_target(candidates, now, self._random)
        state.start_request(request)
        return Grant(state, request, now)

    def enqueue(self, request, ticket, now):
        """Queue a request until a slot is free or its queue time has passed.

        :param ticket: object that :meth:`serve_queue` yields with the result.
        :returns: the :class:`QueuedRequest`, or a :class:`Rejection` if the queue is
            full or the queue time has passed already.
        """
        service = self._configuration.services[request.service]
        queue = self._queues.setdefault(request.service, deque())
        if len(queue) >= service.queue_limit * len(self.get_states(request.service)):
            return Rejection(RejectReason.QUEUE_FULL)
        queue_deadline = min(request.queue_until, request.expires)
        if queue_deadline <= now:
            return Rejection(RejectReason.WAITED)
        queued_request = QueuedRequest(request, ticket, queue_deadline)
        queue.append(queued_request)
        return queued_request

    def release(self, grant, result, now):
        """Release the slot of a grant; does not serve the queue.

        :param result: how the request ended, one of the classes of
            ``request_result``.
        """
        grant.state.end_request(grant.admission_request, result, now)
        self._remove_idle(now)

    def remove_queued(self, queued_request):
        """Remove a request from the queue and return whether it was queued."""
        queue = self._queues.get(queued_request.admission_request.service, ())
        if queued_request not in queue:
            return False
        queue.remove(queued_request)
        return True

    def serve_queue(self, now):
        """Yield (ticket, result) for each queued request that leaves the queue.

        The result is a :class:`Grant`, or a :class:`Rejection` if the queue deadline
        has passed.
        """
        for queue in self._queues.values():
            remaining = deque()
            while queue:
                queued_request = queue.popleft()
                if queued_request.queue_deadline <= now:
                    yield queued_request.ticket, Rejection(RejectReason.WAITED)
                    continue
                result = self.acquire(queued_request.admission_request, now)
                if isinstance(result, Grant):
                    yield queued_request.ticket, result
                else:
                    remaining.append(queued_request)
            queue.extend(remaining)

    def get_next_queue_deadline(self):
        """Return the earliest deadline of the queues, ``None`` if they are empty."""
        deadlines = [
            queued_request.queue_deadline
            for queue in self._queues.values()
            for queued_request in queue
        ]
        return min(deadlines, default=None)

    def _update_state(self, name, cap, has_predecessor, now):
        target = self._configuration.targets[name]
        service = self._configuration.services[target.service]
        state = self._states.get(name) or self._released.pop(name, None)
        if state is None:
            region = self._configuration.get_region(target.failure_domain)
            takeover = Takeover(service.slots, now, has_predecessor)
            state = TargetState(target, service, region, cap, takeover)
        elif name not in self._states:
            state.takeover = Takeover(service.slots, now, has_predecessor)
        state.target, state.service, state.foreign_cap = target, service, cap
        state.is_drained_by_operator = self._configuration.is_drained(target)
        self._states[name] = state

    def _set_adopted(self, state, is_adopted):
        if not is_adopted:
            state.adopted_limiter = None
        elif state.adopted_limiter is None:
            state.adopted_limiter = AdoptedTargetLimiter()

    def _remove_idle(self, now):
        """Remove the released targets that have no request left."""
        for state in self._released.values():
            state.expire_cancelled(now)
        idle = [name for name, state in self._released.items() if not state.in_flight]
        for name in idle:
            del self._released[name]

    def _get_foreign_limits(self, request, now):
        """Return {target name: slots for requests of other home regions now}."""
        service = self._configuration.services[request.service]
        ramp = self._ramps.get(request.service)
        if ramp is None:
            ramp = Ramp(service.cap_floor, service.cap_ramp)
            self._ramps[request.service] = ramp
        states = self.get_states(request.service)
        share = ramp.get_share(now, any(state.foreign_in_flight for state in states))
        key = (
            request.service,
            *(int(cap * share) for cap in service.foreign_caps.values()),
        )
        if key not in self._foreign_limits:
            self._foreign_limits[key] = self._allocate_caps(service, share)
        return self._foreign_limits[key]

    def _allocate_caps(self, service, share):
        """Return {target name: slots} for a share of the cap of each region."""
        limits = {}
        for region in self._configuration.regions:
            targets = self._configuration.get_targets(service.name, region)
            names = [target.name for target in targets]
            cap = int(service.foreign_caps.get(region, 0) * share)
            limits |= allocate_cap(cap, service.name, names)
        return limits


def _select_reason(reasons):
    """Return the reason that is likely to end first."""
    for reason in (
        RejectReason.FULL,
        RejectReason.LONG_FULL,
        RejectReason.CAP_FULL,
        RejectReason.EJECTED,
        RejectReason.DRAINING,
    ):
        if reason in reasons:
            return reason
    return RejectReason.NO_TARGET
