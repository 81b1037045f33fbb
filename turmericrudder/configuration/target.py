"""One upstream process that runs requests of a service."""

from dataclasses import dataclass

from ..address import Address

__all__ = ["Target"]


@dataclass(frozen=True, slots=True)
class Target:
    """An upstream's name, place and address."""

    name: str
    service: str
    failure_domain: str
    address: Address
