"""Admission to a target whose own failure domain has no live instance here."""

__all__ = ["AdoptedTargetLimiter"]

BACKOFF_REPORTS = 3


class AdoptedTargetLimiter:
    """Requests that the latest report of the target allows.

    The silent owner may be cut off from here and not from the target. Each
    report without work of others allows twice as many requests as the one
    before; a sign of another owner stops admission for some reports.
    """

    __slots__ = ("_allowed", "_backoff", "_step")

    def __init__(self):
        self._allowed = 0
        self._step = 1
        self._backoff = 0

    def take(self):
        """Count a request that is sent now."""
        self._allowed -= 1

    def is_open(self):
        """Return whether a request may be sent."""
        return self._allowed > 0

    def report(self, in_flight, own, slots):
        """Take a fresh report.

        :param in_flight: requests the target runs, by its own word.
        :param own: requests of ours in flight at the same time.
        """
        if in_flight > own:
            self.withdraw()
            return
        if self._backoff:
            self._backoff -= 1
            return
        self._allowed = min(self._step, slots - own)
        self._step = min(2 * self._step, slots)

    def withdraw(self):
        """Stop: the target does work that is not ours."""
        self._allowed = 0
        self._step = 1
        self._backoff = BACKOFF_REPORTS
