"""Write numbered events through the standard ``logging``."""

import logging
import sys

from .buffered_handler import BufferedHandler
from .formatter import JsonFormatter, PlainFormatter

__all__ = ["EventLog", "set_up_logging"]

LOGGER = logging.getLogger("turmericrudder")


class EventLog:
    """Writes events, adding fields that all lines of one process have."""

    __slots__ = ("_shared_fields",)

    def __init__(self, **shared_fields):
        self._shared_fields = shared_fields

    def write(self, event, **fields):
        """Write a line for an event with these fields, if its level is enabled."""
        self.write_at(event, None, fields)

    def write_at(self, event, timestamp, fields):
        """Write a line for an event that happened earlier.

        :param timestamp: Unix time of the event in seconds, or ``None`` for now.
        :param fields: dict of the line's own fields.
        """
        if not LOGGER.isEnabledFor(event.level):
            return
        extra = {
            "event": event,
            "fields": self._shared_fields | fields,
            "when": timestamp,
        }
        LOGGER.log(event.level, event.text, extra=extra)


def set_up_logging(settings):
    """Send the log to standard output, with format and level from the settings.

    Other loggers write from level ``WARNING`` on.
    """
    handler = BufferedHandler(sys.stdout)
    formatter = JsonFormatter() if settings.log_format == "json" else PlainFormatter()
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    LOGGER.setLevel(settings.log_level.upper())
