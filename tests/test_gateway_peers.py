"""Gateways that get the store's changes from each other."""

import signal

import anyio
import pytest

from turmericrudder.gateway.members import STORE_READER_KEY
from turmericrudder.rendezvous import get_score

from .platform_documents import make_registration
from .platform_rig import Rig, wait_for

BASE = 21500  # first port of this module's rig


APPLY_TIMEOUT = 2.5  # seconds until a change of the store is in force


WATCHES_OF_ONE = 2  # at most that one instance makes in 1.5 s without changes


STABLE_WINDOW = 4.0  # seconds after an outage within which changes may come later


DRAIN_TIMEOUT = 2.5  # seconds until a draining target gets no new requests


@pytest.mark.anyio
async def test_instance_without_store_gets_changes_from_a_peer(rig):
    """The store's port in its settings is closed; a peer serves the store's content."""
    process = rig.start_instance(
        port_offset=60, store_port_offset=79, seeds=[rig.get_port(4)]
    )
    port = rig.get_target_port(0)
    try:

        async def is_ready():
            return await rig.is_ready(port_offset=60)

        async def is_evacuated():
            return (await rig.send_request(port_offset=60)).status == 503

        await wait_for(is_ready, 5.0)
        assert (await rig.send_request(port_offset=60)).status == 200
        await rig.put({"servers/t0": make_registration(port, state="draining", seq=90)})
        await anyio.sleep(DRAIN_TIMEOUT)
        rig.targets[0].runs.clear()
        for _ in range(6):
            assert (await rig.send_request(port_offset=60)).status == 200
        assert rig.targets[0].runs == []
        await rig.put({"op/evacuate/a1": {}})
        await wait_for(is_evacuated, APPLY_TIMEOUT)
        await rig.put({"op/evacuate/a1": None})
        await rig.put({"servers/t0": make_registration(port, seq=91)})
    finally:
        process.kill()
        process.wait()


@pytest.mark.anyio
async def test_restarted_instance_does_not_use_a_target_that_left(rig):
    """It is restarted while it cannot reach the store, so a peer is all it has."""
    process = rig.start_instance(
        port_offset=60, store_port_offset=79, seeds=[rig.get_port(4)]
    )

    async def is_ready():
        return await rig.is_ready(port_offset=60)

    async def has_left():
        rig.targets[0].runs.clear()
        for _ in range(6):
            await rig.send_request(port_offset=60)
        return rig.targets[0].runs == []

    try:
        await wait_for(is_ready, 5.0)
        await rig.put({"servers/t0": None})
        await wait_for(has_left, DRAIN_TIMEOUT + 1.0)
        process.kill()
        process.wait()
        process = rig.start_instance(
            port_offset=60, store_port_offset=79, seeds=[rig.get_port(4)]
        )
        await wait_for(is_ready, 5.0)
        rig.targets[0].runs.clear()
        for _ in range(10):
            assert (await rig.send_request(port_offset=60)).status == 200
        assert rig.targets[0].runs == []
    finally:
        process.kill()
        process.wait()
        await rig.put({"servers/t0": make_registration(rig.get_target_port(0), seq=95)})


@pytest.mark.anyio
async def test_withheld_deletion_delays_no_later_change_at_followers(rig):
    """The reader's watch is lost in an outage, so that it withholds deletions late."""
    process = rig.start_instance(
        port_offset=60, store_port_offset=79, seeds=[rig.get_port(4)]
    )

    async def is_ready():
        return await rig.is_ready(port_offset=60)

    async def is_evacuated():
        return (await rig.send_request(port_offset=60)).status == 503

    try:
        await wait_for(is_ready, 5.0)
        await rig.put({"servers/t9": make_registration(9)})
        await anyio.sleep(0.05)
        await rig.set_fault(silent=True)
        await anyio.sleep(0.5)
        await rig.set_fault()
        await rig.put({"servers/t9": None})
        await anyio.sleep(STABLE_WINDOW - APPLY_TIMEOUT)
        await rig.put({"op/evacuate/a1": {}})
        await wait_for(is_evacuated, APPLY_TIMEOUT)
    finally:
        process.kill()
        process.wait()
        await rig.put({"op/evacuate/a1": None})


@pytest.mark.anyio
async def test_follower_watches_the_store_when_the_reader_stalls(tmp_path):
    """Of two instances, the one that watches the store is paused; a target drains."""
    async with Rig(21400, tmp_path) as rig:
        other_process = rig.start_instance(port_offset=60)
        names_by_offset = {0: "g21400", 60: "g21460"}
        try:

            async def both_are_members():
                return (await rig.get_metric(60, "members")) == 2

            await wait_for(both_are_members, 8.0)
            await anyio.sleep(2.0)
            reader_offset = max(
                names_by_offset,
                key=lambda offset: get_score(STORE_READER_KEY, names_by_offset[offset]),
            )
            follower_offset = 60 - reader_offset
            watches = await rig.count_calls("kv-watch")
            for _ in range(15):
                assert await rig.get_metric(follower_offset, "watch_seconds") == 0
                await anyio.sleep(0.1)
            assert await rig.count_calls("kv-watch") <= watches + WATCHES_OF_ONE
            process = rig.process if reader_offset == 0 else other_process
            process.send_signal(signal.SIGSTOP)
            try:
                port = rig.get_target_port(0)
                draining = make_registration(port, state="draining", seq=2)
                await rig.put({"servers/t0": draining})
                await anyio.sleep(DRAIN_TIMEOUT)
                rig.targets[0].runs.clear()
                for _ in range(8):
                    assert (
                        await rig.send_request(port_offset=follower_offset)
                    ).status == 200
                assert rig.targets[0].runs == []
            finally:
                process.send_signal(signal.SIGCONT)
        finally:
            other_process.kill()
            other_process.wait()
