"""A small reference library for callers: look-ups, fail-over, operation keys."""

from .answer import CallerAnswer
from .caller import Caller
from .errors import AnswerLost, NoAnswer, RequestNotRun

__all__ = ["AnswerLost", "Caller", "CallerAnswer", "NoAnswer", "RequestNotRun"]
