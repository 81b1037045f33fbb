"""The request rate that a target in need accepts from all instances together."""

from ..ranges import MAX_COUNT, parse_decimal

__all__ = ["parse_rate_limit"]


def parse_rate_limit(text):
    """Return the requests per second from the text of a response's header.

    :returns: ``None`` if the text is malformed or the rate is out of range.
    """
    return parse_decimal(text, MAX_COUNT)
