"""What ran at one target, when, and under which key."""

from collections import Counter
from dataclasses import dataclass

import anyio

__all__ = ["Entry", "Journal"]


@dataclass(slots=True)
class Entry:
    """One request that was let in."""

    key: str
    path: str
    began: float
    finished: bool = False


class Journal:
    """Counts runs by key, refusals, and the most requests held at once."""

    def __init__(self):
        self.in_flight = 0
        self._most = 0
        self._runs = Counter()
        self._finished = set()
        self._paths = Counter()
        self._refused = Counter()
        self._last_start = 0.0

    def start(self, key, path):
        """Note a request that is let in; return its entry."""
        self.in_flight += 1
        self._most = max(self._most, self.in_flight)
        self._last_start = anyio.current_time()
        if key:
            self._runs[key] += 1
        self._paths[path] += 1
        return Entry(key, path, self._last_start)

    def end(self, entry):
        """Note the end of a request."""
        self.in_flight -= 1
        if entry.finished:
            self._finished.add(entry.key)

    def refuse(self, path, reason):
        """Note a request that did not run."""
        self._refused[reason] += 1

    def is_finished(self, key):
        """Return whether a request under this key ran to its end."""
        return key in self._finished

    def describe(self, name):
        """Return everything as a document."""
        now = anyio.current_time()
        return {
            "name": name,
            "in_flight": self.in_flight,
            "most": self._most,
            "runs": dict(self._runs),
            "paths": dict(self._paths),
            "refused": dict(self._refused),
            "seconds_since_start": now - self._last_start,
        }
