"""One uvicorn server as a task; signals and logs stay with the instance."""

import contextlib

import anyio
import uvicorn

from ..server_config import make_server_config

__all__ = ["Server"]

KEEPALIVE_SECONDS = 60
BACKLOG = 1024


class _QuietServer(uvicorn.Server):
    """A server that leaves the process's signal handlers alone."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class Server:
    """Serves an ASGI application on one address."""

    __slots__ = ("_server",)

    def __init__(self, application, address):
        config = make_server_config(
            application,
            host=address.host,
            port=address.port,
            http="httptools",
            timeout_keep_alive=KEEPALIVE_SECONDS,
            backlog=BACKLOG,
        )
        self._server = _QuietServer(config)

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Serve until :meth:`stop`; report started once listening."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._serve, tasks.cancel_scope)
            while not self._server.started:
                await anyio.sleep(0.005)
            task_status.started()

    def stop(self):
        """Close the listener and let open requests end."""
        self._server.should_exit = True

    async def _serve(self, scope):
        try:
            await self._server.serve()
        except SystemExit:
            # uvicorn logs why it cannot bind, then leaves by this.
            raise OSError("cannot listen") from None
        scope.cancel()
