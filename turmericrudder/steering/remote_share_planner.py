"""The share of affinity keys whose affinity region is a remote one.

The affinity region of a key is the region whose targets should handle its requests.
A region may have fewer slots than its clients need. Moving some of each key's
requests would make targets of two regions handle the key, and their caches hold few
keys. So all requests of some keys are moved. The keys are chosen by hash, so that all
instances choose the same ones.
"""

import math
from dataclasses import dataclass

__all__ = ["RegionCapacity", "RemoteSharePlanner"]

DECAY_TIME = 2.0  # seconds; time constant of the moving average of arrivals
MIN_OBSERVATION = 1.0  # seconds of arrivals before the average is used
# Utilization up to which a region keeps all of its requests; queues are short below.
MAX_LOCAL_UTILIZATION = 0.45
# A region keeps some keys, so that its targets' caches do not become empty.
MAX_REMOTE_SHARE = 0.9
STEP_PER_SECOND = 0.04  # change of the share; well within the region shift bound


@dataclass(frozen=True, slots=True)
class RegionCapacity:
    """Slots and instances of the local region and of all regions.

    :param local_slots: usable slots of a service in the local region.
    :param all_slots: usable slots of a service in all regions.
    :param domain_instances: instances in this instance's failure domain, this one
        included.
    :param local_domains: failure domains of the local region that have instances.
    :param all_domains: failure domains that have instances.
    """

    local_slots: int
    all_slots: int
    domain_instances: int
    local_domains: int
    all_domains: int


class RemoteSharePlanner:
    """Computes the remote share of one service from this instance's arrivals.

    Every failure domain is assumed to get about as many requests as this instance's.
    """

    __slots__ = (
        "_decayed_seconds",
        "_first_arrival_at",
        "_last_arrival_at",
        "_planned_at",
        "_share",
    )

    def __init__(self):
        self._first_arrival_at = None
        self._last_arrival_at = 0.0
        self._decayed_seconds = 0.0  # sum of service times as of _last_arrival_at
        self._planned_at = None
        self._share = 0.0

    def record_arrival(self, service_time, now):
        """Count a request that will occupy a slot for ``service_time`` seconds."""
        if self._first_arrival_at is None:
            self._first_arrival_at = self._last_arrival_at = now
        self._decayed_seconds = self._get_decayed_seconds(now) + service_time
        self._last_arrival_at = now

    def get_remote_share(self, capacity, now):
        """Return the share of keys, 0 to 1, that should run in remote regions.

        After the first call, the share changes by at most ``STEP_PER_SECOND`` in a
        second. Until enough arrivals have been counted, the aim is the share with
        which all regions have equal utilization.

        :param capacity: a :class:`RegionCapacity`.
        """
        desired = self._get_desired_share(capacity, now)
        if self._planned_at is None:
            self._share = desired
        else:
            step = STEP_PER_SECOND * (now - self._planned_at)
            self._share += max(-step, min(step, desired - self._share))
        self._planned_at = now
        return self._share

    def _get_desired_share(self, capacity, now):
        remote_slots = capacity.all_slots - capacity.local_slots
        if remote_slots <= 0:
            return 0.0
        if capacity.local_slots <= 0:
            return 1.0
        local_domains_per_slot = max(1, capacity.local_domains) / capacity.local_slots
        all_domains_per_slot = max(1, capacity.all_domains) / capacity.all_slots
        load = self._get_domain_load(capacity, now)
        if load is None:
            desired = 1.0 - all_domains_per_slot / local_domains_per_slot
        elif load > 0.0:
            # Lower the local utilization to the larger of the limit and the mean.
            desired = 1.0 - max(MAX_LOCAL_UTILIZATION, load * all_domains_per_slot) / (
                load * local_domains_per_slot
            )
        else:
            desired = 0.0
        return min(MAX_REMOTE_SHARE, max(0.0, desired))

    def _get_domain_load(self, capacity, now):
        """Return the slots that the arrivals of one failure domain keep busy.

        :returns: ``None`` until arrivals have been counted for ``MIN_OBSERVATION``.
        """
        if (
            self._first_arrival_at is None
            or now - self._first_arrival_at < MIN_OBSERVATION
        ):
            return None
        seconds = now - self._first_arrival_at
        rate = self._get_decayed_seconds(now) / (
            DECAY_TIME * (1 - math.exp(-seconds / DECAY_TIME))
        )
        return rate * max(1, capacity.domain_instances)

    def _get_decayed_seconds(self, now):
        return self._decayed_seconds * math.exp(
            (self._last_arrival_at - now) / DECAY_TIME
        )
