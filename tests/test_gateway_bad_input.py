"""Invalid client input and the responses to it."""

import socket

import anyio
import pytest

from .platform_documents import HOST

BASE = 21100  # first port of this module's rig


@pytest.mark.anyio
async def test_limits_on_client_requests(rig):
    large = [("X-Large", "x" * 3000)]
    assert (await rig.send_request(headers=large)).status == 431
    too_long = b"x" * 1_000_001
    assert (await rig.send_request("/write/x", "POST", content=too_long)).status == 413
    assert (
        await rig.send_request(headers=[("X-Deadline-Ms", "soon")], deadline_ms=1)
    ).status == 400
    assert rig.get_runs() == []


def send_raw(port, data):
    with socket.create_connection((HOST, port), 3) as connection:
        connection.sendall(data)
        connection.settimeout(3)
        received = b""
        while chunk := connection.recv(4096):
            received += chunk
    return received


@pytest.mark.anyio
async def test_slow_malformed_and_long_heads_are_rejected(rig):
    port = rig.get_port(1)
    slow = await anyio.to_thread.run_sync(send_raw, port, b"GET /read/x HTTP/1.1\r\n")
    assert slow.startswith(b"HTTP/1.1 408 ")
    bad = await anyio.to_thread.run_sync(send_raw, port, b"\x00\x01\x02\r\n\r\n")
    assert bad.startswith(b"HTTP/1.1 400 ")
    endless = b"GET /read/x HTTP/1.1\r\nX-A: " + b"a" * 3000
    large = await anyio.to_thread.run_sync(send_raw, port, endless)
    assert large.startswith(b"HTTP/1.1 431 ")


@pytest.mark.anyio
async def test_request_smuggling_is_rejected(rig):
    both = (
        b"POST /write/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: s1\r\n"
        b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0\r\n\r\nGET /read/x HTTP/1.1\r\n\r\n"
    )
    received = await anyio.to_thread.run_sync(send_raw, rig.get_port(1), both)
    assert received.startswith(b"HTTP/1.1 400 ")
    assert rig.get_runs() == []


@pytest.mark.anyio
async def test_request_without_attempt_id_is_rejected(rig):
    assert (await rig.send_request(attempt_id="")).status == 400
    assert rig.get_runs() == []


@pytest.mark.anyio
@pytest.mark.parametrize("digits", [16, 400, 1500])
async def test_deadline_of_too_many_digits_is_rejected(rig, digits):
    deadline = "9" * digits
    assert (await rig.send_request(deadline_ms=deadline)).status == 400
    assert rig.get_runs() == []
