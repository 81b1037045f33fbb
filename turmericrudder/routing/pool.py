"""The targets one instance owns, their slots and the short queues."""

from collections import deque
from dataclasses import dataclass

from .adoption import Adoption
from .caps import allot_cap
from .choice import choose_target
from .obstacle import Obstacle
from .ramp import Ramp
from .takeover import Takeover
from .target_state import TargetState
from .work import Work

__all__ = ["Grant", "Refusal", "TargetPool", "Waiting"]


@dataclass(frozen=True, slots=True)
class Grant:
    """One slot of a target, held until it is given back."""

    state: TargetState
    work: Work
    granted_at: float


@dataclass(frozen=True, slots=True)
class Refusal:
    """No slot, and why."""

    obstacle: Obstacle


@dataclass(frozen=True, slots=True)
class Waiting:
    """A request in the queue; ``ticket`` is the claimant's own object."""

    work: Work
    ticket: object
    until: float


class TargetPool:
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

    def get_released(self, now):
        """Return {target name: requests still running} of released targets."""
        self._forget_idle(now)
        return {name: state.in_flight for name, state in self._released.items()}

    def get_free(self, now):
        """Return {service: free slots}."""
        free = {}
        for state in self._states.values():
            name = state.service.name
            free[name] = free.get(name, 0) + state.get_free(now)
        return free

    def get_in_flight(self):
        """Return the number of requests running at targets, or just cancelled."""
        states = [*self._states.values(), *self._released.values()]
        return sum(state.in_flight for state in states)

    def set_owned(self, configuration, owned, predecessors, now):
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

    def claim(self, work, now, avoid=None):
        """Return a :class:`Grant` or a :class:`Refusal`.

        :param avoid: state of a target that must not be granted.
        """
        limits = self._get_foreign_limits(work, now)
        candidates, obstacles = [], set()
        for state in self.get_states(work.service):
            if state is avoid:
                continue
            limit = limits.get(state.target.name, 0)
            obstacle = state.get_obstacle(work, limit, now)
            if obstacle is None:
                candidates.append(state)
            else:
                obstacles.add(obstacle)
        if not candidates:
            return Refusal(_get_mildest(obstacles))
        state = choose_target(candidates, now, self._random)
        state.take(work)
        return Grant(state, work, now)

    def wait(self, work, ticket, now):
        """Queue a request that found no slot; return a :class:`Refusal` if full."""
        service = self._configuration.services[work.service]
        queue = self._queues.setdefault(work.service, deque())
        if len(queue) >= service.queue_limit * len(self.get_states(work.service)):
            return Refusal(Obstacle.QUEUE_FULL)
        until = min(work.wait_until, work.expires)
        if until <= now:
            return Refusal(Obstacle.WAITED)
        waiting = Waiting(work, ticket, until)
        queue.append(waiting)
        return waiting

    def give_back(self, grant, result, now):
        """Return a slot; the waiting are served by :meth:`serve_waiting`."""
        grant.state.give_back(grant.work, result, now)
        self._forget_idle(now)

    def forget_waiting(self, waiting):
        """Take a request out of the queue; return whether it was in there."""
        queue = self._queues.get(waiting.work.service, ())
        if waiting not in queue:
            return False
        queue.remove(waiting)
        return True

    def serve_waiting(self, now):
        """Yield (ticket, grant or refusal) for those whose wait is over."""
        for queue in self._queues.values():
            left = deque()
            while queue:
                waiting = queue.popleft()
                if waiting.until <= now:
                    yield waiting.ticket, Refusal(Obstacle.WAITED)
                    continue
                answer = self.claim(waiting.work, now)
                if isinstance(answer, Grant):
                    yield waiting.ticket, answer
                else:
                    left.append(waiting)
            queue.extend(left)

    def get_next_expiry(self):
        """Return the earliest end of a wait, or ``None``."""
        ends = [waiting.until for queue in self._queues.values() for waiting in queue]
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
        state.drained = self._configuration.is_drained(target)
        self._states[name] = state

    def _set_adopted(self, state, adopted):
        if not adopted:
            state.adoption = None
        elif state.adoption is None:
            state.adoption = Adoption()

    def _forget_idle(self, now):
        for state in self._released.values():
            state.forget_lingering(now)
        idle = [name for name, state in self._released.items() if not state.in_flight]
        for name in idle:
            del self._released[name]

    def _get_foreign_limits(self, work, now):
        """Return {target name: slots for other regions' work in force now}."""
        service = self._configuration.services[work.service]
        ramp = self._ramps.get(work.service)
        if ramp is None:
            ramp = Ramp(service.cap_floor, service.cap_ramp)
            self._ramps[work.service] = ramp
        states = self.get_states(work.service)
        share = ramp.get_share(now, any(state.foreign for state in states))
        key = (
            work.service,
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
            limits |= allot_cap(cap, service.name, names)
        return limits


def _get_mildest(obstacles):
    """Return the obstacle that is likely to go away first."""
    for obstacle in (
        Obstacle.FULL,
        Obstacle.LONG_FULL,
        Obstacle.CAP_FULL,
        Obstacle.EJECTED,
        Obstacle.DRAINING,
    ):
        if obstacle in obstacles:
            return obstacle
    return Obstacle.NO_TARGET
