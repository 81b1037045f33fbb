"""Routing decisions: target ownership, slot allocation, and retry and hedge limits.

A target is a server process of a service. It has slots, one for each request that it
may run at a time. One instance, the owner of the target, grants them. The package does
no I/O and reads no clock. Every ``now`` is in monotonic seconds.
"""

from .admission_request import AdmissionRequest
from .cap_allocation import allocate_cap
from .hedge_delay import HedgeDelay
from .ownership import Owner, Ownership
from .peers import PeerLoad, rank_peers
from .ramp import Ramp
from .reject_reason import RejectReason
from .request_result import Cancelled, Completed, Failed, Shed, Unused
from .retry_budget import RetryBudget
from .slot_allocator import Grant, QueuedRequest, Rejection, SlotAllocator
from .takeover import Takeover
from .target_selection import choose_target
from .target_state import TargetState
from .token_bucket import TokenBucket

__all__ = [
    "AdmissionRequest",
    "Cancelled",
    "Completed",
    "Failed",
    "Grant",
    "HedgeDelay",
    "Owner",
    "Ownership",
    "PeerLoad",
    "QueuedRequest",
    "Ramp",
    "RejectReason",
    "Rejection",
    "RetryBudget",
    "Shed",
    "SlotAllocator",
    "Takeover",
    "TargetState",
    "TokenBucket",
    "Unused",
    "allocate_cap",
    "choose_target",
    "rank_peers",
]
