"""What the caller library promises when entry instances fail or reject requests."""

import contextlib

import anyio
import msgspec
import pytest

from turmericrudder.caller import Caller, NoAnswer, RequestNotRun
from turmericrudder.lookup import LookupEntry, LookupResponse

HOST = "127.0.20.8"


def make_response(status, body=b"", verdict=None):
    head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(body))
    if verdict is not None:
        head += b"Turmericrudder-Verdict: %s\r\n" % verdict
    return head + b"\r\n" + body


@contextlib.asynccontextmanager
async def serve_entry(*responses):
    """Serve look-ups and yield a caller; other requests get the next of ``responses``.

    :param responses: bytes, or ``None`` to close the connection without a response.
    """
    remaining = list(responses)
    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    address = f"{HOST}:{port}"
    lookup = msgspec.json.encode(
        LookupResponse(
            service="s",
            place="d",
            entries=(LookupEntry("e", address, "r", "d"),),
            ttl=60.0,
            revision=1,
            key_prefix="p",
        )
    )

    async def handle(stream):
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while True:
                    request = await stream.receive()
                    if request.startswith(b"GET /lookup"):
                        await stream.send(make_response(200, lookup))
                        continue
                    response = remaining.pop(0)
                    if response is None:
                        return
                    await stream.send(response)

    caller = Caller([address])
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        with anyio.fail_after(5):
            yield caller
        await caller.aclose()
        tasks.cancel_scope.cancel()
    await listener.aclose()


@pytest.mark.anyio
async def test_key_of_an_earlier_call_is_not_reported_as_not_run_without_a_lookup():
    caller = Caller([f"{HOST}:9"])
    with pytest.raises(NoAnswer) as caught:
        await caller.operate("POST", "s", "/x", key="p.earlier")
    assert not isinstance(caught.value, RequestNotRun)
    assert caught.value.key == "p.earlier"


@pytest.mark.anyio
async def test_bad_request_after_a_lost_response_may_have_run():
    async with serve_entry(None, make_response(404, b"gone", b"not_run")) as caller:
        with pytest.raises(NoAnswer) as caught:
            await caller.request("GET", "s", "/x", timeout=2)
    assert not isinstance(caught.value, RequestNotRun)
    assert caught.value.status == 404


@pytest.mark.anyio
async def test_bad_request_with_the_key_of_an_earlier_call_may_have_run():
    async with serve_entry(make_response(404, b"gone", b"not_run")) as caller:
        with pytest.raises(NoAnswer) as caught:
            await caller.operate("POST", "s", "/x", timeout=2, key="p.earlier")
    assert not isinstance(caught.value, RequestNotRun)


@pytest.mark.anyio
@pytest.mark.parametrize("status", [404, 428, 503])
async def test_rejected_first_attempt_did_not_run(status):
    async with serve_entry(make_response(status, b"no", b"not_run")) as caller:
        with pytest.raises(RequestNotRun):
            await caller.operate("POST", "s", "/x", timeout=2)
