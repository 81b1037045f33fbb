"""Forwarding of requests to targets and peers, and of responses to callers.

A target is a server process of a service. It has slots, one for each request that it
may run at a time. One instance, the owner of the target, grants them; other instances
forward requests to the owner.
"""

from .bandwidth_limiter import BandwidthLimiter
from .body import CallerDisconnected, RequestBody
from .connection import Connection
from .connection_pool import ConnectionPool
from .dispatcher import Dispatcher
from .operation_coordinator import OperationCoordinator
from .peer_forwarder import PeerForwarder
from .request import Request
from .responder import Responder
from .response import NoResponse, NotSent, Response
from .response_recorder import ResponseRecorder
from .router import Router
from .step import MayHaveRun, NotRun, RanWithoutResponse, ResponseSent
from .target_connection_pool import TargetConnectionPool
from .target_forwarder import TargetForwarder

__all__ = [
    "BandwidthLimiter",
    "CallerDisconnected",
    "Connection",
    "ConnectionPool",
    "Dispatcher",
    "MayHaveRun",
    "NoResponse",
    "NotRun",
    "NotSent",
    "OperationCoordinator",
    "PeerForwarder",
    "RanWithoutResponse",
    "Request",
    "RequestBody",
    "Responder",
    "Response",
    "ResponseRecorder",
    "ResponseSent",
    "Router",
    "TargetConnectionPool",
    "TargetForwarder",
]
