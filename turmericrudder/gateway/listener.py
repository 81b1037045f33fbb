"""An ASGI application on one address, served by uvicorn's protocol.

uvicorn's own server wakes up ten times a second for each address; an instance
listens on several.
"""

import asyncio

from uvicorn.server import ServerState

from ..server_config import make_server_config
from .client_protocol import ClientProtocol

__all__ = ["Listener"]

BACKLOG = 2048  # connections waiting to be accepted
KEEPALIVE_SECONDS = 60  # idle time until the operator's limits are known


class Listener:
    """Accepts connections from :meth:`open` to :meth:`close`."""

    __slots__ = ("_address", "_config", "_server", "_state")

    def __init__(self, application, address):
        self._address = address
        self._state = ServerState()
        self._server = None
        self._config = make_server_config(
            application, http=ClientProtocol, timeout_keep_alive=KEEPALIVE_SECONDS
        )
        self._config.load()

    @property
    def in_flight_requests(self):
        """Requests that are being handled."""
        return len(self._state.tasks)

    async def open(self):
        """Start to accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ClientProtocol(self._config, self._state, {}, loop),
            self._address.host,
            self._address.port,
            backlog=BACKLOG,
        )

    def close(self):
        """Accept no more and close connections once their request is answered."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._state.connections):
            connection.shutdown()
