"""Changes of the store and outages of it while a gateway serves requests."""

import anyio
import msgspec
import pytest

from turmericrudder.events import read_log
from turmericrudder.gateway.peer_sync import PeerUpdate
from turmericrudder.platform import protocol

from .platform_documents import HOST, make_configuration, make_registration, make_route
from .platform_rig import wait_for

BASE = 21300  # first port of this module's rig


APPLY_TIMEOUT = 2.5  # seconds until a change of the store is in force


SILENCE = 2.2  # seconds; a watch that began within a second before is answered after it


STABLE_WINDOW = 4.0  # seconds after an outage within which changes may come later


DRAIN_TIMEOUT = 2.5  # seconds until a draining target gets no new requests


COLD_START = 1.2  # seconds; slightly more than in the configuration


@pytest.mark.anyio
async def test_draining_target_gets_no_new_requests(rig):
    port = rig.get_target_port(0)
    await rig.put({"servers/t0": make_registration(port, state="draining", seq=2)})
    await anyio.sleep(DRAIN_TIMEOUT / 5)
    rig.targets[0].runs.clear()
    for _ in range(10):
        assert (await rig.send_request()).status == 200
    assert rig.targets[0].runs == []
    await rig.put({"servers/t0": make_registration(port, seq=3)})


@pytest.mark.anyio
async def test_request_at_a_target_that_fell_silent_is_left_alone(rig):
    """Its registration is removed while the target works: no second run, no failure.

    The request is not idempotent. Others may be hedged, as after any long wait.
    """
    ports = [rig.get_target_port(number) for number in range(2)]
    for target in rig.targets:
        target.service_time = 1.0
    responses = []

    async def send():
        responses.append(await rig.send_request("/write/x", "POST"))

    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await anyio.sleep(0.3)
            await rig.put({"servers/t0": None, "servers/t1": None})
        assert [response.status for response in responses] == [200]
        assert len(rig.get_runs()) == 1
    finally:
        await rig.put(
            {
                f"servers/t{number}": make_registration(port, seq=50 + number)
                for number, port in enumerate(ports)
            }
        )

        async def is_served():
            return (await rig.send_request()).status == 200

        await wait_for(is_served, 5)


@pytest.mark.anyio
async def test_malformed_entry_is_ignored(rig):
    await rig.put({"servers/bad": {"service": 7}, "servers/worse": "?"})
    await anyio.sleep(0.3)
    assert (await rig.send_request()).status == 200
    await rig.put({"servers/bad": None, "servers/worse": None})


@pytest.mark.anyio
async def test_evacuated_domain_gets_no_requests(rig):
    await rig.put({"op/evacuate/a1": {}})
    await anyio.sleep(0.3)
    assert (await rig.send_request()).status == 503
    assert rig.get_runs() == []
    await rig.put({"op/evacuate/a1": None})

    async def is_back():
        return (await rig.send_request()).status == 200

    await wait_for(is_back, APPLY_TIMEOUT)
    # For this time after an evacuation, targets are cold and get few requests.
    await anyio.sleep(COLD_START)


@pytest.mark.anyio
async def test_older_configuration_is_ignored(rig):
    routes = [
        make_route(),
        make_route("r2", "/write/", "non_idempotent"),
        make_route("r3", "/slow/", timeout_ms=300),
        make_route("r9", "/new/"),
    ]
    key = protocol.CONFIGURATION_KEY
    await rig.put({key: make_configuration(12, routes)})

    async def has_new_route():
        return (await rig.send_request("/new/x")).status == 200

    await wait_for(has_new_route, APPLY_TIMEOUT)
    await rig.put({key: make_configuration(9, routes[:3])})
    await anyio.sleep(0.3)
    assert await has_new_route()


@pytest.mark.anyio
async def test_requests_succeed_during_a_store_outage_and_after_compaction(rig):
    await rig.set_fault(outage=True)
    for _ in range(10):
        assert (await rig.send_request()).status == 200
        await anyio.sleep(0.05)
    await rig.set_fault(forget=True)
    await anyio.sleep(0.7)
    await rig.set_fault()
    await rig.put({"servers/t9": make_registration(9)})
    assert (await rig.send_request()).status == 200
    await rig.put({"servers/t9": None})


@pytest.mark.anyio
async def test_directory_lists_the_instance_and_metrics_count_requests(rig):
    response = await rig.get(
        3, protocol.RESOLVE_PATH + "?name=h.example&region=a&zone=a1"
    )
    assert response.status == 200
    assert f"{HOST}:{rig.get_port(1)}".encode() in response.content
    metrics = await rig.get(5, "/metrics")
    assert b"turmericrudder_requests" in metrics.content


@pytest.mark.anyio
async def test_deleted_own_entry_is_rewritten(rig):
    """The key is deleted while its lease is valid, so renewals still succeed."""
    name = f"members/g{rig.base}"
    assert await rig.has_key(name)
    await rig.put({name: None})
    assert not await rig.has_key(name)

    async def is_back():
        return await rig.has_key(name)

    await wait_for(is_back, 3.0)


@pytest.mark.anyio
async def test_store_outage_and_its_end_are_logged(rig):
    await rig.set_fault(outage=True)
    await anyio.sleep(2.0)
    await rig.set_fault()
    await anyio.sleep(2.0)
    names_written = [
        line.name for line in read_log([rig.log]) if line.instance == f"g{rig.base}"
    ]
    for failure_event, recovery_event in (
        ("store_unreachable", "store_reachable"),
        ("entry_unkept", "entry_kept"),
    ):
        assert failure_event in names_written
        assert recovery_event in names_written[names_written.index(failure_event) :]


@pytest.mark.anyio
async def test_metrics_show_the_revision_in_use_and_the_watch(rig):
    async def is_watching():
        return await rig.get_metric(0, "watch_seconds") > 0

    await wait_for(is_watching, APPLY_TIMEOUT)
    assert await rig.get_metric(0, "store_reader") == 1
    assert await rig.get_metric(0, "configuration_version") >= 1
    revision = await rig.get_metric(0, "store_revision")
    await rig.put({"servers/t9": make_registration(9)})

    async def is_newer():
        return await rig.get_metric(0, "store_revision") == revision + 1

    await wait_for(is_newer, APPLY_TIMEOUT)
    await rig.put({"servers/t9": None})


@pytest.mark.anyio
async def test_watch_lost_in_a_silent_outage_delays_no_change(rig):
    await _lose_watch(rig)
    await anyio.sleep(STABLE_WINDOW - APPLY_TIMEOUT)
    await rig.put({"op/evacuate/a1": {}, "servers/t9": None})

    async def is_evacuated():
        return (await rig.send_request()).status == 503

    try:
        await wait_for(is_evacuated, APPLY_TIMEOUT)
    finally:
        await rig.put({"op/evacuate/a1": None})
        await anyio.sleep(APPLY_TIMEOUT + COLD_START)


@pytest.mark.anyio
async def test_instance_whose_watch_is_lost_reports_no_contact_to_peers(rig):
    """Its lease is renewed again, so the store responds to it."""
    await _lose_watch(rig)
    try:
        await anyio.sleep(1.5)
        response = await rig.get(4, "/beliefs?after=0&wait_ms=0")
        update = msgspec.msgpack.decode(response.content, type=PeerUpdate)
        assert update.contact_age is None
    finally:
        await rig.put({"servers/t9": None})
        await anyio.sleep(APPLY_TIMEOUT)


@pytest.mark.anyio
async def test_targets_that_lapsed_in_a_silent_outage_stay_in_use(rig):
    """Their entries are removed meanwhile and rewritten after it."""
    await rig.set_fault(silent=True)
    names = ["servers/t0", "servers/t1"]
    await rig.put(dict.fromkeys(names))
    await anyio.sleep(SILENCE)
    await rig.set_fault()
    statuses = []
    for _ in range(10):
        statuses.append((await rig.send_request()).status)
        await anyio.sleep(0.1)
    await rig.put(
        {
            name: make_registration(rig.get_target_port(number), seq=70 + number)
            for number, name in enumerate(names)
        }
    )
    assert statuses == [200] * 10


async def _lose_watch(rig):
    """Leave the instance with a watch that the store, back again, never answers.

    A change just before the outage has the next watch sent into it.
    """
    await rig.put({"servers/t9": make_registration(9)})
    await anyio.sleep(0.05)
    await rig.set_fault(silent=True)
    await anyio.sleep(1.0)
    await rig.set_fault()
