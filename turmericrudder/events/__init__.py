"""Numbered log events, their catalogue and their formatters."""

from . import catalogue
from .catalogue import iter_events
from .event import Event
from .formatter import JsonFormatter, PlainFormatter
from .log import EventLog, set_up_logging

__all__ = [
    "Event",
    "EventLog",
    "JsonFormatter",
    "PlainFormatter",
    "catalogue",
    "iter_events",
    "set_up_logging",
]
