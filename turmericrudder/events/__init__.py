"""Numbered log events: catalogue, writing, formatting and reading back."""

from . import catalogue
from .catalogue import iter_events
from .event import Event
from .formatter import JsonFormatter, PlainFormatter
from .log import EventLog, set_up_logging
from .trace import LogLine, RequestTrace, read_log

__all__ = [
    "Event",
    "EventLog",
    "JsonFormatter",
    "LogLine",
    "PlainFormatter",
    "RequestTrace",
    "catalogue",
    "iter_events",
    "read_log",
    "set_up_logging",
]
