"""The targets and evacuated failure domains, by the latest word of each."""

from .tracked_target import TrackedTarget

__all__ = ["EndpointCatalog"]

# Seconds a withdrawn registration is remembered, so that a delayed older one
# cannot bring the target back. Longer than any call to the store lives.
TOMBSTONE = 60.0


class EndpointCatalog:
    """Registrations never go back: each carries the store's revision.

    :ivar has_synced: whether the store has been read whole once; targets that
        register later are new, and cold.
    """

    __slots__ = (
        "_by_service",
        "_evacuated",
        "_profiles",
        "_removed",
        "_revisions",
        "_targets",
        "has_synced",
    )

    def __init__(self):
        self._targets = {}
        self._revisions = {}
        self._removed = {}
        self._by_service = {}
        self._evacuated = set()
        self._profiles = {}
        self.has_synced = False

    def __len__(self):
        return len(self._targets)

    def set_profiles(self, profiles):
        """Take the services of the configuration in force."""
        self._profiles = profiles

    def get_profile(self, service):
        """Return the profile of a service, or ``None``."""
        return self._profiles.get(service)

    def get_target(self, target_id):
        """Return the record of a registered target, or ``None``."""
        return self._targets.get(target_id)

    def get_targets(self, service):
        """Return the records of a service's registered targets."""
        return self._by_service.get(service, ())

    def is_usable(self, target):
        """Return whether a target may get new requests by all that was said."""
        endpoint = target.endpoint
        return not (
            endpoint.is_draining
            or target.is_removed
            or endpoint.failure_domain in self._evacuated
        )

    def put(self, endpoint, revision, now):
        """Take a registration; return whether it was news."""
        known = self._revisions.get(endpoint.id, 0)
        if revision <= known:
            return False
        removed = self._removed.get(endpoint.id)
        if removed is not None and endpoint.is_older_than(removed[0]):
            return False
        target = self._targets.get(endpoint.id)
        if target is not None and endpoint.is_older_than(target.endpoint):
            return False
        self._revisions[endpoint.id] = revision
        self._removed.pop(endpoint.id, None)
        if target is None or not target.endpoint.is_same_incarnation(endpoint):
            self._add(endpoint, revision, target, removed, now)
        else:
            target.revision = revision
            self._update(target, endpoint, now)
        return True

    def remove(self, target_id, revision, now):
        """Take the withdrawal of a registration; return whether it was news."""
        if revision <= self._revisions.get(target_id, 0):
            return False
        self._revisions[target_id] = revision
        target = self._targets.pop(target_id, None)
        if target is None:
            return False
        target.is_removed = True
        self._removed[target_id] = (target.endpoint, now)
        self._reindex(target.endpoint.service)
        self._forget_removed(now)
        return True

    def get_evacuated(self):
        """Return the names of evacuated failure domains."""
        return frozenset(self._evacuated)

    def evacuate(self, failure_domain):
        """Send nothing more to a failure domain; return whether it was news."""
        if failure_domain in self._evacuated:
            return False
        self._evacuated.add(failure_domain)
        return True

    def restore(self, failure_domain, now):
        """Use a failure domain again; return whether it was news.

        Its targets may have become cold meanwhile without a word of it.
        """
        if failure_domain not in self._evacuated:
            return False
        self._evacuated.discard(failure_domain)
        for target in self._targets.values():
            if target.endpoint.failure_domain == failure_domain:
                self._cool(target, now, self._get_cold_start(target.endpoint))
        return True

    def _add(self, endpoint, revision, former, removed, now):
        target = TrackedTarget(endpoint, revision)
        is_return = removed is not None and removed[0].is_same_incarnation(endpoint)
        cold = endpoint.cold_remaining
        if self.has_synced and not is_return:
            cold = max(cold, self._get_cold_start(endpoint))
        self._cool(target, now, cold)
        if former is not None:
            former.is_removed = True
        self._targets[endpoint.id] = target
        self._reindex(endpoint.service)
        if former is not None and former.endpoint.service != endpoint.service:
            self._reindex(former.endpoint.service)

    def _update(self, target, endpoint, now):
        service = target.endpoint.service
        target.endpoint = endpoint
        target.is_removed = False
        self._cool(target, now, endpoint.cold_remaining)
        if service != endpoint.service:
            self._reindex(service)
            self._reindex(endpoint.service)

    def _cool(self, target, now, seconds):
        if seconds > 0:
            target.cold_until = max(target.cold_until, now + seconds)

    def _get_cold_start(self, endpoint):
        profile = self._profiles.get(endpoint.service)
        return profile.cold_start if profile is not None else 0.0

    def _reindex(self, service):
        self._by_service[service] = tuple(
            target
            for target in self._targets.values()
            if target.endpoint.service == service
        )

    def _forget_removed(self, now):
        old = [key for key, (_, at) in self._removed.items() if at < now - TOMBSTONE]
        for key in old:
            del self._removed[key]
            del self._revisions[key]
