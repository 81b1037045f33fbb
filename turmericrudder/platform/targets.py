"""Decode the registrations of targets in the store."""

from typing import Literal

import msgspec

from ..ranges import Count, Milliseconds, NonNegativeInteger
from ..steering import Endpoint
from ..units import MS_PER_SECOND
from .decoding import check_name, decode_document, parse_peer_address
from .protocol import TARGET_PREFIX

__all__ = ["decode_endpoint", "get_target_id"]


class _TargetDocument(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: Count
    state: Literal["ready", "draining"]
    seq: NonNegativeInteger
    # Remaining cold start, counted from the write and not from the target's start.
    cold_left_ms: Milliseconds = 0.0
    born: NonNegativeInteger | None = None


def get_target_id(key):
    """Return the id of the target that registered under a store key."""
    return key[len(TARGET_PREFIX) :]


def decode_endpoint(key, value):
    """Return the :class:`Endpoint` of a registration.

    :raises StoreEntryInvalid: if a field is missing, has the wrong type or is out
        of range, or the id does not fit into a header.
    """
    subject = f"registration {key!r}"
    check_name(subject, get_target_id(key))
    document = decode_document(subject, value, _TargetDocument)
    address = parse_peer_address(subject, document.address)
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
