"""A target and a client on plain sockets, with h11 as the judge of what is whole."""

import asyncio
import contextlib
import itertools
import re
import socket
import struct

import h11

from turmericrudder.platform import protocol

from .platform_documents import HOST, make_configuration, make_registration, make_route
from .platform_rig import wait_for

__all__ = [
    "PATIENT_MS",
    "abort",
    "connect",
    "encode_body",
    "make_body",
    "read_response",
    "serve",
]

PATIENT_MS = 8000  # of a client that does not time out
OBJECTIVE_MS = 1000

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CHUNK_BYTES = 50_000
_numbers = itertools.count()
# Of a peer that closes, resets or sends what is no HTTP.
PEER_ERRORS = (OSError, EOFError, h11.RemoteProtocolError)


def make_body(size):
    return (b"%06d," * (size // 7 + 1) % tuple(range(size // 7 + 1)))[:size]


def encode_body(framing, body):
    """Return the header line of a framing and the body as sent on the connection."""
    if framing == "length":
        return b"Content-Length: %d\r\n" % len(body), body
    if framing == "close":
        return b"", body
    parts = [body[n : n + CHUNK_BYTES] for n in range(0, len(body), CHUNK_BYTES)]
    chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in (*parts, b"")]
    return b"Transfer-Encoding: chunked\r\n", b"".join(chunks)


def abort(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


async def read_response(reader):
    """Return (status, body, whether it looks complete) as a client sees it."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", "h")]))
    parser.send(h11.EndOfMessage())
    return await _read_message(parser, reader)


async def _read_message(parser, reader):
    status, body = None, []
    with contextlib.suppress(*PEER_ERRORS):
        while True:
            match parser.next_event():
                case h11.NEED_DATA:
                    parser.receive_data(await reader.read(65536))
                case h11.Response(status_code=status):
                    pass
                case h11.Data(data):
                    body.append(bytes(data))
                case h11.EndOfMessage():
                    return status, b"".join(body), True
                case h11.ConnectionClosed():
                    break
    return status, b"".join(body), False


class RawTarget:
    """Handles the request to ``make_path(N)`` with the N-th of ``handlers``.

    :ivar requests: N -> (body, whether it looks complete) of each request read.
    :ivar numbers: N of all requests.
    :ivar open_numbers: N of each open connection.
    """

    def __init__(self, rig, handlers, prefix):
        self.rig = rig
        self._handlers = handlers
        self._prefix = prefix
        self._server = None
        self.requests = {}
        self.numbers, self.open_numbers = set(), []

    async def __aenter__(self):
        return self

    def make_path(self, number):
        return f"{self._prefix}/t{number}/"

    async def open(self, port):
        self._server = await asyncio.start_server(self._serve, HOST, port)

    async def __aexit__(self, *exc):
        self._server.close()

    async def read_body(self, number, head, reader):
        """Read the body of a request to its end and record it."""
        parser = h11.Connection(h11.SERVER)
        parser.receive_data(head)
        _, body, is_complete = await _read_message(parser, reader)
        self.requests.setdefault(number, []).append((body, is_complete))

    async def _serve(self, reader, writer):
        number = None
        with contextlib.suppress(*PEER_ERRORS):
            head = await reader.readuntil(b"\r\n\r\n")
            number = int(re.search(rb"/t(\d+)/", head)[1])
            self.numbers.add(number)
            self.open_numbers.append(number)
            attempt_id = re.search(rb"(?i)x-attempt-id: (\S+)", head)[1]
            start = (
                b" 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\n"
                % attempt_id
            )
            await self._handlers[number](self, number, start, head, reader, writer)
        writer.close()
        if number is not None:
            self.open_numbers.remove(number)


@contextlib.asynccontextmanager
async def serve(rig, handlers):
    """Route to each handler, as the only target of its service."""
    first = next(_numbers)
    port = rig.get_port(40 + first % 10)
    async with RawTarget(rig, handlers, f"/x{first}") as target:
        await target.open(port)
        entries = {
            f"servers/x{first}-{number}": make_registration(
                port, service=f"x{first}-{number}"
            )
            for number in range(len(handlers))
        }
        routes = [
            make_route(
                f"t{number}",
                target.make_path(number),
                service=f"x{first}-{number}",
                timeout_ms=PATIENT_MS,
                slo_ms=OBJECTIVE_MS,
            )
            for number in range(len(handlers))
        ]
        configuration = make_configuration(first + 2, [make_route(), *routes])
        await rig.put(entries)
        await rig.put({protocol.CONFIGURATION_KEY: configuration})

        async def is_routed():
            # Without a route, it is 404.
            response = await rig.send_request(target.make_path(0), attempt_id="")
            return response.status == 400

        await wait_for(is_routed, 5)
        yield target


@contextlib.asynccontextmanager
async def connect(
    target,
    number,
    lines=b"",
    timeout_ms=PATIENT_MS,
    method="GET",
    version="1.1",
    body=b"",
):
    """Send a request to the N-th handler and return reader and writer."""
    reader, writer = await asyncio.open_connection(
        HOST, target.rig.get_port(1), limit=4096
    )
    writer.write(
        f"{method} {target.make_path(number)} HTTP/{version}\r\n"
        f"Host: h.example\r\nX-Attempt-Id: a{number}\r\n"
        f"X-Deadline-Ms: {timeout_ms}\r\n".encode()
        + lines
        + b"\r\n"
        + body
    )
    try:
        yield reader, writer
    finally:
        writer.close()
