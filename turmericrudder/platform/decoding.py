"""Decoding of documents that others wrote."""

from typing import Annotated

import msgspec

from ..address import Address
from ..errors import AddressInvalid, StoreEntryInvalid

__all__ = [
    "Name",
    "check_name",
    "decode_document",
    "parse_peer_address",
]

# Visible ASCII, so that the name fits into a header and a log line.
Name = Annotated[str, msgspec.Meta(pattern=r"^[!-~]+\Z", max_length=200)]


def decode_document(subject, value, document_type):
    """Return a JSON document as an object of a type.

    :param subject: what the document is, for the error.
    :raises StoreEntryInvalid: if it is malformed, nested too deeply or has a value of
        another type or out of range.
    """
    try:
        return msgspec.json.decode(value, type=document_type)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise StoreEntryInvalid(f"{subject}: {exc}") from None


def check_name(subject, name):
    """Raise :exc:`StoreEntryInvalid` for a name that is not a :data:`Name`."""
    try:
        msgspec.convert(name, Name)
    except msgspec.ValidationError:
        raise StoreEntryInvalid(
            f"{subject}: the name is empty, too long or not visible ASCII"
        ) from None


def parse_peer_address(subject, text):
    """Return the :class:`Address` of another process.

    :raises StoreEntryInvalid: if the text is no address, or one of no single machine.
    """
    try:
        address = Address.parse(text)
    except AddressInvalid as exc:
        raise StoreEntryInvalid(f"{subject}: {exc}") from None
    if not address.is_connectable():
        raise StoreEntryInvalid(f"{subject}: address {text!r} is of no single machine")
    return address
