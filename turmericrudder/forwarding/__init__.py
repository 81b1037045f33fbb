"""Carry requests to targets and peers, and answers back to callers."""

from .body import CallerBody, CallerGone
from .connection import Connection
from .dispatcher import Dispatcher
from .exchange import Answered, NoAnswer, NotSent
from .operations import Operations
from .outcome import Collector
from .pacer import LinkPacer
from .peer_links import PeerLinks
from .request import Request
from .responder import Responder
from .router import Router
from .step import Passed, Ran, Turned, Unknown
from .upstreams import Upstreams

__all__ = [
    "Answered",
    "CallerBody",
    "CallerGone",
    "Collector",
    "Connection",
    "Dispatcher",
    "LinkPacer",
    "NoAnswer",
    "NotSent",
    "Operations",
    "Passed",
    "PeerLinks",
    "Ran",
    "Request",
    "Responder",
    "Router",
    "Turned",
    "Unknown",
    "Upstreams",
]
