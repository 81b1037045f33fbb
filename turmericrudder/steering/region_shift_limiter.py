"""Keep the share of requests that leave their region from jumping."""

__all__ = ["RegionShiftLimiter"]

WINDOW = 2.0  # seconds; the unit in which a change of the share is judged
SAFETY = 0.6  # part of the bound that is used; windows of others overlap ours
MIN_REQUESTS = 8  # requests before a share means something; fewer wait for more
MAX_CREDIT = 2.0  # requests that may leave, or stay, at once beyond their share


class RegionShiftLimiter:
    """The share of one instance's requests that run in another region.

    It changes by a part of the bound at most from one window to the next. The
    first window with enough requests is free, for nothing came before it. Each
    request earns the part of a departure, and of a stay, that is allowed.
    """

    __slots__ = (
        "_away",
        "_began",
        "_leave_credit",
        "_share",
        "_stay_credit",
        "_step",
        "_total",
    )

    def __init__(self, most):
        """Start without any request.

        :param most: bound on the change of the share in a window.
        """
        self._step = SAFETY * most
        self._began = None
        self._total = self._away = 0
        self._share = None
        self._leave_credit = self._stay_credit = MAX_CREDIT

    def may_go_remote(self, now):
        """Return whether one more request may run in another region."""
        self._turn(now)
        return self._share is None or self._leave_credit >= 1.0

    def may_stay_local(self, now):
        """Return whether one more request may run in its own region."""
        self._turn(now)
        return self._share is None or self._stay_credit >= 1.0

    def record_request(self, is_remote, now):
        """Count a request that is sent."""
        self._turn(now)
        self._total += 1
        self._away += is_remote
        if self._share is None:
            return
        leave = min(1.0, self._share + self._step)
        stay = min(1.0, 1.0 - self._share + self._step)
        self._leave_credit = min(
            MAX_CREDIT, self._leave_credit + leave - (1.0 if is_remote else 0.0)
        )
        self._stay_credit = min(
            MAX_CREDIT, self._stay_credit + stay - (0.0 if is_remote else 1.0)
        )

    def _turn(self, now):
        if self._began is None:
            self._began = now
        if now - self._began < WINDOW or self._total < MIN_REQUESTS:
            return
        self._share = self._away / self._total
        self._began = now
        self._total = self._away = 0
