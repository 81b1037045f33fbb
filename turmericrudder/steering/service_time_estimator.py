"""Estimates of the service time of a route's requests, from earlier responses."""

__all__ = ["UNSEEN_OTHER", "UNSEEN_PREFERRED", "ServiceTimeEstimator"]

# Estimate keys for an affinity key that is not among the target's recent keys. For
# one that is, the estimate key is its age (see RecentKeys.get_age).
UNSEEN_PREFERRED = "first"  # the target has rank 0 for the affinity key
UNSEEN_OTHER = "other"  # the target has another rank

WEIGHT = 0.08  # minimum weight of one sample in the moving average
MAX_SAMPLE_FACTOR = 4.0  # samples are capped at this many times the estimate
# Priors: a key that the target has not handled takes longer than one that it has.
PRIOR_SEEN = 0.4  # fraction of the route's objective
PRIOR_UNSEEN_PREFERRED = 1.7  # factor on the estimate for recent keys
PRIOR_UNSEEN_OTHER = 4.0  # factor on the estimate for recent keys
MIN_SAMPLES = 4  # samples after which an estimate replaces its prior


class ServiceTimeEstimator:
    """Moving averages of a route's service time in seconds.

    There is one average for each age of the affinity key at the target, since a
    target takes longer for keys whose data has left its caches.
    """

    __slots__ = ("_estimates", "_objective")

    def __init__(self, objective):
        """Start with the priors.

        :param objective: the route's latency objective in seconds.
        """
        self._objective = objective
        self._estimates = {}  # key -> [seconds, sample count]

    def get(self, key):
        """Return the expected service time in seconds.

        :param key: an age, :data:`UNSEEN_PREFERRED` or :data:`UNSEEN_OTHER`; 0 for a
            request without an affinity key.
        """
        seconds = self._get_average(key)
        if key == UNSEEN_OTHER:
            # When all caches are empty, keys take long at their preferred targets too.
            # Other targets have not been tried then, but are no faster.
            seconds = max(seconds, self._get_average(UNSEEN_PREFERRED))
        return seconds

    def record(self, key, seconds):
        """Add a sample.

        :param key: as for :meth:`get`.
        :param seconds: measured service time divided by the target's slowdown.
        """
        estimate = self._estimates.get(key)
        if estimate is None:
            estimate = self._estimates[key] = [seconds, 0]
        seconds = min(seconds, MAX_SAMPLE_FACTOR * estimate[0])
        estimate[1] += 1
        weight = max(WEIGHT, 1.0 / estimate[1])
        estimate[0] += weight * (seconds - estimate[0])

    def _get_average(self, key):
        """Return the average of a key's samples, or its prior."""
        estimate = self._estimates.get(key)
        if estimate is not None and estimate[1] >= MIN_SAMPLES:
            return estimate[0]
        if key == UNSEEN_PREFERRED:
            return PRIOR_UNSEEN_PREFERRED * self.get_seen_key_seconds()
        if key == UNSEEN_OTHER:
            return PRIOR_UNSEEN_OTHER * self.get_seen_key_seconds()
        return self.get_seen_key_seconds()

    def get_seen_key_seconds(self):
        """Return the expected service time for recent keys of any age, in seconds."""
        seen = [
            estimate
            for key, estimate in self._estimates.items()
            if key not in (UNSEEN_PREFERRED, UNSEEN_OTHER)
            and estimate[1] >= MIN_SAMPLES
        ]
        if not seen:
            return PRIOR_SEEN * self._objective
        total = sum(estimate[1] for estimate in seen)
        return sum(estimate[0] * estimate[1] for estimate in seen) / total
