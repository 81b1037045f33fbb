"""A connection to a target, with one request at a time.

It is an asyncio protocol rather than an httpcore connection because unexpected bytes
or a close must be detected at once while the connection is idle.
"""

import asyncio
import os
import socket
import struct

from ..errors import ConnectFailed, ResponseFailed, SteeringError
from ..keepalive import make_keepalive_options
from .response_parser import ResponseParser

__all__ = ["HIGH_WATERMARK_BYTES", "UpstreamConnection", "open_connection"]

# Bytes of a response's body that are buffered before reading pauses. Bodies up to this
# size are read completely before they are passed on.
HIGH_WATERMARK_BYTES = 256 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER enabled with a time of 0 s
# TCP keepalive probes detect targets that no longer respond.
KEEPALIVE_IDLE = 2  # seconds
KEEPALIVE_INTERVAL = 2  # seconds
KEEPALIVE_PROBES = 2
_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    *make_keepalive_options(KEEPALIVE_IDLE, KEEPALIVE_INTERVAL, KEEPALIVE_PROBES),
)


async def open_connection(address, timeout):
    """Return a new :class:`UpstreamConnection`.

    :param timeout: seconds.
    :raises ConnectFailed: if the connection was not established; nothing was sent.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    try:
        async with asyncio.timeout(timeout):
            _, connection = await loop.create_connection(
                UpstreamConnection, address.host, address.port
            )
    except TimeoutError:
        raise ConnectFailed(
            f"{address}: no connection within {timeout:.2f} s"
        ) from None
    except OSError as exc:
        raise ConnectFailed(f"{address}: {exc}") from None
    connection.opened_at = started_at
    connection.round_trip = loop.time() - started_at
    return connection


class UpstreamConnection(asyncio.Protocol):
    """A connection to a target that detects whether it can be reused.

    :ivar opened_at: monotonic time at which opening it began.
    :ivar round_trip: seconds that opening the connection took.
    :ivar on_idle_end: called without arguments if the target ends the connection while
        it is idle, or ``None``.
    :ivar requests_sent: number of requests sent on the connection.
    :ivar is_lost: whether the connection ended while a request was in progress on it.
    """

    def __init__(self):
        self.opened_at = 0.0
        self.round_trip = None
        self.on_idle_end = None
        self.requests_sent = 0
        self.is_lost = False
        self._parser = ResponseParser()
        self._transport = None
        self._has_request = False
        self._is_closed = False
        self._is_body_sent = True
        self._waiter = None
        self._drained = asyncio.Event()
        self._drained.set()

    @property
    def status(self):
        """HTTP status of the response."""
        return self._parser.status

    @property
    def headers(self):
        """Headers of the response, with names in lower case."""
        return self._parser.headers

    @property
    def keepalive_timeout(self):
        """Seconds in the target's ``Keep-Alive`` header, or ``None`` without one."""
        return self._parser.keepalive_timeout

    def is_reusable(self):
        """Return whether the next request may be sent on this connection."""
        return (
            not self._has_request
            and not self._parser.must_close
            and not self._is_closed
            and not self._transport.is_closing()
        )

    def close(self):
        """Close at once, which cancels a request in flight."""
        self._is_closed = True
        self.on_idle_end = None
        if self._transport is not None:
            self._abort()

    async def send_request(self, head, body, attempt_id, is_head_request=False):
        """Send a request and return once the response's head is received.

        :param head: the request's head as bytes, with the empty line.
        :param body: bytes, or an async iterator of chunks, encoded as ``head`` says.
        :param attempt_id: the attempt id that the response must have, or ``None``.
        :raises ResponseFailed: if no valid response arrived; the request may have
            been executed.
        """
        parser = self._parser
        self.requests_sent += 1
        self._has_request = True
        self._is_body_sent = isinstance(body, bytes)
        parser.start(attempt_id, is_head_request, self.requests_sent == 1)
        if self._is_closed:
            parser.feed_eof("closed")
        if self._is_body_sent:
            self._transport.write(head + body)
            await self._wait_for(lambda: parser.has_head)
            return
        self._transport.write(head)
        sender = asyncio.ensure_future(self._send_body(body))
        try:
            await self._wait_for(lambda: parser.has_head)
        finally:
            sender.cancel()

    async def read_all(self, max_bytes):
        """Return the complete body, or ``None`` if it is longer than ``max_bytes``.

        :param max_bytes: at most :data:`HIGH_WATERMARK_BYTES`, where reading pauses.
        :raises ResponseFailed: if the response is truncated.
        """
        parser = self._parser
        await self._wait_for(
            lambda: parser.is_complete or parser.buffered_bytes > max_bytes
        )
        if not parser.is_complete:
            return None
        self._finish_response()
        return parser.take_body()

    async def iter_chunks(self, expires):
        """Yield the body as it is received.

        :param expires: monotonic time by which its end must have been received.
        :raises ResponseFailed: if the response is truncated or not complete in time.
        """
        parser = self._parser
        loop = asyncio.get_running_loop()
        while not parser.is_complete or parser.buffered_bytes:
            is_late = False
            try:
                async with asyncio.timeout_at(expires):
                    await self._wait_for(
                        lambda: parser.buffered_bytes or parser.is_complete
                    )
            except TimeoutError:
                # Not asked of the clock, which may be before the time of the timer.
                is_late = True
            if not parser.is_complete and (is_late or loop.time() >= expires):
                raise ResponseFailed("response not complete at the request's timeout")
            if parser.buffered_bytes:
                chunk = parser.take_body()
                self._transport.resume_reading()
                yield chunk
        self._finish_response()

    # asyncio.Protocol

    def connection_made(self, transport):
        self._transport = transport
        sock = transport.get_extra_info("socket")
        for level, option, value in _SOCKET_OPTIONS:
            sock.setsockopt(level, option, value)

    def data_received(self, data):
        if not self._has_request or self._parser.is_complete:
            # Bytes without a request in flight, or after the end of the response.
            self._parser.must_close = True
            self.on_idle_end = None  # it is not the target that ends the connection
            self._abort()
            return
        self._parser.feed(data)
        if self._parser.buffered_bytes > HIGH_WATERMARK_BYTES:
            self._transport.pause_reading()
        self._notify_waiter()

    def eof_received(self):
        self._record_loss()
        # A reset right after the close shows that the target gave up the connection.
        sock = self._transport.get_extra_info("socket")
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self._handle_end(f"reset after close: {os.strerror(error)}" if error else None)

    def connection_lost(self, exc):
        self._is_closed = True
        self._drained.set()
        self._record_loss()
        self._handle_end(f"connection lost: {exc!r}" if exc else "closed")

    def pause_writing(self):
        self._drained.clear()

    def resume_writing(self):
        self._drained.set()

    def _record_loss(self):
        parser = self._parser
        if self._has_request and not parser.is_complete and parser.error is None:
            self.is_lost = True

    def _handle_end(self, reason):
        self._parser.must_close = True
        if not self._has_request and self.on_idle_end is not None:
            on_idle_end, self.on_idle_end = self.on_idle_end, None
            on_idle_end()
        if self._has_request and not self._parser.is_complete:
            self._parser.feed_eof(reason)
            self._notify_waiter()

    def _finish_response(self):
        self._has_request = False
        if not self._is_body_sent or self._transport.get_write_buffer_size():
            # The rest of the request is still to be sent on this connection.
            self._parser.must_close = True
        if self._parser.must_close:
            self._abort()
        else:
            self._transport.resume_reading()

    async def _send_body(self, body):
        try:
            async for chunk in body:
                await self._drained.wait()
                if self._is_closed:
                    return
                self._transport.write(chunk)
        except SteeringError as exc:
            # Closes the connection, so that the target does not wait for the rest.
            self._handle_end(f"request body: {exc}")
            return
        self._is_body_sent = True

    async def _wait_for(self, condition):
        while not condition():
            if self._parser.error is not None:
                raise ResponseFailed(self._parser.error)
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None

    def _notify_waiter(self):
        """Wake the waiting task; abort the connection after an invalid response."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        if self._parser.error is not None:
            self._abort()

    def _abort(self):
        is_in_progress = self._has_request and not self._parser.is_complete
        if is_in_progress and not self._transport.is_closing():
            # A reset discards unsent bytes. After a plain close, they would still be
            # delivered when a network partition ends.
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._transport.abort()
