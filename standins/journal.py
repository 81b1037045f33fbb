"""Journal of the requests that one target accepted or rejected."""

import time
from collections import Counter
from dataclasses import dataclass

__all__ = ["Journal", "JournalEntry"]


@dataclass(slots=True)
class JournalEntry:
    """One accepted request.

    :ivar key: idempotency key, or ``""`` without one.
    :ivar start_time: wall-clock time of its acceptance, in seconds.
    :ivar is_complete: whether it was processed to its end.
    :ivar end_time: wall-clock time of its end, or 0 while it is in flight.
    """

    key: str
    path: str
    start_time: float
    is_complete: bool = False
    end_time: float = 0.0


class Journal:
    """Counts accepted requests by key and path, and rejected ones by reason.

    :ivar in_flight: accepted requests that have not ended.
    """

    def __init__(self):
        self.in_flight = 0
        self._max_in_flight = 0
        self._run_counts = Counter()
        self._completed_keys = set()
        self._path_counts = Counter()
        self._rejection_counts = Counter()
        self._entries = []

    def record_start(self, key, path):
        """Record an accepted request and return its :class:`JournalEntry`."""
        self.in_flight += 1
        self._max_in_flight = max(self._max_in_flight, self.in_flight)
        if key:
            self._run_counts[key] += 1
        self._path_counts[path] += 1
        entry = JournalEntry(key, path, time.time())
        self._entries.append(entry)
        return entry

    def record_end(self, entry):
        """Record the end of a request, complete or not."""
        self.in_flight -= 1
        entry.end_time = time.time()
        if entry.is_complete:
            self._completed_keys.add(entry.key)

    def record_rejection(self, path, reason):
        """Count a request that the target rejected."""
        self._rejection_counts[reason] += 1

    def has_completed(self, key):
        """Return whether a request with this idempotency key was completed."""
        return key in self._completed_keys

    def make_document(self, name):
        """Return all counts as a JSON document.

        :param name: name of the target.
        """
        return {
            "name": name,
            "in_flight": self.in_flight,
            "most": self._max_in_flight,
            "runs": dict(self._run_counts),
            "paths": dict(self._path_counts),
            "refused": dict(self._rejection_counts),
        }

    def get_spans(self):
        """Return [path, key, start, end, is complete] of each accepted request.

        Times are of the wall clock, in seconds; the end is 0 for requests in flight.
        """
        return [
            [e.path, e.key, e.start_time, e.end_time, e.is_complete]
            for e in self._entries
        ]
