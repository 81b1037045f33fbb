"""Limits retries and hedges in proportion to the requests."""

__all__ = ["RetryBudget"]

DEPOSITS_PER_REQUEST = 2  # on receipt, and by the target's owner


class RetryBudget:
    """A budget of retries and hedges, to which each request adds ``ratio`` attempts.

    The budget holds at most ``burst`` attempts. Hedges cannot spend the last
    ``reserve`` of them: a request without a retry fails, one without a hedge is
    only slower.
    """

    __slots__ = ("_balance", "_burst", "_ratio", "_reserve")

    def __init__(self, ratio, burst, reserve=0):
        """Initialize the budget with ``reserve`` attempts in it.

        :param ratio: retries and hedges per request.
        :param burst: maximum number of attempts in the budget.
        :param reserve: attempts that only retries can spend.
        """
        self._ratio = ratio
        self._burst = burst
        self._reserve = reserve
        self._balance = float(reserve)

    def record_request(self):
        """Count a request.

        Called on its receipt, and again when the target's owner grants it a slot.
        """
        self._balance = min(
            self._burst, self._balance + self._ratio / DEPOSITS_PER_REQUEST
        )

    def try_spend_retry(self):
        """Return whether the budget allows a retry, and spend it if so."""
        return self._spend(0)

    def try_spend_hedge(self):
        """Return whether the budget allows a hedge, and spend it if so."""
        return self._spend(self._reserve)

    def _spend(self, reserve):
        if self._balance < 1.0 + reserve:
            return False
        self._balance -= 1.0
        return True
