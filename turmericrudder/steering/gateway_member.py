"""The registration of an entry instance of the gateway."""

from dataclasses import dataclass

from ..address import Address

__all__ = ["GatewayMember"]


@dataclass(frozen=True, slots=True)
class GatewayMember:
    """One live entry instance.

    :param address: address for clients.
    :param peer_address: address for other instances.
    :param nonce: random text that identifies this start of the instance's process.
    :param capacity: requests per second that it can handle, approximately.
    """

    name: str
    address: Address
    peer_address: Address
    failure_domain: str
    region: str
    nonce: str
    capacity: float = 1.0
