"""The request rate that a target in need accepts from all instances together."""

import math

__all__ = ["parse_rate_limit"]


def parse_rate_limit(text):
    """Return the requests per second from the text of a response's header.

    :returns: ``None`` if the text is malformed.
    """
    try:
        limit = float(text)
    except ValueError:
        return None
    return limit if 0.0 <= limit < math.inf else None
