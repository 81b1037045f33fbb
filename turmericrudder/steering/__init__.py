"""Decisions about requests that go straight to targets; no I/O, no clock."""

from .backend_split import BackendSplit
from .balancer import Balancer
from .catalog import Catalog
from .choice import Chosen, NoTarget, Obstacle, Query
from .endpoint import Endpoint
from .entry_choice import choose_entries
from .member import Member
from .retry_allowance import RetryAllowance
from .route import (
    Backend,
    ClientLimits,
    RequestKind,
    Route,
    RoutingConfiguration,
    ServiceProfile,
)
from .route_table import RouteTable
from .second_send import get_second_delay, has_room
from .server_load import ServerLoad
from .target_record import TargetRecord

__all__ = [
    "Backend",
    "BackendSplit",
    "Balancer",
    "Catalog",
    "Chosen",
    "ClientLimits",
    "Endpoint",
    "Member",
    "NoTarget",
    "Obstacle",
    "Query",
    "RequestKind",
    "RetryAllowance",
    "Route",
    "RouteTable",
    "RoutingConfiguration",
    "ServerLoad",
    "ServiceProfile",
    "TargetRecord",
    "choose_entries",
    "get_second_delay",
    "has_room",
]
