"""Work that this instance sends to the targets of its own region."""

import math

__all__ = ["Demand"]

MEMORY = 1.0  # seconds; about as long as a target's queue takes to show


class Demand:
    """A decaying sum of work, as target-seconds a second."""

    __slots__ = ("_at", "_value")

    def __init__(self):
        self._value = 0.0
        self._at = None

    def note(self, work, now):
        """Count a request that will keep a target busy for ``work`` seconds."""
        self._value = self.get(now) + work / MEMORY
        self._at = now

    def get(self, now):
        """Return the target-seconds that were sent in a second."""
        if self._at is None:
            return 0.0
        return self._value * math.exp((self._at - now) / MEMORY)
