"""Errors and timeouts that all calls over httpcore have in common."""

import httpcore

__all__ = ["TRANSPORT_ERRORS", "make_timeout_extensions"]

# Raised by a call that got no complete response.
TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


def make_timeout_extensions(seconds, **overrides):
    """Return the httpcore extensions that set a request's timeouts.

    :param seconds: timeout for connecting, each read, each write, and waiting
        for a connection from the pool.
    :param overrides: seconds for ``connect``, ``read``, ``write`` or ``pool``.
    """
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), seconds)
    return {"timeout": timeouts | overrides}
