"""Bodies that end early, in both directions: none may look complete and be another."""

import asyncio
import contextlib
import itertools
from functools import partial
from types import SimpleNamespace

import anyio
import pytest

from turmericrudder.gateway.body_reader import MAX_BUFFERED_BODY_BYTES, BodyReader
from turmericrudder.steering import ClientLimits

from .raw_peers import (
    PATIENT_MS,
    abort,
    connect,
    encode_body,
    make_body,
    read_response,
    serve,
)

pytestmark = pytest.mark.anyio

BASE = 29200  # first port of this module's rig
STALL_MS = 450  # the client's timeout where a body stalls
REPEATS = 20  # of bodies that stall, at other fractions of a millisecond

RESPONSE_SIZES = (5_000, 300_000, 2_000_000)
RESPONSE_ENDS = ("whole", "fin", "last", "rst", "stall", "leave", "reset")
SLOW_ENDS = ("slow whole", "slow fin", "slow rst", "slow stall")
# A close ends a body that has no length, so it is whole then.
RESPONSES = [
    case
    for case in itertools.product(
        ("length", "chunked", "close"), RESPONSE_SIZES, RESPONSE_ENDS + SLOW_ENDS
    )
    if case[0] != "close" or not case[2].endswith(("fin", "last"))
]
REQUEST_SIZES = (1_000, 600_000)  # buffered, and more than is buffered
REQUEST_ENDS = ("whole", "fin", "rst", "stall", "early", "late", "target rst")
REQUESTS = list(itertools.product(("length", "chunked"), REQUEST_SIZES, REQUEST_ENDS))


async def respond(framing, size, end, target, number, start, head, reader, writer):
    """Send a response and end it as ``end`` says."""
    line, wire = encode_body(framing, make_body(size))
    if "last" in end:
        wire = wire[:-1]
    elif "whole" not in end:
        wire = wire[: len(wire) // 2]
    writer.write(b"HTTP/1.1" + start + line + b"\r\n" + wire)
    await writer.drain()
    if "rst" in end:
        abort(writer)
    elif not (end.endswith(("fin", "last")) or framing == "close" and "whole" in end):
        await reader.read()


async def accept(end, target, number, start, head, reader, writer):
    """Read a request's body; respond before its end, after it, or reset."""
    response = b"HTTP/1.1" + start + b"Content-Length: 2\r\n\r\nok"
    if end == "early":
        writer.write(response)
    if end == "target rst":
        await reader.read(1000)
        abort(writer)
        return
    await target.read_body(number, head, reader)
    if end != "early":
        writer.write(response)
    await reader.read()


async def run_all(trials):
    """Run coroutines at once, begun at different fractions of a millisecond."""
    tasks = []
    for trial in trials:
        tasks.append(asyncio.ensure_future(trial))
        await anyio.sleep(0.00137)
    return await asyncio.wait_for(asyncio.gather(*tasks), 20)


async def get_response(target, number, end):
    """Return the response to a client that ends its connection as ``end`` says."""
    timeout_ms = STALL_MS if "stall" in end else PATIENT_MS
    async with connect(target, number, timeout_ms=timeout_ms) as (
        reader,
        writer,
    ):
        if end in ("leave", "reset"):
            await asyncio.sleep(0.2)
            if end == "reset":
                abort(writer)
            return None, b"", False
        if end.startswith("slow"):
            writer.transport.pause_reading()
            await asyncio.sleep(0.6)
            writer.transport.resume_reading()
        return await read_response(reader)


async def check_responses(rig, cases):
    handlers = [partial(respond, *case) for case in cases]
    async with serve(rig, handlers) as target:
        seen = await run_all(
            get_response(target, number, case[2]) for number, case in enumerate(cases)
        )
        await anyio.sleep(1)  # by then, nothing holds a target's connection
        faults = [
            (cases[number], "open")
            for number in target.open_numbers
            if "whole" not in cases[number][2]
        ]
        for (framing, size, end), (status, body, is_complete) in zip(
            cases, seen, strict=True
        ):
            is_success = is_complete and status == 200
            if is_success != ("whole" in end) or is_success and body != make_body(size):
                faults.append((framing, size, end, status, len(body), is_complete))
        assert faults == []
        assert target.numbers == set(range(len(cases)))


async def test_response_that_ends_early_never_looks_complete(rig):
    await check_responses(rig, RESPONSES)


async def test_response_that_stalls_until_the_timeout_never_looks_complete(rig):
    cases = itertools.product(("length", "chunked", "close"), (600_000,), ("stall",))
    await check_responses(rig, list(cases) * REPEATS)


async def send_request(target, number, framing, size, end):
    """Send a body and end it as ``end`` says; return the status of the response."""
    line, wire = encode_body(framing, make_body(size))
    cut = len(wire) * 19 // 20
    timeout_ms = STALL_MS if end == "stall" else PATIENT_MS
    async with connect(target, number, line, timeout_ms, "POST") as (reader, writer):
        writer.write(wire[:cut])
        await writer.drain()
        if end in ("early", "late", "target rst", "fin", "rst"):
            await asyncio.sleep(0.1)
        if end == "rst":
            abort(writer)
            return None
        if end == "fin":
            writer.write_eof()
        elif end != "stall":
            writer.write(wire[cut:])
        return (await read_response(reader))[0]


async def check_requests(rig, cases):
    handlers = [partial(accept, end) for _, _, end in cases]
    async with serve(rig, handlers) as target:
        statuses = await run_all(
            send_request(target, number, *case) for number, case in enumerate(cases)
        )
        await anyio.sleep(0.2)
        long_bodies = {
            n for n, case in enumerate(cases) if case[1] == max(REQUEST_SIZES)
        }
        assert long_bodies <= target.numbers
        faults = []
        for number, (framing, size, end) in enumerate(cases):
            requests = target.requests.get(number, [])
            is_sent_whole = end in ("whole", "early", "late", "target rst")
            for body, is_complete in requests:
                if is_complete and not (is_sent_whole and body == make_body(size)):
                    faults.append((framing, size, end, len(body)))
            if end in ("whole", "late") and statuses[number] != 200:
                faults.append((framing, size, end, statuses[number]))
        assert faults == []


async def test_request_that_ends_early_never_looks_complete(rig):
    await check_requests(rig, REQUESTS)


async def test_request_that_stalls_until_the_timeout_never_looks_complete(rig):
    cases = itertools.product(("length", "chunked"), (600_000,), ("stall",))
    await check_requests(rig, list(cases) * REPEATS)


@pytest.mark.parametrize("rest", [b"no chunk\r\n", b"0"], ids=["malformed", "missing"])
async def test_connection_is_closed_if_the_rest_of_an_answered_body_is(rig, rest):
    async with serve(rig, [partial(accept, "early")]) as target:
        line, wire = encode_body("chunked", make_body(600_000))
        async with connect(target, 0, line, method="POST", body=wire[:-5]) as (
            reader,
            writer,
        ):
            await reader.readuntil(b"ok")
            writer.write(rest)
            # The idle timeout is 5 s.
            assert await asyncio.wait_for(reader.read(), 7) == b""


async def test_client_that_stops_reading_holds_no_target_past_the_timeout(rig):
    handlers = [
        partial(respond, framing, 9_000_000, "whole")
        for framing in ("length", "chunked", "close")
    ]
    async with serve(rig, handlers) as target, contextlib.AsyncExitStack() as stack:
        for number in range(len(handlers)):
            _, writer = await stack.enter_async_context(
                connect(target, number, timeout_ms=STALL_MS)
            )
            writer.transport.pause_reading()
        await asyncio.sleep(STALL_MS / 1000 + 1)
        assert target.numbers == {0, 1, 2}
        assert target.open_numbers == []


async def test_empty_part_of_a_request_body_is_not_its_last_chunk():
    parts = [b"start", b"", b"x" * MAX_BUFFERED_BODY_BYTES, b"", b"end"]
    messages = [{"body": part, "more_body": True} for part in parts]
    messages.append({"body": b"", "more_body": False})

    async def receive():
        return {"type": "http.request", **messages.pop(0)}

    limits = ClientLimits(1000, 1_000_000, 1.0, 1.0)
    request = SimpleNamespace(expires=anyio.current_time() + 1)
    await BodyReader({"headers": []}, receive, limits).read(request)
    sent = [chunk async for chunk in request.body_stream]
    assert [chunk for chunk in sent if chunk.startswith(b"0\r\n")] == sent[-1:]


async def test_body_cut_by_the_end_of_a_stop_never_looks_complete(rig):
    """The last test of the file, because it stops the gateway."""
    responses = list(
        itertools.product(("length", "chunked", "close"), RESPONSE_SIZES, ("stop",))
    )
    requests = list(itertools.product(("length", "chunked"), REQUEST_SIZES, ("stop",)))
    handlers = [partial(respond, *case) for case in responses]
    handlers += [partial(accept, end) for _, _, end in requests]

    async def upload(number, framing, size):
        line, wire = encode_body(framing, make_body(size))
        async with connect(target, number, line, method="POST") as (reader, writer):
            writer.write(wire[: len(wire) * 19 // 20])
            return await read_response(reader)

    async def stop():
        await anyio.sleep(0.5)
        rig.stop()
        return 503, b"", True

    async with serve(rig, handlers) as target:
        seen = await run_all(
            [
                stop(),
                *(get_response(target, n, "stop") for n in range(len(responses))),
                *(
                    upload(len(responses) + n, framing, size)
                    for n, (framing, size, _) in enumerate(requests)
                ),
            ]
        )
    assert set(range(len(responses))) <= target.numbers
    assert not [status for status, _, complete in seen if complete and status < 500]
    assert not [
        whole for sent in target.requests.values() for _, whole in sent if whole
    ]
