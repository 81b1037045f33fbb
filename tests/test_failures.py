"""Tests of failures of real processes: kill, pause, store outage, drain."""

import signal

import anyio
import httpcore
import pytest

from bench.cluster import Cluster, post_json
from turmericrudder.caller import Caller, NoAnswer, RequestNotRun
from turmericrudder.cli.exit_codes import ExitCode

FAIL_LIMIT = 3.0  # seconds until look-ups no longer list a failed instance
DRAIN_LIMIT = 2.0  # seconds until a draining upstream gets no new requests
FORCE_LIMIT = 10.0  # seconds until a revision is in force everywhere
POLL_INTERVAL = 0.1  # seconds


@pytest.fixture(scope="module")
async def cluster(anyio_backend, tmp_path_factory):
    async with Cluster("clearsight", tmp_path_factory.mktemp("logs")) as cluster:
        await anyio.sleep(3.0)
        yield cluster


@pytest.fixture
async def caller(cluster):
    caller = make_caller(cluster, "gulf-a-1")
    yield caller
    await caller.aclose()


def make_caller(cluster, *names, client="127.11.0.5"):
    addresses = [str(cluster.entries[name].listen_callers) for name in names]
    return Caller(addresses, local_address=client)


async def get_listed_names(cluster, entry, service="lensreader"):
    caller = make_caller(cluster, entry)
    try:
        response = await caller.look_up(service)
    finally:
        await caller.aclose()
    return [instance.name for instance in response.entries]


async def wait_for(condition, limit):
    started_at = anyio.current_time()
    while not await condition():
        assert anyio.current_time() - started_at < limit
        await anyio.sleep(POLL_INTERVAL)


@pytest.mark.anyio
async def test_killed_instance_disappears_from_lookups_and_returns(cluster):
    """Callers must not be sent to an instance that was killed."""

    async def is_listed():
        return "gulf-b-1" in await get_listed_names(cluster, "gulf-a-1")

    async def is_missing():
        return not await is_listed()

    assert await is_listed()
    cluster.kill("gulf-b-1")
    await wait_for(is_missing, FAIL_LIMIT)
    cluster.start_entry("gulf-b-1")
    await cluster.wait_serving("gulf-b-1")
    await wait_for(is_listed, FAIL_LIMIT)


@pytest.mark.anyio
async def test_paused_home_never_runs_a_key_reported_not_run(cluster):
    """A home that resumes after a pause must not run keys that its witness voided.

    The home of a key is the only instance that may run it. While the home is paused,
    requests with its keys reach another instance, and the witness, which records
    whether a key may have run, reports some of them as not run. After it resumes, the
    home receives all of the keys.
    """
    other = make_caller(cluster, "delta-a-1", client="127.13.0.5")
    home = make_caller(cluster, "gulf-a-1")
    prefix = (await home.look_up("holdbook")).key_prefix
    name = prefix.partition("~")[0]
    verdicts = {}
    cluster.send_signal(name, signal.SIGSTOP)
    try:
        for number in range(5):
            key = f"{prefix}.paused-home-{number}"
            verdicts[key] = await run_operation(other, key, 8.0)
    finally:
        cluster.send_signal(name, signal.SIGCONT)
    await anyio.sleep(2.0)
    for key in verdicts:
        await send_to_entry(cluster.entries[name], key)
    runs = await count_runs(cluster)
    for key, verdict in verdicts.items():
        assert verdict in ("not_run", "may_have_run")
        if verdict == "not_run":
            assert runs.get(key, 0) == 0
    assert "not_run" in verdicts.values()
    for caller in (other, home):
        await caller.aclose()


async def run_operation(caller, key, timeout):
    """Send an operation; return its verdict, or "answered" if it got a response."""
    try:
        await caller.operate(
            "POST", "holdbook", "/reservations/1", key=key, timeout=timeout
        )
    except NoAnswer as exc:
        return exc.verdict.value
    return "answered"


async def send_to_entry(entry, key):
    """Send an operation key to one instance without a look-up; return the status."""
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            "POST",
            f"http://{entry.listen_callers}/holdbook/reservations/1",
            headers={"Idempotency-Key": key},
        )
    return response.status


async def count_runs(cluster):
    runs = {}
    for journal in (await cluster.get_journals()).values():
        for key, count in journal["runs"].items():
            runs[key] = runs.get(key, 0) + count
    return runs


@pytest.mark.anyio
async def test_store_outage_blocks_only_configuration_changes(cluster, caller):
    """Requests and the start of an instance must not depend on the store."""
    store = cluster.operator.store
    await post_json(store, "/admin/fault", {"outage": True})
    try:
        rejected_apply = cluster.run_cli(
            "config", "apply", cluster.directory, check=False
        )
        assert rejected_apply.returncode == ExitCode.STORE_UNAVAILABLE
        assert "Traceback" not in rejected_apply.stderr
        response = await caller.request("GET", "lensreader", "/prescriptions/1")
        assert response.status == 200
        cluster.kill("delta-b-1")
        cluster.start_entry("delta-b-1")
        await cluster.wait_serving("delta-b-1")
    finally:
        await post_json(store, "/admin/fault", {})


@pytest.mark.anyio
async def test_revision_is_in_force_everywhere_and_conflicts_are_reported(cluster):
    drained = cluster.run_cli("drain", "lensreader-01", "--wait")
    assert "in force everywhere" in drained.stdout
    conflicting_apply = cluster.run_cli(
        "config", "apply", cluster.directory, "--expect", "1", check=False
    )
    assert conflicting_apply.returncode == ExitCode.REVISION_CONFLICT
    assert "drain lensreader-01" in conflicting_apply.stderr
    rollback = cluster.run_cli("config", "rollback", "1", "--wait")
    assert "in force everywhere" in rollback.stdout
    history = cluster.run_cli("config", "history").stdout
    assert "rollback to 1" in history.splitlines()[0]


@pytest.mark.anyio
@pytest.mark.parametrize("signal_kind", ["operator", "report", "refusal", "list"])
async def test_draining_upstream_gets_no_new_requests(cluster, caller, signal_kind):
    """Each way to announce a drain must stop new requests to the upstream.

    The ways: an operator's command, the upstream's load report, its rejection
    of requests, and its state in the platform's list.
    """
    name = {"operator": "lensreader-01", "report": "lensreader-02"}.get(
        signal_kind, "lensreader-08"
    )
    address = cluster.get_upstreams()[name]
    stop = False

    async def load():
        while not stop:
            try:
                await caller.request("GET", "lensreader", "/prescriptions/1")
            except RequestNotRun:
                await anyio.sleep(0.01)

    async with anyio.create_task_group() as tasks:
        for _ in range(12):
            tasks.start_soon(load)
        await anyio.sleep(0.5)
        await start_drain(cluster, signal_kind, name, address)
        await anyio.sleep(DRAIN_LIMIT)
        before = await get_request_count(cluster, name)
        await anyio.sleep(1.0)
        assert await get_request_count(cluster, name) == before
        stop = True
    await end_drain(cluster, signal_kind, name, address)


async def start_drain(cluster, kind, name, address):
    match kind:
        case "operator":
            cluster.run_cli("drain", name)
        case "report":
            await post_json(address, "/admin/fault", {"drain": True, "report_lag": 0})
        case "refusal":
            await post_json(address, "/admin/fault", {"drain": True, "tell": False})
        case "list":
            record = {
                "name": name,
                "role": "upstream",
                "failure_domain": "",
                "state": "leaving",
                "address": address,
            }
            store = cluster.operator.store
            await post_json(store, "/admin/instances", [record])


async def end_drain(cluster, kind, name, address):
    if kind == "operator":
        cluster.run_cli("undrain", name, "--wait")
    elif kind == "list":
        await post_json(cluster.operator.store, "/admin/instances", [])
    await post_json(address, "/admin/fault", {})


async def get_request_count(cluster, name):
    journal = (await cluster.get_journals())[name]
    return sum(journal["paths"].values())


@pytest.mark.anyio
async def test_second_stop_signal_stops_at_once(cluster):
    name = "piedmont-a-1"
    cluster.send_signal(name, signal.SIGTERM)
    await anyio.sleep(0.3)
    code, seconds = await cluster.stop(name)
    assert code == 1
    assert seconds < DRAIN_LIMIT
    assert "Traceback" not in (cluster.logs / f"{name}.log").read_text()
