"""Headers and timeouts of a request to a target or to another instance."""

import anyio

from ..units import MS_PER_SECOND
from .headers import DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER

__all__ = ["get_remaining_time", "get_timeouts", "get_upstream_headers"]

MIN_REMAINING_TIME = 0.001  # seconds


def get_remaining_time(request):
    """Return the seconds until a request's deadline, at least 1 ms.

    :param request: the :class:`Request`.
    """
    return max(MIN_REMAINING_TIME, request.expires - anyio.current_time())


def get_timeouts(request, margin=0.0):
    """Return the timeouts of a request in the form that a connection takes.

    :param request: the :class:`Request`.
    :param margin: seconds to add to the first of them.
    :returns: (seconds until the head of the response must have arrived,
        seconds that one read or write may take).
    """
    request_class = request.request_class
    first_byte = (
        min(request_class.first_byte_timeout, get_remaining_time(request)) + margin
    )
    return first_byte, min(request_class.idle_timeout, request_class.timeout)


def get_upstream_headers(request):
    """Return the headers to send, with the remaining time and the operation key.

    :param request: the :class:`Request`.
    """
    remaining_ms = str(int(get_remaining_time(request) * MS_PER_SECOND)).encode()
    headers = [*request.headers, (DEADLINE_HEADER, remaining_ms)]
    if request.key:
        headers.append((IDEMPOTENCY_KEY_HEADER, request.key.encode()))
    return headers
