"""The state of a target at the instance that owns it."""

from collections import deque

from .reject_reason import RejectReason
from .request_result import Cancelled, Completed, Failed, Shed
from .takeover import Takeover

__all__ = ["TargetState"]

LATENCY_WEIGHT = 0.2  # of a new latency that is below the average
LATENCY_HALF_LIFE = 5.0  # seconds without a response; a load report may be as old
OVERDUE_FACTOR = 3.0  # estimated latency of an overdue request divided by its age
FAILURES_TO_EJECT = 3  # consecutive failures
MIN_EJECTION = 0.5  # seconds
MAX_EJECTION = 15.0  # seconds
CANCEL_GRACE = 0.05  # seconds until a target has noticed a cancellation
SHED_BACKOFF = 0.1  # seconds without new requests after a shed one
DRAIN_HOLD_TIME = 5.0  # seconds for which a draining response overrides load reports


class TargetState:
    """The in-flight requests, latency and availability of one owned target.

    The counts are exact because all requests to a target go through its owner. A
    request is *foreign* at a target if the target is outside the request's home
    region. ``adopted_limiter`` is ``None`` unless the target is adopted, see
    :class:`~turmericrudder.routing.Owner`.
    """

    __slots__ = (
        "_average_latency",
        "_average_updated_at",
        "_cancelled_requests",
        "_consecutive_failures",
        "_drain_until",
        "_ejected_until",
        "_overdue_count",
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
        """Initialize the state of a target without requests.

        :param region: region of the target.
        :param foreign_cap: slots that foreign requests may hold at most.
        :param takeover: the :class:`~turmericrudder.routing.Takeover` that reserves
            slots for requests of the previous owner.
        """
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
        self._cancelled_requests = deque()
        self._consecutive_failures = 0
        self._ejected_until = 0.0
        self._drain_until = 0.0
        self._average_latency = None
        self._average_updated_at = 0.0
        self._overdue_count = 0
        self._overdue_latency = 0.0

    def is_draining(self):
        """Return whether the target must get no new requests.

        The target itself, the platform's list of instances or an operator can mark
        it as draining.
        """
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
        if self.adopted_limiter is not None and not self.adopted_limiter.has_capacity():
            return 0
        return max(0, self.service.slots - self._get_held_slots(now))

    def get_reject_reason(self, request, foreign_limit, now):
        """Return the :class:`RejectReason` for a request, ``None`` if it can run.

        :param foreign_limit: slots that foreign requests may hold now.
        """
        self.expire_cancelled(now)
        if self.is_draining():
            return RejectReason.DRAINING
        if now < self._ejected_until:
            return RejectReason.EJECTED
        if self._get_held_slots(now) >= self.service.slots:
            return RejectReason.FULL
        if self.adopted_limiter is not None and not self.adopted_limiter.has_capacity():
            return RejectReason.FULL
        if request.is_long and self.long_in_flight >= self.service.long_slots:
            return RejectReason.LONG_FULL
        if self.is_foreign(request) and self.foreign_in_flight >= foreign_limit:
            return RejectReason.CAP_FULL
        return None

    def is_foreign(self, request):
        """Return whether the target is outside the request's home region."""
        return request.home_region != self.region

    def start_request(self, request):
        """Count a request that is sent now."""
        self.in_flight += 1
        self.long_in_flight += request.is_long
        self.foreign_in_flight += self.is_foreign(request)
        if self.adopted_limiter is not None:
            self.adopted_limiter.record_request()

    def end_request(self, request, result, now):
        """Update the counts and estimates after a request ended.

        A failed or cancelled request keeps its slot for :data:`CANCEL_GRACE`, until
        the target has noticed the closed connection.

        :param result: how it ended, one of the classes of ``request_result``.
        """
        match result:
            case Failed() | Cancelled():
                self._cancelled_requests.append((now + CANCEL_GRACE, request))
            case _:
                self._remove_request(request)
        match result:
            case Completed(latency):
                self._consecutive_failures = 0
                self._update_latency(latency, now)
            case Shed(is_draining):
                if is_draining:
                    self.is_reported_draining = True
                    self._drain_until = now + DRAIN_HOLD_TIME
                self._ejected_until = max(self._ejected_until, now + SHED_BACKOFF)
                self._handle_other_owner(now)
            case Failed():
                self._record_failure(now)

    def record_load_report(self, in_flight, draining, now):
        """Record a load report of the target.

        A report never raises the number of free slots above what the owner's own
        counts allow, as it may be outdated.

        :param in_flight: in-flight requests that the target reported.
        :param draining: whether the target reported that it is draining.
        """
        if draining or now >= self._drain_until:
            self.is_reported_draining = draining
        if self.adopted_limiter is not None:
            self.adopted_limiter.record_load_report(
                in_flight, self.in_flight, self.service.slots
            )
        elif in_flight > self.in_flight and self.takeover.get_reserved_slots(now):
            self.takeover.restart(now)

    def expire_cancelled(self, now):
        """Free the slots of ended requests whose grace period has passed."""
        while self._cancelled_requests and self._cancelled_requests[0][0] <= now:
            _, request = self._cancelled_requests.popleft()
            self._remove_request(request)

    def record_overdue(self, elapsed):
        """Record that an in-flight request has exceeded the hedge delay.

        :param elapsed: seconds since the request was sent.
        """
        self._overdue_count += 1
        estimate = OVERDUE_FACTOR * elapsed
        self._overdue_latency = max(self._overdue_latency, estimate)

    def clear_overdue(self):
        """Record that a request recorded as overdue is no longer in flight."""
        self._overdue_count -= 1
        if not self._overdue_count:
            self._overdue_latency = 0.0

    def record_hedge_loss(self, elapsed, now):
        """Record that a request was cancelled because its hedge got a response first.

        The real latency remains unknown and is estimated from the elapsed time.

        :param elapsed: seconds since the request was sent.
        """
        estimate = OVERDUE_FACTOR * elapsed
        if estimate > self._get_average_latency(now):
            self._average_latency = estimate
            self._average_updated_at = now

    def get_latency(self, now):
        """Return the expected latency of a request sent now, in seconds."""
        return max(self._overdue_latency, self._get_average_latency(now))

    def is_ejected(self, now):
        """Return whether the target is ejected after failures or a shed request."""
        return now < self._ejected_until

    def _get_average_latency(self, now):
        """Return the moving average, decayed since the last response."""
        if self._average_latency is None:
            return 0.0
        return self._average_latency * 0.5 ** (
            (now - self._average_updated_at) / LATENCY_HALF_LIFE
        )

    def _handle_other_owner(self, now):
        """Grant slots cautiously: another owner may be using the target."""
        self.takeover.restart(now)
        if self.adopted_limiter is not None:
            self.adopted_limiter.stop_admission()

    def _get_held_slots(self, now):
        return self.in_flight + self.takeover.get_reserved_slots(now)

    def _remove_request(self, request):
        self.in_flight -= 1
        self.long_in_flight -= request.is_long
        self.foreign_in_flight -= self.is_foreign(request)

    def _update_latency(self, latency, now):
        average = self._get_average_latency(now)
        if self._average_latency is None or latency > average:
            # A slowdown takes effect at once, a recovery over several responses.
            average = (
                latency if self._average_latency is None else (average + latency) / 2
            )
        else:
            average += LATENCY_WEIGHT * (latency - average)
        self._average_latency = average
        self._average_updated_at = now

    def _record_failure(self, now):
        self._consecutive_failures += 1
        if self._consecutive_failures >= FAILURES_TO_EJECT:
            doublings = min(self._consecutive_failures - FAILURES_TO_EJECT, 10)
            self._ejected_until = now + min(MAX_EJECTION, MIN_EJECTION * 2**doublings)
            # Slots are released one by one, as after the failure of an owner.
            self.takeover = Takeover(self.service.slots, self._ejected_until, False)
