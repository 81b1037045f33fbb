"""Detects failed instances by their missing heartbeats."""

from dataclasses import dataclass

__all__ = ["DetectorResult", "FailureDetector"]

LATE_TICK_TOLERANCE = 0.1  # seconds by which a tick may be late
MAX_TIMEOUT_FACTOR = 8  # limit of the factor by which false alarms extend dead_after
FALSE_ALARM_TTL = 60.0  # seconds without a false alarm until earlier ones expire


@dataclass(frozen=True, slots=True)
class DetectorResult:
    """Names of the instances whose heartbeats are missing.

    :param suspected: instances whose heartbeats just became overdue; the other
        receivers of their heartbeats should be queried.
    :param failed: instances from which neither this instance nor another receiver
        got a heartbeat for ``dead_after``, extended by false alarms.
    """

    suspected: tuple[str, ...]
    failed: tuple[str, ...]


class FailureDetector:
    """Records the latest heartbeat of each monitored instance.

    A pause of this process looks as if all heartbeats were missing, so the time by
    which a tick is late does not count. Each false alarm doubles the timeout of the
    instance, so that instances short of processor time do not keep each other busy
    with false alarms.

    All methods that take ``now`` expect monotonic seconds.
    """

    __slots__ = (
        "_false_alarms",
        "_heartbeats",
        "_indirect_heartbeats",
        "_last_tick",
        "_suspected",
        "_timing",
    )

    def __init__(self, timing):
        """Initialize a detector that monitors no instance.

        :param timing: the :class:`~turmericrudder.settings.TimingSettings`.
        """
        self._timing = timing
        self._heartbeats = {}
        self._indirect_heartbeats = {}
        self._suspected = set()
        self._false_alarms = {}
        self._last_tick = None

    def set_monitored(self, names, now):
        """Replace the monitored instances.

        For a new one, ``now`` counts as the time of its latest heartbeat.
        """
        self._heartbeats = {name: self._heartbeats.get(name, now) for name in names}
        self._suspected &= self._heartbeats.keys()
        self._indirect_heartbeats = {
            n: t for n, t in self._indirect_heartbeats.items() if n in self._heartbeats
        }

    def record_heartbeat(self, name, now):
        """Record a heartbeat that arrived at this instance."""
        if name in self._heartbeats:
            self._heartbeats[name] = now
            self._suspected.discard(name)

    def record_indirect_heartbeat(self, name, now):
        """Record that another receiver gets heartbeats of the instance."""
        if name in self._heartbeats:
            self._indirect_heartbeats[name] = now

    def record_false_alarm(self, name, now):
        """Record that an instance was declared failed but is alive."""
        count, _ = self._false_alarms.get(name, (0, now))
        self._false_alarms[name] = (count + 1, now)

    def has_recent_heartbeat(self, name, now):
        """Return whether a heartbeat arrived within ``suspect_after``."""
        latest = self._heartbeats.get(name)
        return latest is not None and now - latest < self._timing.suspect_after

    def tick(self, now):
        """Return the :class:`DetectorResult` for the time ``now``.

        To be called once per heartbeat interval. An instance is reported as failed
        on each tick until it is no longer monitored.
        """
        self._compensate_late_tick(now)
        self._expire_false_alarms(now)
        suspected, failed = [], []
        for name, latest in self._heartbeats.items():
            if (
                now - latest >= self._timing.suspect_after
                and name not in self._suspected
            ):
                self._suspected.add(name)
                suspected.append(name)
            elapsed = now - max(latest, self._indirect_heartbeats.get(name, latest))
            if elapsed >= self._timing.dead_after * self._get_timeout_factor(name):
                failed.append(name)
        for name in failed:
            self._suspected.discard(name)
        return DetectorResult(tuple(suspected), tuple(failed))

    def _compensate_late_tick(self, now):
        """Move the times of all heartbeats by the seconds this tick is late."""
        last, self._last_tick = self._last_tick, now
        delay = 0.0 if last is None else now - last - self._timing.heartbeat
        if delay > LATE_TICK_TOLERANCE:
            self._heartbeats = {
                n: min(now, t + delay) for n, t in self._heartbeats.items()
            }
            self._indirect_heartbeats = {
                n: min(now, t + delay) for n, t in self._indirect_heartbeats.items()
            }

    def _get_timeout_factor(self, name):
        count, _ = self._false_alarms.get(name, (0, 0.0))
        return min(MAX_TIMEOUT_FACTOR, 2**count)

    def _expire_false_alarms(self, now):
        if self._false_alarms:
            self._false_alarms = {
                name: (count, since)
                for name, (count, since) in self._false_alarms.items()
                if now - since < FALSE_ALARM_TTL
            }
