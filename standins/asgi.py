"""Functions for writing ASGI applications and serving them with uvicorn."""

import socket
import struct
from urllib.parse import parse_qsl

import anyio
import msgspec

from turmericrudder.address import Address
from turmericrudder.daemon.server import Server

__all__ = [
    "abort_connection",
    "cancel_on_disconnect",
    "parse_query",
    "read_body",
    "reset_connection",
    "reset_transport",
    "send_response",
    "serve",
    "wait_disconnected",
]

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER enabled with a time of 0 s


async def serve(applications):
    """Serve applications until cancelled.

    :param applications: pairs of an application and its ``IP:PORT``.
    """
    async with anyio.create_task_group() as tasks:
        for application, listen in applications:
            server = Server(application, Address.parse(listen))
            await tasks.start(server.run)


async def read_body(receive):
    """Return the complete body of a request, or ``None`` if the client disconnected."""
    chunks = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        chunks.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(chunks)


async def send_response(send, status, body=b"", headers=()):
    """Send a complete response.

    :param body: bytes, or any other object to send as JSON.
    :param headers: pairs of bytes, added to ``content-length``.
    """
    if not isinstance(body, bytes):
        body = msgspec.json.encode(body)
    length = (b"content-length", str(len(body)).encode())
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [length, *headers],
        }
    )
    await send({"type": "http.response.body", "body": body})


def abort_connection(send):
    """Close the connection of a request without a response.

    ASGI has no call for this, so uvicorn's transport is used.
    """
    send.__self__.transport.abort()


def reset_connection(send):
    """Reset the connection of a request."""
    reset_transport(send.__self__.transport)


def reset_transport(transport):
    """Reset the connection of an asyncio transport."""
    if not transport.is_closing():
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()


def parse_query(scope):
    """Return the query of a request as a dictionary."""
    return dict(parse_qsl(scope["query_string"].decode("latin-1")))


async def cancel_on_disconnect(receive, scope):
    """Cancel a scope once the client of a request has closed its connection."""
    await wait_disconnected(receive)
    scope.cancel()


async def wait_disconnected(receive):
    """Wait until the client of a request has closed its connection."""
    while (await receive())["type"] != "http.disconnect":
        continue
