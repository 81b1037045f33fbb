"""A catalog of the registered targets and the evacuated failure domains."""

from .tracked_target import TrackedTarget

__all__ = ["EndpointCatalog"]

# Seconds for which a removed registration is remembered, so that a delayed older one
# cannot restore the target. Longer than the timeout of any call to the store.
TOMBSTONE_TTL = 60.0
# Requests in flight from this instance at a target that is registered after the first
# synchronization, until it responds. It may never do so, and others serve meanwhile.
MAX_TRIALS_OF_NEW = 2


class EndpointCatalog:
    """Holds the latest registration of each target, and its measurements.

    Registrations with an older store revision, or older according to the target's
    start time and sequence, are ignored.

    :ivar has_synced: whether the store has been read completely once. Targets that
        are registered later have just started and are cold: their caches are empty.
    """

    __slots__ = (
        "_by_service",
        "_evacuated_domains",
        "_profiles",
        "_revisions",
        "_targets",
        "_tombstones",
        "has_synced",
    )

    def __init__(self):
        self._targets = {}  # target id -> TrackedTarget
        self._revisions = {}  # target id -> latest store revision
        self._tombstones = {}  # target id -> (TrackedTarget, time of removal)
        self._by_service = {}  # service -> tuple of TrackedTarget
        self._evacuated_domains = set()
        self._profiles = {}
        self.has_synced = False

    def __len__(self):
        return len(self._targets)

    def begin_era(self):
        """Count the revisions known so far as older than all that follow.

        Called when the store was restored from an older copy and gives out revisions
        again.
        """
        self._revisions = dict.fromkeys(self._revisions, 0)

    def set_profiles(self, profiles):
        """Set the service profiles of the current configuration, by service."""
        self._profiles = profiles

    def get_profile(self, service):
        """Return the :class:`ServiceProfile` of a service, or ``None``."""
        return self._profiles.get(service)

    def get_target(self, target_id):
        """Return the :class:`TrackedTarget` of a registered target, or ``None``."""
        return self._targets.get(target_id)

    def get_services(self):
        """Return the names of the services that have or had registered targets."""
        return list(self._by_service)

    def get_targets(self, service):
        """Return the registered targets of a service as :class:`TrackedTarget`.

        It is a new tuple after each change that may change the order of targets.
        """
        return self._by_service.get(service, ())

    def count_limited(self):
        """Return the number of targets that have named a limit on their requests."""
        return sum(
            target.rate_limiter.limit is not None for target in self._targets.values()
        )

    def count_leaving(self):
        """Return the number of registered targets that said that they leave."""
        return sum(target.notices.is_leaving for target in self._targets.values())

    def count_paused(self, now):
        """Return the number of registered targets that want no requests now."""
        return sum(target.notices.is_paused(now) for target in self._targets.values())

    def is_usable(self, target):
        """Return whether a target may get new requests.

        It may not while it is draining, leaving, removed or in an evacuated failure
        domain.
        """
        endpoint = target.endpoint
        return not (
            endpoint.is_draining
            or target.is_removed
            or target.notices.is_leaving
            or endpoint.failure_domain in self._evacuated_domains
        )

    def put(self, endpoint, revision, now):
        """Add or update a registration.

        :param revision: revision of the registration in the store.
        :returns: whether it changed the catalog; ``False`` if it is out of date.
        """
        known_revision = self._revisions.get(endpoint.id, 0)
        if revision <= known_revision:
            return False
        removed, _ = self._tombstones.get(endpoint.id, (None, None))
        target = self._targets.get(endpoint.id, removed)
        if target is not None and endpoint.is_older_than(target.endpoint):
            return False
        self._revisions[endpoint.id] = revision
        self._tombstones.pop(endpoint.id, None)
        if target is None or not target.endpoint.is_same_incarnation(endpoint):
            self._add(endpoint, revision, target, now)
        else:
            target.revision = revision
            self._update(target, endpoint, now)
        return True

    def remove(self, target_id, revision, now):
        """Remove a registration.

        :param revision: revision of the removal in the store.
        :returns: whether a registered target was removed.
        """
        if revision <= self._revisions.get(target_id, 0):
            return False
        self._revisions[target_id] = revision
        target = self._targets.pop(target_id, None)
        if target is None:
            return False
        target.is_removed = True
        self._tombstones[target_id] = (target, now)
        self._reindex(target.endpoint.service)
        self._purge_tombstones(now)
        return True

    def get_evacuated_domains(self):
        """Return the names of evacuated failure domains as a frozenset."""
        return frozenset(self._evacuated_domains)

    def evacuate(self, failure_domain):
        """Stop requests to a failure domain.

        :returns: ``False`` if it was evacuated already.
        """
        if failure_domain in self._evacuated_domains:
            return False
        self._evacuated_domains.add(failure_domain)
        return True

    def restore(self, failure_domain, now):
        """End the evacuation of a failure domain.

        Its targets are marked cold, since they may have become cold meanwhile
        without a new registration.

        :returns: ``False`` if it was not evacuated.
        """
        if failure_domain not in self._evacuated_domains:
            return False
        self._evacuated_domains.discard(failure_domain)
        for target in self._targets.values():
            if target.endpoint.failure_domain == failure_domain:
                self._mark_cold(target, now, self._get_cold_start(target.endpoint))
        return True

    def _add(self, endpoint, revision, previous, now):
        """Track a new incarnation, without the measurements of the previous one.

        It is cold for its ``cold_remaining``, and at least for the ``cold_start`` of
        its service unless it was registered before the first synchronization.
        """
        target = TrackedTarget(endpoint, revision)
        cold = endpoint.cold_remaining
        if self.has_synced:
            cold = max(cold, self._get_cold_start(endpoint))
            target.trial_limit = min(MAX_TRIALS_OF_NEW, endpoint.slots)
        if previous is not None:
            previous.is_removed = True
            target.cold = previous.cold.make_successor()
        self._mark_cold(target, now, cold)
        self._targets[endpoint.id] = target
        self._reindex(endpoint.service)
        if previous is not None and previous.endpoint.service != endpoint.service:
            self._reindex(previous.endpoint.service)

    def _update(self, target, endpoint, now):
        """Update an incarnation that is registered or is registered again."""
        was_registered = endpoint.id in self._targets
        self._targets[endpoint.id] = target
        previous, target.endpoint = target.endpoint, endpoint
        target.is_removed = False
        self._mark_cold(target, now, endpoint.cold_remaining)
        if previous.service != endpoint.service:
            self._reindex(previous.service)
        if not was_registered or not previous.is_ranked_like(endpoint):
            self._reindex(endpoint.service)

    def _mark_cold(self, target, now, seconds):
        if seconds > 0:
            target.cold.mark_cold(now + seconds)

    def _get_cold_start(self, endpoint):
        profile = self._profiles.get(endpoint.service)
        return profile.cold_start if profile is not None else 0.0

    def _reindex(self, service):
        self._by_service[service] = tuple(
            target
            for target in self._targets.values()
            if target.endpoint.service == service
        )

    def _purge_tombstones(self, now):
        expired = [
            target_id
            for target_id, (_, removed_at) in self._tombstones.items()
            if removed_at < now - TOMBSTONE_TTL
        ]
        for target_id in expired:
            del self._tombstones[target_id]
            del self._revisions[target_id]
