"""Headers and time limits of a request that is sent on."""

import anyio

from ..units import MS_PER_SECOND
from .headers import DEADLINE, IDEMPOTENCY_KEY

__all__ = ["get_remaining_time", "get_timeouts", "get_upstream_headers"]

MIN_LEFT = 0.001  # seconds


def get_remaining_time(request):
    """Return the seconds until the request's deadline, at least a moment."""
    return max(MIN_LEFT, request.expires - anyio.current_time())


def get_timeouts(request, margin=0.0):
    """Return (seconds to the answer's head, seconds between reads).

    :param margin: seconds to add for a peer that answers by itself.
    """
    item = request.request_class
    first_byte = min(item.first_byte_timeout, get_remaining_time(request)) + margin
    return first_byte, min(item.idle_timeout, item.timeout)


def get_upstream_headers(request):
    """Return the headers for an upstream, with deadline and key."""
    left = str(int(get_remaining_time(request) * MS_PER_SECOND)).encode()
    headers = [*request.headers, (DEADLINE, left)]
    if request.key:
        headers.append((IDEMPOTENCY_KEY, request.key.encode()))
    return headers
