"""What happened to a request so far, and what may still be done with it."""

from .outcome import (
    CompleteResponse,
    ConnectFailure,
    LocalResponse,
    NotExecuted,
    ResponseFailure,
    StreamingResponse,
    is_final_response,
)

__all__ = ["RetryState"]

MAX_CONNECTS = 4  # targets that are dialled in vain for one request
RETRY_AFTER_MIN = 0.05  # seconds


class RetryState:
    """What happened to a request so far."""

    __slots__ = (
        "_failure",
        "_possible_runs",
        "attempt_count",
        "attempted_ids",
        "connect_failures",
        "request",
    )

    def __init__(self, request):
        self.request = request
        self.attempt_count = 0
        self.connect_failures = 0
        self.attempted_ids = set()
        self._possible_runs = 0
        self._failure = None

    @property
    def may_have_run(self):
        """Whether a target may have run the request."""
        return self._possible_runs > 0

    def record_attempt(self):
        """Note that bytes of the request leave for a target."""
        self.attempt_count += 1
        self._possible_runs += 1

    def record_not_executed(self):
        """Note that the target of one send says that it did not run it."""
        self._possible_runs -= 1

    def may_use_untried_target(self):
        """Return whether a further target may get the request beside the others.

        One that is still dialled may have it soon.
        """
        return (
            len(self.attempted_ids) - self.connect_failures
            < self.request.route.max_attempts
        )

    def may_retry(self, outcome):
        """Return whether another target may get the request."""
        route = self.request.route
        if is_final_response(outcome):
            return False
        match outcome:
            case ConnectFailure():
                self.connect_failures += 1
                return self.connect_failures < MAX_CONNECTS
            case CompleteResponse() | ResponseFailure() if not route.is_idempotent:
                return False
            case CompleteResponse():
                self._failure = outcome
        has_body = self.request.body is not None
        return has_body and self.attempt_count < route.max_attempts

    def make_final_response(self, outcome, expected):
        """Return the final answer after the last send."""
        match outcome:
            case CompleteResponse() | StreamingResponse():
                return outcome
            case NotExecuted(reason) | ConnectFailure(reason):
                return self.make_failure_response(reason, expected)
            case ResponseFailure(reason):
                return LocalResponse(502, reason)

    def make_timeout_response(self):
        """Return the answer at the end of the time that there was."""
        if self._failure is not None:
            return self._failure
        if self.may_have_run:
            return LocalResponse(504, "timeout")
        return LocalResponse(503, "timeout", RETRY_AFTER_MIN)

    def make_failure_response(self, reason, retry_after):
        """Return the answer that tells the truth about earlier sends."""
        if self._failure is not None:
            return self._failure
        if self.may_have_run:
            return LocalResponse(502, reason)
        retry_after = max(RETRY_AFTER_MIN, retry_after)
        return LocalResponse(503, reason, retry_after)
