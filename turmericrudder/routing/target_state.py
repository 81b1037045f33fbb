"""What an owner knows of one target."""

from collections import deque

from .reject_reason import RejectReason
from .request_result import Cancelled, Completed, Failed, Shed
from .takeover import Takeover

__all__ = ["TargetState"]

LATENCY_WEIGHT = 0.2
LATENCY_HALF_LIFE = 5.0  # seconds without an answer; load reports may be as late
OVERDUE_FACTOR = 3.0  # times the age of an overdue request: its latency, guessed
FAILURES_TO_EJECT = 3
EJECT_MIN = 0.5  # seconds
EJECT_MAX = 15.0  # seconds
CANCEL_GRACE = 0.05  # seconds until an upstream has noticed a cancellation
SHED_PAUSE = 0.1  # seconds
DRAIN_BELIEF = 5.0  # seconds a refusal counts more than a report


class TargetState:
    """Counts of one owned target, exact because all work passes its owner."""

    __slots__ = (
        "_drain_until",
        "_ejected_until",
        "_failures",
        "_latency",
        "_latency_at",
        "_lingering",
        "_overdue",
        "_overdue_latency",
        "adopted_limiter",
        "foreign_cap",
        "foreign_in_flight",
        "in_flight",
        "is_drained_by_operator",
        "is_listed_leaving",
        "is_reported_draining",
        "long_in_flight",
        "region",
        "service",
        "takeover",
        "target",
    )

    def __init__(self, target, service, region, foreign_cap, takeover):
        self.target = target
        self.service = service
        self.region = region
        self.foreign_cap = foreign_cap
        self.takeover = takeover
        self.in_flight = self.foreign_in_flight = self.long_in_flight = 0
        self.adopted_limiter = None
        self.is_reported_draining = False
        self.is_drained_by_operator = False
        self.is_listed_leaving = False
        self._lingering = deque()
        self._failures = 0
        self._ejected_until = 0.0
        self._drain_until = 0.0
        self._latency = None
        self._latency_at = 0.0
        self._overdue = 0
        self._overdue_latency = 0.0

    def is_draining(self):
        """Return whether target, list or operator say that it takes no work."""
        return (
            self.is_reported_draining
            or self.is_drained_by_operator
            or self.is_listed_leaving
        )

    def get_free_slots(self, now):
        """Return the number of slots that can be granted."""
        self.expire_cancelled(now)
        if self.is_draining() or now < self._ejected_until:
            return 0
        if self.adopted_limiter is not None and not self.adopted_limiter.is_open():
            return 0
        return max(0, self.service.slots - self._get_held(now))

    def get_reject_reason(self, request, foreign_limit, now):
        """Return why this target cannot take ``request``, or ``None``.

        :param foreign_limit: slots that work of other regions may hold now.
        """
        self.expire_cancelled(now)
        if self.is_draining():
            return RejectReason.DRAINING
        if now < self._ejected_until:
            return RejectReason.EJECTED
        if self._get_held(now) >= self.service.slots:
            return RejectReason.FULL
        if self.adopted_limiter is not None and not self.adopted_limiter.is_open():
            return RejectReason.FULL
        if request.is_long and self.long_in_flight >= self.service.long_slots:
            return RejectReason.LONG_FULL
        if self.is_foreign(request) and self.foreign_in_flight >= foreign_limit:
            return RejectReason.CAP_FULL
        return None

    def is_foreign(self, request):
        """Return whether the work's home is another region."""
        return request.home_region != self.region

    def add_request(self, request):
        """Count a request that is sent now."""
        self.in_flight += 1
        self.long_in_flight += request.is_long
        self.foreign_in_flight += self.is_foreign(request)
        if self.adopted_limiter is not None:
            self.adopted_limiter.take()

    def end_request(self, request, result, now):
        """Count a request that ended, and learn from how it ended.

        Cancelled work counts a moment longer, until its target has noticed.
        """
        match result:
            case Failed() | Cancelled():
                self._lingering.append((now + CANCEL_GRACE, request))
            case _:
                self._uncount(request)
        match result:
            case Completed(latency):
                self._failures = 0
                self._learn_latency(latency, now)
            case Shed(draining):
                if draining:
                    self.is_reported_draining = True
                    self._drain_until = now + DRAIN_BELIEF
                self._ejected_until = max(self._ejected_until, now + SHED_PAUSE)
                self._meet_other_owner(now)
            case Failed():
                self._count_failure(now)

    def record_load_report(self, in_flight, draining, now):
        """Take a load report; it can only lower what is believed to be free.

        :param in_flight: requests the target runs, by its own word.
        """
        if draining or now >= self._drain_until:
            self.is_reported_draining = draining
        if self.adopted_limiter is not None:
            self.adopted_limiter.report(in_flight, self.in_flight, self.service.slots)
        elif in_flight > self.in_flight and self.takeover.get_reserved_slots(now):
            self.takeover.restart(now)

    def expire_cancelled(self, now):
        """Uncount cancelled work that its target has noticed by now."""
        while self._lingering and self._lingering[0][0] <= now:
            _, request = self._lingering.popleft()
            self._uncount(request)

    def record_overdue(self, elapsed):
        """Note that a request in flight takes longer than most.

        :param elapsed: seconds since it was sent.
        """
        self._overdue += 1
        guess = OVERDUE_FACTOR * elapsed
        self._overdue_latency = max(self._overdue_latency, guess)

    def clear_overdue(self):
        """Note that a request noted as overdue is no longer in flight."""
        self._overdue -= 1
        if not self._overdue:
            self._overdue_latency = 0.0

    def record_hedge_loss(self, elapsed, now):
        """Note that a request was cancelled as another target answered first.

        Its real latency is never seen.

        :param elapsed: seconds since it was sent.
        """
        guess = OVERDUE_FACTOR * elapsed
        if guess > self._get_learned_latency(now):
            self._latency = guess
            self._latency_at = now

    def get_latency(self, now):
        """Return the latency in seconds to expect of a request sent now."""
        return max(self._overdue_latency, self._get_learned_latency(now))

    def is_ejected(self, now):
        """Return whether failures keep the target out for now."""
        return now < self._ejected_until

    def _get_learned_latency(self, now):
        if self._latency is None:
            return 0.0
        return self._latency * 0.5 ** ((now - self._latency_at) / LATENCY_HALF_LIFE)

    def _meet_other_owner(self, now):
        self.takeover.restart(now)
        if self.adopted_limiter is not None:
            self.adopted_limiter.withdraw()

    def _get_held(self, now):
        return self.in_flight + self.takeover.get_reserved_slots(now)

    def _uncount(self, request):
        self.in_flight -= 1
        self.long_in_flight -= request.is_long
        self.foreign_in_flight -= self.is_foreign(request)

    def _learn_latency(self, latency, now):
        known = self._get_learned_latency(now)
        if self._latency is None or latency > known:
            # A slowdown is believed at once, a recovery answer by answer.
            known = latency if self._latency is None else (known + latency) / 2
        else:
            known += LATENCY_WEIGHT * (latency - known)
        self._latency = known
        self._latency_at = now

    def _count_failure(self, now):
        self._failures += 1
        if self._failures >= FAILURES_TO_EJECT:
            doublings = min(self._failures - FAILURES_TO_EJECT, 10)
            self._ejected_until = now + min(EJECT_MAX, EJECT_MIN * 2**doublings)
            # Work returns slot by slot, as after the loss of an owner.
            self.takeover = Takeover(self.service.slots, self._ejected_until, False)
