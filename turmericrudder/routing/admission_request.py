"""The properties of a request on which its admission depends."""

from dataclasses import dataclass

__all__ = ["AdmissionRequest"]


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """The properties of a request that decide whether it gets a slot.

    :param home_region: region of the caller's address block; if the block is
        unknown, region of the instance that received the request.
    :param is_long: whether the request's class is marked as long-running.
    :param expires: deadline of the request, in monotonic seconds.
    :param queue_until: monotonic time until which the request may queue for a
        slot, in seconds.
    """

    service: str
    home_region: str
    is_long: bool
    expires: float
    queue_until: float = 0.0
