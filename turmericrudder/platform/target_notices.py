"""Decode what targets say in responses about the requests that they want."""

import email.utils
from datetime import UTC

from ..ranges import MAX_SECONDS, parse_decimal
from . import protocol

__all__ = ["decode_leaving", "decode_pause"]

_LEAVING = b"1"
_PAUSING_STATUS = 503


def decode_leaving(status, headers):
    """Return whether the target that responded says that it leaves.

    :param headers: (name in lower case, value) pairs of the response.
    """
    # A response with 421 is of another target at the same address.
    return status != 421 and any(
        name == protocol.SERVER_LEAVING_HEADER and value.strip() == _LEAVING
        for name, value in headers
    )


def decode_pause(status, headers, unix_time):
    """Return the seconds for which a target wants no requests, 0 for no pause.

    The value is a number of seconds or a date (RFC 9110 10.2.3); of several, the
    longest time counts.

    :param headers: (name in lower case, value) pairs of the response.
    :param unix_time: seconds since the epoch, for a date.
    :returns: ``None`` if the header is there and no value of it can be used.
    """
    if status != _PAUSING_STATUS:
        return 0.0
    values = [value for name, value in headers if name == protocol.RETRY_AFTER_HEADER]
    if not values:
        return 0.0
    pauses = [_parse_pause(value.decode("latin-1"), unix_time) for value in values]
    return max((pause for pause in pauses if pause is not None), default=None)


def _parse_pause(text, unix_time):
    text = text.strip()
    seconds = parse_decimal(text, MAX_SECONDS)
    if seconds is not None or text[:1].isdigit():
        return seconds
    try:
        date = email.utils.parsedate_to_datetime(text)
    except (ValueError, OverflowError):
        return None
    date = date if date.tzinfo else date.replace(tzinfo=UTC)
    return min(max(0.0, date.timestamp() - unix_time), MAX_SECONDS)
