"""What the decisions have to know of a request."""

from dataclasses import dataclass

__all__ = ["Work"]


@dataclass(frozen=True, slots=True)
class Work:
    """A request as admission sees it.

    :param home_region: region of the caller's block of clients.
    :param expires: monotonic time of the deadline in seconds.
    """

    service: str
    home_region: str
    long: bool
    expires: float
