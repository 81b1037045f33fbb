"""The targets of one service as one instance sees them, local and remote ones."""

from dataclasses import dataclass

from ..rendezvous import get_hash, get_unit_hash
from .target_group import TargetGroup
from .tracked_target import TrackedTarget

__all__ = ["KeyOrder", "ServiceTargets", "Utilization"]

MAX_KEYS = 4096  # affinity keys whose orders are cached
# Targets of a key's order that are cached; some of them may be unusable.
CACHED_LOCAL_RANKS = 16
CACHED_REMOTE_RANKS = 12
# Name that the affinity region of a key is hashed with; no target has this id.
_REGION_NAME = ""
# Seconds for which the utilization is kept if there are many targets; the loads of
# other instances are as old as this.
UTILIZATION_TTL = 0.25
MAX_UNCACHED_TARGETS = 32  # up to this number, the utilization is always computed
# A target's load counts up to this many times its slots.
MAX_TARGET_UTILIZATION = 2.0


@dataclass(frozen=True, slots=True)
class KeyOrder:
    """The targets that an affinity key prefers, best first.

    :param region_hash: number between 0 and 1 that decides on the affinity region.
    """

    local: tuple[TrackedTarget, ...]
    remote: tuple[TrackedTarget, ...]
    region_hash: float


@dataclass(frozen=True, slots=True)
class Utilization:
    """Slots and load of the usable targets that are not cold.

    :param local_slots: slots in the local region.
    :param all_slots: slots in all regions.
    :param local: load divided by slots over the local region, 1 without slots.
    :param has_free_slots: whether a target of the local region has a free slot.
    """

    local_slots: int
    all_slots: int
    local: float
    has_free_slots: bool


class ServiceTargets:
    """Local and remote targets of a service that a route may use.

    It is made anew when a target is added or removed, or weights change.

    :ivar source: the tuple of targets it was made from.
    :ivar weights_revision: revision of the weights it was made with.
    :ivar local: :class:`TargetGroup` of the targets in this instance's region.
    :ivar remote: :class:`TargetGroup` of the others.
    """

    __slots__ = (
        "_orders",
        "_utilization",
        "_utilization_expires",
        "local",
        "remote",
        "source",
        "weights_revision",
    )

    def __init__(self, source, weights, is_remote, is_allowed):
        """Divide the targets.

        :param weights: the :class:`~turmericrudder.steering.TargetWeights` in use.
        :param is_remote: function of a target.
        :param is_allowed: function of a target, whether the route may use it.
        """
        self.source = source
        self.weights_revision = weights.revision
        allowed = [target for target in source if is_allowed(target)]
        self.local = TargetGroup((t for t in allowed if not is_remote(t)), weights.get)
        self.remote = TargetGroup((t for t in allowed if is_remote(t)), weights.get)
        self._orders = {}
        self._utilization = None
        self._utilization_expires = 0.0

    def get_order(self, key):
        """Return the :class:`KeyOrder` of an affinity key, which is cached."""
        order = self._orders.get(key)
        if order is None:
            key_hash = get_hash(key)
            order = self._orders[key] = KeyOrder(
                self.local.rank(key_hash, CACHED_LOCAL_RANKS),
                self.remote.rank(key_hash, CACHED_REMOTE_RANKS),
                get_unit_hash(key, _REGION_NAME),
            )
            if len(self._orders) > MAX_KEYS:
                del self._orders[next(iter(self._orders))]
        return order

    def get_full_order(self, key):
        """Return the :class:`KeyOrder` of a key with all targets, without caching."""
        key_hash = get_hash(key)
        return KeyOrder(
            self.local.rank(key_hash, len(self.local.targets)),
            self.remote.rank(key_hash, len(self.remote.targets)),
            get_unit_hash(key, _REGION_NAME),
        )

    def get_utilization(self, is_usable, now):
        """Return the :class:`Utilization`, for many targets up to a quarter second old.

        :param is_usable: function of a target.
        """
        if (
            len(self.source) <= MAX_UNCACHED_TARGETS
            or self._utilization is None
            or now >= self._utilization_expires
        ):
            self._utilization = self._compute_utilization(is_usable, now)
            self._utilization_expires = now + UTILIZATION_TTL
        return self._utilization

    def _compute_utilization(self, is_usable, now):
        local_slots = remote_slots = 0
        local_load = 0.0
        has_free_slots = False
        for target in self.local.targets:
            if is_usable(target) and not target.is_cold(now):
                slots = target.endpoint.slots
                local_slots += slots
                load = target.get_load(now)
                local_load += min(load, MAX_TARGET_UTILIZATION * slots)
                has_free_slots = has_free_slots or load + 1 <= slots
        for target in self.remote.targets:
            if is_usable(target) and not target.is_cold(now):
                remote_slots += target.endpoint.slots
        return Utilization(
            local_slots,
            local_slots + remote_slots,
            local_load / local_slots if local_slots else 1.0,
            has_free_slots,
        )
