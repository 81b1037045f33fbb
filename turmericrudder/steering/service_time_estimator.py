"""How long requests of a route keep a target busy, learned from answers."""

__all__ = ["UNSEEN_OTHER", "UNSEEN_PREFERRED", "ServiceTimeEstimator"]

# Keys of the estimates beside the ages of recently handled objects.
UNSEEN_PREFERRED = "first"  # not seen here, and the target is the first choice for it
UNSEEN_OTHER = "other"  # not seen here, and the target is no first choice

WEIGHT = 0.08  # of one answer, once there are enough of them
OUTLIER = 4.0  # one answer counts as at most this many times the estimate
# Until answers say otherwise: an object that a target has not handled takes
# longer than one that it has, and an answer takes part of its objective.
PRIOR_SEEN = 0.4  # of the objective
PRIOR_FIRST = 1.7  # of the estimate for an object just seen
PRIOR_OTHER = 2.5  # of the estimate for an object just seen
MIN_SAMPLES = 4  # answers before an estimate replaces its prior


class ServiceTimeEstimator:
    """Seconds of work by how lately the target handled the object."""

    __slots__ = ("_objective", "_values")

    def __init__(self, objective):
        """Start from the route's objective in seconds."""
        self._objective = objective
        self._values = {}  # key -> [seconds, answers]

    def get(self, key):
        """Return the expected seconds.

        :param key: an age, :data:`UNSEEN_PREFERRED` or :data:`UNSEEN_OTHER`.
        """
        value = self._values.get(key)
        if value is not None and value[1] >= MIN_SAMPLES:
            return value[0]
        if key == UNSEEN_PREFERRED:
            return PRIOR_FIRST * self.get_seen()
        if key == UNSEEN_OTHER:
            return PRIOR_OTHER * self.get_seen()
        return self.get_seen()

    def record(self, key, seconds):
        """Take the work of one answer, freed of what slowed its target."""
        value = self._values.get(key)
        if value is None:
            value = self._values[key] = [seconds, 0]
        seconds = min(seconds, OUTLIER * value[0])
        value[1] += 1
        weight = max(WEIGHT, 1.0 / value[1])
        value[0] += weight * (seconds - value[0])

    def get_seen(self):
        """Return the expected seconds for an object that was handled lately."""
        seen = [
            value
            for key, value in self._values.items()
            if key not in (UNSEEN_PREFERRED, UNSEEN_OTHER) and value[1] >= MIN_SAMPLES
        ]
        if not seen:
            return PRIOR_SEEN * self._objective
        total = sum(value[1] for value in seen)
        return sum(value[0] * value[1] for value in seen) / total
