"""Bound extra work, such as retries and hedges, by a share of the work."""

__all__ = ["Budget"]


class Budget:
    """Each request earns ``share`` of an extra one, up to ``burst`` saved.

    Nothing is saved at the start, so that the share holds over any time.
    """

    __slots__ = ("_burst", "_saved", "_share")

    def __init__(self, share, burst):
        self._share = share
        self._burst = burst
        self._saved = 0.0

    def earn(self):
        """Count one ordinary request."""
        self._saved = min(self._burst, self._saved + self._share)

    def spend(self):
        """Return whether one extra request may be sent, and count it."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
