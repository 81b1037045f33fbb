"""Decode the registrations of targets in the store."""

from typing import Literal

import msgspec

from ..address import Address
from ..errors import AddressInvalid, StoreEntryInvalid
from ..steering import Endpoint
from ..units import MS_PER_SECOND
from .protocol import TARGET_PREFIX

__all__ = ["decode_endpoint", "get_target_id"]


class _TargetDocument(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: Literal["ready", "draining"]
    seq: int
    # Remaining cold start, counted from the write and not from the target's start.
    cold_left_ms: float = 0.0
    born: int | None = None


def get_target_id(key):
    """Return the id of the target that registered under a store key."""
    return key[len(TARGET_PREFIX) :]


def decode_endpoint(key, value):
    """Return the :class:`Endpoint` of a registration.

    :raises StoreEntryInvalid: if a field is missing, has the wrong type or is out
        of range.
    """
    try:
        document = msgspec.json.decode(value, type=_TargetDocument)
        address = Address.parse(document.address)
    except (msgspec.DecodeError, AddressInvalid) as exc:
        raise StoreEntryInvalid(f"registration {key!r}: {exc}") from None
    if document.slots < 1 or document.cold_left_ms < 0:
        raise StoreEntryInvalid(
            f"registration {key!r}: slots is below 1 or cold_left_ms below 0"
        )
    return Endpoint(
        id=get_target_id(key),
        service=document.service,
        address=address,
        failure_domain=document.zone,
        slots=document.slots,
        is_draining=document.state == "draining",
        cold_remaining=document.cold_left_ms / MS_PER_SECOND,
        started_at_ms=document.born,
        sequence=document.seq,
    )
