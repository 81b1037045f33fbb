"""A server that sends its response a second time."""

import contextlib
from functools import partial
from types import SimpleNamespace

import anyio
import httpcore
import pytest

from turmericrudder.address import Address
from turmericrudder.configuration import RequestClass
from turmericrudder.forwarding.headers import ATTEMPT_HEADER
from turmericrudder.forwarding.response import Response
from turmericrudder.forwarding.step import NotRun
from turmericrudder.forwarding.target_attempt import TargetAttempt
from turmericrudder.forwarding.target_connection_pool import TargetConnectionPool
from turmericrudder.http_client import send_bounded
from turmericrudder.routing import AdmissionRequest

HOST = "127.0.20.9"
READ = RequestClass("read", "GET", "*", False, True, False, 9.0, 9.0, 9.0)


def make_response(number, attempt_id=None):
    body = b"response %d" % number
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(body)
    if attempt_id is not None:
        head += b"%s: %s\r\n" % (ATTEMPT_HEADER, attempt_id)
    return head + b"\r\n" + body


@contextlib.asynccontextmanager
async def serve_target(respond):
    """Serve connections and yield a target.

    :param respond: async function of (stream, number of the request, its bytes).
    """
    numbers = iter(range(1, 100))

    async def handle(stream):
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while True:
                    request = await stream.receive()
                    await respond(stream, next(numbers), request)

    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        with anyio.fail_after(5):
            yield SimpleNamespace(name="t", address=Address(HOST, port))
        tasks.cancel_scope.cancel()
    await listener.aclose()


async def send_first_twice(delay, stream, number, request):
    """Respond to a request; to the first one twice.

    :param delay: seconds until the second copy, 0 to send both at once.
    """
    if number == 1 and not delay:
        await stream.send(2 * make_response(number))
        return
    await stream.send(make_response(number))
    if number == 1:
        await anyio.sleep(delay)
        await stream.send(make_response(number))


async def read(pool, target):
    connection = await pool.acquire(target, must_be_fresh=False)
    response = await connection.send_request("GET", b"/", [], None, 1.0, 1.0)
    assert isinstance(response, Response)
    body = b"".join([chunk async for chunk in response.iter_chunks()])
    await response.aclose()
    await pool.release(target, connection)
    return body


@pytest.mark.anyio
@pytest.mark.parametrize("delay", [0.0, 0.05], ids=["same packet", "idle connection"])
async def test_second_copy_reaches_no_other_request(delay):
    pool = TargetConnectionPool()
    async with serve_target(partial(send_first_twice, delay)) as target:
        assert await read(pool, target) == b"response 1"
        await anyio.sleep(2 * delay)
        assert await read(pool, target) == b"response 2"
        await pool.aclose()


@pytest.mark.anyio
async def test_second_copy_with_the_id_of_another_attempt_is_a_failure():
    """It arrives after the next request was sent, so that only the id tells."""
    attempt_ids = []

    async def respond(stream, number, request):
        for line in request.split(b"\r\n"):
            name, _, value = line.partition(b": ")
            if name == ATTEMPT_HEADER:
                attempt_ids.append(value)
        await stream.send(make_response(number, attempt_ids[0]))

    pool = TargetConnectionPool()
    async with serve_target(respond) as target:
        attempts = [await run_attempt(target, pool) for _ in range(2)]
        assert len(set(attempt_ids)) == 2
        assert attempts[0].response is not None
        assert attempts[1].response is None
        assert attempts[1].failure.reason == "crossed"
        await pool.aclose()


@pytest.mark.anyio
@pytest.mark.parametrize("delay", [0.0, 0.05, 0.15], ids=["at once", "idle", "in use"])
async def test_refusal_written_once_more_makes_no_other_attempt_not_run(delay):
    refusal = b"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n"

    async def respond(stream, number, request):
        if number == 1:
            await stream.send(refusal if delay else 2 * refusal)
            await anyio.sleep(delay)
            await stream.send(refusal)
        else:
            await anyio.sleep(0.1)
            await stream.send(make_response(number))

    pool = TargetConnectionPool()
    async with serve_target(respond) as target:
        refused = await run_attempt(target, pool)
        assert refused.failure == NotRun("shed", is_shed=True)
        await anyio.sleep(0.1)
        assert (await run_attempt(target, pool)).response is not None
        await pool.aclose()


@pytest.mark.anyio
async def test_second_response_within_a_body_is_a_failure():
    """The first response breaks off, and the bytes of the second complete its body."""

    async def respond(stream, number, request):
        head, _, _ = request.partition(b"\r\n\r\n")
        _, _, attempt_id = head.partition(ATTEMPT_HEADER + b": ")
        response = make_response(number, attempt_id.partition(b"\r\n")[0])
        sent = response[:-5].replace(b"Length: 10", b"Length: 100")
        await stream.send(sent)
        await anyio.sleep(0.05)
        await stream.send(2 * response)

    pool = TargetConnectionPool()
    async with serve_target(respond) as target:
        attempt = await run_attempt(target, pool)
        assert attempt.response is None
        assert attempt.failure.reason == "cut"
        await pool.aclose()


@pytest.mark.anyio
@pytest.mark.parametrize("delay", [0.0, 0.05], ids=["same packet", "idle connection"])
async def test_second_copy_reaches_no_other_call_of_a_client(delay):
    """The calls to the store and to instances share pools of connections."""

    respond = partial(send_first_twice, delay)
    async with serve_target(respond) as target, httpcore.AsyncConnectionPool() as pool:
        for number in (1, 2):
            response = await send_bounded(
                pool, "GET", f"http://{target.address}/", max_bytes=100, timeout=1.0
            )
            assert response.content == b"response %d" % number
            await anyio.sleep(2 * delay)


async def run_attempt(target, pool):
    """Run an attempt, read the response and return the attempt."""
    service = SimpleNamespace(
        name="s", shed_status=429, drain_status=503, status_path=""
    )
    grant = SimpleNamespace(state=SimpleNamespace(target=target, service=service))
    dispatcher = SimpleNamespace(send=lambda _: None)
    attempt = TargetAttempt(grant, make_request(), dispatcher, pool)
    await attempt.run(1000)
    if attempt.response is not None:
        assert [chunk async for chunk in attempt.response.iter_chunks()]
        await attempt.response.aclose()
        attempt.mark_complete()
    await attempt.aclose()
    return attempt


def make_request():
    expires = anyio.current_time() + 9
    return SimpleNamespace(
        method="GET",
        path=b"/",
        headers=[],
        key="",
        request_class=READ,
        expires=expires,
        admission_request=AdmissionRequest("reads", "gulf", False, expires),
        body=SimpleNamespace(iter_chunks=lambda: None),
    )
