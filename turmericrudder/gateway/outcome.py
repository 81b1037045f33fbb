"""Outcomes of an attempt, and responses that the entry instance makes itself.

``log_name`` is the name of an outcome in log lines.
"""

from dataclasses import dataclass
from typing import ClassVar

__all__ = [
    "CompleteResponse",
    "ConnectFailure",
    "LocalResponse",
    "NotAdmitted",
    "NotExecuted",
    "ResponseFailure",
    "StreamingResponse",
    "is_final_response",
]


@dataclass(frozen=True, slots=True)
class CompleteResponse:
    """A target's response that was read to its end."""

    log_name: ClassVar[str] = "Whole"
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamingResponse:
    """A target's response whose head was read and whose body is too long to buffer.

    :param connection: the :class:`~.upstream_connection.UpstreamConnection` to read
        the body from; the reader closes it.
    """

    log_name: ClassVar[str] = "Streaming"
    status: int
    headers: list[tuple[bytes, bytes]]
    connection: object


@dataclass(frozen=True, slots=True)
class NotExecuted:
    """The target responded that it did not execute the request."""

    log_name: ClassVar[str] = "TurnedAway"
    reason: str


@dataclass(frozen=True, slots=True)
class ConnectFailure:
    """No connection was established, so nothing was sent."""

    log_name: ClassVar[str] = "Refused"
    reason: str


@dataclass(frozen=True, slots=True)
class NotAdmitted:
    """The target was removed or its bound reached while a connection was established.

    Nothing was sent.
    """

    log_name: ClassVar[str] = "NotAdmitted"
    reason: str


@dataclass(frozen=True, slots=True)
class ResponseFailure:
    """The request was sent and may have executed, but no valid response arrived."""

    log_name: ClassVar[str] = "Broken"
    reason: str


@dataclass(frozen=True, slots=True)
class LocalResponse:
    """A final response that the entry instance makes itself, with an empty body.

    :param reason: why the request was rejected or failed; logged, not sent.
    :param retry_after: seconds after which the client should retry, or ``None``.
    """

    log_name: ClassVar[str] = "Refusal"
    status: int
    reason: str
    retry_after: float | None = None


def is_final_response(outcome):
    """Return whether an outcome goes to the client without a retry."""
    match outcome:
        case StreamingResponse():
            return True
        case CompleteResponse(status):
            return status < 500
    return False
