"""Read log files and find the lines of one request and those that explain them."""

from dataclasses import dataclass

import msgspec

from . import catalogue

__all__ = ["LogLine", "RequestTrace", "read_log"]

RELATED_BEFORE = 15.0  # seconds before a request in which events may relate to it
RELATED_AFTER = 1.0  # seconds after its last line
# Events that affect every request of an instance.
_INSTANCE_WIDE_EVENTS = frozenset(
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
# Outcomes of an attempt after which the target may have run the request.
_MAY_HAVE_RUN_OUTCOMES = ("Broken", "Cancelled", "Whole", "Streaming")
# Keys that are not part of an event's own fields.
_COMMON_KEYS = ("time", "level", "event", "name", "instance", "id")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a JSON log, parsed.

    :param time: Unix time in seconds.
    :param number: number of the event.
    :param name: name of the event.
    :param instance: name of the instance that wrote the line.
    :param request_id: the client's attempt id, which identifies the request;
        ``None`` if the line is not about a single request.
    :param fields: the other fields of the line.
    """

    time: float
    number: int
    name: str
    instance: str
    request_id: str | None
    fields: dict

    @classmethod
    def parse(cls, text):
        """Return the parsed line, or ``None`` if the text is not an event.

        Text before the JSON object, such as the timestamp that a log collector
        adds, is skipped.
        """
        start = text.find("{")
        if start < 0:
            return None
        try:
            data = msgspec.json.decode(text[start:])
        except msgspec.DecodeError:
            return None
        if not isinstance(data, dict) or "event" not in data or "time" not in data:
            return None
        return cls(
            data["time"],
            data["event"],
            data.get("name", ""),
            data.get("instance", ""),
            data.get("id"),
            {key: value for key, value in data.items() if key not in _COMMON_KEYS},
        )


class RequestTrace:
    """The log lines of one request and the events that may explain them.

    ``lines`` are those of the request. ``related_events`` are lines about its
    instances and targets, from ``RELATED_BEFORE`` seconds before its first line
    to ``RELATED_AFTER`` seconds after its last one. Both are sorted by time.
    """

    __slots__ = ("lines", "related_events")

    def __init__(self, request_id, lines):
        """Select the lines of a request.

        :param request_id: the client's attempt id.
        :param lines: all :class:`LogLine` objects, of any number of instances.
        """
        own_lines = [line for line in lines if line.request_id == request_id]
        self.lines = sorted(own_lines, key=lambda line: line.time)
        self.related_events = []
        if own_lines:
            related = [line for line in lines if self._is_related(line)]
            self.related_events = sorted(related, key=lambda line: line.time)

    def get_attempts(self):
        """Return the lines of the attempts at targets."""
        return self._get_lines(catalogue.ROUTE_SENT)

    def get_conclusion(self):
        """Return one sentence on how the request ended and why."""
        if not self.lines:
            return "no line has this id; it may have been omitted (event 411)"
        last = self.lines[-1]
        attempts = self.get_attempts()
        ended = self._get_lines(catalogue.ROUTE_ENDED)
        text = f"{last.name} with status {last.fields.get('status')}"
        if last.fields.get("reason"):
            text += f" because of {last.fields['reason']!r}"
        text += f" after {last.fields.get('ms')} ms and {len(attempts)} attempt(s)"
        may_have_run = [
            line
            for line in ended
            if line.fields.get("outcome") in _MAY_HAVE_RUN_OUTCOMES
        ]
        if len(may_have_run) > 1:
            text += "; it may have run more than once"
        elif not attempts:
            text += "; it was never sent to a target, so it did not run"
        elif ended and not may_have_run:
            text += "; no target ran it"
        return text

    def _get_lines(self, event):
        return [line for line in self.lines if line.number == event.number]

    def _is_related(self, line):
        """Return whether a line that belongs to no request may explain this one."""
        if line.request_id is not None:
            return False
        first, last = self.lines[0], self.lines[-1]
        if not first.time - RELATED_BEFORE <= line.time <= last.time + RELATED_AFTER:
            return False
        if line.instance not in {own.instance for own in self.lines}:
            return False
        targets = {own.fields.get("target") for own in self.lines} - {None}
        return (
            line.number in _INSTANCE_WIDE_EVENTS or line.fields.get("target") in targets
        )


def read_log(paths):
    """Return the lines of log files as :class:`LogLine`; other text is skipped.

    :param paths: :class:`~pathlib.Path` of each file.
    :raises OSError: if a file cannot be read.
    """
    lines = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            parsed = map(LogLine.parse, file)
            lines += [line for line in parsed if line is not None]
    return lines
