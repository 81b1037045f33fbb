"""Peers that send bytes without end: targets, clients, the store, other instances."""

import contextlib
import itertools
import pathlib
import socket
import threading
import time

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from turmericrudder.errors import PeerUnreachable, StoreError
from turmericrudder.gateway.peer_sync import PeerClient
from turmericrudder.gateway.response_parser import ResponseParser
from turmericrudder.platform import MetadataStoreClient, protocol

from .platform_documents import HOST, make_configuration, make_registration, make_route
from .platform_rig import Rig, wait_for

BASE = 26400  # first port of this module's rig
MEMORY_LIMIT_MB = 64  # of an instance, from the design's target
MAX_FED_BYTES = 4 * 1024 * 1024  # an endless peer must be cut off before
ATTEMPT_ID = b"a"
HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

# Name -> (bytes sent once, bytes sent again and again); %s is the attempt id.
ENDLESS_RESPONSES = {
    "header lines": (HEAD, b"X-A: 1\r\n" * 1000),
    "one header line": (HEAD + b"X-A: ", b"a" * 8000),
    "status line": (b"HTTP/1.1 200 ", b"O" * 8000),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"X-A: 1\r\n" * 1000),
    "one chunk extension": (CHUNKED_HEAD + b"1;", b"a" * 8000),
    "chunk extensions": (CHUNKED_HEAD, b"1;" + b"a" * 8000 + b"\r\nx\r\n"),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "late response": (CHUNKED_HEAD.replace(b"%s", b"other"), b"1000\r\n%s\r\n"),
    "late responses": (
        b"",
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n" * 100,
    ),
    "empty lines": (b"", b"\r\n" * 4000),
}


def make_parts(name, attempt_id):
    """Return the first and the repeated bytes of an endless response."""
    start, repeated = ENDLESS_RESPONSES[name]
    return (
        start.replace(b"%s", attempt_id),
        repeated.replace(b"%s", b"x" * 0x1000),
    )


@pytest.mark.parametrize("name", ENDLESS_RESPONSES)
def test_parser_rejects_an_endless_response(name):
    parser = ResponseParser()
    parser.start(ATTEMPT_ID, False, True)
    start, repeated = make_parts(name, ATTEMPT_ID)
    fed = 0
    for data in itertools.chain([start], itertools.repeat(repeated)):
        parser.feed(data)
        fed += len(data)
        parser.take_body()
        if parser.error is not None:
            break
        assert fed < MAX_FED_BYTES
    assert len(parser.headers) < 1000


@given(st.lists(st.binary(max_size=2000), max_size=30), st.booleans())
@settings(max_examples=300, deadline=None)
def test_parser_survives_any_bytes(parts, has_head):
    parser = ResponseParser()
    parser.start(ATTEMPT_ID, False, True)
    if has_head:
        parser.feed(CHUNKED_HEAD % ATTEMPT_ID)
    for part in parts:
        parser.feed(part)
    parser.feed_eof(None)
    assert parser.is_complete or parser.error is not None


def test_trailers_of_a_response_are_no_headers():
    parser = ResponseParser()
    parser.start(ATTEMPT_ID, False, True)
    parser.feed(CHUNKED_HEAD % ATTEMPT_ID + b"0\r\nX-Attempt-Id: other\r\n\r\n")
    assert parser.is_complete and parser.error is None
    assert parser.headers.count((b"x-attempt-id", b"other")) == 0


class EndlessServer:
    """A TCP server that reads a request and then sends without end.

    :param get_parts: returns the first and the repeated bytes for the request's bytes.
    :ivar sent_bytes: bytes sent so far on all connections.
    :ivar open_connections: connections that the peer has not closed yet.
    """

    def __init__(self, port, get_parts):
        self._get_parts = get_parts
        self._listener = socket.create_server((HOST, port))
        self.port = self._listener.getsockname()[1]
        self.sent_bytes = self.open_connections = self.accepted = 0
        threading.Thread(target=self._run, daemon=True).start()

    def close(self):
        self._listener.close()

    def _run(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self.accepted += 1
                self.open_connections += 1
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection):
        with connection, contextlib.suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 64 * 1024)
            connection.settimeout(10)
            received = b""
            while b"\r\n\r\n" not in received:
                data = connection.recv(4096)
                if not data:
                    break
                received += data
            start, repeated = self._get_parts(received)
            connection.sendall(start)
            while True:
                self.sent_bytes += connection.send(repeated)
        self.open_connections -= 1


def get_attempt_id(received):
    for line in received.split(b"\r\n"):
        name, _, value = line.partition(b": ")
        if name.lower() == protocol.ATTEMPT_ID_HEADER:
            return value
    return b""


def get_peak_memory_mb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise AssertionError(f"no peak memory of process {pid}")


def make_endless_target(port, name):
    return EndlessServer(
        port, lambda received: make_parts(name, get_attempt_id(received))
    )


@pytest.mark.anyio
async def test_endless_responses_take_no_memory_and_end_at_once(tmp_path):
    async with Rig(BASE + 200, tmp_path) as rig:
        servers, entries, routes = {}, {}, [make_route()]
        for number, name in enumerate(ENDLESS_RESPONSES):
            port = rig.get_port(40 + number)
            servers[name] = make_endless_target(port, name)
            # All at once: each is the only target of its own service and route.
            entries[f"servers/e{number}"] = make_registration(
                port, service=f"e{number}"
            )
            routes.append(
                make_route(
                    f"e{number}", f"/e{number}/", "non_idempotent", service=f"e{number}"
                )
            )
        await rig.put(
            {**entries, protocol.CONFIGURATION_KEY: make_configuration(2, routes)}
        )

        async def has_last_route():
            response = await rig.send_request(f"/e{len(servers) - 1}/x", "POST")
            return response.status == 502

        await wait_for(has_last_route, 5)
        statuses, started_at = {}, time.monotonic()

        async def request(number):
            response = await rig.send_request(f"/e{number}/x", "POST")
            statuses[number] = response.status

        async with anyio.create_task_group() as tasks:
            for number in range(len(servers)):
                tasks.start_soon(request, number)
        elapsed = time.monotonic() - started_at
        assert set(statuses.values()) == {502}
        assert elapsed < 1.5  # the route's timeout is 2 s
        await anyio.sleep(0.2)
        assert {
            name: server.open_connections for name, server in servers.items()
        } == dict.fromkeys(servers, 0)
        assert get_peak_memory_mb(rig.process.pid) < MEMORY_LIMIT_MB
        assert (await rig.send_request()).status == 200
        for server in servers.values():
            server.close()


OTHER_MEMBERS = 6


@pytest.mark.anyio
@pytest.mark.parametrize(("case", "prefix"), [(0, "/read/"), (1, "/e/")])
async def test_untried_target_with_endless_responses_fails_no_client(
    tmp_path, case, prefix
):
    """26 of 90 requests at once went to it, the retry budget ended, clients got 502.

    In the second case, the gateway has no response of any target yet.
    """
    async with Rig(BASE + 320 + 90 * case, tmp_path, targets=4) as rig:
        for target in rig.targets:
            target.service_time = 0.05
        server = make_endless_target(rig.get_port(40), "header lines")
        service = "s1" if case == 0 else "s2"
        entries = {"servers/e": make_registration(rig.get_port(40), service=service)}
        if case == 1:
            entries |= {
                f"servers/{target.target_id}": make_registration(
                    rig.get_target_port(number), seq=2, service=service
                )
                for number, target in enumerate(rig.targets)
            }
        # Instances of another region, with which this one shares the retry budget.
        for number in range(OTHER_MEMBERS):
            entries[f"members/m{number}"] = {
                "address": f"{HOST}:1",
                "peer_address": f"{HOST}:1",
                "failure_domain": "b1",
                "region": "b",
                "nonce": "n",
                "capacity": 1,
            }
        routes = [make_route("new", prefix, service=service, slo_ms=2000)]
        await rig.put(
            {**entries, protocol.CONFIGURATION_KEY: make_configuration(2, routes)}
        )

        async def knows_target():
            return (
                await rig.get_metric(0, "targets") == 5
                and await rig.get_metric(0, "members") == 1 + OTHER_MEMBERS
            )

        await wait_for(knows_target, 5)
        await anyio.sleep(1.1)  # it is cold before
        statuses = []

        async def request():
            response = await rig.send_request(f"{prefix}x")
            statuses.append(response.status)

        async with anyio.create_task_group() as tasks:
            for _ in range(90):
                tasks.start_soon(request)
        assert statuses.count(502) == 0
        assert statuses.count(200) >= 85
        assert server.accepted <= 12
        server.close()


@pytest.mark.anyio
async def test_endless_body_ends_with_the_client_or_at_the_timeout(tmp_path):
    def get_parts(received):
        return HEAD % get_attempt_id(received) + b"\r\n", b"x" * 64 * 1024

    async with Rig(BASE + 100, tmp_path) as rig:
        port = rig.get_port(40)
        server = EndlessServer(port, get_parts)
        routes = [make_route(), make_route("e", "/e/", service="e")]
        await rig.put(
            {
                "servers/e": make_registration(port, service="e"),
                protocol.CONFIGURATION_KEY: make_configuration(2, routes),
            }
        )
        request = (
            b"GET /e/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\n"
            b"X-Deadline-Ms: 10000\r\n\r\n"
        )

        async def is_routed():
            return server.accepted > 0 or (
                (await rig.send_request("/e/x", "HEAD")).status == 200
            )

        await wait_for(is_routed, 5)

        async def is_closed():
            return server.open_connections == 0

        # The client leaves.
        stream = await anyio.connect_tcp(HOST, rig.get_port(1))
        await stream.send(request % b"leaves")
        assert b" 200 " in await stream.receive()
        await stream.aclose()
        await wait_for(is_closed, 1)
        # The client stays: the response is cut at the route's timeout of 2 s, and must
        # not look complete.
        stream = await anyio.connect_tcp(HOST, rig.get_port(1))
        started_at, tail = time.monotonic(), b""
        await stream.send(request % b"stays")
        with (
            anyio.fail_after(4),
            contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError),
        ):
            while True:
                tail = (tail + await stream.receive())[-16:]
        assert time.monotonic() - started_at > 1.5
        assert not tail.endswith(b"0\r\n\r\n")
        await wait_for(is_closed, 1)
        assert get_peak_memory_mb(rig.process.pid) < MEMORY_LIMIT_MB
        server.close()


CLIENT_HEAD = (
    b"POST /write/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: c\r\n"
    b"X-Deadline-Ms: 3000\r\n"
)
ENDLESS_REQUESTS = {
    "trailers": (
        CLIENT_HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-A: 1\r\n" * 100,
    ),
    "chunk extension": (
        CLIENT_HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;",
        b"a" * 800,
    ),
    "pipelined head": (
        CLIENT_HEAD + b"Content-Length: 0\r\n\r\nGET /read/x HTTP/1.1\r\n",
        b"X-A: 1\r\n" * 100,
    ),
}


@pytest.mark.anyio
@pytest.mark.parametrize("name", ENDLESS_REQUESTS)
async def test_endless_requests_are_cut_off(rig, name):
    start, repeated = ENDLESS_REQUESTS[name]
    rig.targets[0].service_time = rig.targets[1].service_time = 0.3

    def send():
        with socket.create_connection((HOST, rig.get_port(1)), 3) as connection:
            connection.settimeout(3)
            connection.sendall(start)
            sent, received = 0, b""
            connection.setblocking(False)
            ends_at = time.monotonic() + 3
            while time.monotonic() < ends_at:
                try:
                    data = connection.recv(4096)
                    if not data:
                        return received
                    received += data
                except BlockingIOError:
                    pass
                except OSError:
                    return received
                with contextlib.suppress(OSError):
                    if sent < MAX_FED_BYTES:
                        sent += connection.send(repeated)
                time.sleep(0.001)
            raise AssertionError(f"not closed after {sent} bytes")

    received = await anyio.to_thread.run_sync(send)
    # The request before a malformed one gets its own response, and no other.
    expected = b"HTTP/1.1 200 " if name == "pipelined head" else b"HTTP/1.1 400 "
    assert received == b"" or received.startswith(expected)
    assert received.count(b"HTTP/1.1 ") <= 1


@pytest.mark.anyio
@pytest.mark.parametrize("offset", [2, 3, 4, 5])
async def test_endless_heads_to_the_other_listeners_are_cut_off(rig, offset):
    """Readiness, directory, instances and metrics."""
    sent = 0
    with anyio.fail_after(3), contextlib.suppress(anyio.BrokenResourceError):
        async with await anyio.connect_tcp(HOST, rig.get_port(offset)) as stream:
            await stream.send(b"GET / HTTP/1.1\r\n")
            while True:
                await stream.send(b"X-A: 1\r\n" * 100)
                sent += 800
                assert sent < 64 * 1024 * 1024
                await anyio.sleep(0)


@pytest.mark.anyio
async def test_trailers_of_a_request_are_no_headers(rig):
    data = (
        CLIENT_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        b"1\r\nx\r\n0\r\nX-Attempt-Id: other\r\nX-Deadline-Ms: 1\r\n\r\n"
    )
    async with await anyio.connect_tcp(HOST, rig.get_port(1)) as stream:
        await stream.send(data)
        assert b" 200 " in await stream.receive()
    assert rig.get_runs() == ["c"]


@pytest.mark.anyio
async def test_malformed_request_gets_no_answer_in_place_of_the_one_before(rig):
    data = CLIENT_HEAD + b"Content-Length: 0\r\n\r\n\x00\x01malformed\r\n\r\n"
    async with await anyio.connect_tcp(HOST, rig.get_port(1)) as stream:
        await stream.send(data)
        received = b""
        with anyio.fail_after(3), contextlib.suppress(anyio.EndOfStream):
            while True:
                received += await stream.receive()
    assert received.startswith(b"HTTP/1.1 200 ")
    assert received.count(b"HTTP/1.1 ") == 1


@pytest.mark.anyio
@pytest.mark.parametrize(
    "headers",
    [
        [("Host", "h.example"), ("Host", "other.example")],
        [("X-Attempt-Id", "a"), ("X-Attempt-Id", "b")],
        [("X-Deadline-Ms", "1000"), ("X-Deadline-Ms", "2000")],
        [("X-Attempt-Id", b"\xff\xfe")],
        [("Host ", "h.example")],
    ],
)
async def test_ambiguous_heads_are_rejected(rig, headers):
    values = {"Host": "h.example", "X-Attempt-Id": "a", "X-Deadline-Ms": "1000"}
    given_names = {name.strip() for name, _ in headers}
    pairs = [pair for pair in values.items() if pair[0] not in given_names]
    lines = [b"GET /read/x HTTP/1.1"]
    for name, value in [*pairs, *headers]:
        encoded = value if isinstance(value, bytes) else value.encode()
        lines.append(name.encode() + b": " + encoded)
    async with await anyio.connect_tcp(HOST, rig.get_port(1)) as stream:
        await stream.send(b"\r\n".join([*lines, b"", b""]))
        assert (await stream.receive()).startswith(b"HTTP/1.1 400 ")
    assert rig.get_runs() == []


ENDLESS_SERVICES = {
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 64 * 1024),
    "head": (b"HTTP/1.1 200 OK\r\n", b"X-A: 1\r\n" * 1000),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 10),
}


@pytest.mark.anyio
@pytest.mark.parametrize("name", ENDLESS_SERVICES)
async def test_endless_responses_of_the_store_and_of_instances(name):
    server = EndlessServer(0, lambda received: ENDLESS_SERVICES[name])
    address = f"{HOST}:{server.port}"
    store, peers = MetadataStoreClient(address), PeerClient()
    with anyio.fail_after(5), pytest.raises(StoreError):
        await store.get_all("")
    with anyio.fail_after(5), pytest.raises(StoreError):
        await store.watch("", 0, 0.1)
    with anyio.fail_after(5), pytest.raises(PeerUnreachable):
        await peers.get_update(address, 0, 0.1)
    assert server.sent_bytes < 200 * 1024 * 1024
    await store.aclose()
    await peers.aclose()
    server.close()


@pytest.mark.anyio
async def test_slow_endless_response_of_the_store_ends_at_the_timeout():
    """Each read succeeds in time, so only a bound on the whole call ends it."""
    listener = await anyio.create_tcp_listener(local_host=HOST)

    async def drip(stream):
        async with stream:
            await stream.receive()
            with contextlib.suppress(anyio.BrokenResourceError):
                await stream.send(b"HTTP/1.1 200 OK\r\n\r\n")
                while True:
                    await stream.send(b" ")
                    await anyio.sleep(0.05)

    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, drip)
        store = MetadataStoreClient(f"{HOST}:{port}")
        with anyio.fail_after(6), pytest.raises(StoreError):
            await store.get("op/config")
        await store.aclose()
        tasks.cancel_scope.cancel()


def test_httpcore_is_used_only_with_bounds():
    """A whole response read by ``pool.request`` has no bound."""
    package = pathlib.Path(__file__).parents[1] / "turmericrudder"
    for directory in ("gateway", "platform", "daemon"):
        for path in (package / directory).glob("*.py"):
            assert "_pool.request(" not in path.read_text(), path
