"""Encode health checks of targets and decode their responses."""

from urllib.parse import quote

from ..ranges import MAX_MILLISECONDS, parse_integer
from ..units import MS_PER_SECOND
from . import protocol

__all__ = ["decode_cold_time", "encode_health_check"]

SAFE_CHARACTERS = "/?&=%:@,;+!$'()*~"  # of a path and query, besides letters and digits


def encode_health_check(address, path):
    """Return the head of the request for a target's health as bytes.

    :param path: as the operator wrote it; what fits into no head is percent-encoded.
    """
    target = quote(path, safe=SAFE_CHARACTERS)
    return f"GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()


def decode_cold_time(status, headers, target_id):
    """Return the seconds for which a target says that it stays cold, 0 if it is warm.

    :param headers: {name in lower case: value} of the response.
    :returns: ``None`` if it does not say so, or another target responded.
    """
    if headers.get(protocol.INSTANCE_ID_HEADER) != target_id.encode():
        return None
    value = headers.get(protocol.COLD_HEADER)
    if value is None:
        return 0.0 if status == 200 else None
    milliseconds = parse_integer(value, MAX_MILLISECONDS)
    return None if milliseconds is None else milliseconds / MS_PER_SECOND
