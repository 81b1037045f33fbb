"""How bodies end on the way through entry instances, in both directions."""

import contextlib
import signal
import socket
import struct
import subprocess
import sys
from base64 import b64encode
from pathlib import Path
from types import SimpleNamespace

import anyio
import h11
import httpcore
import msgspec
import pytest

from turmericrudder.caller import Caller, NoAnswer
from turmericrudder.daemon.blob_fetcher import BlobFetcher
from turmericrudder.errors import PeerUnreachable, StoreError, StoreUnavailable
from turmericrudder.forwarding import ConnectionPool
from turmericrudder.gateway.load_exchange import LoadSummary, LoadUpdate
from turmericrudder.gateway.peer_sync import PeerClient, PeerUpdate
from turmericrudder.http_client import TRANSPORT_ERRORS, send_bounded
from turmericrudder.lookup import LookupEntry, LookupResponse
from turmericrudder.platform import MetadataStoreClient

from .entry_rig import IDLE_TIMEOUT, STOPPED_PORT, serve_entries, serve_raw

HOST = "127.0.20.12"
ROOT = Path(__file__).parent.parent
SIZES = (5, 100_000, 700_000)  # within the replay limit, beyond it, beyond all buffers
ENDS = ("whole", "close", "reset", "stall")
FRACTIONS = [number * 0.00037 for number in range(24)]  # of the time of a wait


class Upstream:
    """Responds as the path of a request says: ``/FRAMING/END/SIZE``.

    :ivar bodies: {path: bodies of the requests that were received whole}.
    """

    def __init__(self):
        self.bodies = {}

    async def handle(self, stream):
        connection = h11.Connection(h11.SERVER)
        path, body = "", b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive())
            elif isinstance(event, h11.Request):
                path = event.target.decode()
                if path.startswith("/early"):
                    break
            elif isinstance(event, h11.Data):
                body += event.data
            else:
                self.bodies.setdefault(path, []).append(body)
                break
        await respond(stream, *path.split("/")[2:5])


async def respond(stream, framing, end, size):
    content = make_body(int(size))
    response = encode_response(framing, content)
    if end == "whole":
        await stream.send(response)
        if framing != "none":
            await anyio.sleep(5)
        return
    await stream.send(response[: -len(content) // 3])
    if end == "stall":
        await anyio.sleep(5)
    if end == "reset":
        await anyio.sleep(0.02)
        reset(stream)


def encode_response(framing, content):
    head = b"HTTP/1.1 200 OK\r\n"
    if framing == "length":
        return head + b"Content-Length: %d\r\n\r\n" % len(content) + content
    if framing == "none":
        return head + b"\r\n" + content
    if framing.isdigit():  # a status without a body
        return b"HTTP/1.1 %b X\r\nContent-Length: 5\r\n\r\n" % framing.encode()
    step = max(1, len(content) // 5)
    if framing == "both":
        head += b"Content-Length: %d\r\n" % step
    chunks = [content[i : i + step] for i in range(0, len(content), step)]
    head += b"Transfer-Encoding: chunked\r\n\r\n"
    return head + encode_chunks(*chunks)


def encode_chunks(*chunks):
    chunks = [b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks]
    return b"".join(chunks) + b"0\r\n\r\n"


def make_body(size):
    return (b"0123456789abcdef" * (size // 16 + 1))[:size]


def reset(stream):
    # Closing the stream would send the end of the data before the reset.
    transport = stream._transport
    if not transport.is_closing():
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        transport.abort()


async def read_response(stream):
    """Return (status, verdict, body) of a complete response, ``None`` of another."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    connection.send(h11.EndOfMessage())
    body, status, verdict = b"", 0, None
    try:
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                with contextlib.suppress(anyio.EndOfStream):
                    connection.receive_data(await stream.receive())
                    continue
                connection.receive_data(b"")
            elif isinstance(event, h11.Response):
                headers = dict(event.headers)
                status = event.status_code
                verdict = headers.get(b"turmericrudder-verdict")
            elif isinstance(event, h11.Data):
                body += event.data
            else:
                is_whole = isinstance(event, h11.EndOfMessage)
                return (status, verdict, body) if is_whole else None
    except (h11.RemoteProtocolError, anyio.BrokenResourceError):
        return None


async def call(address, method, path, key="", upload=b"Content-Length: 0\r\n\r\n"):
    with anyio.fail_after(10):
        async with await anyio.connect_tcp(address.host, address.port) as stream:
            head = f"{method} /s{path} HTTP/1.1\r\nHost: x\r\n"
            if key:
                head += f"Idempotency-Key: {key}\r\n"
            await stream.send(head.encode())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_safely, stream, upload)
                response = await read_response(stream)
                tasks.cancel_scope.cancel()
                return response


async def send_safely(stream, data):
    with contextlib.suppress(anyio.BrokenResourceError):
        await stream.send(data)


@pytest.fixture(scope="module")
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


@pytest.fixture(scope="module")
def upstream():
    return Upstream()


@pytest.fixture(scope="module")
async def entries(anyio_backend, upstream):
    async with serve_entries(HOST, upstream.handle) as entries:
        yield entries


def is_whole_or_broken(outcome, framing, end, size):
    is_whole = outcome is not None and outcome == (200, None, make_body(size))
    if end == "whole" and framing != "none":
        return is_whole
    return is_whole or outcome is None or outcome[1] is not None


@pytest.mark.anyio
@pytest.mark.parametrize("name", ["owner", "other"])
@pytest.mark.parametrize("framing", ["length", "chunked", "none", "both"])
async def test_body_of_an_upstream_is_passed_on_whole_or_broken(entries, name, framing):
    """Also of an operation, and when its key is sent again."""
    instance = getattr(entries, name)
    address = instance.settings.listen_callers
    prefix = instance.operation_coordinator.prefix
    failures = []

    async def check(method, end, size):
        path = f"/{method}/{framing}/{end}/{size}"
        key = f"{prefix}.{framing}-{end}-{size}" if method == "POST" else ""
        for number in range(3 if key else 1):
            outcome = await call(address, method, path, key)
            if not is_whole_or_broken(outcome, framing, end, size):
                failures.append((path, number, outcome and outcome[:2]))

    async with anyio.create_task_group() as tasks:
        for end in ENDS:
            for size in SIZES:
                for method in ("GET", "POST"):
                    tasks.start_soon(check, method, end, size)
    assert not failures


@pytest.mark.anyio
@pytest.mark.parametrize("status", [204, 304])
async def test_response_without_a_body_keeps_the_connection(entries, status):
    """It may have the length of the body that it does not have."""
    address = entries.owner.settings.listen_callers
    async with await anyio.connect_tcp(address.host, address.port) as stream:
        for _ in range(2):
            path = f"/s/GET/{status}/whole/5"
            await stream.send(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            assert await read_response(stream) == (status, None, b"")


@pytest.mark.anyio
@pytest.mark.parametrize("framing", ["length", "chunked"])
async def test_stalled_body_never_looks_complete(entries, framing):
    outcomes = []

    async def read(address, fraction):
        await anyio.sleep(fraction)
        path = f"/GET/{framing}/stall/700000"
        outcomes.append(await call(address, "GET", path))

    async with anyio.create_task_group() as tasks:
        for fraction in FRACTIONS:
            for instance in (entries.owner, entries.other):
                tasks.start_soon(read, instance.settings.listen_callers, fraction)
    assert len(outcomes) == 2 * len(FRACTIONS)
    assert all(outcome is None or outcome[1] for outcome in outcomes)


def split_upload(framing, size):
    """Return the start and the rest of an upload."""
    body = make_body(size)
    if framing == "length":
        upload = b"Content-Length: %d\r\n\r\n" % size + body
    else:
        upload = b"Transfer-Encoding: chunked\r\n\r\n" + encode_chunks(
            body[: size // 2], body[size // 2 :]
        )
    return upload[: -size // 3], upload[-size // 3 :]


@pytest.mark.anyio
@pytest.mark.parametrize("name", ["owner", "other"])
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("framing", ["length", "chunked"])
async def test_upload_runs_whole_or_not_at_all(entries, upstream, framing, end, name):
    address = getattr(entries, name).settings.listen_callers

    async def upload(method, size):
        path = f"/{method}-{name}-{framing}-{end}-{size}/length/whole/2"
        start, rest = split_upload(framing, size)
        async with await anyio.connect_tcp(address.host, address.port) as stream:
            head = f"{method} /s{path} HTTP/1.1\r\nHost: x\r\n"
            await stream.send(head.encode() + start)
            await anyio.sleep(0.02)
            if end == "whole":
                await stream.send(rest)
                assert await read_response(stream) == (200, None, b"01")
            elif end == "stall":
                await anyio.sleep(2 * IDLE_TIMEOUT)
            elif end == "reset":
                reset(stream)
        await anyio.sleep(0.05)
        expected = [make_body(size)] if end == "whole" else []
        assert upstream.bodies.get(path, []) == expected

    async with anyio.create_task_group() as tasks:
        for size in SIZES:
            for method in ("GET", "POST", "PUT"):
                tasks.start_soon(upload, method, size)


@pytest.mark.anyio
async def test_upload_with_another_transfer_coding_does_not_run(entries, upstream):
    address = entries.owner.settings.listen_callers
    upload = b"Transfer-Encoding: gzip, chunked\r\n\r\n" + encode_chunks(b"coded")
    outcome = await call(address, "PUT", "/PUT/length/whole/2", upload=upload)
    assert outcome[:2] == (501, b"not_run")
    assert "/PUT/length/whole/2" not in upstream.bodies


@pytest.mark.anyio
@pytest.mark.parametrize("name", ["owner", "other"])
@pytest.mark.parametrize("end", ENDS)
async def test_early_response_to_an_upload_is_whole_or_broken(entries, end, name):
    address = getattr(entries, name).settings.listen_callers
    upload = b"Content-Length: 3000000\r\n\r\n" + make_body(3_000_000)
    for framing in ("length", "chunked"):
        path = f"/early/{framing}/{end}/700000"
        outcome = await call(address, "PUT", path, upload=upload)
        assert outcome is None or outcome[1] or outcome[2] == make_body(700_000)


@pytest.mark.anyio
async def test_request_cut_by_a_stop_gets_no_response_in_place_of_the_upstreams():
    outcomes = []

    async def read(address, method, path):
        outcomes.append(await call(address, method, path))

    async def hold(stream):
        head = await stream.receive()
        if b"/headless" not in head:
            await respond(stream, *head.split()[1].decode().split("/")[2:5])
        await anyio.sleep(9)

    paths = [
        "/headless/x/x/0",
        *(f"/x/{f}/stall/700000" for f in ("length", "chunked")),
    ]
    async with serve_raw(HOST, hold) as upstream, serve_process(upstream) as entry:
        async with anyio.create_task_group() as tasks:
            for path in paths:
                for method in ("GET", "POST"):
                    tasks.start_soon(read, entry.address, method, path)
            await anyio.sleep(0.2)
            entry.process.send_signal(signal.SIGTERM)
        with anyio.fail_after(5):
            while entry.process.poll() is None:
                await anyio.sleep(0.02)
    assert len(outcomes) == 2 * len(paths)
    seen = {outcome and outcome[:2] for outcome in outcomes}
    assert (504, b"may_have_run") in seen
    assert seen <= {None, (504, b"may_have_run")}


@contextlib.asynccontextmanager
async def serve_process(upstream):
    """Run an entry instance with a short limit of its stop as a process."""
    command = [sys.executable, "-m", "tests.entry_rig", HOST, str(upstream.port)]
    process = subprocess.Popen(command, cwd=ROOT)
    address = SimpleNamespace(host=HOST, port=STOPPED_PORT)
    try:
        with anyio.fail_after(20):
            while not await is_serving(address):
                await anyio.sleep(0.05)
        yield SimpleNamespace(process=process, address=address)
    finally:
        process.kill()
        process.wait()


async def is_serving(address):
    with contextlib.suppress(OSError):
        return await call(address, "GET", "/x/length/whole/1") == (200, None, b"0")
    return False


async def get_error(awaitable):
    try:
        await awaitable
    except Exception as exc:
        return exc


ITEM = {"key": "a/b", "rev": 7, "value": b64encode(b"v").decode()}
LOOKUP = LookupResponse("s", "d", (LookupEntry("e", "1:1", "r", "d"),), 60.0, 1, "p")


async def get_part(address):
    fetch = BlobFetcher(SimpleNamespace(peer_key="k"), ConnectionPool())
    return await fetch(str(address), "chunk", "x")


CALLS = {
    "get": (ITEM, lambda a: MetadataStoreClient(a).get("a/b")),
    "get_all": (
        {"items": [ITEM, ITEM], "store_revision": 9, "has_more": False},
        lambda a: MetadataStoreClient(a).get_all("a/"),
    ),
    "watch": (
        {"events": [ITEM, ITEM], "store_revision": 9},
        lambda a: MetadataStoreClient(a).watch("a/", 1, 0.1),
    ),
    "write": ({"rev": 12345}, lambda a: MetadataStoreClient(a).write("a", b"v")),
    "update": (
        PeerUpdate(5, True, [], 1.0, 1, 1.0),
        lambda a: PeerClient().get_update(str(a), 1, 0.1),
    ),
    "loads": (
        LoadUpdate("w", {"t": 0.5}, []),
        lambda a: PeerClient().exchange_loads(str(a), LoadSummary("i", "", [])),
    ),
    "part": (b"part" * 9, get_part),
    "lookup": (LOOKUP, lambda a: Caller([str(a)]).look_up("s")),
}


def encode_document(name):
    document, _ = CALLS[name]
    if isinstance(document, bytes):
        return document
    is_packed = name in ("update", "loads")
    return (msgspec.msgpack if is_packed else msgspec.json).encode(document)


@pytest.mark.anyio
@pytest.mark.parametrize("name", list(CALLS))
async def test_truncated_document_of_the_store_or_an_instance_is_not_used(name):
    cases = []

    async def handle(stream):
        await stream.receive()
        response, end, cut = cases[-1]
        await stream.send(response[:-cut])
        if end == "reset":
            await anyio.sleep(0.001)
            reset(stream)

    content = encode_document(name)
    async with serve_raw(HOST, handle) as address:
        for framing in ("length", "chunked", "none"):
            response = encode_response(framing, content)
            for end in ("close", "reset"):
                for cut in range(1, len(response) - response.index(b"\r\n\r\n") - 3, 3):
                    cases.append((response, end, cut))
                    error = await get_error(CALLS[name][1](address))
                    assert isinstance(error, StoreError | PeerUnreachable | NoAnswer)


@pytest.mark.anyio
async def test_page_that_announces_more_and_has_no_items_is_not_the_last():
    page = {"items": [], "store_revision": 9, "has_more": True}

    async def handle(stream):
        await stream.receive()
        await stream.send(encode_response("length", msgspec.json.encode(page)))

    async with serve_raw(HOST, handle) as address:
        error = await get_error(MetadataStoreClient(address).get_all("a/"))
    assert isinstance(error, StoreUnavailable)


@pytest.mark.anyio
@pytest.mark.parametrize("framing", ["length", "chunked", "none"])
async def test_stalled_document_is_not_used_by_any_client(framing):
    """Neither by the caller library nor by the calls to the store and instances."""
    results = []

    async def handle(stream):
        request = await stream.receive()
        if request.startswith(b"GET /lookup"):
            lookup = msgspec.structs.replace(
                LOOKUP, entries=(LookupEntry("e", str(address), "r", "d"),)
            )
            lookup = msgspec.json.encode(lookup)
            await stream.send(encode_response("length", lookup))
        else:
            await respond(stream, framing, "stall", 700_000)

    async def read(fraction):
        caller = Caller([str(address)])
        call = caller.request("GET", "s", "/x", timeout=0.1 + fraction)
        results.append(await get_error(call))
        call = send_bounded(
            pool, "GET", f"http://{address}/", max_bytes=10**6, timeout=fraction
        )
        results.append(await get_error(call))

    async with (
        serve_raw(HOST, handle) as address,
        httpcore.AsyncConnectionPool() as pool,
        anyio.create_task_group() as tasks,
    ):
        for fraction in FRACTIONS:
            tasks.start_soon(read, 0.05 + fraction)
    assert len(results) == 2 * len(FRACTIONS)
    assert all(isinstance(error, (NoAnswer, *TRANSPORT_ERRORS)) for error in results)
