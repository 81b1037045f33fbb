"""The latest load of each target that any instance of a region has reported."""

from heapq import nlargest

__all__ = ["LoadBoard"]

MAX_AGE = 2.0  # seconds after which a report says nothing about the load
MAX_TARGETS = 4096
# Reports in one response. Of more, those of the highest loads are sent: a target that
# is not mentioned is assumed to have room.
MAX_REPORTS = 64


class LoadBoard:
    """Keeps reports in the order in which they arrived."""

    __slots__ = ("_latest",)

    def __init__(self):
        self._latest = {}  # target id -> (arrival time, TargetReport), oldest first

    def record(self, report, now):
        """Keep a :class:`TargetReport` unless a later one is known."""
        known = self._latest.get(report.target_id)
        if known is not None:
            if known[1].reported_at >= report.reported_at:
                return
            del self._latest[report.target_id]
        self._latest[report.target_id] = (now, report)
        if len(self._latest) > MAX_TARGETS:
            del self._latest[next(iter(self._latest))]

    def get_since(self, since, now):
        """Return the reports that arrived after a time, the highest loads of them.

        :param since: monotonic time.
        """
        since = max(since, now - MAX_AGE)
        reports = []
        for arrived_at, report in reversed(self._latest.values()):
            if arrived_at <= since:
                break
            reports.append(report)
        if len(reports) <= MAX_REPORTS:
            return reports
        return nlargest(MAX_REPORTS, reports, key=lambda report: report.load)
