"""Decisions about where a request runs: pure, without sockets or clocks."""

from .budget import Budget
from .caps import allot_cap
from .choice import choose_target
from .hedge_delay import HedgeDelay
from .link import TokenBucket
from .obstacle import Obstacle
from .ownership import Owner, Ownership
from .peers import PeerLoad, rank_peers
from .pool import Grant, Refusal, TargetPool, Waiting
from .ramp import Ramp
from .result import Cancelled, Failed, Finished, Shed, Unused
from .takeover import Takeover
from .target_state import TargetState
from .work import Work

__all__ = [
    "Budget",
    "Cancelled",
    "Failed",
    "Finished",
    "Grant",
    "HedgeDelay",
    "Obstacle",
    "Owner",
    "Ownership",
    "PeerLoad",
    "Ramp",
    "Refusal",
    "Shed",
    "Takeover",
    "TargetPool",
    "TargetState",
    "TokenBucket",
    "Unused",
    "Waiting",
    "Work",
    "allot_cap",
    "choose_target",
    "rank_peers",
]
