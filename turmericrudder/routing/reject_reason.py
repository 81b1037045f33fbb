"""The reasons for which a request gets no slot."""

from enum import Enum

__all__ = ["RejectReason"]


class RejectReason(Enum):
    """Reasons; the values appear in the log and in error responses."""

    NO_TARGET = "no_target"  # no owned target of the service to select from
    DRAINING = "draining"  # the target is draining
    EJECTED = "ejected"  # the target is ejected after failures or a shed request
    FULL = "full"  # all slots are in use, or reserved for another owner's requests
    LONG_FULL = "long_full"  # all slots for long requests are in use
    CAP_FULL = "cap_full"  # all slots for requests of other home regions are in use
    QUEUE_FULL = "queue_full"  # no slot, and the queue is at its limit
    WAITED = "waited"  # no slot became free within the queue time
    NOT_OWNED = "not_owned"  # forwarded to an instance without targets of the service
    LINK_FULL = "link_full"  # no bandwidth left to the other region
