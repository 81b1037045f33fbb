"""Graceful shutdown of a gateway, and signals during its start."""

import os
import signal
from functools import partial

import anyio
import httpcore
import pytest

from standins.gateway import SHUTDOWN_GRACE, start_gateway
from turmericrudder.headers import get_header

from .platform_documents import HOST
from .platform_rig import Rig, wait_for
from .stop_load import send_until_stopped


@pytest.mark.anyio
async def test_shutdown_completes_in_flight_and_new_requests(tmp_path):
    async with Rig(21200, tmp_path, service_time=1.0) as rig:
        responses = []

        async def send_after(delay):
            await anyio.sleep(delay)
            responses.append(await rig.send_request())

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_after, 0.0)
            await anyio.sleep(0.3)
            rig.stop()
            await anyio.sleep(0.1)
            tasks.start_soon(send_after, 0.0)
            assert not await rig.is_ready()
        assert [response.status for response in responses] == [200, 200]
        assert get_header(responses[1].headers, b"connection") == b"close"
        with anyio.fail_after(4.0):
            while rig.process.poll() is None:
                await anyio.sleep(0.05)
        assert rig.process.returncode == 0
        with pytest.raises(httpcore.ConnectError):
            await rig.send_request()


@pytest.mark.anyio
async def test_shutdown_under_load_answers_every_accepted_connection(tmp_path):
    head = b"GET /read/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %d\r\n\r\n"
    async with Rig(27200, tmp_path, service_time=0.05) as rig:

        async def stop():
            rig.stop()
            while rig.process.poll() is None:
                await anyio.sleep(0.02)

        with anyio.fail_after(15):
            outcomes = await send_until_stopped(HOST, rig.get_port(1), head, stop)
    assert outcomes.keys() <= {b"HTTP/1.1 200", b"HTTP/1.1 503"}
    assert outcomes[b"HTTP/1.1 200"] > 100
    assert rig.process.returncode == 0


@pytest.mark.anyio
@pytest.mark.parametrize("rest", [b"dy", b""], ids=["late body", "incomplete body"])
async def test_request_not_complete_late_in_the_grace_time_is_rejected(tmp_path, rest):
    async with Rig(28200, tmp_path, service_time=1.0) as rig:
        rig.stop()
        await anyio.sleep(0.4 * SHUTDOWN_GRACE)
        stream = await anyio.connect_tcp(HOST, rig.get_port(1))
        async with stream:
            await stream.send(
                b"POST /long/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: late\r\n"
                b"Content-Length: 4\r\n\r\nbo"
            )
            await anyio.sleep(0.35 * SHUTDOWN_GRACE)
            await stream.send(rest)
            with anyio.fail_after(SHUTDOWN_GRACE):
                response = await stream.receive()
        assert response.startswith(b"HTTP/1.1 503 ")
        assert rig.get_runs() == []


@pytest.mark.anyio
async def test_request_in_flight_at_the_end_of_the_grace_time_gets_a_timeout(tmp_path):
    async with Rig(28300, tmp_path, targets=1) as rig:
        rig.targets[0].service_time = 9.0
        responses = []

        async def send():
            responses.append(
                await rig.send_request("/long/x", "POST", deadline_ms=9000)
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await anyio.sleep(0.3)
            rig.stop()
            await anyio.sleep(SHUTDOWN_GRACE)
        assert [response.status for response in responses] == [504]
        assert rig.process.poll() == 0


@pytest.mark.anyio
async def test_request_that_the_stop_may_cut_is_accepted_for_three_seconds_only(
    tmp_path,
):
    grace = 9.0
    async with Rig(28500, tmp_path, grace=grace) as rig:
        for target in rig.targets:
            target.service_time = grace

        async def send_first():
            await rig.send_request("/long/x", "POST", deadline_ms=9000)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_first)
            await anyio.sleep(0.3)
            rig.stop()
            await anyio.sleep(3.0)
            with anyio.fail_after(1.0):
                response = await rig.send_request("/long/y", "POST", deadline_ms=9000)
            assert response.status == 503
            assert float(get_header(response.headers, b"retry-after")) <= 0.1
            # Its deadline ends before the stop.
            response = await rig.send_request("/write/z", "POST", deadline_ms=900)
            assert response.status == 504
            rig.process.kill()
            tasks.cancel_scope.cancel()
        assert len(rig.get_runs()) == 2


@pytest.mark.anyio
async def test_further_sigterm_does_not_change_the_exit_status(tmp_path):
    async with Rig(28600, tmp_path) as rig:
        with anyio.fail_after(SHUTDOWN_GRACE):
            while rig.process.poll() is None:
                rig.stop()
                await anyio.sleep(0.001)
        assert rig.process.returncode == 0


@pytest.mark.anyio
async def test_sighup_is_ignored_and_sigterm_exits_during_the_start(tmp_path):
    """The settings file is a named pipe, so that the start blocks on reading it."""
    path = tmp_path / "settings.ini"
    os.mkfifo(path)
    process = start_gateway(path, tmp_path / "log")
    writers = []
    try:
        await wait_for(partial(is_read, path, writers), 10.0)
        process.send_signal(signal.SIGHUP)
        await anyio.sleep(0.2)
        assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        with anyio.fail_after(2.0):
            while process.poll() is None:
                await anyio.sleep(0.02)
        assert process.returncode == 0
    finally:
        process.kill()
        process.wait()
        for writer in writers:
            os.close(writer)


async def is_read(path, writers):
    """Return whether a named pipe has a reader.

    If so, its write end is added to ``writers`` and stays open, so that the reader
    goes on waiting.
    """
    try:
        writer = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
    except OSError:
        return False
    writers.append(writer)
    return True
