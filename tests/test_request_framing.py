"""Requests whose end the listener could take for another one than the client did."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from uvicorn.server import ServerState

from standins.asgi import read_body, send_response
from turmericrudder.http_protocol import BoundedHttpProtocol
from turmericrudder.server_config import make_server_config
from turmericrudder.steering import ClientLimits

CHUNKED_BODY = b"3\r\nGET\r\n6\r\n /x HT\r\n0\r\nX-T: 1\r\n\r\n"
# Pairs of header lines that frame a body of 9 bytes, and the body on the connection.
FRAMINGS = [
    (b"Content-Length: 9\r\n", b"GET /x HT"),
    (b"Transfer-Encoding: chunked\r\n", CHUNKED_BODY),
]
ODD_HEADERS = [
    b"",
    b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AA\r\n",
    b"Upgrade: websocket, h2c\r\nConnection: keep-alive, upgrade\r\n",
    b"Connection: upgrade\r\nUpgrade: TLS/1.0\r\nUpgrade: websocket\r\n",
    b"Expect: 100-continue\r\n",
    b"Connection: expect, content-length, transfer-encoding\r\n",
]
# Header lines after which nobody can be sure where the message ends.
AMBIGUOUS_HEADERS = [
    b"Content-Length: 9\r\nTransfer-Encoding: chunked\r\n",
    b"Content-Length: 9\r\nContent-Length: 8\r\n",
    b"Content-Length: +9\r\n",
    b"Content-Length: 9, 9\r\n",
    b"Content-Length: 0x9\r\n",
    b"Transfer-Encoding: chunked, gzip\r\n",
    b"Transfer-Encoding: xchunked\r\n",
    b"Transfer-Encoding : chunked\r\n",
]


class RecordingTransport:
    """A transport that records what is written and whether it was closed."""

    def __init__(self):
        self.written = b""
        self.is_closed = False

    def write(self, data):
        self.written += data

    def close(self):
        self.is_closed = True

    def is_closing(self):
        return self.is_closed

    def get_extra_info(self, name, default=None):
        return default

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


def serve_bytes(parts, limits=None):
    """Feed a connection with bytes; return its transport and the requests that ran.

    :param parts: bytes, or seconds to wait.
    """
    requests = []

    async def application(scope, receive, send):
        body = await read_body(receive)
        if body is not None:
            requests.append((scope["method"], scope["path"], body))
            await send_response(send, 200, b"ok")

    async def run():
        transport = RecordingTransport()
        application.limits = limits
        config = make_server_config(application, http=BoundedHttpProtocol)
        config.load()
        protocol = BoundedHttpProtocol(
            config, ServerState(), {}, asyncio.get_running_loop()
        )
        protocol.connection_made(transport)
        for part in parts:
            if isinstance(part, float):
                await asyncio.sleep(part)
            elif not transport.is_closed:
                protocol.data_received(part)
            for _ in range(4):
                await asyncio.sleep(0)
        protocol.connection_lost(ConnectionResetError())
        return transport

    return asyncio.run(run()), requests


def split(data, cuts):
    bounds = [0, *sorted(cut % len(data) for cut in cuts), len(data)]
    return [data[a:b] for a, b in zip(bounds, bounds[1:], strict=False) if a < b]


@given(
    st.lists(
        st.tuples(
            st.sampled_from(FRAMINGS),
            st.sampled_from(ODD_HEADERS),
            st.sampled_from([b"", b"\r\n"]),
        ),
        min_size=1,
        max_size=4,
    ),
    st.lists(st.integers(0, 2000), max_size=12),
)
@settings(max_examples=300, deadline=None)
def test_body_is_read_by_its_framing_whatever_the_other_headers_are(messages, cuts):
    data, expected = b"", []
    for number, ((framing, body), odd, empty_line) in enumerate(messages):
        head = b"POST /%d HTTP/1.1\r\nHost: h\r\n%s%s\r\n" % (number, odd, framing)
        data += empty_line + head + body
        expected.append(("POST", f"/{number}", b"GET /x HT"))
    _, requests = serve_bytes(split(data, cuts))
    assert requests == expected


@pytest.mark.parametrize("headers", AMBIGUOUS_HEADERS)
@pytest.mark.parametrize("offer", ODD_HEADERS[:2], ids=["plain", "upgrade"])
def test_request_with_an_ambiguous_end_is_rejected_and_the_connection_closed(
    headers, offer
):
    data = b"POST /a HTTP/1.1\r\nHost: h\r\n" + offer + headers + b"\r\nGET /x HT"
    for parts in ([data], split(data, range(0, len(data), 7))):
        transport, requests = serve_bytes(parts)
        assert requests == []
        assert transport.written.startswith(b"HTTP/1.1 400 ")
        assert transport.is_closed


def test_request_for_a_tunnel_is_rejected():
    data = b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\nGET /x HTTP/1.1\r\n\r\n"
    transport, requests = serve_bytes([data])
    assert requests == [] and transport.is_closed
    assert transport.written.startswith(b"HTTP/1.1 400 ")


def test_empty_line_after_a_request_starts_no_timeout_of_a_head():
    limits = ClientLimits(200, 1000, header_timeout=0.02, idle_timeout=0.1)
    request = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
    transport, requests = serve_bytes([request, b"\r\n", 0.06, request], limits)
    assert len(requests) == 2 and not transport.is_closed
    assert b"408" not in transport.written
    transport, _ = serve_bytes([request, b"\r\n", 0.15], limits)
    assert transport.is_closed
    transport, _ = serve_bytes([b"\r\n" * 200], limits)
    assert transport.is_closed and transport.written == b""
    transport, _ = serve_bytes([b"\r\nGET", 0.06], limits)
    assert transport.written.startswith(b"HTTP/1.1 408 ")
