"""A store that comes back from an older copy while gateways serve requests."""

import anyio
import pytest

from turmericrudder.platform import protocol

from .platform_documents import make_configuration, make_registration, make_route
from .platform_rig import wait_for

BASE = 21860  # first port of this module's rig


APPLY_TIMEOUT = 2.5  # seconds until a change of the store is in force


SECOND_GATEWAY = 60  # its offset from BASE


COLD_START = 1.2  # seconds; slightly more than in the configuration


GRACE = 2.0  # seconds after a restore within which lost entries are written again


_BASE_ROUTES = (
    make_route(),
    make_route("r2", "/write/", "non_idempotent"),
    make_route("r3", "/slow/", timeout_ms=300),
    make_route("r4", "/long/", "non_idempotent", timeout_ms=9000),
)


def _make_version(version, *prefixes):
    """Return a configuration with routes for further prefixes."""
    routes = [
        make_route(f"n{number}", prefix) for number, prefix in enumerate(prefixes)
    ]
    return make_configuration(version, [*_BASE_ROUTES, *routes])


def _put_configuration(rig, version, *prefixes):
    rig.store.put_document(
        protocol.CONFIGURATION_KEY, _make_version(version, *prefixes)
    )


async def _wait_version(rig, version, port_offset=0):
    async def is_in_force():
        return await rig.get_metric(port_offset, "configuration_version") == version

    await wait_for(is_in_force, APPLY_TIMEOUT)


@pytest.fixture
async def second_gateway(rig):
    """A second gateway of the same region, one of both follows the other."""
    process = rig.start_instance(port_offset=SECOND_GATEWAY, seeds=[rig.get_port(4)])

    async def has_two_members():
        counts = [
            await rig.get_metric(offset, "members") for offset in (0, SECOND_GATEWAY)
        ]
        return counts == [2, 2]

    try:
        await wait_for(has_two_members, 10.0)
        yield SECOND_GATEWAY
    finally:
        process.kill()
        process.wait()


@pytest.mark.anyio
async def test_change_after_a_restore_is_in_force_at_reader_and_follower(
    rig, second_gateway
):
    _put_configuration(rig, 20)
    copy = rig.store.take_copy()
    _put_configuration(rig, 21)
    _put_configuration(rig, 22)
    for offset in (0, second_gateway):
        await _wait_version(rig, 22, offset)
    rig.store.restore(copy)
    _put_configuration(rig, 22)
    await anyio.sleep(0.2)
    _put_configuration(rig, 23, "/restored/")
    for offset in (0, second_gateway):
        await _wait_version(rig, 23, offset)
        response = await rig.send_request("/restored/x", port_offset=offset)
        assert response.status == 200


@pytest.mark.anyio
async def test_restored_store_that_passed_the_known_revision_hides_no_change(rig):
    copy = rig.store.take_copy()
    _put_configuration(rig, 30)
    await _wait_version(rig, 30)
    await rig.set_fault(outage=True)
    await anyio.sleep(0.3)
    rig.store.restore(copy)
    _put_configuration(rig, 31)
    for number in range(5):
        await rig.put({f"servers/u{number}": make_registration(9, zone="a9")})
    await rig.set_fault()
    try:
        await _wait_version(rig, 31)
    finally:
        await rig.put({f"servers/u{number}": None for number in range(5)})


@pytest.mark.anyio
async def test_two_restores_in_a_row_hide_no_change(rig):
    copy = rig.store.take_copy()
    for version in (40, 41, 42):
        _put_configuration(rig, version)
    await _wait_version(rig, 42)
    for version in (43, 44):
        rig.store.restore(copy)
        await anyio.sleep(0.1)
        _put_configuration(rig, version)
        await _wait_version(rig, version)


@pytest.mark.anyio
async def test_older_version_of_a_restored_store_does_not_come_into_force(rig):
    _put_configuration(rig, 50)
    copy = rig.store.take_copy()
    _put_configuration(rig, 51, "/kept/")
    await _wait_version(rig, 51)
    rig.store.restore(copy)
    for _ in range(20):
        assert (await rig.send_request("/kept/x")).status == 200
        await anyio.sleep(0.1)


@pytest.mark.anyio
async def test_drained_and_removed_targets_of_a_restored_store_stay_unused(rig):
    """The first reported draining before its removal, the second never did."""
    port = rig.get_target_port(0)
    extra = rig.get_target_port(1)
    await rig.put({"servers/t0": make_registration(port, seq=200, born=5)})
    await rig.put({"servers/t9": make_registration(extra, zone="a2", born=5)})
    await anyio.sleep(0.5)
    copy = rig.store.take_copy()
    await rig.put(
        {"servers/t0": make_registration(port, state="draining", seq=202, born=5)}
    )
    await rig.put({"servers/t9": None})

    async def get_target_count():
        return await rig.get_metric(0, "targets")

    try:
        await anyio.sleep(1.0)
        assert await get_target_count() == 2
        rig.targets[0].runs.clear()
        rig.store.restore(copy)
        for _ in range(30):
            assert (await rig.send_request()).status == 200
            await anyio.sleep(0.1)
        assert rig.targets[0].runs == []
        assert await get_target_count() == 2
        await rig.put({"servers/t9": make_registration(extra, seq=3, born=9)})

        async def is_registered():
            return await get_target_count() == 3

        await wait_for(is_registered, APPLY_TIMEOUT)
    finally:
        await rig.put({"servers/t9": None})
        await rig.put({"servers/t0": make_registration(port, seq=204, born=5)})
        await anyio.sleep(APPLY_TIMEOUT)


@pytest.mark.anyio
async def test_draining_after_a_restore_is_followed(rig):
    """Its revision is one that the instance has already seen."""
    port = rig.get_target_port(0)
    copy = rig.store.take_copy()
    _put_configuration(rig, 60)
    _put_configuration(rig, 61)
    await _wait_version(rig, 61)
    rig.store.restore(copy)
    await anyio.sleep(0.2)
    await rig.put(
        {"servers/t0": make_registration(port, state="draining", seq=300, born=5)}
    )
    try:
        await anyio.sleep(APPLY_TIMEOUT)
        rig.targets[0].runs.clear()
        for _ in range(10):
            assert (await rig.send_request()).status == 200
        assert rig.targets[0].runs == []
    finally:
        await rig.put({"servers/t0": make_registration(port, seq=301, born=5)})
        await anyio.sleep(0.5)


@pytest.mark.anyio
async def test_evacuation_that_a_restore_lost_stays_until_it_is_due_again(rig):
    copy = rig.store.take_copy()
    await rig.put({"op/evacuate/a1": {}})

    async def is_evacuated():
        return (await rig.send_request()).status == 503

    async def is_back():
        return not await is_evacuated()

    try:
        await wait_for(is_evacuated, APPLY_TIMEOUT)
        rig.store.restore(copy)
        for _ in range(10):
            assert await is_evacuated()
            await anyio.sleep(0.1)
        await rig.put({"op/evacuate/a1": {}})
        await anyio.sleep(GRACE)
        assert await is_evacuated()
        rig.store.restore(copy)
        await wait_for(is_back, GRACE + APPLY_TIMEOUT)
    finally:
        await rig.put({"op/evacuate/a1": None})
        await anyio.sleep(COLD_START)


@pytest.mark.anyio
async def test_target_that_a_restore_lost_stays_in_use_until_it_is_due_again(rig):
    ports = [rig.get_target_port(number) for number in range(2)]
    names = ["servers/t0", "servers/t1"]
    await rig.put(dict.fromkeys(names))
    copy = rig.store.take_copy()
    await rig.put(
        {
            name: make_registration(port, seq=400, born=5)
            for name, port in zip(names, ports, strict=True)
        }
    )

    async def is_served():
        return (await rig.send_request()).status == 200

    await wait_for(is_served, APPLY_TIMEOUT)
    await anyio.sleep(COLD_START)
    rig.store.restore(copy)
    for _ in range(10):
        assert await is_served()
        await anyio.sleep(0.1)
    await rig.put({"servers/t1": make_registration(ports[1], seq=402, born=5)})
    try:
        await anyio.sleep(GRACE)
        rig.targets[0].runs.clear()
        for _ in range(10):
            assert await is_served()
        assert rig.targets[0].runs == []
    finally:
        await rig.put({"servers/t0": make_registration(ports[0], seq=402, born=5)})
        await anyio.sleep(0.5)


@pytest.mark.anyio
async def test_instance_registers_again_after_a_restore(rig, second_gateway):
    """Its entry and its lease are younger than the copy."""
    name = f"members/g{rig.base + second_gateway}"
    copy = rig.store.take_copy()
    copy.entries.pop(name)
    copy.leases.clear()
    rig.store.restore(copy)

    async def is_registered():
        return await rig.has_key(name)

    await wait_for(is_registered, GRACE)
    assert await rig.get_metric(0, "members") == 2
    await anyio.sleep(GRACE + 3.0)
    assert await rig.get_metric(0, "members") == 2
