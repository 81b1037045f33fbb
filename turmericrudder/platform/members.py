"""Encode and decode the registrations of entry instances in the store."""

import msgspec

from ..ranges import PositiveWeight
from ..steering import GatewayMember
from .decoding import check_name, decode_document, parse_peer_address
from .protocol import MEMBER_PREFIX

__all__ = ["decode_member", "encode_member", "get_member_key", "get_member_name"]


class _MemberDocument(msgspec.Struct):
    address: str
    peer_address: str
    failure_domain: str
    region: str
    nonce: str
    capacity: PositiveWeight


def get_member_key(name):
    """Return the store key under which an instance registers."""
    return MEMBER_PREFIX + name


def get_member_name(key):
    """Return the name of the instance that registered under a store key."""
    return key[len(MEMBER_PREFIX) :]


def encode_member(member):
    """Return the registration of a :class:`GatewayMember` as JSON bytes."""
    return msgspec.json.encode(
        _MemberDocument(
            str(member.address),
            str(member.peer_address),
            member.failure_domain,
            member.region,
            member.nonce,
            member.capacity,
        )
    )


def decode_member(key, value):
    """Return the :class:`GatewayMember` of a registration.

    :raises StoreEntryInvalid: if a field is missing, has the wrong type or is out
        of range.
    """
    subject = f"registration {key!r}"
    check_name(subject, get_member_name(key))
    document = decode_document(subject, value, _MemberDocument)
    address = parse_peer_address(subject, document.address)
    peer_address = parse_peer_address(subject, document.peer_address)
    return GatewayMember(
        get_member_name(key),
        address,
        peer_address,
        document.failure_domain,
        document.region,
        document.nonce,
        document.capacity,
    )
