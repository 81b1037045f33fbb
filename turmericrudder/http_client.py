"""Errors, timeouts and bounds that all calls over httpcore have in common."""

from dataclasses import dataclass

import anyio
import httpcore

__all__ = [
    "TRANSPORT_ERRORS",
    "BoundedResponse",
    "ResponseTooLarge",
    "make_timeout_extensions",
    "send_bounded",
]

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


class ResponseTooLarge(httpcore.ProtocolError):
    """A response is longer than the caller accepts."""


@dataclass(frozen=True, slots=True)
class BoundedResponse:
    """A response that was read to its end within its bounds.

    :param headers: (name, value) pairs as received.
    """

    status: int
    content: bytes
    headers: list[tuple[bytes, bytes]]


async def send_bounded(
    pool, method, url, *, max_bytes, timeout, headers=(), content=None, extensions=None
):
    """Send a request and return its :class:`BoundedResponse`.

    httpcore bounds the time of each read but not the number of reads, and collects a
    body of any length.

    :param pool: an ``httpcore.AsyncConnectionPool``.
    :param max_bytes: bound on the response's body.
    :param timeout: seconds until the response must be complete.
    :param extensions: as of :func:`make_timeout_extensions`.
    :raises: one of :data:`TRANSPORT_ERRORS`.
    """
    chunks, size = [], 0
    try:
        with anyio.fail_after(timeout):
            async with pool.stream(
                method,
                url,
                headers=list(headers),
                content=content,
                extensions=extensions,
            ) as response:
                async for chunk in response.aiter_stream():
                    chunks.append(chunk)
                    size += len(chunk)
                    if size > max_bytes:
                        raise ResponseTooLarge(
                            f"response longer than {max_bytes} bytes"
                        )
                _close_if_excess(response)
                return BoundedResponse(
                    response.status, b"".join(chunks), response.headers
                )
    except TimeoutError:
        raise httpcore.ReadTimeout(f"no complete response in {timeout:g} s") from None


def _close_if_excess(response):
    """Close the connection of a complete response if more bytes were received on it.

    httpcore would take them for the response to the next request. It has no public
    access to them.
    """
    http11_state = response.stream._stream._connection._h11_state
    data, _ = http11_state.trailing_data
    if data:
        http11_state.send_failed()  # httpcore then closes the connection
