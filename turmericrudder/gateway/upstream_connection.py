"""One connection to a target, one request at a time.

An asyncio protocol is used in place of httpcore's connection because bytes that
arrive on an idle connection, or its end, have to be noticed when they come.
"""

import asyncio
import socket
import struct

from ..errors import ConnectFailed, ResponseFailed, TurmericrudderError
from ..keepalive import make_keepalive_options
from .response_parser import ResponseParser

__all__ = ["HIGH_WATERMARK_BYTES", "UpstreamConnection", "open_connection"]

# Bytes of an answer held before the reader has them; up to that, an answer is read
# whole before it is passed on.
HIGH_WATERMARK_BYTES = 256 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # linger on, for no time at all
# Probes find connections that went silent.
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
    :raises ConnectFailed: if no connection came about; nothing was sent.
    """
    loop = asyncio.get_running_loop()
    began = loop.time()
    try:
        async with asyncio.timeout(timeout):
            _, connection = await loop.create_connection(
                UpstreamConnection, address.host, address.port
            )
    except TimeoutError:
        raise ConnectFailed(f"{address}: no connection in {timeout:.2f} s") from None
    except OSError as exc:
        raise ConnectFailed(f"{address}: {exc}") from None
    connection.round_trip = loop.time() - began
    return connection


class UpstreamConnection(asyncio.Protocol):
    """A connection that knows whether it may be used again.

    :ivar round_trip: seconds that opening it took.
    :ivar requests_sent: requests that were sent on it.
    """

    def __init__(self):
        self.round_trip = None
        self.requests_sent = 0
        self._answer = ResponseParser()
        self._transport = None
        self._is_active = False
        self._is_closed = False
        self._body_sent = True
        self._waiter = None
        self._drained = asyncio.Event()
        self._drained.set()

    @property
    def status(self):
        """HTTP status of the answer."""
        return self._answer.status

    @property
    def headers(self):
        """Headers of the answer, with names in lower case."""
        return self._answer.headers

    @property
    def keepalive_timeout(self):
        """Seconds it may stay idle by the target's word, or ``None``."""
        return self._answer.keepalive_timeout

    def is_reusable(self):
        """Return whether the next request may be sent on this connection."""
        return (
            not self._is_active
            and not self._answer.must_close
            and not self._is_closed
            and not self._transport.is_closing()
        )

    def close(self):
        """Close at once; a request in progress is cancelled by that."""
        self._is_closed = True
        if self._transport is not None:
            self._abort()

    async def send_request(self, head, body, attempt_id, is_head_request=False):
        """Send a request and return once the answer's head is there.

        :param head: the request's head as bytes, with the empty line.
        :param body: bytes, or an async iterator of ready-framed chunks.
        :param attempt_id: the id that the answer has to repeat.
        :raises ResponseFailed: if no proper answer came; the request may have run.
        """
        answer = self._answer
        self.requests_sent += 1
        self._is_active = True
        self._body_sent = isinstance(body, bytes)
        answer.start(attempt_id, is_head_request, self.requests_sent == 1)
        if self._is_closed:
            answer.feed_eof("closed")
        if self._body_sent:
            self._transport.write(head + body)
            await self._wait_for(lambda: answer.has_head)
            return
        self._transport.write(head)
        sender = asyncio.ensure_future(self._send_body(body))
        try:
            await self._wait_for(lambda: answer.has_head)
        finally:
            sender.cancel()

    async def read_all(self, limit):
        """Return the whole body, or ``None`` if it is longer than ``limit``.

        :param limit: bytes, at most :data:`HIGH_WATERMARK_BYTES`: reading stops there.
        :raises ResponseFailed: if the answer broke off.
        """
        answer = self._answer
        await self._wait_for(
            lambda: answer.is_complete or answer.buffered_bytes > limit
        )
        if not answer.is_complete:
            return None
        self._finish()
        return answer.take_body()

    async def iter_chunks(self):
        """Yield the body.

        :raises ResponseFailed: if the answer broke off.
        """
        answer = self._answer
        while True:
            await self._wait_for(lambda: answer.buffered_bytes or answer.is_complete)
            if not answer.buffered_bytes:
                self._finish()
                return
            chunk = answer.take_body()
            self._transport.resume_reading()
            yield chunk

    # asyncio.Protocol

    def connection_made(self, transport):
        self._transport = transport
        connection = transport.get_extra_info("socket")
        for level, option, value in _SOCKET_OPTIONS:
            connection.setsockopt(level, option, value)

    def data_received(self, data):
        if not self._is_active:
            # Bytes that no request asked for.
            self._answer.must_close = True
            self._abort()
            return
        self._answer.feed(data)
        if self._answer.buffered_bytes > HIGH_WATERMARK_BYTES:
            self._transport.pause_reading()
        self._note_news()

    def eof_received(self):
        self._end(None)

    def connection_lost(self, exc):
        self._is_closed = True
        self._drained.set()
        self._end(f"lost: {exc!r}" if exc else "closed")

    def pause_writing(self):
        self._drained.clear()

    def resume_writing(self):
        self._drained.set()

    def _end(self, reason):
        self._answer.must_close = True
        if self._is_active and not self._answer.is_complete:
            self._answer.feed_eof(reason)
            self._note_news()

    def _finish(self):
        self._is_active = False
        if not self._body_sent or self._transport.get_write_buffer_size():
            # The rest of the request is still due on this connection.
            self._answer.must_close = True
        if self._answer.must_close:
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
        except TurmericrudderError as exc:
            # The rest will not come, so the target must not wait for it.
            self._end(f"request body: {exc}")
            return
        self._body_sent = True

    async def _wait_for(self, condition):
        while not condition():
            if self._answer.error is not None:
                raise ResponseFailed(self._answer.error)
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None

    def _note_news(self):
        """Wake who waits; without a proper answer, the connection has no use."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        if self._answer.error is not None:
            self._abort()

    def _abort(self):
        is_in_progress = self._is_active and not self._answer.is_complete
        if is_in_progress and not self._transport.is_closing():
            # What has not left yet must not arrive after a partition has healed.
            connection = self._transport.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._transport.abort()
