"""Detection of targets that ended under a request, and of the request that did it."""

from dataclasses import dataclass

import anyio

from ..errors import ConnectFailed
from ..events import catalogue
from ..steering import CrashReport, TrackedTarget
from .client_request import ClientRequest
from .upstream_connection import open_connection

__all__ = ["CrashMonitor"]

MAX_QUEUED_ATTEMPTS = 256  # lost attempts that wait to be examined; more are ignored
PROBE_TIMEOUT = 0.5  # seconds in which a target that runs accepts a connection
MAX_LOGGED_PATH = 200  # bytes of a path and query that are logged
# Depth of the reports on a request from which it is not retried by the instance.
MAX_RETRIED_DEPTH = 1


@dataclass(frozen=True, slots=True)
class _LostAttempt:
    """An attempt whose connection ended before its response was complete.

    :param depth: of the report, if the target has ended.
    """

    request: ClientRequest
    target: TrackedTarget
    depth: int


class CrashMonitor:
    """Tells which requests end the targets that run them.

    A target has ended if it accepts no new connection after it has closed one on which
    a request was in progress. Each request that was in progress is reported to all
    instances through the store, until a target responds to it.

    :param cached_state: has the :class:`~turmericrudder.steering.CrashLedger`.
    :param publisher: a :class:`~.crash_publisher.CrashPublisher`.
    :ivar ended_count: targets that ended so far.
    """

    __slots__ = (
        "_cached_state",
        "_ledger",
        "_log",
        "_lost_attempts",
        "_probed",
        "_publisher",
        "_queue",
        "ended_count",
    )

    def __init__(self, cached_state, publisher, log):
        self._cached_state = cached_state
        self._ledger = cached_state.crash_ledger
        self._publisher = publisher
        self._log = log
        self._queue, self._lost_attempts = anyio.create_memory_object_stream(
            MAX_QUEUED_ATTEMPTS
        )
        self._probed = {}  # target -> its lost attempts that wait for the probe
        self.ended_count = 0

    def get_depth(self, request):
        """Return the depth of the reports on a request, 0 without any."""
        if not len(self._ledger):
            return 0
        return self._ledger.get_depth(request.get_fingerprint())

    def is_blocked(self, request):
        """Return whether a request ends the targets that run it."""
        blocked = self._ledger.get_blocked()
        return bool(blocked) and request.get_fingerprint() in blocked

    def may_retry(self, request):
        """Return whether this instance may send a request to a further target."""
        return self.get_depth(request) <= MAX_RETRIED_DEPTH

    def record_lost_attempt(self, request, target, known_depth):
        """Examine whether a target has ended under a request.

        :param known_depth: :meth:`get_depth` when the request was sent, or the number
            of its attempts that were lost before, if that is more.
        """
        try:
            self._queue.send_nowait(_LostAttempt(request, target, known_depth + 1))
        except anyio.WouldBlock:
            return  # many targets broke off; what is examined already suffices

    def record_response(self, request):
        """Record that a target has run a request to its end."""
        if not len(self._ledger):
            return
        fingerprint = request.get_fingerprint()
        for target in self._ledger.get_targets(fingerprint):
            self._cached_state.remove_crash_report(fingerprint, target)
            self._publisher.withdraw(fingerprint, target)

    async def run(self):
        """Probe the targets of lost attempts until cancelled."""
        self._probed.clear()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._publisher.run)
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
        endpoint = target.endpoint
        depths, descriptions = {}, set()
        for attempt in attempts:
            request = attempt.request
            fingerprint = request.get_fingerprint()
            depths[fingerprint] = max(depths.get(fingerprint, 0), attempt.depth)
            path = request.request_target[:MAX_LOGGED_PATH].decode("latin-1")
            descriptions.add(f"{fingerprint} {request.method} {path}")
        self._log.write(
            catalogue.TARGET_ENDED,
            target=endpoint.id,
            service=endpoint.service,
            cold=target.is_cold(anyio.current_time()),
            requests=sorted(descriptions),
        )
        for fingerprint, depth in depths.items():
            report = CrashReport(fingerprint, endpoint.get_digest(), depth)
            if self._cached_state.add_crash_report(report):
                self._publisher.publish(report)
