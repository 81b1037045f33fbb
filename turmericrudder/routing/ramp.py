"""A share that grows with use and shrinks with pauses."""

__all__ = ["Ramp"]


class Ramp:
    """Grows from ``floor`` to 1 within ``seconds`` of continued use.

    Without use it shrinks at the same pace, since caches cool down.
    """

    __slots__ = ("_floor", "_seconds", "_share", "_used_at")

    def __init__(self, floor, seconds):
        self._floor = floor
        self._seconds = seconds
        self._share = floor
        self._used_at = None

    def get_share(self, now, in_use):
        """Return the share in force and note whether it is in use now."""
        if self._used_at is not None and self._seconds > 0:
            step = (1.0 - self._floor) * (now - self._used_at) / self._seconds
            moved = self._share + (step if in_use else -step)
            self._share = min(1.0, max(self._floor, moved))
        elif self._seconds <= 0:
            self._share = 1.0
        self._used_at = now
        return self._share
