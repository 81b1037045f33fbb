"""The answer to a look-up, as callers see it."""

import msgspec

__all__ = ["LookupEntry", "LookupResponse"]


class LookupEntry(msgspec.Struct, frozen=True):
    """One entry instance to use."""

    name: str
    address: str
    region: str
    failure_domain: str


class LookupResponse(msgspec.Struct, frozen=True):
    """Entry instances, best first.

    :param ttl: seconds the answer may be cached.
    :param revision: configuration revision it was made with.
    :param key_prefix: prefix for operation keys, empty if none can be issued.
    """

    service: str
    place: str
    entries: tuple[LookupEntry, ...]
    ttl: float
    revision: int
    key_prefix: str
