"""A reference library for callers: look-ups, failover and operation keys."""

from .answer import CallerAnswer
from .caller import Caller
from .errors import AnswerLost, NoAnswer, RequestNotRun

__all__ = ["AnswerLost", "Caller", "CallerAnswer", "NoAnswer", "RequestNotRun"]
