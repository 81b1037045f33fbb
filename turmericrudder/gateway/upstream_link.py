"""One connection to a target, one request at a time.

The parser is httptools; what it finds is checked here, since a target may
break off an answer, add bytes to it or send an answer to an earlier request.
An asyncio protocol is used in place of httpcore's connection because bytes that
arrive on an idle connection, or its end, have to be noticed when they come.
"""

import asyncio
import socket
import struct

import httptools

from ..errors import LinkBroken, LinkRefused, SteeringError
from ..platform import names

__all__ = ["UpstreamLink", "open_link"]

HIGH_WATER = 256 * 1024  # bytes of an answer held before the reader has them
KEEPALIVE_IDLE = 2  # seconds; finds connections that went silent
KEEPALIVE_INTERVAL = 2  # seconds
KEEPALIVE_PROBES = 2
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # linger on, for no time at all
_BODYLESS_STATUSES = (204, 304)
_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


async def open_link(address, timeout):
    """Return a new :class:`UpstreamLink`.

    :param timeout: seconds.
    :raises LinkRefused: if no connection came about; nothing was sent.
    """
    loop = asyncio.get_running_loop()
    began = loop.time()
    try:
        async with asyncio.timeout(timeout):
            _, link = await loop.create_connection(
                UpstreamLink, address.host, address.port
            )
    except TimeoutError:
        raise LinkRefused(f"{address}: no connection in {timeout:.2f} s") from None
    except OSError as exc:
        raise LinkRefused(f"{address}: {exc}") from None
    link.round_trip = loop.time() - began
    return link


class UpstreamLink(asyncio.Protocol):
    """A connection that knows whether it may be used again.

    :ivar round_trip: seconds that opening it took, if it was not used yet.
    :ivar keepalive: seconds it may stay idle by the target's word, or ``None``.
    """

    def __init__(self):
        self.keepalive = None
        self.round_trip = None
        self.exchanges = 0
        self.status = 0
        self.headers = []
        self._transport = None
        self._parser = httptools.HttpResponseParser(self)
        self._expected_id = None
        self._is_head_request = False
        self._is_active = False
        self._is_skipping = False
        self._is_tainted = False
        self._is_closed = False
        self._ends_with_connection = False
        self._head_done = False
        self._complete = False
        self._body_sent = True
        self._chunks = []
        self._held = 0
        self._error = None
        self._waiter = None
        self._drained = asyncio.Event()
        self._drained.set()

    def is_reusable(self):
        """Return whether the next request may be sent on this connection."""
        return (
            not self._is_active
            and not self._is_tainted
            and not self._is_closed
            and not self._transport.is_closing()
        )

    def close(self):
        """Close at once; a request in progress is cancelled by that."""
        self._is_closed = True
        if self._transport is None:
            return
        if self._is_active and not self._complete:
            # What has not left yet must not arrive after a partition has healed.
            self._reset_on_close()
        self._transport.abort()

    async def exchange(self, head, body, attempt_id, is_head_request=False):
        """Send a request and return once the answer's head is there.

        :param head: the request's head as bytes, with the empty line.
        :param body: bytes, or an async iterator of ready-framed chunks.
        :param attempt_id: the id that the answer has to repeat.
        :raises LinkBroken: if no proper answer came; the request may have run.
        """
        self._start(attempt_id, is_head_request)
        if isinstance(body, bytes):
            self._transport.write(head + body)
            await self._wait_for(lambda: self._head_done)
        else:
            self._body_sent = False
            self._transport.write(head)
            sender = asyncio.ensure_future(self._send_body(body))
            try:
                await self._wait_for(lambda: self._head_done)
            finally:
                sender.cancel()

    async def read_all(self, limit):
        """Return the whole body, or ``None`` if it is longer than ``limit``.

        :raises LinkBroken: if the answer broke off.
        """
        await self._wait_for(lambda: self._complete or self._held > limit)
        if not self._complete:
            return None
        body = b"".join(self._chunks)
        self._chunks.clear()
        self._finish()
        return body

    async def iter_chunks(self):
        """Yield the body.

        :raises LinkBroken: if the answer broke off.
        """
        while True:
            await self._wait_for(lambda: self._chunks or self._complete)
            if self._chunks:
                chunk = b"".join(self._chunks)
                self._chunks.clear()
                self._held = 0
                self._transport.resume_reading()
                yield chunk
            elif self._complete:
                self._finish()
                return

    # asyncio.Protocol

    def connection_made(self, transport):
        self._transport = transport
        connection = transport.get_extra_info("socket")
        for level, option, value in (
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        ):
            connection.setsockopt(level, option, value)

    def data_received(self, data):
        if not self._is_active:
            # Bytes that no request asked for.
            self._is_tainted = True
            self._transport.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("upgrade")
        except httptools.HttpParserError as exc:
            if self._complete:
                self._is_tainted = True
            else:
                self._fail(f"malformed: {exc}")

    def eof_received(self):
        if self._is_active and not self._complete:
            if self._head_done and self._ends_with_connection:
                self._complete = True
                self._wake()
            else:
                self._fail("closed")
        self._is_tainted = True

    def connection_lost(self, exc):
        self._is_closed = True
        self._drained.set()
        if self._is_active and not self._complete:
            self._fail(f"lost: {exc!r}" if exc else "closed")

    def pause_writing(self):
        self._drained.clear()

    def resume_writing(self):
        self._drained.set()

    # httptools callbacks

    def on_message_begin(self):
        if self._complete:
            self._is_tainted = True
            return
        self.headers = []

    def on_header(self, name, value):
        if not self._complete:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self):
        if self._complete:
            return
        self.status = self._parser.get_status_code()
        if self.status < 200:
            self._is_skipping = True
            return
        found = _get(self.headers, names.ATTEMPT_ID)
        if found is not None and found != self._expected_id:
            # An answer to an earlier request; ours may follow.
            self._is_skipping = self._is_tainted = True
            return
        if found is None and self.exchanges > 1:
            self._fail("no attempt id on a used connection")
            return
        self._take_head()

    def on_body(self, body):
        if self._is_skipping or self._complete:
            return
        self._chunks.append(body)
        self._held += len(body)
        if self._held > HIGH_WATER:
            self._transport.pause_reading()
        self._wake()

    def on_message_complete(self):
        if self._is_skipping:
            self._is_skipping = False
            return
        if self._head_done and not self._complete:
            self._complete = True
            if not self._parser.should_keep_alive():
                self._is_tainted = True
            self._wake()

    def _start(self, attempt_id, is_head_request):
        self.exchanges += 1
        self.headers = []
        self._expected_id = attempt_id
        self._is_head_request = is_head_request
        self._is_active = True
        self._is_skipping = self._head_done = self._complete = False
        self._ends_with_connection = False
        self._body_sent = True
        self._chunks = []
        self._held = 0
        self._error = "closed" if self._is_closed else None

    def _finish(self):
        self._is_active = False
        if not self._body_sent or self._transport.get_write_buffer_size():
            # The rest of the request is still due on this connection.
            self._is_tainted = True
        if self._is_tainted:
            self._transport.abort()

    def _take_head(self):
        self._head_done = True
        self.keepalive = _get_keepalive(self.headers, self.keepalive)
        if self._is_head_request:
            self._complete = self._is_tainted = True
        elif self.status not in _BODYLESS_STATUSES:
            self._ends_with_connection = not any(
                name in _FRAMING_HEADERS for name, _ in self.headers
            )
        self._wake()

    def _reset_on_close(self):
        connection = self._transport.get_extra_info("socket")
        if connection is None or self._transport.is_closing():
            return
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    async def _send_body(self, body):
        try:
            async for chunk in body:
                await self._drained.wait()
                if self._is_closed:
                    return
                self._transport.write(chunk)
        except SteeringError as exc:
            # The rest will not come, so the target must not wait for it.
            self._fail(f"request body: {exc}")
            return
        self._body_sent = True

    async def _wait_for(self, condition):
        while not condition():
            if self._error is not None:
                raise LinkBroken(self._error)
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None

    def _fail(self, reason):
        self._error = reason
        self._is_tainted = True
        self._wake()
        self._transport.abort()

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _get(headers, name):
    for key, value in headers:
        if key == name:
            return value
    return None


def _get_keepalive(headers, known):
    """Return the idle seconds in a ``Keep-Alive`` header, or ``known``."""
    value = _get(headers, b"keep-alive")
    if value is None:
        return known
    for part in value.split(b","):
        key, _, number = part.strip().partition(b"=")
        if key.lower() == b"timeout" and number.isdigit():
            return float(number)
    return known
