"""Cluster membership: the merged view, failure detection and gossip topology.

The package does no I/O and reads no clock.
"""

from .failure_detector import DetectorResult, FailureDetector
from .heartbeat_topology import (
    get_gossip_peers,
    get_heartbeat_receivers,
    get_heartbeat_senders,
)
from .member import Member, Status
from .membership_view import MembershipView

__all__ = [
    "DetectorResult",
    "FailureDetector",
    "Member",
    "MembershipView",
    "Status",
    "get_gossip_peers",
    "get_heartbeat_receivers",
    "get_heartbeat_senders",
]
