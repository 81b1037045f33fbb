"""Health checks of targets that may have started again or become cold."""

import time

import anyio

from ..errors import ConnectFailed, ResponseFailed
from ..events import catalogue
from ..platform import (
    decode_cold_time,
    decode_leaving,
    decode_pause,
    encode_health_check,
    protocol,
)
from .upstream_connection import open_connection

__all__ = ["HealthMonitor"]

MAX_QUEUED_TARGETS = 1024
MAX_CHECKS = 64  # at the same time
CHECK_TIMEOUT = 1.0  # seconds for the connection and the response
MAX_WAIT = 0.25  # seconds that a request waits for a check to end
MIN_INTERVAL = 0.4  # seconds between two checks of a target


class HealthMonitor:
    """Asks targets whether they are cold, each over a connection of its own.

    An older connection could be one that the target's predecessor had accepted.

    :param catalog: an :class:`~turmericrudder.steering.EndpointCatalog`.
    :ivar check_count: health checks so far.
    """

    __slots__ = (
        "_asked_at",
        "_catalog",
        "_checked",
        "_limiter",
        "_log",
        "_pending_count",
        "_queue",
        "_targets",
        "check_count",
    )

    def __init__(self, catalog, log):
        self._catalog = catalog
        self._log = log
        self._queue, self._targets = anyio.create_memory_object_stream(
            MAX_QUEUED_TARGETS
        )
        self._asked_at = {}  # target id -> time of the last check
        self._limiter = anyio.CapacityLimiter(MAX_CHECKS)
        self._checked = anyio.Event()
        self._pending_count = 0
        self.check_count = 0

    async def wait_for_check(self):
        """Wait until a check under way has ended.

        :returns: ``False`` if there is none, or none ends soon.
        """
        if not self._pending_count:
            return False
        with anyio.move_on_after(MAX_WAIT) as scope:
            await self._checked.wait()
        return not scope.cancelled_caught

    def ask(self, target):
        """Check a target soon, unless it was checked just before."""
        now = anyio.current_time()
        target_id = target.endpoint.id
        if now < self._asked_at.get(target_id, -MIN_INTERVAL) + MIN_INTERVAL:
            return
        try:
            self._queue.send_nowait(target)
        except anyio.WouldBlock:
            return  # asked again by the next request for it
        self._pending_count += 1
        self._asked_at.pop(target_id, None)
        self._asked_at[target_id] = now
        if len(self._asked_at) > MAX_QUEUED_TARGETS:
            del self._asked_at[next(iter(self._asked_at))]

    async def run(self):
        """Check targets until cancelled."""
        self._pending_count = self._targets.statistics().current_buffer_used
        async with anyio.create_task_group() as tasks:
            async for target in self._targets:
                tasks.start_soon(self._check, target)

    async def _check(self, target):
        try:
            await self._run_check(target)
        finally:
            self._pending_count -= 1
            self._checked.set()
            self._checked = anyio.Event()

    async def _run_check(self, target):
        profile = self._catalog.get_profile(target.endpoint.service)
        if profile is None:
            return
        async with self._limiter:
            self.check_count += 1
            asked_at = anyio.current_time()
            try:
                response = await self._call(target, profile.health_path)
            except (ConnectFailed, ResponseFailed, TimeoutError):
                return  # an attempt that fails ejects the target
        if response is None:
            return
        status, headers = response
        now = anyio.current_time()
        self._record_notices(target, status, headers, now)
        cold_left = decode_cold_time(status, headers, target.endpoint.id)
        was_doubted = target.cold.doubted_at is not None
        target.cold.record_contact(profile.cold_start, asked_at, now)
        if cold_left is None:
            target.cold.record_alive(asked_at)
        else:
            target.cold.record_health(cold_left, asked_at, now)
        if was_doubted or cold_left:
            self._log.write(
                catalogue.TARGET_CHECKED, target=target.endpoint.id, cold_s=cold_left
            )

    def _record_notices(self, target, status, headers, now):
        if headers.get(protocol.INSTANCE_ID_HEADER) != target.endpoint.id.encode():
            return
        if decode_leaving(status, headers.items()):
            target.notices.record_leaving(now)
        pause = decode_pause(status, headers.items(), time.time())
        if pause:
            target.record_pause(pause, now)

    async def _call(self, target, path):
        """Return status and headers of a response, ``None`` while it wants a pause."""
        address = target.endpoint.address
        connection = await open_connection(address, CHECK_TIMEOUT)
        try:
            if target.notices.is_paused(anyio.current_time()):
                return None
            with anyio.fail_after(CHECK_TIMEOUT):
                await connection.send_request(
                    encode_health_check(address, path), b"", None
                )
            return connection.status, dict(connection.headers)
        finally:
            connection.close()
