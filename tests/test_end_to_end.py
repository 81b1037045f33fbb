"""The whole path on real processes: look-up, entry, upstream, stop."""

import anyio
import pytest

from bench.cluster import Cluster, post_json
from turmericrudder.caller import Caller, NoAnswer, RequestNotRun

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
async def test_lookup_names_home_region_first(caller):
    answer = await caller.look_up("lensreader")
    assert answer.place == "gulf"
    assert answer.entries[0].region == "gulf"
    assert answer.entries[1].failure_domain != answer.entries[0].failure_domain
    assert answer.entries[-1].region != "gulf"
    assert answer.key_prefix


@pytest.mark.anyio
async def test_read_gets_its_own_answer(caller):
    answer = await caller.request("GET", "lensreader", "/prescriptions/17?size=5000")
    assert answer.status == 200
    assert answer.body.startswith(b"/prescriptions/17?size=5000\n")
    assert len(answer.body) == 5000


@pytest.mark.anyio
async def test_upload_streams_whole_body(caller):
    body = b"p" * 3_000_000
    answer = await caller.request("PUT", "binvault", "/photos/1", body=body)
    assert answer.body == b"/photos/1?\n3000000\n"


@pytest.mark.anyio
async def test_lost_answer_runs_once(cluster, caller):
    for address in cluster.get_upstreams().values():
        await post_json(address, "/admin/fault", {"lose_answers": 1})
    key = await caller.make_key("holdbook")
    answer = await _operate(caller, key)
    again = await _operate(caller, key)
    journals = await cluster.get_journals()
    runs = sum(journal["runs"].get(key, 0) for journal in journals.values())
    assert runs == 1
    assert answer == again == "ran"
    for address in cluster.get_upstreams().values():
        await post_json(address, "/admin/fault", {})


@pytest.mark.anyio
async def test_same_key_replays_outcome_elsewhere(cluster, caller):
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
async def test_bad_request_is_refused_without_running(caller, method, path, status):
    with pytest.raises(RequestNotRun) as caught:
        await caller.request(method, "lensreader", path)
    assert caught.value.status == status


@pytest.mark.anyio
async def test_planned_stop_exits_cleanly_and_cuts_nothing(cluster, caller):
    done = []

    async def pull():
        done.append(await caller.request("GET", "binvault", "/inventory/1"))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(pull)
        await anyio.sleep(0.5)
        code, seconds = await cluster.stop("gulf-a-2")
    assert code == 0
    assert done[0].status == 200
    assert "Traceback" not in (cluster.logs / "gulf-a-2.log").read_text()


async def _operate(caller, key):
    try:
        await caller.operate("POST", "holdbook", "/reservations/1", key=key, timeout=2)
    except NoAnswer as exc:
        return exc.verdict.value
    return "answered"
