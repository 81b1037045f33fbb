"""What became of one send to a target, and a final answer of our own.

``log_name`` is the name of an outcome in log lines.
"""

from dataclasses import dataclass
from typing import ClassVar

__all__ = [
    "CompleteResponse",
    "ConnectFailure",
    "LocalResponse",
    "NotExecuted",
    "ResponseFailure",
    "StreamingResponse",
    "is_final_response",
]


@dataclass(frozen=True, slots=True)
class CompleteResponse:
    """A target's answer that was read to its end."""

    log_name: ClassVar[str] = "Whole"
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamingResponse:
    """A long answer whose head is there and whose body follows.

    :param connection: the connection to read it from.
    """

    log_name: ClassVar[str] = "Streaming"
    status: int
    headers: list[tuple[bytes, bytes]]
    connection: object


@dataclass(frozen=True, slots=True)
class NotExecuted:
    """The target says that it did not run the request."""

    log_name: ClassVar[str] = "TurnedAway"
    reason: str


@dataclass(frozen=True, slots=True)
class ConnectFailure:
    """No connection came about, so nothing was sent."""

    log_name: ClassVar[str] = "Refused"
    reason: str


@dataclass(frozen=True, slots=True)
class ResponseFailure:
    """The request was sent and may have run, but no proper answer came."""

    log_name: ClassVar[str] = "Broken"
    reason: str


@dataclass(frozen=True, slots=True)
class LocalResponse:
    """A final answer of our own.

    :param retry_after: seconds after which to come back, or ``None``.
    """

    log_name: ClassVar[str] = "Refusal"
    status: int
    reason: str
    retry_after: float | None = None


def is_final_response(outcome):
    """Return whether a client should get what a send brought, and no repeat."""
    match outcome:
        case StreamingResponse():
            return True
        case CompleteResponse(status):
            return status < 500
    return False
