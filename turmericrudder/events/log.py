"""Write numbered events through the standard ``logging``."""

import logging
import sys

from .buffered_handler import BufferedHandler
from .formatter import JsonFormatter, PlainFormatter

__all__ = ["EventLog", "set_up_logging"]

LOGGER = logging.getLogger("turmericrudder")


class EventLog:
    """Writes events with the fields all lines of one process share."""

    __slots__ = ("_shared",)

    def __init__(self, **shared):
        self._shared = shared

    def write(self, event, **fields):
        """Write one line for ``event``, unless its level is switched off."""
        self.write_at(event, None, fields)

    def write_at(self, event, when, fields):
        """Write a line for something that happened before.

        :param when: Unix time in seconds, or ``None`` for now.
        :param fields: dict of the line's own fields.
        """
        if not LOGGER.isEnabledFor(event.level):
            return
        extra = {"event": event, "fields": self._shared | fields, "when": when}
        LOGGER.log(event.level, event.text, extra=extra)


def set_up_logging(settings):
    """Send the log to standard output in the format of the settings."""
    handler = BufferedHandler(sys.stdout)
    formatter = JsonFormatter() if settings.log_format == "json" else PlainFormatter()
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    LOGGER.setLevel(settings.log_level.upper())
