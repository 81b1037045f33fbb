"""What ran at one target, when, and under which key."""

import time
from collections import Counter
from dataclasses import dataclass

__all__ = ["Entry", "Journal"]


@dataclass(slots=True)
class Entry:
    """One request that was let in."""

    key: str
    path: str
    began: float
    finished: bool = False
    ended: float = 0.0


class Journal:
    """Counts runs by key, refusals, and the most requests held at once."""

    def __init__(self):
        self.in_flight = 0
        self._most = 0
        self._runs = Counter()
        self._finished = set()
        self._paths = Counter()
        self._refused = Counter()
        self._entries = []

    def start(self, key, path):
        """Note a request that is let in; return its entry."""
        self.in_flight += 1
        self._most = max(self._most, self.in_flight)
        if key:
            self._runs[key] += 1
        self._paths[path] += 1
        entry = Entry(key, path, time.time())
        self._entries.append(entry)
        return entry

    def end(self, entry):
        """Note the end of a request."""
        self.in_flight -= 1
        entry.ended = time.time()
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
        return {
            "name": name,
            "in_flight": self.in_flight,
            "most": self._most,
            "runs": dict(self._runs),
            "paths": dict(self._paths),
            "refused": dict(self._refused),
        }

    def get_spans(self):
        """Return [path, key, begin, end, finished] of all that was let in.

        Times are of the wall clock in seconds, 0 as the end of what runs still.
        """
        return [[e.path, e.key, e.began, e.ended, e.finished] for e in self._entries]
