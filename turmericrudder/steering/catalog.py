"""The targets and evacuated failure domains, by the latest word of each."""

from .target_record import TargetRecord

__all__ = ["Catalog"]

# Seconds a withdrawn registration is remembered, so that a delayed older one
# cannot bring the target back. Longer than any call to the store lives.
TOMBSTONE = 60.0


class Catalog:
    """Registrations never go back: each carries the store's revision.

    :ivar has_settled: whether the store has been read whole once; targets that
        register later are new, and cold.
    """

    __slots__ = (
        "_by_service",
        "_evacuated",
        "_profiles",
        "_removed",
        "_targets",
        "_revisions",
        "has_settled",
    )

    def __init__(self):
        self._targets = {}
        self._revisions = {}
        self._removed = {}
        self._by_service = {}
        self._evacuated = set()
        self._profiles = {}
        self.has_settled = False

    def __len__(self):
        return len(self._targets)

    def set_profiles(self, profiles):
        """Take the services of the configuration in force."""
        self._profiles = profiles

    def get_profile(self, service):
        """Return the profile of a service, or ``None``."""
        return self._profiles.get(service)

    def get_record(self, target_id):
        """Return the record of a registered target, or ``None``."""
        return self._targets.get(target_id)

    def get_records(self, service):
        """Return the records of a service's registered targets."""
        return self._by_service.get(service, ())

    def is_usable(self, record):
        """Return whether a target may get new requests by all that was said."""
        endpoint = record.endpoint
        return not (
            endpoint.is_draining
            or record.is_gone
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
        record = self._targets.get(endpoint.id)
        if record is not None and endpoint.is_older_than(record.endpoint):
            return False
        self._revisions[endpoint.id] = revision
        self._removed.pop(endpoint.id, None)
        if record is None or not record.endpoint.is_same_start(endpoint):
            self._add(endpoint, revision, record, removed, now)
        else:
            record.revision = revision
            self._update(record, endpoint, now)
        return True

    def remove(self, target_id, revision, now):
        """Take the withdrawal of a registration; return whether it was news."""
        if revision <= self._revisions.get(target_id, 0):
            return False
        self._revisions[target_id] = revision
        record = self._targets.pop(target_id, None)
        if record is None:
            return False
        record.is_gone = True
        self._removed[target_id] = (record.endpoint, now)
        self._reindex(record.endpoint.service)
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
        for record in self._targets.values():
            if record.endpoint.failure_domain == failure_domain:
                self._cool(record, now, self._get_cold_start(record.endpoint))
        return True

    def _add(self, endpoint, revision, former, removed, now):
        record = TargetRecord(endpoint, revision)
        is_return = removed is not None and removed[0].is_same_start(endpoint)
        cold = endpoint.cold_left
        if self.has_settled and not is_return:
            cold = max(cold, self._get_cold_start(endpoint))
        self._cool(record, now, cold)
        if former is not None:
            former.is_gone = True
        self._targets[endpoint.id] = record
        self._reindex(endpoint.service)
        if former is not None and former.endpoint.service != endpoint.service:
            self._reindex(former.endpoint.service)

    def _update(self, record, endpoint, now):
        service = record.endpoint.service
        record.endpoint = endpoint
        record.is_gone = False
        self._cool(record, now, endpoint.cold_left)
        if service != endpoint.service:
            self._reindex(service)
            self._reindex(endpoint.service)

    def _cool(self, record, now, seconds):
        if seconds > 0:
            record.cold_until = max(record.cold_until, now + seconds)

    def _get_cold_start(self, endpoint):
        profile = self._profiles.get(endpoint.service)
        return profile.cold_start if profile is not None else 0.0

    def _reindex(self, service):
        self._by_service[service] = tuple(
            record
            for record in self._targets.values()
            if record.endpoint.service == service
        )

    def _forget_removed(self, now):
        old = [key for key, (_, at) in self._removed.items() if at < now - TOMBSTONE]
        for key in old:
            del self._removed[key]
            del self._revisions[key]
