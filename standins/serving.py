"""Run ASGI applications on uvicorn, and small helpers for writing them."""

import anyio
import msgspec

from turmericrudder.address import Address
from turmericrudder.daemon.server import Server

__all__ = ["answer", "cancel_when_gone", "cut", "read_body", "serve"]


async def serve(applications):
    """Serve (application, ``IP:PORT``) pairs until killed."""
    async with anyio.create_task_group() as tasks:
        for application, listen in applications:
            server = Server(application, Address.parse(listen))
            await tasks.start(server.run)


async def read_body(receive):
    """Return the whole body of a request; ``None`` if the sender went away."""
    chunks = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        chunks.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(chunks)


async def answer(send, status, body=b"", headers=()):
    """Send a whole answer; anything but bytes is sent as JSON."""
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


def cut(send):
    """Close the connection without an answer; ASGI has no call for that."""
    send.__self__.transport.abort()


async def cancel_when_gone(receive, scope):
    """Cancel a scope once the sender of a request has closed its connection."""
    while (await receive())["type"] != "http.disconnect":
        continue
    scope.cancel()
