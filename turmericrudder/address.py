"""Network addresses in the form ``IP:PORT``; host names are not accepted."""

import ipaddress
from dataclasses import dataclass

from .errors import AddressInvalid

__all__ = ["Address"]

MAX_PORT = 65535


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
        if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
            raise AddressInvalid(
                f"address {text!r} does not end in a port from 1 to {MAX_PORT}"
            )
        return cls(str(ip), int(port))

    def __str__(self):
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"
