"""What a client receives from a target with faults in its bodies, through a proxy."""

import random

import anyio
import pytest

from soak.proxy import Proxy
from standins.asgi import serve
from standins.body import BodyFault, BodyFaultKind, Framing, make_body
from standins.target import TargetApplication

HOST = "127.0.20.12"
SIZE = 400_000
REQUEST = (
    f"GET /read/x?size={SIZE}&framing=%s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n"
    "X-Expect-Instance: t0\r\nX-Deadline-Ms: 3000\r\n\r\n"
)


async def receive(kind, framing):
    """Return the bytes of a response and how its connection ended."""
    target, proxy = TargetApplication("t0"), Proxy(HOST, 21999, 21998)
    target.body_fault = BodyFault(kind, pause=0.05)
    received = b""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve, [(target, f"{HOST}:21998")])
        await tasks.start(proxy.run)
        with anyio.fail_after(5.0):
            while not (stream := await try_connect()):
                await anyio.sleep(0.02)
        await stream.send((REQUEST % framing.value).encode())
        end = "open"
        with anyio.move_on_after(0.7):
            try:
                while True:
                    received += await stream.receive(SIZE)
            except anyio.EndOfStream:
                end = "closed"
            except anyio.BrokenResourceError:
                end = "reset"
        await stream.aclose()
        tasks.cancel_scope.cancel()
    return received, end


async def try_connect():
    """Return a connection through the proxy, ``None`` if nothing listens behind it."""
    try:
        async with await anyio.connect_tcp(HOST, 21998):
            return await anyio.connect_tcp(HOST, 21999)
    except OSError:
        return None


@pytest.mark.anyio
@pytest.mark.parametrize("framing", Framing)
@pytest.mark.parametrize(
    ("kind", "count", "end"),
    [
        (None, 1, "open"),
        (BodyFaultKind.STALL, 0, "open"),
        (BodyFaultKind.PAUSE, 1, "open"),
        (BodyFaultKind.PIECES, 1, "open"),
        (BodyFaultKind.COPY, 2, "open"),
        (BodyFaultKind.RESET, 0, "reset"),
        (BodyFaultKind.CLOSE, 0, "closed"),
    ],
)
async def test_only_a_whole_body_looks_complete(kind, count, end, framing):
    if framing is Framing.CLOSE:
        count = min(count, 1)
        end = {1: "closed", 0: "open" if end == "open" else "reset"}[count]
    received, received_end = await receive(kind, framing)
    head, _, content = received.partition(b"\r\n\r\n")
    assert received_end == end
    assert head.startswith(b"HTTP/1.1 200")
    if framing is Framing.CHUNKED:
        assert received.count(b"\r\n0\r\n\r\n") == count
        return
    body = make_body(b"/read/x", b"a1", 0, SIZE)
    assert received.count(body) == count
    assert count or (body.startswith(content) and len(content) < SIZE)
    assert (b"content-length: 400000" in head) is (framing is Framing.LENGTH)


def test_fault_has_a_share_and_a_number_of_the_bodies_from_a_size_on():
    fault = BodyFault(BodyFaultKind.RESET, min_size=100, share=0.5, count=20)
    rng = random.Random(1)
    assert not any(fault.draw(99, rng) for _ in range(100))
    kinds = [fault.draw(100, rng) for _ in range(100)]
    assert kinds.count(BodyFaultKind.RESET) == 20
    assert 30 < 100 - kinds[::-1].index(BodyFaultKind.RESET) < 55


@pytest.mark.parametrize("size", [1, 1023, 1024, 300_000])
def test_bodies_differ_by_request_and_place(size):
    body = make_body(b"/read/x", b"a1", 0, size)
    assert len(body) == size
    if size > 1023:
        assert body != make_body(b"/read/x", b"a2", 0, size)
        blocks = {body[at : at + 64] for at in range(0, size, 64)}
        assert len(blocks) > size / 1024
