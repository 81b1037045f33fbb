"""Targets that may have started again or become cold without an instance being told."""

import asyncio
import contextlib
import itertools

import anyio
import pytest

from turmericrudder.platform import decode_cold_time, encode_health_check
from turmericrudder.steering.cold_tracker import (
    HEALTH_TTL,
    MAX_UNASKED_VIEW_AGE,
    VIEW_TTL,
    ColdTracker,
)

from .platform_documents import HOST, make_registration
from .platform_rig import Rig, wait_for

BASE = 28000  # first port of this module's rigs


def test_tracker_limits_a_target_in_doubt_until_it_says_it_is_warm():
    tracker = ColdTracker()
    assert not tracker.is_limited(0.0, 1.0)
    tracker.doubt(1.0)
    assert tracker.is_limited(0.0, 1.1) and tracker.needs_health(0.0, 1.1)
    tracker.record_health(0.0, asked_at=0.9, now=1.2)  # asked before the doubt
    assert tracker.is_limited(0.0, 1.2)
    tracker.record_health(0.0, asked_at=1.2, now=1.3)
    assert not tracker.is_limited(0.0, 1.3) and not tracker.needs_health(0.0, 1.3)
    tracker.doubt(2.0)
    tracker.record_health(3.0, asked_at=2.1, now=2.2)
    assert tracker.is_limited(0.0, 5.1) and not tracker.is_limited(0.0, 5.2)


def test_doubt_ends_a_cold_start_after_the_first_response_on_a_new_connection():
    tracker = ColdTracker()
    tracker.doubt(1.0)
    tracker.record_contact(3.0, opened_at=0.5, now=1.1)
    assert tracker.is_limited(0.0, 9.0)
    tracker.record_contact(3.0, opened_at=9.0, now=9.1)
    tracker.record_contact(3.0, opened_at=9.5, now=9.6)
    assert tracker.is_limited(0.0, 12.0) and not tracker.is_limited(0.0, 12.2)


def test_target_is_limited_while_nothing_tells_that_it_is_warm():
    tracker = ColdTracker()
    assert tracker.is_limited(VIEW_TTL, 5.0) and tracker.needs_health(
        MAX_UNASKED_VIEW_AGE, 5.0
    )
    tracker.record_health(0.0, 5.0, 5.1)
    assert not tracker.is_limited(VIEW_TTL, 5.0 + HEALTH_TTL - 0.1)
    assert tracker.is_limited(VIEW_TTL, 5.0 + HEALTH_TTL)
    tracker.record_alive(9.0)  # too busy to answer the check
    assert not tracker.is_limited(VIEW_TTL, 9.1)


@pytest.mark.parametrize(
    ("status", "headers", "seconds"),
    [
        (200, {}, 0.0),
        (200, {b"x-cold-ms": b"0"}, 0.0),
        (200, {b"x-cold-ms": b"2500"}, 2.5),
        (503, {b"x-cold-ms": b"2500"}, 2.5),
        (503, {}, None),
        (200, {b"x-cold-ms": b"-1"}, None),
        (200, {b"x-cold-ms": b"9" * 400}, None),
        (200, {b"x-instance-id": b"other"}, None),
    ],
)
def test_cold_time_in_a_health_response(status, headers, seconds):
    headers = {b"x-instance-id": b"t", **headers}
    assert decode_cold_time(status, headers, "t") == seconds


def test_health_path_cannot_leave_its_line():
    assert encode_health_check("a:1", "/h?x=1&y=%20").startswith(
        b"GET /h?x=1&y=%20 HTTP/1.1\r\nHost: a:1\r\n"
    )
    head = encode_health_check("a:1", "/h\r\nX: \u20ac y")
    assert head.count(b"\r\n") == 3 and head.count(b" ") == 3


class ColdTarget:
    """A target that starts again under its id, and then says how long it is cold.

    :ivar arrivals: monotonic times of the requests that it got while it was cold.
    """

    def __init__(self, name, port, put, cold_time):
        self.name, self.port = name, port
        self.arrivals = []
        self.cold_until = 0.0
        self._put = put
        self._cold_time = cold_time
        self._born = 1
        self._server = None
        self._transports = set()

    def make_entry(self):
        return make_registration(self.port, seq=1, born=self._born, slots=20)

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        await self._put({f"servers/{self.name}": self.make_entry()})

    async def restart(self, away, is_registered=True):
        """Crash, and start again cold.

        :param is_registered: whether it reaches the store when it is back.
        """
        self.close()
        await asyncio.sleep(away)
        self._born += 1
        self.turn_cold()
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        if is_registered:
            entry = {**self.make_entry(), "cold_left_ms": int(1000 * self._cold_time)}
            await self._put({f"servers/{self.name}": entry})

    def turn_cold(self):
        self.cold_until = asyncio.get_running_loop().time() + self._cold_time

    def close(self):
        self._server.close()
        for transport in list(self._transports):
            transport.abort()

    def count_busiest_second(self):
        return max(
            (sum(at <= x < at + 1.0 for x in self.arrivals) for at in self.arrivals),
            default=0,
        )

    async def _serve(self, reader, writer):
        self._transports.add(writer.transport)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head[:-4].split("\r\n")
                headers = dict(line.lower().split(": ", 1) for line in lines)
                await reader.readexactly(int(headers.get("content-length", 0)))
                writer.write(self._answer(first.split(" ")[1], headers))
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._transports.discard(writer.transport)
            writer.close()

    def _answer(self, path, headers):
        now = asyncio.get_running_loop().time()
        cold_ms = int(max(0.0, self.cold_until - now) * 1000)
        if path == "/health":
            return (
                f"HTTP/1.1 200 OK\r\nx-instance-id: {self.name}\r\n"
                f"x-cold-ms: {cold_ms}\r\ncontent-length: 0\r\n\r\n"
            ).encode()
        if cold_ms:
            self.arrivals.append(now)
        return (
            "HTTP/1.1 200 OK\r\nx-response-signature: s\r\ncontent-length: 2\r\n"
            f"x-attempt-id: {headers['x-attempt-id']}\r\n\r\nok"
        ).encode()


async def send_steadily(rig, offsets, interval, statuses):
    """Send requests to each gateway until cancelled."""
    numbers = itertools.count()

    async def send(offset):
        response = await rig.send_request(
            "/write/x", "POST", attempt_id=f"c{next(numbers)}", port_offset=offset
        )
        statuses.append(response.status)

    async with anyio.create_task_group() as tasks:
        while True:
            for offset in offsets:
                tasks.start_soon(send, offset)
            await anyio.sleep(interval)


COLD_SECONDS = 1.5
COLD_BOUND = 5.0 * 1.5 + 5  # of the services in make_configuration
OFFSETS = (0, 60, 120)


@contextlib.asynccontextmanager
async def run_deployment(base, directory):
    """Run three gateways with one target; yield the rig and the target."""
    async with Rig(base, directory, targets=1) as rig:
        processes = [
            rig.start_instance(port_offset=offset, seeds=[rig.get_port(4)])
            for offset in OFFSETS[1:]
        ]
        target = ColdTarget("c", rig.get_target_port(1), rig.put, COLD_SECONDS)
        try:
            await target.start()
            await rig.put({"servers/t0": None})

            async def is_ready():
                for offset in OFFSETS:
                    if await rig.get_metric(offset, "cold_sender") != 1:
                        return False
                return True

            await wait_for(is_ready, 20.0)
            yield rig, target
        finally:
            target.close()
            for process in processes:
                process.kill()
                process.wait()


@pytest.mark.parametrize(
    ("case", "away", "fault"),
    [
        (0, 0.05, {}),
        (1, 0.05, {"outage": True}),
        (2, 1.2, {"outage": True}),
        (3, 1.2, {"silent": True}),
    ],
)
@pytest.mark.anyio
async def test_target_that_starts_again_under_its_id_is_not_swamped(
    tmp_path, case, away, fault
):
    """Instances sent all their load to targets that came back cold (review/4)."""
    statuses = []
    async with (
        run_deployment(BASE + 220 * case, tmp_path) as (rig, target),
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(send_steadily, rig, OFFSETS, 0.05, statuses)
        await anyio.sleep(0.5)
        if fault:
            await rig.set_fault(**fault)
            await anyio.sleep(0.3)
        await target.restart(away, is_registered=not fault)
        await anyio.sleep(COLD_SECONDS + 0.3)
        served_before = statuses.count(200)
        await anyio.sleep(0.5)
        # Once it is warm, it gets all requests again.
        assert statuses.count(200) - served_before >= 20
        assert 0 < target.count_busiest_second() <= COLD_BOUND
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_target_that_turns_cold_in_a_long_outage_is_noticed(tmp_path):
    """Without registrations, instances ask targets themselves; a warm one is served."""
    statuses = []
    async with (
        run_deployment(BASE + 220 * 4, tmp_path) as (rig, target),
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(send_steadily, rig, OFFSETS, 0.2, statuses)
        await rig.set_fault(outage=True)
        await anyio.sleep(6.0)  # no instance may send to a cold target any longer
        assert set(statuses) == {200}
        target.turn_cold()
        await anyio.sleep(COLD_SECONDS + 1.0)
        served_before = statuses.count(200)
        await anyio.sleep(1.0)
        assert statuses.count(200) - served_before >= 10
        assert target.count_busiest_second() <= COLD_BOUND
        tasks.cancel_scope.cancel()
