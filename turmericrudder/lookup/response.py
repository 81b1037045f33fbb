"""The look-up response that is sent to callers."""

import msgspec

__all__ = ["LookupEntry", "LookupResponse"]


class LookupEntry(msgspec.Struct, frozen=True):
    """One entry instance that a client may use.

    :param address: address for callers.
    """

    name: str
    address: str
    region: str
    failure_domain: str


class LookupResponse(msgspec.Struct, frozen=True):
    """Entry instances for one client, best first.

    :param place: the client's failure domain or region.
    :param ttl: seconds for which the response may be cached.
    :param revision: configuration revision that the response was made from.
    :param key_prefix: prefix for operation keys, empty if none can be issued.
    """

    service: str
    place: str
    entries: tuple[LookupEntry, ...]
    ttl: float
    revision: int
    key_prefix: str
