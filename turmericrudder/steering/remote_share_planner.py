"""Which part of its objects a region should have served elsewhere.

A region may have less room than its clients need. Sending part of each object's
requests away would make two targets handle the object, and targets remember few;
so whole objects are sent, chosen by hash, the same by all instances.
"""

import math
from dataclasses import dataclass

__all__ = ["RegionCapacity", "RemoteSharePlanner"]

MEMORY = 2.0  # seconds over which arrivals are counted
MIN_MEMORY = 1.0  # seconds of arrivals before they count
# Share of a region's slots up to which it keeps all that comes to it: queues
# are short until then.
COMFORT = 0.45
MAX_AWAY = 0.9  # a region keeps some objects, or its targets would forget all
STEP_PER_SECOND = 0.04  # change of the plan, well within the bounds on shifts


@dataclass(frozen=True, slots=True)
class RegionCapacity:
    """What an instance knows of its region and of all.

    :param local_slots: slots of a service in its region that may be used.
    :param all_slots: slots of a service that may be used.
    :param domain_instances: instances in its failure domain, itself among them.
    :param local_domains: failure domains of its region that have instances.
    :param all_domains: failure domains that have instances.
    """

    local_slots: int
    all_slots: int
    domain_instances: int
    local_domains: int
    all_domains: int


class RemoteSharePlanner:
    """The plan for one service, from this instance's own arrivals.

    Other failure domains are taken to get about as many requests.
    """

    __slots__ = ("_at", "_began", "_planned_at", "_share", "_work")

    def __init__(self):
        self._began = None
        self._at = 0.0
        self._work = 0.0
        self._planned_at = None
        self._share = 0.0

    def record_arrival(self, work, now):
        """Count a request that will keep a target busy for ``work`` seconds."""
        if self._began is None:
            self._began = self._at = now
        self._work = self._decay(now) + work
        self._at = now

    def get_remote_share(self, around, now):
        """Return the share of objects that should be served elsewhere.

        Until arrivals have been counted for a while, every region is taken to
        be as full as all together.
        """
        wanted = self._get_wanted(around, now)
        if self._planned_at is None:
            self._share = wanted
        else:
            step = STEP_PER_SECOND * (now - self._planned_at)
            self._share += max(-step, min(step, wanted - self._share))
        self._planned_at = now
        return self._share

    def _get_wanted(self, around, now):
        away_slots = around.all_slots - around.local_slots
        if away_slots <= 0:
            return 0.0
        if around.local_slots <= 0:
            return 1.0
        here = max(1, around.local_domains) / around.local_slots
        everywhere = max(1, around.all_domains) / around.all_slots
        load = self._get_load(around, now)
        if load is None:
            wanted = 1.0 - everywhere / here
        elif load > 0.0:
            wanted = 1.0 - max(COMFORT, load * everywhere) / (load * here)
        else:
            wanted = 0.0
        return min(MAX_AWAY, max(0.0, wanted))

    def _get_load(self, around, now):
        """Return the target-seconds a second of a failure domain, if known."""
        if self._began is None or now - self._began < MIN_MEMORY:
            return None
        seconds = now - self._began
        rate = self._decay(now) / (MEMORY * (1 - math.exp(-seconds / MEMORY)))
        return rate * max(1, around.domain_instances)

    def _decay(self, now):
        return self._work * math.exp((self._at - now) / MEMORY)
