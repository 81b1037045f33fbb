"""A connection to a target that sends invalid, late or truncated responses."""

import contextlib

import anyio
import pytest

from turmericrudder.address import Address
from turmericrudder.cancellation import RequestCancelled
from turmericrudder.errors import ConnectFailed, ResponseFailed
from turmericrudder.gateway.upstream_connection import (
    HIGH_WATERMARK_BYTES,
    open_connection,
)

HOST = "127.0.20.3"
REQUEST = b"GET / HTTP/1.1\r\n\r\n"
LIMIT = 1000


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request):
    """Run on asyncio and on uvloop, which the gateway uses; their transports differ."""
    return "asyncio", {"use_uvloop": request.param}


def make_response(body=b"body", attempt_id=b"a", extra=b"", length=None):
    length = len(body) if length is None else length
    return b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s" % (
        attempt_id,
        length,
        extra,
        body,
    )


@contextlib.asynccontextmanager
async def serve(*scripts):
    """Serve one connection and yield its client end.

    :param scripts: bytes to send after each request. If they are in a tuple, the
        connection is closed after them.
    """

    async def handle(stream):
        async with stream:
            for script in scripts:
                await stream.receive()
                if isinstance(script, tuple):
                    await stream.send(b"".join(script))
                    return
                await stream.send(script)
            await anyio.sleep(5)

    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        connection = await open_connection(Address(HOST, port), 1.0)
        with anyio.fail_after(3):
            yield connection
        connection.close()
        tasks.cancel_scope.cancel()
    await listener.aclose()


async def send_and_read(connection, attempt_id=b"a"):
    await connection.send_request(REQUEST, b"", attempt_id)
    return await connection.read_all(LIMIT)


@pytest.mark.anyio
async def test_connection_is_reused():
    async with serve(make_response(b"one"), make_response(b"two", b"b")) as connection:
        assert await send_and_read(connection) == b"one"
        assert connection.is_reusable()
        assert await send_and_read(connection, b"b") == b"two"


@pytest.mark.anyio
async def test_late_response_to_an_earlier_request_is_skipped():
    async with serve(
        make_response(b"one"),
        make_response(b"late", b"a") + make_response(b"two", b"b"),
    ) as connection:
        assert await send_and_read(connection) == b"one"
        assert await send_and_read(connection, b"b") == b"two"
        assert not connection.is_reusable()


@pytest.mark.anyio
@pytest.mark.parametrize(
    "attempt_id", [b"X-Attempt-Id: a\r\n", b""], ids=["id", "none"]
)
async def test_refusal_written_once_more_is_not_the_response_to_the_next_request(
    attempt_id,
):
    refusal = b"HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n"
    first, copy = refusal % b"X-Attempt-Id: a\r\n", refusal % attempt_id
    async with serve(first, copy + make_response(b"two", b"b")) as connection:
        await send_and_read(connection)
        assert connection.status == 503
        # The target runs the second request: any result but a refusal is true.
        with contextlib.suppress(ResponseFailed):
            assert await send_and_read(connection, b"b") == b"two"
            assert connection.status == 200
        assert not connection.is_reusable()
    async with serve(first, (copy,)) as connection:
        await send_and_read(connection)
        with pytest.raises(ResponseFailed):
            await send_and_read(connection, b"b")


@pytest.mark.anyio
async def test_excess_response_makes_the_connection_unusable():
    async with serve(make_response(b"one") + make_response(b"more")) as connection:
        assert await send_and_read(connection) == b"one"
        assert not connection.is_reusable()


@pytest.mark.anyio
async def test_bytes_on_an_idle_connection_make_it_unusable():
    async with serve(make_response(b"one")) as connection:
        assert await send_and_read(connection) == b"one"
        connection.data_received(b"x")
        assert not connection.is_reusable()


@pytest.mark.anyio
async def test_response_without_attempt_id_on_a_used_connection_is_invalid():
    response_without_id = (
        b"HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
    async with serve(make_response(), response_without_id) as connection:
        await send_and_read(connection)
        with pytest.raises(ResponseFailed, match="attempt id"):
            await send_and_read(connection, b"b")
    async with serve(response_without_id) as connection:
        await send_and_read(connection)
        assert connection.status == 503


@pytest.mark.parametrize(
    "script",
    [
        (),
        b"no answer at all\r\n\r\n",
        (make_response(b"cut", length=10),),
        (
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n",
            b"Transfer-Encoding: chunked\r\n\r\n5\r\nab",
        ),
    ],
)
@pytest.mark.anyio
async def test_truncated_and_malformed_responses_are_rejected(script):
    async with serve(script) as connection:
        with pytest.raises(ResponseFailed):
            await send_and_read(connection)
        assert not connection.is_reusable()


@pytest.mark.anyio
async def test_close_delimited_response():
    head = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n\r\n"
    async with serve((head, b"to the end")) as connection:
        assert await send_and_read(connection) == b"to the end"
        assert not connection.is_reusable()
    async with serve(head + b"part") as connection:
        await connection.send_request(REQUEST, b"", b"a")
        connection.connection_lost(ConnectionResetError())
        with pytest.raises(ResponseFailed):
            await connection.read_all(LIMIT)


@pytest.mark.anyio
async def test_close_and_keepalive_headers():
    async with serve(make_response(extra=b"Connection: close\r\n")) as connection:
        await send_and_read(connection)
        assert not connection.is_reusable()
    async with serve(make_response(extra=b"Keep-Alive: timeout=7\r\n")) as connection:
        await send_and_read(connection)
        assert connection.keepalive_timeout == 7.0


@pytest.mark.anyio
async def test_long_response_is_streamed():
    body = b"z" * 3_000_000
    async with serve(make_response(body)) as connection:
        await connection.send_request(REQUEST, b"", b"a")
        assert await connection.read_all(LIMIT) is None
        assert (
            b"".join(
                [
                    chunk
                    async for chunk in connection.iter_chunks(anyio.current_time() + 3)
                ]
            )
            == body
        )
        assert connection.is_reusable()


@pytest.mark.anyio
async def test_connection_to_an_unreachable_target_fails():
    with pytest.raises(ConnectFailed):
        await open_connection(Address(HOST, 1), 1.0)


@pytest.mark.anyio
async def test_truncated_request_body_ends_the_request():
    async def truncated_body():
        yield b"part"
        raise RequestCancelled("the client went away")

    async with serve(b"") as connection:
        with pytest.raises(ResponseFailed, match="the client went away"):
            await connection.send_request(REQUEST, truncated_body(), b"a")
        assert not connection.is_reusable()


@pytest.mark.anyio
async def test_cancelled_request_resets_the_connection():
    """After a plain close, bytes delayed by a partition would still be delivered."""
    received_errors = []

    async def handle(stream):
        await stream.receive()
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError) as exc:
            received_errors.append(type(exc))

    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        connection = await open_connection(Address(HOST, port), 1.0)
        with anyio.move_on_after(0.1):
            await connection.send_request(REQUEST, b"", b"a")
        connection.close()
        await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()
    await listener.aclose()
    assert received_errors == [anyio.BrokenResourceError]


@pytest.mark.anyio
async def test_reading_resumes_after_a_response_that_filled_the_buffer():
    """Reading is paused when the body fills the buffer, and must resume after it."""
    body = b"z" * (HIGH_WATERMARK_BYTES + 1000)
    async with serve(make_response(body), make_response(b"two", b"b")) as connection:
        await connection.send_request(REQUEST, b"", b"a")
        await anyio.sleep(0.3)
        received = b"".join(
            [chunk async for chunk in connection.iter_chunks(anyio.current_time() + 3)]
        )
        assert received == body
        assert await send_and_read(connection, b"b") == b"two"
    async with serve(b"", make_response(b"two", b"b")) as connection:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(connection.send_request, REQUEST, b"", b"a")
            await anyio.sleep(0.05)
            connection.data_received(make_response(body))
        assert await connection.read_all(HIGH_WATERMARK_BYTES) == body
        assert await send_and_read(connection, b"b") == b"two"


@pytest.mark.anyio
@pytest.mark.parametrize(
    "part",
    [b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", b"\r\npart"],
    ids=["chunked", "close"],
)
async def test_body_that_stalls_until_the_timeout_is_not_complete(part):
    for milliseconds in range(20):
        async with serve(
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n" + part
        ) as connection:
            await connection.send_request(REQUEST, b"", b"a")
            # Of an event loop that counts whole milliseconds, timers may be early.
            expires = anyio.current_time() + milliseconds * 1.05e-3
            with pytest.raises(ResponseFailed):
                async for _ in connection.iter_chunks(expires):
                    pass


@pytest.mark.anyio
@pytest.mark.parametrize("is_closed_by_target", [True, False])
async def test_stray_response_on_an_idle_connection_is_no_end_by_the_target(
    is_closed_by_target,
):
    ends = []
    stray = make_response(b"one")
    async with serve(make_response(b"one"), stray) as connection:
        assert await send_and_read(connection) == b"one"
        connection.on_idle_end = lambda: ends.append("ended")
        if is_closed_by_target:
            connection.eof_received()
        else:
            connection._transport.write(REQUEST)  # the server then sends the stray one
            while not connection._is_closed:
                await anyio.sleep(0.001)
        assert len(ends) == is_closed_by_target
        assert not connection.is_reusable()
