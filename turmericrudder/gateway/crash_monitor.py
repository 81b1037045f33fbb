"""Detection of targets that ended while requests were in progress at them."""

from dataclasses import dataclass

import anyio

from ..errors import ConnectFailed
from ..events import catalogue
from ..steering import TrackedTarget
from .client_request import ClientRequest
from .upstream_connection import open_connection

__all__ = ["CrashMonitor"]

MAX_QUEUED_ATTEMPTS = 256  # lost attempts that wait to be examined; more are ignored
PROBE_TIMEOUT = 0.5  # seconds in which a target that runs accepts a connection


@dataclass(frozen=True, slots=True)
class _LostAttempt:
    """An attempt whose connection ended before its response was complete."""

    request: ClientRequest
    target: TrackedTarget


class CrashMonitor:
    """Tells targets that ended from those that merely broke off a response.

    A target has ended if it accepts no new connection after it has closed one on which
    a request was in progress.

    :ivar ended_count: targets that ended so far.
    """

    __slots__ = ("_log", "_lost_attempts", "_probed", "_queue", "ended_count")

    def __init__(self, log):
        self._log = log
        self._queue, self._lost_attempts = anyio.create_memory_object_stream(
            MAX_QUEUED_ATTEMPTS
        )
        self._probed = {}  # target -> its lost attempts that wait for the probe
        self.ended_count = 0

    def record_lost_attempt(self, request, target):
        """Examine whether a target has ended under a request."""
        try:
            self._queue.send_nowait(_LostAttempt(request, target))
        except anyio.WouldBlock:
            return  # many targets broke off; what is examined already suffices

    async def run(self):
        """Probe the targets of lost attempts until cancelled."""
        async with anyio.create_task_group() as tasks:
            async for attempt in self._lost_attempts:
                waiting = self._probed.get(attempt.target)
                if waiting is None:
                    self._probed[attempt.target] = [attempt]
                    tasks.start_soon(self._probe, attempt.target)
                else:
                    waiting.append(attempt)

    async def _probe(self, target):
        try:
            connection = await open_connection(target.endpoint.address, PROBE_TIMEOUT)
        except ConnectFailed:
            self._record_end(target, self._probed.pop(target))
        else:
            connection.close()
            del self._probed[target]

    def _record_end(self, target, attempts):
        self.ended_count += 1
        self._log.write(
            catalogue.TARGET_ENDED,
            target=target.endpoint.id,
            service=target.endpoint.service,
            cold=target.is_cold(anyio.current_time()),
            requests=sorted(
                {attempt.request.get_fingerprint() for attempt in attempts}
            ),
        )
