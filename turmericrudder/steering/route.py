"""Routes, services and limits from the operator's configuration."""

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
    """The kind of a route's requests. Only idempotent ones may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    UPLOAD = "upload"


@dataclass(frozen=True, slots=True)
class Backend:
    """A service that gets a share of a route's requests.

    :param weight: share relative to the other backends of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The rules for requests of one host whose path starts with one prefix.

    :param prefix: ends with a slash.
    :param timeout: seconds within which a request must have a final response.
    :param objective: seconds within which a response should be sent; a later one is
        worth less.
    :param priority: 0 is the most urgent.
    :param max_attempts: number of targets that one request may be sent to.
    :param has_affinity: whether requests with the same affinity key should go to
        the same target.
    :param home_regions: the only regions that its requests may run in; empty for any.
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
        """Whether a request may be retried after it may have run."""
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """Properties of all targets of a service.

    :param health_path: path of the health check.
    :param max_connections: connections that a target accepts from all callers.
    :param cold_start: seconds that a target stays cold after its start, since its
        caches are empty.
    :param cold_rate: requests per second that a cold target tolerates, ``None`` for
        no limit.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start: float
    cold_rate: float | None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the size of a client's request and on the time to send it.

    :param head_bytes: size of the request line and headers.
    :param body_bytes: size of the body.
    :param header_timeout: seconds from the first byte of a head to its last.
    :param idle_timeout: seconds that a connection may stay open without a request.
    """

    head_bytes: int
    body_bytes: int
    header_timeout: float
    idle_timeout: float


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One version of the operator's configuration.

    :param services: service profiles by name of the service.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceProfile]
    limits: ClientLimits
