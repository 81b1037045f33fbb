"""The class of numbered log events."""

from dataclasses import dataclass

__all__ = ["Event"]


@dataclass(frozen=True, slots=True)
class Event:
    """A kind of log line.

    :param number: identifies the event; it is never reused for another one.
    :param name: name of the event in the log.
    :param level: level of the standard ``logging``.
    :param text: what happened and what the program does next, for readers of
        the catalogue.
    """

    number: int
    name: str
    level: int
    text: str
