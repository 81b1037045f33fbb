"""What happened to a request so far, and what may still be done with it."""

from .outcome import (
    Broken,
    Refusal,
    Refused,
    Streaming,
    TurnedAway,
    Whole,
    is_answer,
)

__all__ = ["Course"]

MAX_CONNECTS = 4  # targets that are dialled in vain for one request
RETRY_AFTER_MIN = 0.05  # seconds


class Course:
    """What happened to a request so far."""

    __slots__ = (
        "_failure",
        "_possible_runs",
        "connects",
        "request",
        "sends",
        "tried",
    )

    def __init__(self, request):
        self.request = request
        self.sends = 0
        self.connects = 0
        self.tried = set()
        self._possible_runs = 0
        self._failure = None

    @property
    def may_have_run(self):
        """Whether a target may have run the request."""
        return self._possible_runs > 0

    def record_attempt(self):
        """Note that bytes of the request leave for a target."""
        self.sends += 1
        self._possible_runs += 1

    def record_not_executed(self):
        """Note that the target of one send says that it did not run it."""
        self._possible_runs -= 1

    def may_use_untried_target(self):
        """Return whether a further target may get the request beside the others.

        One that is still dialled may have it soon.
        """
        return len(self.tried) - self.connects < self.request.route.max_attempts

    def may_go_on(self, outcome):
        """Return whether another target may get the request."""
        route = self.request.route
        if is_answer(outcome):
            return False
        match outcome:
            case Refused():
                self.connects += 1
                return self.connects < MAX_CONNECTS
            case Whole() | Broken() if not route.is_idempotent:
                return False
            case Whole():
                self._failure = outcome
        has_body = self.request.body is not None
        return has_body and self.sends < route.max_attempts

    def finish(self, outcome, expected):
        """Return the final answer after the last send."""
        match outcome:
            case Whole() | Streaming():
                return outcome
            case TurnedAway(reason) | Refused(reason):
                return self.give_up(reason, expected)
            case Broken(reason):
                return Refusal(502, reason)

    def time_out(self):
        """Return the answer at the end of the time that there was."""
        if self._failure is not None:
            return self._failure
        if self.may_have_run:
            return Refusal(504, "timeout")
        return Refusal(503, "timeout", RETRY_AFTER_MIN)

    def give_up(self, reason, retry_after):
        """Return the answer that tells the truth about earlier sends."""
        if self._failure is not None:
            return self._failure
        if self.may_have_run:
            return Refusal(502, reason)
        retry_after = max(RETRY_AFTER_MIN, retry_after)
        return Refusal(503, reason, retry_after)
