"""Keep the share of requests that leave their region from jumping."""

__all__ = ["RegionShift"]

WINDOW = 2.0  # seconds; the unit in which a change of the share is judged
SAFETY = 0.6  # part of the bound that is used; windows of others overlap ours
MIN_REQUESTS = 20  # requests in a window before a share means something


class RegionShift:
    """The share of one instance's requests that run in another region.

    It changes by a part of the bound at most from one window to the next. The
    first window with enough requests is free, for nothing came before it.
    """

    __slots__ = ("_away", "_began", "_last_share", "_step", "_total")

    def __init__(self, most):
        """Start without any request.

        :param most: bound on the change of the share in a window.
        """
        self._step = SAFETY * most
        self._began = None
        self._total = self._away = 0
        self._last_share = None

    def may_leave(self, now):
        """Return whether one more request may run in another region."""
        self._turn(now)
        if self._last_share is None:
            return True
        limit = self._last_share + self._step
        return self._away + 1 <= limit * max(self._total + 1, MIN_REQUESTS)

    def may_stay(self, now):
        """Return whether one more request may run in its own region."""
        self._turn(now)
        if self._last_share is None:
            return True
        home = self._total - self._away
        limit = 1.0 - self._last_share + self._step
        return home + 1 <= limit * max(self._total + 1, MIN_REQUESTS)

    def note(self, is_away, now):
        """Count a request that is sent."""
        self._turn(now)
        self._total += 1
        self._away += is_away

    def _turn(self, now):
        if self._began is None:
            self._began = now
        if now - self._began < WINDOW:
            return
        if self._total >= MIN_REQUESTS:
            self._last_share = self._away / self._total
        self._began = now
        self._total = self._away = 0
