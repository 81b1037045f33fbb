"""What log files say of one request, and of what it met."""

from dataclasses import dataclass

import msgspec

from . import catalogue

__all__ = ["LogLine", "RequestTrace", "read_log"]

BEFORE = 15.0  # seconds before a request in which news may have mattered to it
AFTER = 1.0  # seconds after it
# News that concern every request of the instance.
_GENERAL = frozenset(
    event.number
    for event in (
        catalogue.INSTANCE_STARTED,
        catalogue.INSTANCE_LEAVING,
        catalogue.INSTANCE_STOPPED,
        catalogue.SETTINGS_RELOADED,
        catalogue.SETTINGS_REFUSED,
        catalogue.REVISION_IN_FORCE,
        catalogue.STORE_UNREACHABLE,
        catalogue.STORE_REACHABLE,
        catalogue.DOMAIN_EVACUATED,
        catalogue.DOMAIN_RESTORED,
    )
)
# Outcomes of a send after which the target may have run the request.
_MAY_HAVE_RUN = ("Broken", "Cancelled", "Whole", "Streaming")
_HEAD = ("time", "level", "event", "name", "instance", "id")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event as it was written.

    :param time: Unix time in seconds.
    :param fields: what the line says beside the fields above.
    """

    time: float
    number: int
    name: str
    instance: str
    request_id: str | None
    fields: dict

    @classmethod
    def parse(cls, text):
        """Return the line, or ``None`` if the text holds no event.

        What stands before the JSON object, such as a collector's own time
        stamp, is skipped.
        """
        start = text.find("{")
        if start < 0:
            return None
        try:
            found = msgspec.json.decode(text[start:])
        except msgspec.DecodeError:
            return None
        if not isinstance(found, dict) or "event" not in found or "time" not in found:
            return None
        return cls(
            found["time"],
            found["event"],
            found.get("name", ""),
            found.get("instance", ""),
            found.get("id"),
            {key: value for key, value in found.items() if key not in _HEAD},
        )


class RequestTrace:
    """The lines of one request and the news that may explain them."""

    __slots__ = ("lines", "related_events")

    def __init__(self, request_id, lines):
        """Choose among the lines of any number of instances."""
        own = [line for line in lines if line.request_id == request_id]
        self.lines = sorted(own, key=lambda line: line.time)
        self.related_events = []
        if own:
            found = [line for line in lines if self._is_news(line)]
            self.related_events = sorted(found, key=lambda line: line.time)

    def get_attempts(self):
        """Return the lines of sends to targets."""
        return self._get(catalogue.ROUTE_SENT)

    def get_conclusion(self):
        """Return one sentence that says how the request ended and why."""
        if not self.lines:
            return "no line has this id; it may have been left out (event 411)"
        last = self.lines[-1]
        sends = self.get_attempts()
        ended = self._get(catalogue.ROUTE_ENDED)
        text = f"{last.name} with status {last.fields.get('status')}"
        if last.fields.get("reason"):
            text += f" because of {last.fields['reason']!r}"
        text += f" after {last.fields.get('ms')} ms and {len(sends)} send(s)"
        may_have_run = [
            line for line in ended if line.fields.get("outcome") in _MAY_HAVE_RUN
        ]
        if len(may_have_run) > 1:
            text += "; it may have run more than once"
        elif not sends:
            text += "; it was never sent, so it did not run"
        elif ended and not may_have_run:
            text += "; each target said that it did not run it"
        return text

    def _get(self, event):
        return [line for line in self.lines if line.number == event.number]

    def _is_news(self, line):
        if line.request_id is not None:
            return False
        first, last = self.lines[0], self.lines[-1]
        if not first.time - BEFORE <= line.time <= last.time + AFTER:
            return False
        if line.instance not in {own.instance for own in self.lines}:
            return False
        targets = {own.fields.get("target") for own in self.lines} - {None}
        return line.number in _GENERAL or line.fields.get("target") in targets


def read_log(paths):
    """Return the lines of log files.

    :param paths: :class:`~pathlib.Path` of each file.
    :raises OSError: if one cannot be read.
    """
    lines = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            parsed = map(LogLine.parse, file)
            lines += [line for line in parsed if line is not None]
    return lines
