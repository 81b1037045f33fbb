"""What the decisions have to know of a request."""

from dataclasses import dataclass

__all__ = ["AdmissionRequest"]


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request as admission sees it.

    :param home_region: region of the caller's block of clients.
    :param expires: monotonic time of the deadline in seconds.
    :param queue_until: monotonic time until which it may queue for a slot.
    """

    service: str
    home_region: str
    is_long: bool
    expires: float
    queue_until: float = 0.0
