"""A server that closes the connection in the middle of its response's head."""

import contextlib

import anyio
import httpcore
import pytest

from turmericrudder.address import Address
from turmericrudder.errors import ResponseFailed
from turmericrudder.forwarding.connection import Connection
from turmericrudder.forwarding.response import NoResponse
from turmericrudder.gateway.upstream_connection import open_connection
from turmericrudder.http_client import TRANSPORT_ERRORS, send_bounded

HOST = "127.0.20.11"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
# Without a length, a body ends with the connection; it may be empty.
HEADS = [
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Signature: s\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 0\r\nServer: t\r\n\r\n",
    b"HTTP/1.0 200 OK\r\nX-Attempt-Id: a\r\n\r\n",
    INTERIM + b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n\r\n",
]
CUTS = [(head, length) for head in HEADS for length in range(len(head))]


@contextlib.asynccontextmanager
async def serve_truncated_heads():
    """Serve each case of ``CUTS`` on a connection of its own and yield the address."""
    cases = iter(CUTS)

    async def handle(stream):
        async with stream:
            await stream.receive()
            head, length = next(cases)
            if length:
                await stream.send(head[:length])

    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        with anyio.fail_after(20):
            yield Address(HOST, port)
        tasks.cancel_scope.cancel()
    await listener.aclose()


@pytest.mark.anyio
@pytest.mark.parametrize(
    "anyio_backend",
    [("asyncio", {"use_uvloop": False}), ("asyncio", {"use_uvloop": True})],
    ids=["asyncio", "uvloop"],
)
async def test_truncated_head_from_a_target_is_no_response_of_the_gateway():
    async with serve_truncated_heads() as address:
        for _ in CUTS:
            connection = await open_connection(address, 1.0)
            with pytest.raises(ResponseFailed):
                await connection.send_request(b"GET / HTTP/1.1\r\n\r\n", b"", b"a")
            assert not connection.is_reusable()
            connection.close()


@pytest.mark.anyio
async def test_truncated_head_from_a_target_is_no_response_of_the_entry_daemon():
    async with serve_truncated_heads() as address:
        for _ in CUTS:
            connection = Connection(address)
            result = await connection.send_request("GET", b"/", [], None, 1.0, 1.0)
            assert isinstance(result, NoResponse)
            assert not connection.is_usable()
            await connection.aclose()


@pytest.mark.anyio
async def test_truncated_head_from_the_store_or_an_instance_is_no_response():
    async with (
        serve_truncated_heads() as address,
        httpcore.AsyncConnectionPool() as pool,
    ):
        for _ in CUTS:
            with pytest.raises(TRANSPORT_ERRORS):
                await send_bounded(
                    pool, "GET", f"http://{address}/", max_bytes=100, timeout=1.0
                )
