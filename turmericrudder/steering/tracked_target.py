"""What this instance knows of one target beyond its registration."""

from ..units import MS_PER_SECOND
from .cold_rate_limiter import ColdRateLimiter
from .recent_keys import RecentKeys

__all__ = ["TrackedTarget"]

LOAD_HALF_LIFE = 0.8  # seconds; others' load changes within a few answers
SLOWDOWN_HALF_LIFE = 0.4  # seconds; targets say that it changes often
FAILURE_WEIGHT = 0.15  # of one request in the share of failures
FAILURE_HALF_LIFE = 4.0  # seconds without a request
WORK_WEIGHT = 0.1  # of one answer in the target's mean work
BLOCK_MIN = 0.25  # seconds a target is left out after a failed connection
BLOCK_MAX = 2.0  # seconds; a target that is back is found about that soon
STALL_FACTOR = 2.5  # times the mean work without any answer


class TrackedTarget:
    """Counts and estimates of one target.

    ``revision`` is the store's revision of the registration, ``cold_until``
    is on the monotonic clock, ``round_trip`` in seconds.
    """

    __slots__ = (
        "_blocks",
        "_failures",
        "_failures_at",
        "_last_answer",
        "_others",
        "_others_at",
        "_slowdown",
        "_slowdown_at",
        "_started",
        "cold_limiter",
        "cold_until",
        "ejected_until",
        "endpoint",
        "is_removed",
        "mean_service_time",
        "recent_keys",
        "revision",
        "round_trip",
    )

    def __init__(self, endpoint, revision=0):
        self.endpoint = endpoint
        self.revision = revision
        self.cold_limiter = ColdRateLimiter()
        self.cold_until = 0.0
        self.ejected_until = 0.0
        self.is_removed = False
        self.round_trip = None
        self.mean_service_time = None
        self.recent_keys = RecentKeys()
        self._blocks = 0
        self._failures = 0.0
        self._failures_at = 0.0
        self._last_answer = 0.0
        self._others = 0.0
        self._others_at = 0.0
        self._slowdown = 1.0
        self._slowdown_at = 0.0
        self._started = {}

    @property
    def in_flight(self):
        """Requests of this instance that the target has not answered."""
        return len(self._started)

    def is_cold(self, now):
        """Return whether the target tolerates only few requests a second."""
        return now < self.cold_until

    def start_request(self, ticket, now):
        """Count a request that is sent now."""
        self._started[ticket] = now

    def end_request(self, ticket):
        """Count a request that ended in whatever way."""
        self._started.pop(ticket, None)

    def get_load(self, now):
        """Return the requests that the target has, estimated for others."""
        age = now - self._others_at
        return self.in_flight + self._others * 0.5 ** (age / LOAD_HALF_LIFE)

    def get_slowdown(self, now):
        """Return how much longer than usual work takes there now."""
        age = now - self._slowdown_at
        return 1.0 + (self._slowdown - 1.0) * 0.5 ** (age / SLOWDOWN_HALF_LIFE)

    def get_load_age_ms(self, now):
        """Return the age of the last load report, or ``None`` without one."""
        return (
            round((now - self._others_at) * MS_PER_SECOND) if self._others_at else None
        )

    def get_failure_rate(self, now):
        """Return the share of requests that failed or were turned away."""
        age = now - self._failures_at
        return self._failures * 0.5 ** (age / FAILURE_HALF_LIFE)

    def get_stall_seconds(self, now, usual):
        """Return the seconds without an answer, or 0 while that is usual.

        :param usual: seconds a request of the kind takes.
        """
        if not self._started:
            return 0.0
        oldest = next(iter(self._started.values()))
        silence = now - max(oldest, self._last_answer)
        return (
            silence
            if silence > STALL_FACTOR * (self.mean_service_time or usual)
            else 0.0
        )

    def record_load_report(self, load, now):
        """Take a report; requests of this instance are counted exactly."""
        self._others = max(0.0, load.active + load.queued - self.in_flight)
        self._others_at = now
        self._slowdown = load.slowdown
        self._slowdown_at = now

    def record_response(self, work, now):
        """Count a request that the target ran.

        :param work: seconds it took, freed of what slowed the target.
        """
        self._last_answer = now
        if self.mean_service_time is None:
            self.mean_service_time = work
        self.mean_service_time += WORK_WEIGHT * (
            min(work, 4 * self.mean_service_time) - self.mean_service_time
        )
        self._blocks = 0
        self._count(0.0, now)

    def record_not_executed(self, now):
        """Count a request that the target did not run, by its own word."""
        self._last_answer = now
        self._blocks = 0
        self._count(1.0, now)

    def record_failure(self, now):
        """Count a request whose answer did not come or was spoiled."""
        self._count(1.0, now)

    def eject(self, now):
        """Leave the target out for a while: it cannot be reached."""
        pause = min(BLOCK_MAX, BLOCK_MIN * 2**self._blocks)
        self._blocks = min(self._blocks + 1, 10)
        self.ejected_until = now + pause
        self._count(1.0, now)

    def _count(self, failed, now):
        share = self.get_failure_rate(now)
        self._failures = share + FAILURE_WEIGHT * (failed - share)
        self._failures_at = now
