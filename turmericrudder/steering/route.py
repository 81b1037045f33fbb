"""What the operator's configuration says of routes and services."""

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "Backend",
    "ClientLimits",
    "RequestKind",
    "Route",
    "RoutingConfiguration",
    "ServiceProfile",
]


class RequestKind(Enum):
    """What may be repeated. Only idempotent requests may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    UPLOAD = "upload"


@dataclass(frozen=True, slots=True)
class Backend:
    """A service that takes a share of a route's requests.

    :param weight: share relative to the other backends of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host whose path begins with one prefix.

    :param timeout: seconds after which a request must have a final answer.
    :param objective: seconds within which an answer earns its full credit.
    :param max_attempts: targets one request may be sent to.
    :param priority: rank, 0 is the most urgent.
    :param home_regions: the only regions it may run in; empty for any.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout: float
    objective: float
    priority: int
    max_attempts: int
    backends: tuple[Backend, ...]
    has_affinity: bool = False
    home_regions: frozenset[str] = frozenset()

    @property
    def is_idempotent(self):
        """Whether a request may be sent again after it may have run."""
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """What all targets of a service have in common.

    :param max_connections: connections a target accepts from all callers.
    :param cold_start: seconds a target stays cold after its start.
    :param cold_rate: requests a second that a cold target tolerates, or
        ``None`` without a bound.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start: float
    cold_rate: float | None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bounds on what a client may send and how long it may take.

    :param header_timeout: seconds from the first byte of a head to its last.
    :param idle_timeout: seconds a connection may stay without a request.
    """

    head_bytes: int
    body_bytes: int
    header_timeout: float
    idle_timeout: float


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One version of the operator's configuration, whole."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceProfile]
    limits: ClientLimits
