"""Errors of calls that end without a complete response."""

from ..errors import SteeringError
from ..verdict import Verdict

__all__ = ["AnswerLost", "NoAnswer", "RequestNotRun"]


class NoAnswer(SteeringError):
    """No complete response arrived; the request may have run.

    :param key: operation key with which to call again, empty if there is none.
    :param status: HTTP status of the rejection, 0 if none arrived.
    :param retry_after: seconds after which to retry, 0 if not given.
    """

    verdict = Verdict.MAY_HAVE_RUN

    def __init__(self, reason, key="", status=0, retry_after=0.0):
        self.retry_after = retry_after
        self.reason = reason
        self.key = key
        self.status = status
        super().__init__(reason)


class RequestNotRun(NoAnswer):
    """The request did not run and never will."""

    verdict = Verdict.NOT_RUN


class AnswerLost(NoAnswer):
    """The request ran once, but its response is lost."""

    verdict = Verdict.RAN
