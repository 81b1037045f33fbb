"""One kind of log line."""

from dataclasses import dataclass

__all__ = ["Event"]


@dataclass(frozen=True, slots=True)
class Event:
    """A numbered kind of log line; the number never changes its meaning."""

    number: int
    name: str
    level: int
    text: str
