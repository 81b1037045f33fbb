"""Gateways that learn from each other."""

import signal

import anyio
import pytest

from turmericrudder.gateway.members import STORE_READER_KEY
from turmericrudder.rendezvous import get_score

from .platform_documents import make_registration
from .platform_rig import Rig, wait_for

BASE = 21500  # first port of this file's rig


APPLY_LIMIT = 2.5  # seconds until a change of the store is in force


DRAIN_LIMIT = 2.5  # seconds until a leaving target gets no new request


@pytest.mark.anyio
async def test_instance_without_store_learns_from_its_peers(rig):
    """Its store's port is closed: configuration and changes come from a peer."""
    process = rig.start_instance(first=60, store=79, seeds=[rig.get_port(4)])
    port = rig.get_target_port(0)
    try:

        async def is_ready():
            return await rig.is_ready(first=60)

        async def is_evacuated():
            return (await rig.ask(first=60)).status == 503

        await wait_for(is_ready, 5.0)
        assert (await rig.ask(first=60)).status == 200
        await rig.put({"servers/t0": make_registration(port, state="draining", seq=90)})
        await anyio.sleep(DRAIN_LIMIT)
        rig.targets[0].runs.clear()
        for _ in range(6):
            assert (await rig.ask(first=60)).status == 200
        assert rig.targets[0].runs == []
        await rig.put({"op/evacuate/a1": {}})
        await wait_for(is_evacuated, APPLY_LIMIT)
        await rig.put({"op/evacuate/a1": None})
        await rig.put({"servers/t0": make_registration(port, seq=91)})
    finally:
        process.kill()
        process.wait()


@pytest.mark.anyio
async def test_followers_take_over_when_their_reader_stalls(tmp_path):
    """One of two instances watches the store; it is paused, then a target leaves."""
    async with Rig(21400, tmp_path) as rig:
        other = rig.start_instance(first=60)
        names_by_first = {0: "g21400", 60: "g21460"}
        try:

            async def both_are_members():
                return (await rig.get_metric(60, "members")) == 2

            await wait_for(both_are_members, 8.0)
            await anyio.sleep(2.0)
            reader = max(
                names_by_first,
                key=lambda first: get_score(STORE_READER_KEY, names_by_first[first]),
            )
            follower = 60 - reader
            watches = await rig.count_calls("kv-watch")
            await anyio.sleep(1.5)
            assert await rig.count_calls("kv-watch") == watches
            process = rig.process if reader == 0 else other
            process.send_signal(signal.SIGSTOP)
            try:
                port = rig.get_target_port(0)
                leaving = make_registration(port, state="draining", seq=2)
                await rig.put({"servers/t0": leaving})
                await anyio.sleep(DRAIN_LIMIT)
                rig.targets[0].runs.clear()
                for _ in range(8):
                    assert (await rig.ask(first=follower)).status == 200
                assert rig.targets[0].runs == []
            finally:
                process.send_signal(signal.SIGCONT)
        finally:
            other.kill()
            other.wait()
