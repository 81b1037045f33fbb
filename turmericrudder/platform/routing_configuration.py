"""Decode the operator's routing configuration from its store entry."""

import re
from typing import Annotated

import msgspec

from ..errors import StoreEntryInvalid
from ..ranges import (
    MAX_COUNT,
    MAX_INTEGER,
    Count,
    Milliseconds,
    NonNegativeInteger,
    PositiveMilliseconds,
    Seconds,
    Weight,
)
from ..steering import (
    Backend,
    ClientLimits,
    RequestKind,
    Route,
    RoutingConfiguration,
    ServiceProfile,
)
from ..units import MS_PER_SECOND
from .decoding import decode_document

__all__ = ["decode_routing_configuration"]

SUBJECT = "routing configuration"
_VERSION_PATTERN = re.compile(r"r?([0-9]{1,15})")


class _Table(msgspec.Struct):
    """Rows with their values in the order of ``columns``; ``null`` means omitted."""

    columns: list[str]
    rows: list[list[object]]


class _LimitsDocument(msgspec.Struct):
    max_header_bytes: NonNegativeInteger
    max_body_bytes: NonNegativeInteger
    header_timeout_ms: PositiveMilliseconds
    idle_timeout_ms: PositiveMilliseconds


class _BackendDocument(msgspec.Struct):
    service: str
    weight: Weight


class _RouteDocument(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_ms: PositiveMilliseconds
    slo_ms: Milliseconds  # latency objective; only a response within it counts in full
    max_attempts: Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)] = 1
    priority: Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)] = 0
    service: str | None = None
    backends: list[_BackendDocument] | None = None
    affinity: bool = False
    home_regions: list[str] = []


class _ServiceDocument(msgspec.Struct):
    name: str
    health_path: str = "/health"
    max_conns: Count = 1
    cold_start_s: Seconds = 0.0
    cold_per_s: Weight | None = None


class _ConfigurationDocument(msgspec.Struct):
    version: str
    routes: _Table
    services: _Table
    limits: _LimitsDocument


def decode_routing_configuration(value):
    """Return the :class:`RoutingConfiguration` of the operator's document.

    :raises StoreEntryInvalid: if a field is missing, invalid or out of range, or a
        route names no service.
    """
    document = decode_document(SUBJECT, value, _ConfigurationDocument)
    match = _VERSION_PATTERN.fullmatch(document.version)
    if match is None:
        raise StoreEntryInvalid(f"{SUBJECT}: version {document.version!r} is no number")
    version = int(match[1])
    try:
        services = _convert_rows(document.services, _ServiceDocument)
        routes = _convert_rows(document.routes, _RouteDocument)
    except (msgspec.ValidationError, ValueError, RecursionError) as exc:
        raise StoreEntryInvalid(f"{SUBJECT}: {exc}") from None
    profiles = {service.name: _to_profile(service) for service in services}
    return RoutingConfiguration(
        version=version,
        routes=tuple(_to_route(route) for route in routes),
        services=profiles,
        limits=_to_limits(document.limits),
    )


def _convert_rows(table, row_type):
    """Return the rows of a table as documents of this type, ``null`` left out."""
    documents = []
    for row in table.rows:
        pairs = zip(table.columns, row, strict=True)
        present = {name: value for name, value in pairs if value is not None}
        documents.append(msgspec.convert(present, row_type))
    return documents


def _to_route(route):
    if route.backends:
        backends = tuple(
            Backend(backend.service, backend.weight) for backend in route.backends
        )
    elif route.service is not None:
        backends = (Backend(route.service, 1.0),)
    else:
        raise StoreEntryInvalid(f"{SUBJECT}: route {route.name!r} names no service")
    if not any(backend.weight for backend in backends):
        raise StoreEntryInvalid(f"{SUBJECT}: route {route.name!r} has no weight")
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        kind=route.kind,
        timeout=route.timeout_ms / MS_PER_SECOND,
        objective=route.slo_ms / MS_PER_SECOND,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        backends=backends,
        has_affinity=route.affinity,
        home_regions=frozenset(route.home_regions),
    )


def _to_profile(service):
    return ServiceProfile(
        name=service.name,
        health_path=service.health_path,
        max_connections=service.max_conns,
        cold_start=service.cold_start_s,
        cold_rate=service.cold_per_s,
    )


def _to_limits(limits):
    return ClientLimits(
        head_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_timeout=limits.header_timeout_ms / MS_PER_SECOND,
        idle_timeout=limits.idle_timeout_ms / MS_PER_SECOND,
    )
