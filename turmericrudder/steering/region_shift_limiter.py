"""A limit on changes of the share of requests that run in remote regions."""

__all__ = ["RegionShiftLimiter"]

WINDOW = 2.0  # seconds; the share is compared from one window to the next
USED_FRACTION = 0.6  # fraction of the bound used; other instances' windows overlap
MIN_REQUESTS = 8  # a window with fewer is extended; its share is too coarse
MAX_CREDIT = 2.0  # requests that may go remote, or stay local, in a burst


class RegionShiftLimiter:
    """Limits the change of one instance's share of remote requests.

    There is one token bucket for remote requests and one for local ones. Every request
    adds to each bucket the largest share that the bound permits for that kind, and
    takes 1 token from the bucket of its own kind. Nothing is limited until the first
    window has ended, since there is no earlier share to compare with.
    """

    __slots__ = (
        "_local_credit",
        "_max_step",
        "_remote_count",
        "_remote_credit",
        "_remote_share",
        "_request_count",
        "_window_start",
    )

    def __init__(self, max_change):
        """Start without requests.

        :param max_change: bound on the change of the share from one window to the
            next, 0 to 1.
        """
        self._max_step = USED_FRACTION * max_change
        self._window_start = None
        self._request_count = self._remote_count = 0
        self._remote_share = None  # of the last complete window
        self._remote_credit = self._local_credit = MAX_CREDIT

    def may_go_remote(self, now):
        """Return whether one more request may run in a remote region."""
        self._advance_window(now)
        return self._remote_share is None or self._remote_credit >= 1.0

    def may_stay_local(self, now):
        """Return whether one more request may run in the local region."""
        self._advance_window(now)
        return self._remote_share is None or self._local_credit >= 1.0

    def record_request(self, is_remote, now):
        """Count a request that is sent now."""
        self._advance_window(now)
        self._request_count += 1
        self._remote_count += is_remote
        if self._remote_share is None:
            return
        max_remote = min(1.0, self._remote_share + self._max_step)
        max_local = min(1.0, 1.0 - self._remote_share + self._max_step)
        self._remote_credit = min(
            MAX_CREDIT, self._remote_credit + max_remote - (1.0 if is_remote else 0.0)
        )
        self._local_credit = min(
            MAX_CREDIT, self._local_credit + max_local - (0.0 if is_remote else 1.0)
        )

    def _advance_window(self, now):
        if self._window_start is None:
            self._window_start = now
        if now - self._window_start < WINDOW or self._request_count < MIN_REQUESTS:
            return
        self._remote_share = self._remote_count / self._request_count
        self._window_start = now
        self._request_count = self._remote_count = 0
