"""Decode the registrations of targets."""

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
    # Counted from the write, not from the target's start.
    cold_left_ms: float = 0.0
    born: int | None = None


def get_target_id(key):
    """Return the id of the target that a key belongs to."""
    return key[len(TARGET_PREFIX) :]


def decode_endpoint(key, value):
    """Return the :class:`Endpoint` in a registration.

    :raises StoreEntryInvalid: if a field is missing or of another type.
    """
    try:
        document = msgspec.json.decode(value, type=_TargetDocument)
        address = Address.parse(document.address)
    except (msgspec.DecodeError, AddressInvalid) as exc:
        raise StoreEntryInvalid(f"registration {key!r}: {exc}") from None
    if document.slots < 1 or document.cold_left_ms < 0:
        raise StoreEntryInvalid(
            f"registration {key!r}: slots or cold_left_ms out of range"
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
