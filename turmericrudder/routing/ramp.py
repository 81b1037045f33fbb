"""The share of a limit that is in force, which grows while it is in use."""

__all__ = ["Ramp"]


class Ramp:
    """A share that grows from ``floor`` to 1 within ``seconds`` of continuous use.

    While it is not in use it shrinks at the same rate, since the targets' caches
    turn cold.
    """

    __slots__ = ("_floor", "_seconds", "_share", "_updated_at")

    def __init__(self, floor, seconds):
        self._floor = floor
        self._seconds = seconds
        self._share = floor
        self._updated_at = None

    def get_share(self, now, in_use):
        """Update the share and return it.

        :param in_use: whether the share is in use now; this counts for all the time
            since the last call.
        """
        if self._updated_at is not None and self._seconds > 0:
            step = (1.0 - self._floor) * (now - self._updated_at) / self._seconds
            share = self._share + (step if in_use else -step)
            self._share = min(1.0, max(self._floor, share))
        elif self._seconds <= 0:
            self._share = 1.0
        self._updated_at = now
        return self._share
