"""Why a target takes no further request."""

from enum import Enum

__all__ = ["RejectReason"]


class RejectReason(Enum):
    """Reasons, also written to the log and to refusals."""

    NO_TARGET = "no_target"
    DRAINING = "draining"
    EJECTED = "ejected"
    FULL = "full"
    LONG_FULL = "long_full"
    CAP_FULL = "cap_full"
    QUEUE_FULL = "queue_full"
    WAITED = "waited"
    NOT_OWNED = "not_owned"
    LINK_FULL = "link_full"
