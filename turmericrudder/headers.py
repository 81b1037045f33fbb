"""Look up HTTP headers and find the hop-by-hop ones."""

__all__ = ["get_header", "get_hop_by_hop_headers"]

_HOP_BY_HOP_HEADERS = frozenset(
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
# Never dropped, even if the connection header names it: it delimits the body.
_CONTENT_LENGTH = b"content-length"


def get_header(headers, name):
    """Return the first value of a header, or ``None``.

    :param headers: (name, value) pairs as bytes.
    :param name: header name in lower case.
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def get_hop_by_hop_headers(headers):
    """Return the lower-case names of headers that a proxy must not pass on.

    :param headers: (name, value) pairs of the message as bytes; names listed
        in its ``connection`` header are included.
    """
    options = set()
    for name, value in headers:
        if name.lower() == b"connection":
            options |= {option.strip().lower() for option in value.split(b",")}
    options.discard(_CONTENT_LENGTH)
    return _HOP_BY_HOP_HEADERS | options if options else _HOP_BY_HOP_HEADERS
