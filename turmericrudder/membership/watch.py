"""Decide from heartbeats who went silent, without sockets or clocks."""

from dataclasses import dataclass

__all__ = ["Silence", "Watch"]

PAUSE_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class Silence:
    """Names whose heartbeats are missing.

    :param suspected: silent long enough to ask the other watchers.
    :param failed: silent still, and nobody else heard them since.
    """

    suspected: tuple[str, ...]
    failed: tuple[str, ...]


class Watch:
    """When each watched instance was last heard, here or by another watcher.

    A pause of this process itself looks like silence of everybody; after one,
    all times start anew.
    """

    __slots__ = ("_asked", "_heard", "_last_tick", "_timing", "_vouched")

    def __init__(self, timing):
        self._timing = timing
        self._heard = {}
        self._vouched = {}
        self._asked = set()
        self._last_tick = None

    def set_watched(self, names, now):
        """Watch exactly these names; new ones count as heard just now."""
        self._heard = {name: self._heard.get(name, now) for name in names}
        self._asked &= self._heard.keys()
        self._vouched = {n: t for n, t in self._vouched.items() if n in self._heard}

    def hear(self, name, now):
        """Note a heartbeat."""
        if name in self._heard:
            self._heard[name] = now
            self._asked.discard(name)

    def vouch(self, name, now):
        """Note that another watcher hears the name."""
        if name in self._heard:
            self._vouched[name] = now

    def is_heard(self, name, now):
        """Return whether heartbeats of the name arrive here."""
        heard = self._heard.get(name)
        return heard is not None and now - heard < self._timing.suspect_after

    def tick(self, now):
        """Return who has become silent by ``now`` (seconds, monotonic)."""
        self._reset_after_pause(now)
        suspected, failed = [], []
        for name, heard in self._heard.items():
            if now - heard >= self._timing.suspect_after and name not in self._asked:
                self._asked.add(name)
                suspected.append(name)
            if now - max(heard, self._vouched.get(name, heard)) >= (
                self._timing.dead_after
            ):
                failed.append(name)
        for name in failed:
            self._asked.discard(name)
        return Silence(tuple(suspected), tuple(failed))

    def _reset_after_pause(self, now):
        last, self._last_tick = self._last_tick, now
        if last is not None and now - last > PAUSE_FACTOR * self._timing.heartbeat:
            self._heard = dict.fromkeys(self._heard, now)
            self._asked.clear()
