"""The targets one instance owns, their slots and the short queues."""

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
    """One slot of a target, held until it is given back."""

    state: TargetState
    admission_request: AdmissionRequest
    granted_at: float


@dataclass(frozen=True, slots=True)
class Rejection:
    """No slot, and why."""

    reason: RejectReason


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request in the queue; ``ticket`` is the claimant's own object."""

    admission_request: AdmissionRequest
    ticket: object
    until: float


class SlotAllocator:
    """Grants slots of owned targets; exact counts, no I/O."""

    __slots__ = (
        "_caps",
        "_configuration",
        "_limits",
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
        self._limits = {}
        self._caps = {}
        self._queues = {}

    def get_states(self, service=None):
        """Return the states of owned targets."""
        return [
            state
            for state in self._states.values()
            if service in (None, state.service.name)
        ]

    def get_state(self, target_name):
        """Return the state of an owned target, or ``None``."""
        return self._states.get(target_name)

    def get_released_in_flight(self, now):
        """Return {target name: requests still running} of released targets."""
        self._forget_idle(now)
        return {name: state.in_flight for name, state in self._released.items()}

    def get_free_slots(self, now):
        """Return {service: free slots}."""
        free = {}
        for state in self._states.values():
            name = state.service.name
            free[name] = free.get(name, 0) + state.get_free_slots(now)
        return free

    def get_in_flight(self):
        """Return the number of requests running at targets, or just cancelled."""
        states = [*self._states.values(), *self._released.values()]
        return sum(state.in_flight for state in states)

    def set_owned_targets(self, configuration, owned, predecessors, now):
        """Own exactly these targets under this configuration.

        :param owned: {target name: adopted}.
        :param predecessors: names of targets whose previous owner is alive.
        :returns: (names taken over, names released).
        """
        if configuration is not self._configuration:
            self._configuration = configuration
            self._limits.clear()
            self._ramps.clear()
            self._caps = {}
            for service in configuration.services.values():
                self._caps |= self._allot(service, 1.0)
        released = [name for name in self._states if name not in owned]
        for name in released:
            self._released[name] = self._states.pop(name)
        taken = [name for name in owned if name not in self._states]
        for name in owned:
            self._update_state(name, self._caps[name], name in predecessors, now)
            self._set_adopted(self._states[name], owned[name])
        self._forget_idle(now)
        return taken, released

    def acquire(self, request, now, excluded=None):
        """Return a :class:`Grant` or a :class:`Rejection`.

        :param excluded: state of a target that must not be granted.
        """
        limits = self._get_foreign_limits(request, now)
        candidates, reasons = [], set()
        for state in self.get_states(request.service):
            if state is excluded:
                continue
            limit = limits.get(state.target.name, 0)
            reason = state.get_reject_reason(request, limit, now)
            if reason is None:
                candidates.append(state)
            else:
                reasons.add(reason)
        if not candidates:
            return Rejection(_get_mildest(reasons))
        state = choose_target(candidates, now, self._random)
        state.add_request(request)
        return Grant(state, request, now)

    def enqueue(self, request, ticket, now):
        """Queue a request that found no slot; return a :class:`Rejection` if full."""
        service = self._configuration.services[request.service]
        queue = self._queues.setdefault(request.service, deque())
        if len(queue) >= service.queue_limit * len(self.get_states(request.service)):
            return Rejection(RejectReason.QUEUE_FULL)
        until = min(request.queue_until, request.expires)
        if until <= now:
            return Rejection(RejectReason.WAITED)
        queued_request = QueuedRequest(request, ticket, until)
        queue.append(queued_request)
        return queued_request

    def release(self, grant, result, now):
        """Return a slot; the waiting are served by :meth:`serve_queue`."""
        grant.state.end_request(grant.admission_request, result, now)
        self._forget_idle(now)

    def remove_queued(self, queued_request):
        """Take a request out of the queue; return whether it was in there."""
        queue = self._queues.get(queued_request.admission_request.service, ())
        if queued_request not in queue:
            return False
        queue.remove(queued_request)
        return True

    def serve_queue(self, now):
        """Yield (ticket, grant or refusal) for those whose wait is over."""
        for queue in self._queues.values():
            left = deque()
            while queue:
                queued_request = queue.popleft()
                if queued_request.until <= now:
                    yield queued_request.ticket, Rejection(RejectReason.WAITED)
                    continue
                answer = self.acquire(queued_request.admission_request, now)
                if isinstance(answer, Grant):
                    yield queued_request.ticket, answer
                else:
                    left.append(queued_request)
            queue.extend(left)

    def get_next_queue_deadline(self):
        """Return the earliest end of a wait, or ``None``."""
        ends = [
            queued_request.until
            for queue in self._queues.values()
            for queued_request in queue
        ]
        return min(ends, default=None)

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

    def _set_adopted(self, state, adopted):
        if not adopted:
            state.adopted_limiter = None
        elif state.adopted_limiter is None:
            state.adopted_limiter = AdoptedTargetLimiter()

    def _forget_idle(self, now):
        for state in self._released.values():
            state.expire_cancelled(now)
        idle = [name for name, state in self._released.items() if not state.in_flight]
        for name in idle:
            del self._released[name]

    def _get_foreign_limits(self, request, now):
        """Return {target name: slots for other regions' work in force now}."""
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
        if key not in self._limits:
            self._limits[key] = self._allot(service, share)
        return self._limits[key]

    def _allot(self, service, share):
        """Divide the part of each region's cap that is in force."""
        limits = {}
        for region in self._configuration.regions:
            targets = self._configuration.get_targets(service.name, region)
            names = [target.name for target in targets]
            cap = int(service.foreign_caps.get(region, 0) * share)
            limits |= allocate_cap(cap, service.name, names)
        return limits


def _get_mildest(reasons):
    """Return the obstacle that is likely to go away first."""
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
