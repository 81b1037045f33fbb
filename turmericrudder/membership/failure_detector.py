"""Decide from heartbeats who went silent, without sockets or clocks."""

from dataclasses import dataclass

__all__ = ["DetectorResult", "FailureDetector"]

LATE_SLACK = 0.1  # seconds by which a tick may be late and count as on time
MAX_PATIENCE = 8  # times the usual silence
FORGIVE_AFTER = 60.0  # seconds without a false alarm


@dataclass(frozen=True, slots=True)
class DetectorResult:
    """Names whose heartbeats are missing.

    :param suspected: silent long enough to ask the other watchers.
    :param failed: silent still, and nobody else heard them since.
    """

    suspected: tuple[str, ...]
    failed: tuple[str, ...]


class FailureDetector:
    """When each watched instance was last heard, here or by another watcher.

    A pause of this process itself looks like silence of everybody, so the time
    by which a tick comes late does not count. An instance that was called
    failed and was alive gets twice the time, so that instances short of
    processor time do not keep each other busy with false alarms.
    """

    __slots__ = (
        "_asked",
        "_false_alarms",
        "_heard",
        "_last_tick",
        "_timing",
        "_vouched",
    )

    def __init__(self, timing):
        self._timing = timing
        self._heard = {}
        self._vouched = {}
        self._asked = set()
        self._false_alarms = {}
        self._last_tick = None

    def set_monitored(self, names, now):
        """Watch exactly these names; new ones count as heard just now."""
        self._heard = {name: self._heard.get(name, now) for name in names}
        self._asked &= self._heard.keys()
        self._vouched = {n: t for n, t in self._vouched.items() if n in self._heard}

    def record_heartbeat(self, name, now):
        """Note a heartbeat."""
        if name in self._heard:
            self._heard[name] = now
            self._asked.discard(name)

    def record_indirect_heartbeat(self, name, now):
        """Note that another watcher hears the name."""
        if name in self._heard:
            self._vouched[name] = now

    def record_false_alarm(self, name, now):
        """Note that an instance was called failed and is alive."""
        count, _ = self._false_alarms.get(name, (0, now))
        self._false_alarms[name] = (count + 1, now)

    def has_recent_heartbeat(self, name, now):
        """Return whether heartbeats of the name arrive here."""
        heard = self._heard.get(name)
        return heard is not None and now - heard < self._timing.suspect_after

    def tick(self, now):
        """Return who has become silent by ``now`` (seconds, monotonic)."""
        self._skip_lateness(now)
        self._forgive(now)
        suspected, failed = [], []
        for name, heard in self._heard.items():
            if now - heard >= self._timing.suspect_after and name not in self._asked:
                self._asked.add(name)
                suspected.append(name)
            silence = now - max(heard, self._vouched.get(name, heard))
            if silence >= self._timing.dead_after * self._get_patience(name):
                failed.append(name)
        for name in failed:
            self._asked.discard(name)
        return DetectorResult(tuple(suspected), tuple(failed))

    def _skip_lateness(self, now):
        """Move all times by what this tick is late."""
        last, self._last_tick = self._last_tick, now
        late = 0.0 if last is None else now - last - self._timing.heartbeat
        if late > LATE_SLACK:
            self._heard = {n: min(now, t + late) for n, t in self._heard.items()}
            self._vouched = {n: min(now, t + late) for n, t in self._vouched.items()}

    def _get_patience(self, name):
        count, _ = self._false_alarms.get(name, (0, 0.0))
        return min(MAX_PATIENCE, 2**count)

    def _forgive(self, now):
        if self._false_alarms:
            self._false_alarms = {
                name: (count, since)
                for name, (count, since) in self._false_alarms.items()
                if now - since < FORGIVE_AFTER
            }
