"""Network addresses in the form ``IP:PORT``; host names are not accepted."""

import ipaddress
from dataclasses import dataclass

from .errors import AddressInvalid

__all__ = ["Address"]

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text):
        """Return the address written as ``IP:PORT``.

        :raises AddressInvalid: if the text has another form.
        """
        host, _, port = text.strip().rpartition(":")
        try:
            ip = ipaddress.ip_address(host.strip("[]"))
        except ValueError:
            raise AddressInvalid(
                f"address {text!r} does not start with an IP address"
            ) from None
        if getattr(ip, "scope_id", None) is not None:
            raise AddressInvalid(f"address {text!r} has a scope")
        is_number = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
        if not is_number or not 0 < int(port) <= MAX_PORT:
            raise AddressInvalid(
                f"address {text!r} does not end in a port from 1 to {MAX_PORT}"
            )
        return cls(str(ip), int(port))

    def is_connectable(self):
        """Return whether the address is of one machine, so that it can be called."""
        ip = ipaddress.ip_address(self.host)
        return not (ip.is_unspecified or ip.is_multicast or ip.is_reserved)

    def __str__(self):
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"
