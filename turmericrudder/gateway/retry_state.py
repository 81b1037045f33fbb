"""The attempts of one request so far, and whether another may follow."""

from .outcome import (
    CompleteResponse,
    ConnectFailure,
    LocalResponse,
    NotAdmitted,
    NotExecuted,
    ResponseFailure,
    StreamingResponse,
    is_final_response,
)

__all__ = ["MIN_RETRY_AFTER", "RetryState"]

MAX_CONNECT_FAILURES = 4  # failed connections after which a request is not retried
MIN_RETRY_AFTER = 0.05  # seconds


class RetryState:
    """Counts the attempts of a request and makes its final response.

    :ivar attempt_count: attempts for which a connection was established.
    :ivar lost_attempt_count: attempts whose connection ended before the response did.
    :ivar attempted_ids: ids of all targets chosen so far, including those that refused
        the connection.
    :ivar begun_attempts: (target, attempt number) of the attempts that may be counted
        as in flight at their targets.
    :ivar has_waited_for_trials: whether it has waited for the first response of any
        target that could take it.
    """

    __slots__ = (
        "_has_waited",
        "_possible_executions",
        "_server_error",
        "attempt_count",
        "attempted_ids",
        "begun_attempts",
        "connect_failures",
        "has_waited_for_trials",
        "lost_attempt_count",
        "request",
    )

    def __init__(self, request):
        self.request = request
        self.attempt_count = 0
        self.connect_failures = 0
        self.lost_attempt_count = 0
        self.attempted_ids = set()
        self.begun_attempts = []
        self.has_waited_for_trials = False
        self._has_waited = False
        self._possible_executions = 0
        self._server_error = None

    @property
    def may_have_run(self):
        """Whether a target may have executed the request."""
        return self._possible_executions > 0

    def end_begun_attempts(self):
        """Count no attempt as in flight, not even one that was cancelled early."""
        for target, attempt_number in self.begun_attempts:
            target.end_request(attempt_number)
        self.begun_attempts.clear()

    async def wait_once(self, wait):
        """Wait for a sign that a target is usable, unless the request has before.

        :param wait: coroutine function that returns whether there was a sign.
        """
        if self._has_waited:
            return False
        self._has_waited = True
        return await wait()

    def record_attempt(self):
        """Count an attempt whose request is about to be sent."""
        self.attempt_count += 1
        self._possible_executions += 1

    def record_not_executed(self):
        """Record that the target of one attempt did not execute the request."""
        self._possible_executions -= 1

    def may_use_untried_target(self):
        """Return whether a hedge may go to one more target within ``max_attempts``.

        A target counts as attempted while its connection is being opened.
        """
        return (
            len(self.attempted_ids) - self.connect_failures
            < self.request.route.max_attempts
        )

    def may_retry(self, outcome):
        """Record the outcome of an attempt and return whether another may follow."""
        route = self.request.route
        if is_final_response(outcome):
            return False
        match outcome:
            case ConnectFailure() | NotAdmitted():
                self.connect_failures += 1
                return self.connect_failures < MAX_CONNECT_FAILURES
            case CompleteResponse() | ResponseFailure() if not route.is_idempotent:
                return False
            case CompleteResponse():
                self._server_error = outcome
        has_body = self.request.body is not None
        return has_body and self.attempt_count < route.max_attempts

    def make_final_response(self, outcome, retry_after):
        """Return the final response after the last attempt.

        :param retry_after: seconds, for a request that was not executed.
        """
        match outcome:
            case CompleteResponse() | StreamingResponse():
                return outcome
            case NotExecuted(reason) | ConnectFailure(reason) | NotAdmitted(reason):
                return self.make_failure_response(reason, retry_after)
            case ResponseFailure(reason):
                return LocalResponse(502, reason)

    def make_timeout_response(self):
        """Return the response to a request that timed out."""
        if self._server_error is not None:
            return self._server_error
        if self.may_have_run:
            return LocalResponse(504, "timeout")
        return LocalResponse(503, "timeout", MIN_RETRY_AFTER)

    def make_failure_response(self, reason, retry_after):
        """Return the response to a request that gets no further attempt.

        It is a target's 5xx response if there was one, 502 if a target may have
        executed the request, and 503 if none did.

        :param retry_after: seconds.
        """
        if self._server_error is not None:
            return self._server_error
        if self.may_have_run:
            return LocalResponse(502, reason)
        retry_after = max(MIN_RETRY_AFTER, retry_after)
        return LocalResponse(503, reason, retry_after)
