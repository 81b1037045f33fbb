"""Serve an ASGI application with uvicorn."""

import contextlib

import anyio
import uvicorn

from ..server_config import make_server_config

__all__ = ["Server"]

KEEPALIVE_SECONDS = 60  # idle time after which a connection is closed
BACKLOG = 1024  # connections waiting to be accepted


class _UvicornServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class Server:
    """A server for one ASGI application on one address."""

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
        self._server = _UvicornServer(config)

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Serve until :meth:`stop` is called.

        :param task_status: reported as started once the server listens.
        :raises ExceptionGroup: with an :class:`OSError` if it cannot listen.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._serve, tasks.cancel_scope)
            while not self._server.started:
                await anyio.sleep(0.005)
            task_status.started()

    def stop(self):
        """Stop listening and let in-flight requests complete."""
        self._server.should_exit = True

    async def _serve(self, scope):
        try:
            await self._server.serve()
        except SystemExit:
            # uvicorn raises this after it has logged why it cannot bind.
            raise OSError("cannot listen on the server's address") from None
        scope.cancel()
