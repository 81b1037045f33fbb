"""Bodies of a target's responses: content that can be checked, framings and faults."""

import asyncio
from enum import Enum

import anyio
import msgspec

from .asgi import cancel_on_disconnect, reset_connection

__all__ = ["BodyFault", "BodyFaultKind", "Framing", "make_body", "send_body"]

BLOCK_BYTES = 1024
PIECES = 4
RETRY_DELAY = 0.05  # seconds until a copy is tried again after a response in progress


class Framing(Enum):
    """How the end of a body is shown."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"  # of the connection


class BodyFaultKind(Enum):
    """What goes wrong within a body."""

    STALL = "stall"  # no more bytes until the client disconnects
    PAUSE = "pause"  # the rest is late
    PIECES = "pieces"  # with a pause before each
    COPY = "copy"  # the whole response is sent once more, late
    RESET = "reset"  # of the connection
    # A body without a length would be complete: it is reset instead.
    CLOSE = "close"


class BodyFault(msgspec.Struct):
    """Fault in the bodies of a target's responses.

    :param kind: a :class:`BodyFaultKind`, or ``None`` for no fault.
    :param min_size: bytes; shorter bodies do not have it.
    :param share: fraction of the other responses that have it.
    :param count: number of next responses that have it, ``None`` for no bound.
    :param pause: seconds of each pause, and until a copy or the end.
    :param size: bytes of the bodies of requests that ask for no size, 0 for a short
        one.
    :param framing: a :class:`Framing`, for requests that ask for none.
    """

    kind: BodyFaultKind | None = None
    min_size: int = 0
    share: float = 1.0
    count: int | None = None
    pause: float = 0.2
    size: int = 0
    framing: Framing = Framing.LENGTH

    def draw(self, size, rng):
        """Return the kind of fault of the next body, or ``None``."""
        if self.kind is None or size < self.min_size or self.count == 0:
            return None
        if rng.random() >= self.share:
            return None
        if self.count is not None:
            self.count -= 1
        return self.kind


def make_body(path, attempt_id, request_length, size=0):
    """Return the body of the response to a request, as bytes.

    Each block names the request and its own place.

    :param path: path of the request as bytes, without the query.
    :param size: bytes, 0 for a short body.
    """
    start = b"%s %s %d" % (path, attempt_id, request_length)
    if not size:
        return start
    blocks = [
        (b"%s %d %d " % (start, size, number)).ljust(BLOCK_BYTES, b".")
        for number in range(-(-size // BLOCK_BYTES))
    ]
    return b"".join(blocks)[:size]


async def send_body(receive, send, head, body, framing, fault, rng):
    """Send a response with a fault, unless the client disconnects.

    :param head: pair of status and headers, without the framing's.
    :param fault: a :class:`BodyFault`.
    :param rng: a :class:`random.Random`.
    """
    status, headers = head
    kind = fault.draw(len(body), rng)
    if kind is BodyFaultKind.CLOSE and framing is Framing.CLOSE:
        kind = BodyFaultKind.RESET
    headers = [*headers, *_make_framing_headers(framing, body)]
    if framing is Framing.CLOSE:
        # ASGI has no such framing, so uvicorn's state is used.
        send.__self__.chunked_encoding = False
        send.__self__.expected_content_length = len(body)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(cancel_on_disconnect, receive, tasks.cancel_scope)
        start = {"type": "http.response.start", "status": status, "headers": headers}
        await send(start)
        await _send_pieces(send, _cut(body, kind, rng), kind, fault.pause)
        tasks.cancel_scope.cancel()
    if kind is BodyFaultKind.COPY and framing is not Framing.CLOSE:
        copy = _encode_response(status, headers, body, framing)
        transport = send.__self__.transport
        asyncio.get_running_loop().call_later(fault.pause, _send_copy, transport, copy)


async def _send_pieces(send, pieces, kind, pause):
    """Send a body; uvicorn closes the connection of one that is not complete."""
    for left, piece in zip(reversed(range(len(pieces))), pieces, strict=True):
        message = {"type": "http.response.body", "body": piece, "more_body": left > 0}
        await send(message)
        if left:
            await anyio.sleep(pause)
        match kind:
            case BodyFaultKind.STALL:
                await anyio.sleep_forever()
            case BodyFaultKind.RESET:
                reset_connection(send)
                return
            case BodyFaultKind.CLOSE:
                return


def _cut(body, kind, rng):
    """Return the pieces of a body between which a fault occurs."""
    match kind:
        case None | BodyFaultKind.COPY:
            return [body]
        case BodyFaultKind.PIECES:
            step = -(-len(body) // PIECES)
            return [body[i : i + step] for i in range(0, len(body), step)]
        case _:
            place = rng.randrange(len(body))
            return [body[:place], body[place:]]


def _make_framing_headers(framing, body):
    match framing:
        case Framing.LENGTH:
            return [(b"content-length", b"%d" % len(body))]
        case Framing.CHUNKED:
            return [(b"transfer-encoding", b"chunked")]
        case Framing.CLOSE:
            return [(b"connection", b"close")]


def _encode_response(status, headers, body, framing):
    lines = [b"HTTP/1.1 %d -" % status, *(b"%s: %s" % pair for pair in headers)]
    if framing is Framing.CHUNKED:
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    return b"\r\n".join([*lines, b"", body])


def _send_copy(transport, copy):
    """Write a copy of a response, not into another response."""
    if transport.is_closing():
        return
    cycle = transport.get_protocol().cycle
    if cycle.response_started and not cycle.response_complete:
        loop = asyncio.get_running_loop()
        loop.call_later(RETRY_DELAY, _send_copy, transport, copy)
    else:
        transport.write(copy)
