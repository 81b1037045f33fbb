"""Measurements that this instance keeps about one target."""

from ..units import MS_PER_SECOND
from .cold_tracker import ColdTracker
from .recent_keys import RecentKeys
from .target_notices import TargetNotices
from .target_rate_limiter import TargetRateLimiter

__all__ = ["TrackedTarget"]

LOAD_HALF_LIFE = 0.8  # seconds; other instances' load changes within a few responses
SLOWDOWN_HALF_LIFE = 0.4  # seconds; load reports show that it changes often
FAILURE_WEIGHT = 0.15  # weight of one request in the failure rate
FAILURE_HALF_LIFE = 4.0  # seconds; the failure rate decays without requests
SERVICE_TIME_WEIGHT = 0.1  # weight of one response in the mean service time
MIN_EJECTION_TIME = 0.25  # seconds, after the first failed connection
MAX_EJECTION_TIME = 2.0  # seconds; bounds the delay until a recovered target is used
# Factor on the trial limit for a request that has waited for a first response.
MAX_WAITED_FACTOR = 2
STALL_FACTOR = 2.5  # mean service times without a response that count as a stall


class TrackedTarget:
    """A target with what this instance has measured about it.

    All times are on the monotonic clock, in seconds.

    :ivar endpoint: the target's registration, an
        :class:`~turmericrudder.steering.endpoint.Endpoint`.
    :ivar revision: revision of the registration in the store.
    :ivar cold: the :class:`ColdTracker`.
    :ivar ejected_until: time until which the target is ejected.
    :ivar has_responded: whether it has given a valid response, of any status.
    :ivar is_removed: whether the registration was removed or replaced, or a response
        with status 421 showed that another target has the address.
    :ivar notices: the :class:`TargetNotices` of its responses.
    :ivar rate_limiter: the :class:`TargetRateLimiter`, for the limit that the target
        named in its last response.
    :ivar round_trip: seconds that the last connection took to open, ``None`` before
        the first.
    :ivar trial_limit: requests in flight from this instance until the first response.
    :ivar mean_service_time: moving average in seconds at normal speed, ``None``
        before the first response.
    """

    __slots__ = (
        "_ejection_count",
        "_failure_rate",
        "_failure_rate_at",
        "_has_failed_trial",
        "_last_response_at",
        "_load_reported_at",
        "_other_load",
        "_slowdown",
        "_slowdown_at",
        "_start_times",
        "_trials_since",
        "cold",
        "ejected_until",
        "endpoint",
        "has_responded",
        "is_removed",
        "mean_service_time",
        "notices",
        "rate_limiter",
        "recent_keys",
        "revision",
        "round_trip",
        "trial_limit",
    )

    def __init__(self, endpoint, revision=0):
        self.endpoint = endpoint
        self.revision = revision
        self.cold = ColdTracker()
        self.ejected_until = 0.0
        self.has_responded = False
        self.is_removed = False
        self.notices = TargetNotices()
        self.rate_limiter = TargetRateLimiter()
        self.round_trip = None
        self.trial_limit = endpoint.slots
        self.mean_service_time = None
        self.recent_keys = RecentKeys()
        self._ejection_count = 0
        self._failure_rate = 0.0
        self._failure_rate_at = 0.0
        self._has_failed_trial = False
        self._last_response_at = 0.0
        self._other_load = 0.0  # of other instances
        self._load_reported_at = 0.0
        self._slowdown = 1.0
        self._slowdown_at = 0.0
        self._trials_since = 0.0
        self._start_times = {}  # attempt number -> time, oldest first

    @property
    def in_flight(self):
        """Number of in-flight requests from this instance."""
        return len(self._start_times)

    def may_try(self, has_waited):
        """Return whether one more request is within the bound of an untried target.

        :param has_waited: whether the request has waited for a first response.
        """
        if self.has_responded:
            return True
        may_exceed = has_waited and not self._has_failed_trial
        limit = self.trial_limit * (MAX_WAITED_FACTOR if may_exceed else 1)
        # What was sent before a pause may take long, and is no trial.
        trials = [t for t in self._start_times.values() if t >= self._trials_since]
        return len(trials) < limit

    def record_pause(self, seconds, now):
        """Record that the target wants no requests for some seconds.

        After them it counts as one that has not responded yet, so that it gets one
        request before those that waited.

        :returns: whether no pause was in force.
        """
        is_new = self.notices.record_pause(seconds, now)
        if self.notices.is_paused(now):
            self.has_responded = False
            self._has_failed_trial = True
            self.trial_limit = 1
            self._trials_since = self.notices.paused_until
        return is_new

    def record_valid_response(self, now):
        """Record a response of any status; what was sent before a pause says little."""
        if not self.notices.is_paused(now):
            self.has_responded = True

    def record_failed_trial(self, now):
        """Count a request that failed at a target that has never responded."""
        self._has_failed_trial = True
        self.trial_limit = 1
        self.eject(now)

    def is_cold(self, now):
        """Return whether the target is known to be cold: its caches are empty."""
        return self.cold.is_cold(now)

    def start_request(self, attempt_number, now):
        """Count an in-flight request.

        :param attempt_number: identifies the attempt until :meth:`end_request`.
        """
        self._start_times[attempt_number] = now

    def end_request(self, attempt_number):
        """Count a request as no longer in flight, whatever its outcome."""
        self._start_times.pop(attempt_number, None)

    def get_load(self, now):
        """Return the in-flight requests of all instances, those of others estimated."""
        load = len(self._start_times)
        if self._other_load > 0.0:
            age = now - self._load_reported_at
            load += self._other_load * 0.5 ** (age / LOAD_HALF_LIFE)
        return load

    def get_slowdown(self, now):
        """Return the factor by which the target is slower than usual now.

        It is the one of the last load report and decays to 1.
        """
        if self._slowdown == 1.0:
            return 1.0
        age = now - self._slowdown_at
        return 1.0 + (self._slowdown - 1.0) * 0.5 ** (age / SLOWDOWN_HALF_LIFE)

    def get_load_age_ms(self, now):
        """Return the age of the last load report in ms, ``None`` without a report."""
        return (
            round((now - self._load_reported_at) * MS_PER_SECOND)
            if self._load_reported_at
            else None
        )

    def get_failure_rate(self, now):
        """Return the recent share of failed and not executed requests, 0 to 1."""
        if self._failure_rate == 0.0:
            return 0.0
        age = now - self._failure_rate_at
        return self._failure_rate * 0.5 ** (age / FAILURE_HALF_LIFE)

    def get_stall_seconds(self, now, service_time):
        """Return the seconds without a response, or 0 below the stall threshold.

        They count from the last response or, if that is later, from the start of
        the oldest in-flight request.

        :param service_time: expected seconds, used until there is a mean.
        """
        if not self._start_times:
            return 0.0
        oldest = next(iter(self._start_times.values()))
        elapsed = now - max(oldest, self._last_response_at)
        return (
            elapsed
            if elapsed > STALL_FACTOR * (self.mean_service_time or service_time)
            else 0.0
        )

    def record_load_report(self, load, now):
        """Set the load of others and the slowdown from a :class:`ServerLoad`.

        The requests of this instance are subtracted, since their number is known.
        """
        self._other_load = max(0.0, load.active + load.queued - self.in_flight)
        self._load_reported_at = now
        self._slowdown = load.slowdown
        self._slowdown_at = now

    def record_shared_load(self, report):
        """Set the load and the slowdown from another instance's report.

        :param report: a :class:`TargetReport`; ignored unless it is later than the
            last one known.
        """
        if report.reported_at <= self._load_reported_at:
            return
        self._other_load = max(0.0, report.load - self.in_flight)
        self._load_reported_at = self._slowdown_at = report.reported_at
        self._slowdown = report.slowdown

    def record_response(self, service_time, now):
        """Count a request that the target executed.

        :param service_time: seconds, divided by the target's slowdown.
        """
        self._last_response_at = now
        self.record_valid_response(now)
        if self.mean_service_time is None:
            self.mean_service_time = service_time
        self.mean_service_time += SERVICE_TIME_WEIGHT * (
            min(service_time, 4 * self.mean_service_time) - self.mean_service_time
        )
        self._ejection_count = 0
        self._update_failure_rate(0.0, now)

    def record_not_executed(self, now):
        """Count a request that was not executed, according to the target's response."""
        self._last_response_at = now
        self.record_valid_response(now)
        self._ejection_count = 0
        self._update_failure_rate(1.0, now)

    def record_failure(self, now):
        """Count a request that failed or whose response was truncated or invalid."""
        self._update_failure_rate(1.0, now)

    def eject(self, now):
        """Eject the target after a failed connection.

        The time doubles with each ejection, up to ``MAX_EJECTION_TIME``, and starts
        again at ``MIN_EJECTION_TIME`` after a response.
        """
        duration = min(MAX_EJECTION_TIME, MIN_EJECTION_TIME * 2**self._ejection_count)
        self._ejection_count = min(self._ejection_count + 1, 10)
        self.ejected_until = now + duration
        self._update_failure_rate(1.0, now)

    def _update_failure_rate(self, failed, now):
        rate = self.get_failure_rate(now)
        self._failure_rate = rate + FAILURE_WEIGHT * (failed - rate)
        self._failure_rate_at = now
