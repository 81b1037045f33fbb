"""A target: one upstream process that serves requests of a service."""

from dataclasses import dataclass

from ..address import Address

__all__ = ["Target"]


@dataclass(frozen=True, slots=True)
class Target:
    """Name, service, failure domain and address of an upstream process."""

    name: str
    service: str
    failure_domain: str
    address: Address
