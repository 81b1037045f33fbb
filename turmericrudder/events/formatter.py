"""Formatters of the standard ``logging`` for numbered events."""

import logging

import msgspec

__all__ = ["JsonFormatter", "PlainFormatter"]


class PlainFormatter(logging.Formatter):
    """One line of text: time, number, name and ``key=value`` fields."""

    def format(self, record):
        """Return the line of a record."""
        event = getattr(record, "event", None)
        stamp = self.formatTime(record)
        if event is None:
            return f"{stamp} {record.levelname} {record.name} {super().format(record)}"
        fields = " ".join(f"{key}={value}" for key, value in record.fields.items())
        return f"{stamp} {record.levelname} {event.number} {event.name} {fields}"


class JsonFormatter(logging.Formatter):
    """One JSON object a line."""

    def format(self, record):
        """Return the line of a record."""
        when = getattr(record, "when", None) or record.created
        line = {"time": round(when, 6), "level": record.levelname}
        event = getattr(record, "event", None)
        if event is None:
            line |= {"logger": record.name, "message": super().format(record)}
        else:
            line |= {"event": event.number, "name": event.name, **record.fields}
        return msgspec.json.encode(line, enc_hook=str).decode()
