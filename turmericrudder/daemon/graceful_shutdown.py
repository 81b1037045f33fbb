"""Carry out a stop signal: tell, wait, close, and abort on a second one."""

import contextlib
import signal

import anyio

from ..events import catalogue
from ..membership import Status

__all__ = ["GracefulShutdown"]

STEP = 0.05  # seconds between looks whether requests are still open
LEFT_PAUSE = 0.2  # seconds for the last messages to leave


class GracefulShutdown:
    """Counts what is open, and closes an instance without cutting it.

    :ivar is_rejecting_requests: whether new requests are refused.
    :ivar is_aborted: whether a second signal has stopped the instance at once.
    """

    __slots__ = (
        "_is_telling",
        "_log",
        "_membership",
        "_open",
        "_servers",
        "_timing",
        "is_aborted",
        "is_rejecting_requests",
    )

    def __init__(self, settings, membership, has_pending_outcomes, servers, log):
        """Wait for no signal yet.

        :param has_pending_outcomes: function that returns whether outcomes of
            operations are still on their way to witnesses.
        :param servers: the servers to close at the end.
        """
        self._timing = settings.timing
        self._membership = membership
        self._is_telling = has_pending_outcomes
        self._servers = servers
        self._log = log
        self._open = 0
        self.is_rejecting_requests = False
        self.is_aborted = False

    @contextlib.contextmanager
    def track_in_flight(self):
        """Count a request that the stop has to wait for."""
        self._open += 1
        try:
            yield
        finally:
            self._open -= 1

    async def wait(self, tasks):
        """Return once a stop signal has been carried out.

        :param tasks: group of the instance's tasks, cancelled at the end.
        """
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            stopping = False
            async for _ in signals:
                if stopping:
                    self._log.write(catalogue.INSTANCE_ABORTED)
                    self.is_aborted = True
                    tasks.cancel_scope.cancel()
                stopping = True
                tasks.start_soon(self._leave, tasks.cancel_scope)

    async def _leave(self, scope):
        self._log.write(catalogue.INSTANCE_LEAVING, in_flight=self._open)
        self._membership.set_status(Status.LEAVING)
        # Callers may come by a cached answer for this long.
        await anyio.sleep(self._timing.lookup_ttl + self._timing.heartbeat)
        self.is_rejecting_requests = True
        with anyio.move_on_after(self._timing.drain_limit):
            while self._open or self._is_telling():
                await anyio.sleep(STEP)
        for server in self._servers:
            server.stop()
        self._membership.set_status(Status.LEFT)
        await anyio.sleep(LEFT_PAUSE)
        scope.cancel()
