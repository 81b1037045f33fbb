"""Look headers up, and tell those that concern one connection only."""

__all__ = ["get_header", "get_hop_by_hop_headers"]

_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# Naming it as an option of the connection must not hide how a body ends.
_LENGTH = b"content-length"


def get_header(headers, name):
    """Return the first value of a lower-case header name, or ``None``."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def get_hop_by_hop_headers(headers):
    """Return the lower-case names of headers that end at this hop.

    :param headers: (name, value) pairs, among them the connection's options.
    """
    options = set()
    for name, value in headers:
        if name.lower() == b"connection":
            options |= {option.strip().lower() for option in value.split(b",")}
    options.discard(_LENGTH)
    return _HOP_HEADERS | options if options else _HOP_HEADERS
