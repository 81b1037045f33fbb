"""What all calls over httpcore have in common."""

import httpcore

__all__ = ["TRANSPORT_ERRORS", "make_timeout_extensions"]

# How a call can end without a whole answer.
TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


def make_timeout_extensions(seconds, **others):
    """Return a request's extensions with its time limits.

    :param seconds: limit on connecting, reading, writing and waiting for a
        connection.
    :param others: limits on some of these that differ.
    """
    limits = dict.fromkeys(("connect", "read", "write", "pool"), seconds)
    return {"timeout": limits | others}
