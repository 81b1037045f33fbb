"""Bound extra work, such as retries and hedges, by a share of the work."""

__all__ = ["RetryBudget"]

PARTS = 2  # places that count a request: where it came in, and where it runs


class RetryBudget:
    """Each request earns ``share`` of an extra one, up to ``burst`` saved.

    A part of what is saved is reserved for retries, without which a request
    fails; hedges, which only make one faster, must leave it alone.
    """

    __slots__ = ("_burst", "_reserve", "_saved", "_share")

    def __init__(self, share, burst, reserve=0):
        """Save the reserve from the start.

        :param reserve: extra requests that hedges must leave for retries.
        """
        self._share = share
        self._burst = burst
        self._reserve = reserve
        self._saved = float(reserve)

    def deposit(self):
        """Count one ordinary request at one of the places that see it."""
        self._saved = min(self._burst, self._saved + self._share / PARTS)

    def try_spend_retry(self):
        """Return whether a request may be sent again, and count it."""
        return self._spend(0)

    def try_spend_hedge(self):
        """Return whether a second target may be asked, and count it."""
        return self._spend(self._reserve)

    def _spend(self, reserve):
        if self._saved < 1.0 + reserve:
            return False
        self._saved -= 1.0
        return True
