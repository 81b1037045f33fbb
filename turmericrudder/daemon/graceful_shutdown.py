"""Graceful shutdown on a stop signal, immediate shutdown on a second one."""

import contextlib
import signal

import anyio

from ..events import catalogue
from ..membership import Status

__all__ = ["GracefulShutdown"]

POLL_INTERVAL = 0.05  # seconds between checks for requests in flight
FINAL_SEND_DELAY = 0.2  # seconds for the last control messages to be sent


class GracefulShutdown:
    """Counts in-flight requests and stops an instance once they have ended.

    Requests still in flight ``drain_limit`` seconds after new ones began to be
    rejected are cancelled.

    :ivar is_rejecting_requests: whether new requests are rejected.
    :ivar is_aborted: whether a second signal has stopped the instance at once.
    """

    __slots__ = (
        "_has_pending_outcomes",
        "_in_flight",
        "_log",
        "_membership",
        "_servers",
        "_timing",
        "is_aborted",
        "is_rejecting_requests",
    )

    def __init__(self, settings, membership, has_pending_outcomes, servers, log):
        """Prepare; signals are handled from :meth:`wait` on.

        :param has_pending_outcomes: function that returns whether outcomes of
            operations still have to be sent to their witness, the instance
            that keeps a copy of them.
        :param servers: each :class:`~turmericrudder.daemon.server.Server` to stop.
        """
        self._timing = settings.timing
        self._membership = membership
        self._has_pending_outcomes = has_pending_outcomes
        self._servers = servers
        self._log = log
        self._in_flight = 0
        self.is_rejecting_requests = False
        self.is_aborted = False

    @contextlib.contextmanager
    def track_in_flight(self):
        """Count a request as in flight; the shutdown waits for its end."""
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1

    async def wait(self, tasks):
        """Wait for a stop signal and shut down.

        :param tasks: task group of the instance; it is cancelled in the end.
        """
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            is_stopping = False
            async for _ in signals:
                if is_stopping:
                    self._log.write(catalogue.INSTANCE_ABORTED)
                    self.is_aborted = True
                    tasks.cancel_scope.cancel()
                is_stopping = True
                tasks.start_soon(self._shut_down, tasks.cancel_scope)

    async def _shut_down(self, scope):
        self._log.write(catalogue.INSTANCE_LEAVING, in_flight=self._in_flight)
        self._membership.set_status(Status.LEAVING)
        # Callers may use a cached look-up response for this long.
        await anyio.sleep(self._timing.lookup_ttl + self._timing.heartbeat)
        self.is_rejecting_requests = True
        with anyio.move_on_after(self._timing.drain_limit):
            while self._in_flight or self._has_pending_outcomes():
                await anyio.sleep(POLL_INTERVAL)
        async with anyio.create_task_group() as tasks:
            for server in self._servers:
                tasks.start_soon(server.stop)
        self._membership.set_status(Status.LEFT)
        await anyio.sleep(FINAL_SEND_DELAY)
        scope.cancel()
