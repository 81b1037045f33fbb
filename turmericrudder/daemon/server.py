"""Serve an ASGI application until stopped."""

import anyio

from ..listener import Listener

__all__ = ["Server"]

# Seconds for which connections without a request are kept after the last was accepted.
FIRST_REQUEST_TIMEOUT = 0.3


class Server:
    """A server for one ASGI application on one address."""

    __slots__ = ("_listener", "_stopped")

    def __init__(self, application, address):
        self._listener = Listener(application, address)
        self._stopped = anyio.Event()

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Serve until :meth:`stop` is called.

        :param task_status: reported as started once the server listens.
        :raises OSError: if it cannot listen.
        """
        try:
            await self._listener.open()
            task_status.started()
            await self._stopped.wait()
        finally:
            self._listener.close()

    async def stop(self):
        """Stop listening, and let the requests complete that clients have sent."""
        await self._listener.stop_accepting()
        await self._listener.wait_for_first_requests(FIRST_REQUEST_TIMEOUT)
        self._stopped.set()
