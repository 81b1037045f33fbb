"""What a caller has to be told when there is no answer."""

from ..errors import SteeringError
from ..verdict import Verdict

__all__ = ["AnswerLost", "NoAnswer", "RequestNotRun"]


class NoAnswer(SteeringError):
    """No whole answer came; the request may have run.

    :param key: operation key to ask again with, empty if there is none.
    :param status: HTTP status of the refusal, 0 if there was none.
    :param retry_after: seconds after which to try again, 0 if not told.
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
    """The request ran, once, but its answer is lost."""

    verdict = Verdict.RAN
