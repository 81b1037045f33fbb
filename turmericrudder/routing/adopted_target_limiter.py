"""Limits admission to a target that may have a second, unreachable owner."""

__all__ = ["AdoptedTargetLimiter"]

BACKOFF_REPORTS = 3  # load reports for which admission stays stopped


class AdoptedTargetLimiter:
    """Admits requests to an adopted target according to its load reports.

    A target is adopted if no instance of its own failure domain is known to be live,
    but one may run there, unreachable from this instance, and send requests to the
    target. Therefore, the first load report that shows only requests of this
    instance admits one request, and each further one twice as many as the report
    before, up to the number of slots. Any sign of another owner stops admission for
    :data:`BACKOFF_REPORTS` reports.
    """

    __slots__ = ("_allowed", "_backoff", "_step")

    def __init__(self):
        self._allowed = 0
        self._step = 1
        self._backoff = 0

    def record_request(self):
        """Count a request that is sent now."""
        self._allowed -= 1

    def has_capacity(self):
        """Return whether another request may be sent before the next report."""
        return self._allowed > 0

    def record_load_report(self, in_flight, own_in_flight, slots):
        """Update the number of admitted requests from a new load report.

        :param in_flight: in-flight requests that the target reported.
        :param own_in_flight: in-flight requests of this instance at the target.
        :param slots: slots of the target.
        """
        if in_flight > own_in_flight:
            self.stop_admission()
            return
        if self._backoff:
            self._backoff -= 1
            return
        self._allowed = min(self._step, slots - own_in_flight)
        self._step = min(2 * self._step, slots)

    def stop_admission(self):
        """Admit no requests for some reports, as the target may have another owner."""
        self._allowed = 0
        self._step = 1
        self._backoff = BACKOFF_REPORTS
