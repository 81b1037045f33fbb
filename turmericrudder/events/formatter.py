"""Formatters for numbered events and for records of other loggers."""

import logging

import msgspec

__all__ = ["JsonFormatter", "PlainFormatter"]


class PlainFormatter(logging.Formatter):
    """Formats a line of text: time, level, number, name and ``key=value`` fields."""

    def format(self, record):
        """Return the line for a record."""
        event = getattr(record, "event", None)
        time = self.formatTime(record)
        if event is None:
            return f"{time} {record.levelname} {record.name} {super().format(record)}"
        fields = " ".join(f"{key}={value}" for key, value in record.fields.items())
        return f"{time} {record.levelname} {event.number} {event.name} {fields}"


class JsonFormatter(logging.Formatter):
    """Formats one JSON object per line."""

    def format(self, record):
        """Return the line for a record."""
        timestamp = getattr(record, "when", None) or record.created
        line = {"time": round(timestamp, 6), "level": record.levelname}
        event = getattr(record, "event", None)
        if event is None:
            line |= {"logger": record.name, "message": super().format(record)}
        else:
            line |= {"event": event.number, "name": event.name, **record.fields}
        return msgspec.json.encode(line, enc_hook=str).decode()
