"""A target that resets its connection within a response's body."""

import asyncio
import contextlib
import socket
import struct
import threading
import time

import anyio
import pytest

from turmericrudder.address import Address
from turmericrudder.errors import ResponseFailed
from turmericrudder.gateway.upstream_connection import (
    HIGH_WATERMARK_BYTES,
    open_connection,
)

HOST = "127.0.20.3"
REQUEST = b"GET / HTTP/1.1\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n"
# Far more is announced than is sent.
FRAMINGS = {
    "length": b"Content-Length: 9999999\r\n\r\n",
    "chunked": b"Transfer-Encoding: chunked\r\n\r\n98967f\r\n",
    "close": b"\r\n",
}
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
BLOCK_AT = 0.01  # seconds after the request
RESPOND_AT = 0.02


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request):
    """Run on asyncio and on uvloop, which the gateway uses; their transports differ."""
    return "asyncio", {"use_uvloop": request.param}


def respond(listener, data, is_closed_first, is_done):
    """Send data and reset the connection, which is closed for sending first or not."""
    connection, _ = listener.accept()
    with connection:
        connection.recv(len(REQUEST))
        time.sleep(RESPOND_AT)
        connection.sendall(data)
        if is_closed_first:
            connection.shutdown(socket.SHUT_WR)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    is_done.set()


@contextlib.asynccontextmanager
async def serve(data, is_closed_first=False, must_block=False):
    """Serve one request on a connection and yield its client end.

    :param must_block: whether the event loop is blocked until the connection has been
        reset, so that it finds all at once.
    """
    is_done = threading.Event()
    with socket.create_server((HOST, 0)) as listener:
        arguments = (listener, data, is_closed_first, is_done)
        thread = threading.Thread(target=respond, args=arguments)
        thread.start()
        port = listener.getsockname()[1]
        connection = await open_connection(Address(HOST, port), 1.0)
        if must_block:
            asyncio.get_running_loop().call_later(BLOCK_AT, is_done.wait)
        with anyio.fail_after(3):
            yield connection
        connection.close()
        thread.join()


async def make_upload():
    while True:
        yield b"z" * 1000
        await anyio.sleep(0.001)


async def receive(connection, body):
    await connection.send_request(REQUEST, body, b"a")
    if await connection.read_all(HIGH_WATERMARK_BYTES) is None:
        async for _ in connection.iter_chunks(anyio.current_time() + 2):
            pass


@pytest.mark.anyio
@pytest.mark.parametrize("is_upload", [False, True], ids=["", "upload"])
@pytest.mark.parametrize("must_block", [False, True], ids=["", "blocked"])
@pytest.mark.parametrize("size", [1000, HIGH_WATERMARK_BYTES + 1000])
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_reset_body_is_never_complete(framing, size, must_block, is_upload):
    data = HEAD + FRAMINGS[framing] + b"z" * size
    async with serve(data, must_block=must_block) as connection:
        with pytest.raises(ResponseFailed):
            await receive(connection, make_upload() if is_upload else b"")


@pytest.mark.anyio
async def test_body_that_is_closed_and_then_reset_is_not_complete():
    data = HEAD + FRAMINGS["close"] + b"z" * 1000
    async with serve(data, is_closed_first=True, must_block=True) as connection:
        with pytest.raises(ResponseFailed):
            await receive(connection, b"")
