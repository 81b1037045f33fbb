"""End-to-end tests on real processes: look-ups, requests, operations, shutdown."""

import contextlib

import anyio
import pytest

from bench.cluster import Cluster, post_json
from turmericrudder.caller import Caller, NoAnswer, RequestNotRun

from .stop_load import send_until_stopped

CLIENT = "127.11.0.5"


@pytest.fixture(scope="module")
async def cluster(anyio_backend, tmp_path_factory):
    logs = tmp_path_factory.mktemp("logs")
    async with Cluster("clearsight", logs) as cluster:
        await anyio.sleep(3.0)
        yield cluster


@pytest.fixture
async def caller(cluster):
    address = str(cluster.entries["gulf-a-1"].listen_callers)
    caller = Caller([address], local_address=CLIENT)
    yield caller
    await caller.aclose()


@pytest.mark.anyio
async def test_lookup_lists_home_region_first(caller):
    response = await caller.look_up("lensreader")
    assert response.place == "gulf"
    assert response.entries[0].region == "gulf"
    assert response.entries[1].failure_domain != response.entries[0].failure_domain
    assert response.entries[-1].region != "gulf"
    assert response.key_prefix


@pytest.mark.anyio
async def test_read_gets_its_own_response(caller):
    """A connection that is reused too early would give another request's response."""
    response = await caller.request("GET", "lensreader", "/prescriptions/17?size=5000")
    assert response.status == 200
    assert response.body.startswith(b"/prescriptions/17?size=5000\n")
    assert len(response.body) == 5000


@pytest.mark.anyio
async def test_upload_streams_complete_body(caller):
    body = b"p" * 3_000_000
    response = await caller.request("PUT", "binvault", "/photos/1", body=body)
    assert response.body == b"/photos/1?\n3000000\n"


@pytest.mark.anyio
async def test_operation_with_lost_response_runs_once(cluster, caller):
    """A target that runs an operation and sends no response must not get it again."""
    for address in cluster.get_upstreams().values():
        await post_json(address, "/admin/fault", {"lose_answers": 1})
    key = await caller.make_key("holdbook")
    verdict = await _operate(caller, key)
    second_verdict = await _operate(caller, key)
    journals = await cluster.get_journals()
    runs = sum(journal["runs"].get(key, 0) for journal in journals.values())
    assert runs == 1
    assert verdict == second_verdict == "ran"
    for address in cluster.get_upstreams().values():
        await post_json(address, "/admin/fault", {})


@pytest.mark.anyio
async def test_other_instance_replays_outcome_of_key(cluster, caller):
    """A key that is sent to a second instance must not run again there."""
    key = await caller.make_key("holdbook")
    first = await caller.operate("POST", "holdbook", "/reservations/9", key=key)
    address = str(cluster.entries["delta-a-1"].listen_callers)
    other = Caller([address])
    second = await other.operate("POST", "holdbook", "/reservations/9", key=key)
    await other.aclose()
    assert second.body == first.body
    journals = await cluster.get_journals()
    assert sum(j["runs"].get(key, 0) for j in journals.values()) == 1


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("DELETE", "/prescriptions/1", 404),
        ("GET", "/prescriptions/" + "x" * 9000, 431),
    ],
)
async def test_bad_request_is_rejected_without_running(caller, method, path, status):
    with pytest.raises(RequestNotRun) as caught:
        await caller.request(method, "lensreader", path)
    assert caught.value.status == status


@pytest.mark.anyio
async def test_graceful_shutdown_exits_cleanly_and_truncates_nothing(cluster, caller):
    """A stop signal must not truncate a response that is being streamed."""
    responses = []

    async def download():
        responses.append(await caller.request("GET", "binvault", "/inventory/1"))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(download)
        await anyio.sleep(0.5)
        code, seconds = await cluster.stop("gulf-a-2")
    assert code == 0
    assert responses[0].status == 200
    assert "Traceback" not in (cluster.log_directory / "gulf-a-2.log").read_text()


@pytest.mark.anyio
async def test_shutdown_under_load_answers_every_accepted_connection(cluster):
    address = cluster.entries["gulf-b-1"].listen_callers
    head = b"GET /lensreader/lenses/%d HTTP/1.1\r\nHost: x\r\n\r\n"

    async def stop():
        code, _ = await cluster.stop("gulf-b-1")
        assert code == 0

    with anyio.fail_after(20):
        outcomes = await send_until_stopped(address.host, address.port, head, stop)
    assert b"no response" not in outcomes
    assert outcomes[b"HTTP/1.1 503"] > 0


@pytest.mark.anyio
async def test_endless_head_is_cut_off(cluster):
    """Of a request to the callers' and to the instances' listener."""
    entry = cluster.entries["gulf-a-1"]
    for address in (entry.listen_callers, entry.listen_peers):
        sent = 0
        with anyio.fail_after(3), contextlib.suppress(anyio.BrokenResourceError):
            stream = await anyio.connect_tcp(address.host, address.port)
            async with stream:
                await stream.send(b"GET /lookup HTTP/1.1\r\n")
                while True:
                    await stream.send(b"X-A: 1\r\n" * 100)
                    sent += 800
                    assert sent < 64 * 1024 * 1024
                    await anyio.sleep(0)


@pytest.mark.anyio
async def test_request_completed_late_in_a_shutdown_gets_its_response(cluster):
    address = cluster.entries["delta-a-1"].listen_callers
    timing = cluster.entries["delta-a-1"].timing
    stream = await anyio.connect_tcp(address.host, address.port)
    async with stream, anyio.create_task_group() as tasks:
        await stream.send(
            b"PUT /binvault/photos/9 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbo"
        )
        await anyio.sleep(0.2)
        tasks.start_soon(cluster.stop, "delta-a-1")
        # New requests are rejected by then.
        await anyio.sleep(timing.lookup_ttl + timing.heartbeat + 0.5)
        await stream.send(b"dy")
        with anyio.fail_after(5):
            response = await stream.receive()
    assert response.startswith(b"HTTP/1.1 200 ")


async def _operate(caller, key):
    """Send an operation; return its verdict, or "answered" if it got a response."""
    try:
        await caller.operate("POST", "holdbook", "/reservations/1", key=key, timeout=2)
    except NoAnswer as exc:
        return exc.verdict.value
    return "answered"
