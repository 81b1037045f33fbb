"""Load reports that an instance has received and not yet sent to others."""

from dataclasses import dataclass

from ..ranges import MAX_COUNT

__all__ = ["LoadCollector", "TargetReport"]

MAX_TARGETS = 1024  # targets that are remembered between two sends


@dataclass(slots=True)
class TargetReport:
    """The load reports of one target, the latest and what is needed for a mean.

    :param load: active and queued requests in the latest report.
    :param slowdown: factor by which the target is slower than usual, in the latest.
    :param reported_at: monotonic time of the latest, on the clock of its owner.
    :param utilization_sum: sum over all reports of their load divided by the slots.
    :param count: number of reports.
    """

    target_id: str
    load: int
    slowdown: float
    reported_at: float
    utilization_sum: float = 0.0
    count: int = 0


class LoadCollector:
    """Collects the load reports between two calls of :meth:`take`."""

    __slots__ = ("_reports",)

    def __init__(self):
        self._reports = {}  # target id -> TargetReport

    def record(self, target_id, load, now):
        """Add a :class:`ServerLoad`."""
        report = self._reports.get(target_id)
        if report is None:
            if len(self._reports) >= MAX_TARGETS:
                return
            report = self._reports[target_id] = TargetReport(target_id, 0, 1.0, now)
        report.load = load.active + load.queued
        report.slowdown = load.slowdown
        report.reported_at = now
        if report.count < MAX_COUNT:
            report.utilization_sum += report.load / load.slots
            report.count += 1

    def take(self):
        """Return the :class:`TargetReport` list and start anew."""
        reports, self._reports = self._reports, {}
        return list(reports.values())
