"""Selection of targets, hedging and retry budgets for the gateway.

The code does no I/O and reads no clock: the caller passes the monotonic time.
"""

from .balancer import Balancer
from .crash_ledger import CrashLedger, CrashReport
from .endpoint import Endpoint
from .endpoint_catalog import EndpointCatalog
from .entry_selection import choose_entry_instances
from .gateway_member import GatewayMember
from .hedging import can_hedge, get_hedge_delay
from .load_board import LoadBoard
from .load_collector import LoadCollector, TargetReport
from .rate_limit import parse_rate_limit
from .route import (
    Backend,
    ClientLimits,
    RequestKind,
    Route,
    RoutingConfiguration,
    ServiceProfile,
)
from .route_table import RouteTable
from .selection import NoTarget, NoTargetReason, Selection, SelectionRequest
from .sender_roster import SenderRoster
from .server_load import ServerLoad
from .target_weights import TargetWeights
from .tracked_target import TrackedTarget
from .weight_planner import WeightPlanner
from .weighted_round_robin import SmoothWeightedRoundRobin
from .windowed_retry_budget import WindowedRetryBudget

__all__ = [
    "Backend",
    "Balancer",
    "ClientLimits",
    "CrashLedger",
    "CrashReport",
    "Endpoint",
    "EndpointCatalog",
    "GatewayMember",
    "LoadBoard",
    "LoadCollector",
    "NoTarget",
    "NoTargetReason",
    "RequestKind",
    "Route",
    "RouteTable",
    "RoutingConfiguration",
    "Selection",
    "SelectionRequest",
    "SenderRoster",
    "ServerLoad",
    "ServiceProfile",
    "SmoothWeightedRoundRobin",
    "TargetReport",
    "TargetWeights",
    "TrackedTarget",
    "WeightPlanner",
    "WindowedRetryBudget",
    "can_hedge",
    "choose_entry_instances",
    "get_hedge_delay",
    "parse_rate_limit",
]
