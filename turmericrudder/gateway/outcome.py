"""What became of one send to a target, and a final answer of our own."""

from dataclasses import dataclass

__all__ = [
    "Broken",
    "Refusal",
    "Refused",
    "Streaming",
    "TurnedAway",
    "Whole",
    "is_answer",
]


@dataclass(frozen=True, slots=True)
class Whole:
    """A target's answer that was read to its end."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclass(frozen=True, slots=True)
class Streaming:
    """A long answer whose head is there and whose body follows.

    :param link: the connection to read it from.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    link: object


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """The target says that it did not run the request."""

    reason: str


@dataclass(frozen=True, slots=True)
class Refused:
    """No connection came about, so nothing was sent."""

    reason: str


@dataclass(frozen=True, slots=True)
class Broken:
    """The request was sent and may have run, but no proper answer came."""

    reason: str


@dataclass(frozen=True, slots=True)
class Refusal:
    """A final answer of our own.

    :param retry_after: seconds after which to come back, or ``None``.
    """

    status: int
    reason: str
    retry_after: float | None = None


def is_answer(outcome):
    """Return whether a client should get what a send brought, and no repeat."""
    match outcome:
        case Streaming():
            return True
        case Whole(status):
            return status < 500
    return False
