"""Reading of the peer key and of address lists from a settings section."""

from ..address import Address
from ..errors import AddressInvalid

__all__ = ["read_addresses", "read_peer_key"]

MIN_PEER_KEY_CHARS = 16


def read_peer_key(section):
    """Return the secret with which instances and operators authenticate."""
    key = section.get_text("key")
    if len(key) < MIN_PEER_KEY_CHARS:
        raise section.make_error("key", f"shorter than {MIN_PEER_KEY_CHARS} characters")
    return key


def read_addresses(section, key):
    """Return a comma-separated list of ``IP:PORT`` as a tuple."""
    try:
        return tuple(Address.parse(part) for part in section.get_list(key, ""))
    except AddressInvalid as exc:
        raise section.make_error(key, str(exc)) from None
