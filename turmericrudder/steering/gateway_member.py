"""An entry instance as the others know it."""

from dataclasses import dataclass

from ..address import Address

__all__ = ["GatewayMember"]


@dataclass(frozen=True, slots=True)
class GatewayMember:
    """One live entry instance.

    :param address: where clients connect.
    :param peer_address: where other instances ask.
    :param nonce: tells one start of an instance from the next.
    :param capacity: requests a second that it can carry, roughly.
    """

    name: str
    address: Address
    peer_address: Address
    failure_domain: str
    region: str
    nonce: str
    capacity: float = 1.0
