"""Weights of targets, planned from the load that they report.

Rendezvous hashing gives some targets several times the affinity keys of others, and
keys differ in their requests. A target with too many keys has a queue while others are
idle. A single instance hears too rarely from one target to see that. So the instances
of a region send what they hear to one of them, the reader of the store, which lowers
the weights of targets that are loaded well above the others of their service. Then
whole keys move to the next targets of their orders, on all instances of the region
alike. It answers uneven load; load above the capacity of all targets is left alone.
"""

import math
from dataclasses import dataclass

__all__ = ["WeightPlanner"]

AVERAGING_TIME = 2.0  # seconds; time constant of the average of a target's load
# Load in relation to slots that a target may have, whatever that of the others.
MIN_LIMIT = 1.0
# Ratio of a target's load to the mean of its group that is accepted above that.
MAX_RATIO = 1.5
MIN_WEIGHT = 0.2
MAX_REDUCTION = 0.6  # factor on a weight in one step
# Seconds from a reduction of a weight to the next one, in which the queue ends and the
# average follows.
HOLD_TIME = 3.0
# A weight grows again while the load is below this fraction of the limit. Each growth
# returns keys, for which the target's caches are empty by then.
RECOVERY_FRACTION = 0.4
RECOVERY_FACTOR = 1.1
MIN_CHANGE = 0.02  # of a weight; smaller changes are not made


@dataclass(slots=True)
class _TargetState:
    utilization_sum: float = 0.0
    count: int = 0
    utilization: float | None = None
    weight: float = 1.0
    held_until: float = -math.inf


class WeightPlanner:
    """Plans the weights of all targets that a region's instances send to."""

    __slots__ = ("_planned_at", "_states")

    def __init__(self):
        self._states = {}  # target id -> _TargetState
        self._planned_at = None

    def record(self, report):
        """Count the :class:`TargetReport` of any instance."""
        state = self._states.setdefault(report.target_id, _TargetState())
        state.utilization_sum += report.utilization_sum
        state.count += report.count

    def adopt(self, weights, now):
        """Continue from the weights of another planner.

        :param weights: {target id: weight}; others are 1.
        """
        for state in self._states.values():
            state.weight = 1.0
        for target_id, weight in weights.items():
            state = self._states.setdefault(target_id, _TargetState())
            state.weight = weight
            state.held_until = now + HOLD_TIME

    def plan(self, groups, now):
        """Return the weights below 1 as {target id: weight}.

        :param groups: the targets in use, as collections of target ids; the load of a
            target is compared with the others of its group.
        """
        elapsed = 0.0 if self._planned_at is None else now - self._planned_at
        self._planned_at = now
        decay = math.exp(-elapsed / AVERAGING_TIME)
        for group in groups:
            states = [self._states.setdefault(name, _TargetState()) for name in group]
            for state in states:
                _update_average(state, decay)
            if states:
                _plan_group(states, now)
        members = {name for group in groups for name in group}
        for name in self._states.keys() - members:
            del self._states[name]
        return {
            name: state.weight
            for name, state in self._states.items()
            if state.weight < 1.0
        }


def _update_average(state, decay):
    if state.count:
        sample = state.utilization_sum / state.count
        previous = state.utilization if state.utilization is not None else sample
        state.utilization = sample + decay * (previous - sample)
    elif state.utilization is not None:
        # Without requests there are no reports.
        state.utilization *= decay
    state.utilization_sum, state.count = 0.0, 0


def _plan_group(states, now):
    mean = sum(state.utilization or 0.0 for state in states) / len(states)
    limit = max(MIN_LIMIT, MAX_RATIO * mean)
    for state in states:
        utilization = state.utilization or 0.0
        weight = state.weight
        if utilization > limit and now >= state.held_until:
            weight *= max(MAX_REDUCTION, limit / utilization)
            weight = max(MIN_WEIGHT, weight)
            state.held_until = now + HOLD_TIME
        elif utilization < RECOVERY_FRACTION * limit and now >= state.held_until:
            weight = min(1.0, weight * RECOVERY_FACTOR)
        if abs(weight - state.weight) >= MIN_CHANGE or weight == 1.0:
            state.weight = weight
