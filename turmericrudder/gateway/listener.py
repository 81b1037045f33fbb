"""A listener that serves an ASGI application on one address.

It uses uvicorn's protocol, but not its server, which wakes up ten times a second for
each address; an instance listens on several.
"""

import asyncio

from uvicorn.server import ServerState

from ..server_config import make_server_config
from .client_protocol import ClientProtocol

__all__ = ["Listener"]

BACKLOG = 2048  # connections waiting to be accepted
# Idle timeout of connections until the operator's limits are known.
DEFAULT_IDLE_TIMEOUT = 60  # seconds


class Listener:
    """Accepts connections from :meth:`open` to :meth:`close`."""

    __slots__ = ("_address", "_config", "_server", "_state")

    def __init__(self, application, address):
        self._address = address
        self._state = ServerState()
        self._server = None
        self._config = make_server_config(
            application, http=ClientProtocol, timeout_keep_alive=DEFAULT_IDLE_TIMEOUT
        )
        self._config.load()

    @property
    def in_flight_requests(self):
        """Number of requests being handled."""
        return len(self._state.tasks)

    async def open(self):
        """Start accepting connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ClientProtocol(self._config, self._state, {}, loop),
            self._address.host,
            self._address.port,
            backlog=BACKLOG,
        )

    def close(self):
        """Stop accepting connections and close each after its current response."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._state.connections):
            connection.shutdown()
