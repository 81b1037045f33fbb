"""Carry requests to targets and peers, and answers back to callers."""

from .body import CallerBody, CallerGone
from .connection import Connection
from .dispatcher import Dispatcher
from .exchange import Answered, NoAnswer, NotSent
from .links import Links
from .operations import Operations
from .outcome import Collector
from .pacer import LinkPacer
from .peer_runner import PeerRunner
from .request import Request
from .responder import Responder
from .router import Router
from .step import Passed, Ran, Turned, Unknown
from .target_runner import TargetRunner
from .upstreams import Upstreams

__all__ = [
    "Answered",
    "CallerBody",
    "CallerGone",
    "Collector",
    "Connection",
    "Dispatcher",
    "LinkPacer",
    "Links",
    "NoAnswer",
    "NotSent",
    "Operations",
    "Passed",
    "PeerRunner",
    "Ran",
    "Request",
    "Responder",
    "Router",
    "TargetRunner",
    "Turned",
    "Unknown",
    "Upstreams",
]
