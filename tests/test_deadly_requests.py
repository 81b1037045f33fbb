"""Requests that end each target that begins to run them, at two gateways."""

import itertools
import random

import anyio
import pytest

from .crashing_target import CrashingTarget
from .platform_rig import Rig, wait_for

BASE = 26900  # first port of this module's rigs


SECOND_GATEWAY = 60  # its offset from the rig's first port


STABLE_WINDOW = 4.0  # seconds from the third end until no more retries may come


MAX_LATE_RETRIES = 3


REPORT_TIME = 0.5  # seconds; several times the interval in which reports are written


TARGETS = 8


_base_ports = itertools.count(BASE, 160)


@pytest.fixture
async def fleet(anyio_backend, tmp_path):
    """A rig with two gateways that follow each other, and its crashing targets."""
    async with Rig(next(_base_ports), tmp_path, targets=1) as rig:
        second = rig.start_instance(port_offset=SECOND_GATEWAY, seeds=[rig.get_port(4)])
        targets = [
            CrashingTarget(f"c{number}", rig.get_target_port(number + 1), rig.put)
            for number in range(TARGETS)
        ]
        try:
            for target in targets:
                await target.start()
            await rig.put({"servers/t0": None})

            async def is_ready():
                return (
                    await rig.is_ready(port_offset=SECOND_GATEWAY)
                    and await rig.get_metric(SECOND_GATEWAY, "targets") == TARGETS
                    and await rig.get_metric(0, "members") == 2
                )

            await wait_for(is_ready, 10.0)
            # Targets are cold after their start.
            await anyio.sleep(1.5)
            yield rig, targets
        finally:
            second.kill()
            second.wait()
            for target in targets:
                await target.stop()


async def _send_repeatedly(rig, path, method, statuses, interval=0.08):
    for offset in itertools.cycle((0, SECOND_GATEWAY)):
        response = await rig.send_request(path, method, port_offset=offset)
        statuses.append(response.status)
        await anyio.sleep(interval)


@pytest.mark.anyio
@pytest.mark.parametrize(("path", "method"), [("/read/d", "GET"), ("/write/d", "POST")])
async def test_request_that_ends_targets_is_refused_after_the_third(
    fleet, path, method
):
    rig, targets = fleet
    for target in targets:
        target.deadly_paths.add(path)
    statuses, others = [], []
    async with anyio.create_task_group() as tasks:
        for _ in range(2):
            tasks.start_soon(_send_repeatedly, rig, path, method, statuses)
        with anyio.fail_after(10.0):
            while sum(len(target.ends) for target in targets) < 3:
                await anyio.sleep(0.02)
        await anyio.sleep(STABLE_WINDOW)
        runs = sum(len(target.runs) for target in targets)
        statuses.clear()
        tasks.start_soon(_send_repeatedly, rig, "/read/x", "GET", others)
        await anyio.sleep(STABLE_WINDOW)
        tasks.cancel_scope.cancel()
    deadly_runs = [run for target in targets for run in target.runs if run[0] == path]
    late_runs = len(deadly_runs) - runs
    assert late_runs <= MAX_LATE_RETRIES
    # Nothing has run, and the caller is told so.
    assert set(statuses[-20:]) == {503}
    assert others.count(200) >= 0.95 * len(others)
    for offset in (0, SECOND_GATEWAY):
        assert await rig.get_metric(offset, "blocked_requests") == 1


@pytest.mark.anyio
async def test_blocked_request_stays_blocked_after_a_restart_of_the_gateway(fleet):
    rig, targets = fleet
    for target in targets:
        target.deadly_paths.add("/read/d")
    statuses = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_send_repeatedly, rig, "/read/d", "GET", statuses)

        async def is_blocked():
            counts = [
                await rig.get_metric(offset, "blocked_requests")
                for offset in (0, SECOND_GATEWAY)
            ]
            return counts == [1, 1]

        await wait_for(is_blocked, 10.0)
        await anyio.sleep(REPORT_TIME)
        tasks.cancel_scope.cancel()
    rig.process.kill()
    rig.process.wait()
    rig.start()

    async def is_ready():
        return await rig.is_ready()

    await wait_for(is_ready, 10.0)
    ends = sum(len(target.ends) for target in targets)
    for _ in range(10):
        assert (await rig.send_request("/read/d")).status == 503
    assert sum(len(target.ends) for target in targets) == ends


@pytest.mark.anyio
async def test_no_request_is_refused_when_targets_end_by_other_causes(fleet):
    """One path is requested all the time, the others once."""
    rig, targets = fleet
    rng = random.Random(5)
    statuses = []

    async def send_unique():
        for number in itertools.count():
            await rig.send_request(f"/read/u{number}", port_offset=SECOND_GATEWAY)

    async with anyio.create_task_group() as tasks:
        for _ in range(4):
            tasks.start_soon(
                _send_repeatedly, rig, "/read/popular", "GET", statuses, 0.01
            )
            tasks.start_soon(
                _send_repeatedly, rig, "/write/popular", "POST", statuses, 0.01
            )
            tasks.start_soon(send_unique)
        for _ in range(12):
            for target in rng.sample(targets, 3):
                target.crash()
            await anyio.sleep(0.6)
            for offset in (0, SECOND_GATEWAY):
                assert await rig.get_metric(offset, "blocked_requests") == 0
        tasks.cancel_scope.cancel()
    assert await rig.get_metric(0, "ended_targets") > 3
