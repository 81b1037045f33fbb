"""A listener that serves an ASGI application on one address.

It uses uvicorn's protocol, but not its server, which wakes up ten times a second for
each address; an instance listens on several. Besides, uvicorn's server resets the
connections that wait to be accepted when it stops.
"""

import asyncio
import contextlib
import socket

import anyio
from uvicorn.server import ServerState

from .http_protocol import BoundedHttpProtocol
from .server_config import make_server_config

__all__ = ["Listener"]

BACKLOG = 2048  # connections waiting to be accepted
FIRST_REQUEST_POLL_INTERVAL = 0.01  # seconds


class Listener:
    """Accepts connections from :meth:`open` to :meth:`stop_accepting`."""

    __slots__ = ("_address", "_config", "_server", "_socket", "_state")

    def __init__(self, application, address):
        self._address = address
        self._state = ServerState()
        self._server = self._socket = None
        self._config = make_server_config(application, http=BoundedHttpProtocol)
        self._config.load()

    @property
    def in_flight_requests(self):
        """Number of requests being handled."""
        return len(self._state.tasks)

    async def open(self):
        """Start accepting connections.

        :raises OSError: if the address cannot be listened on.
        """
        self._socket = socket.create_server(
            (self._address.host, self._address.port), backlog=BACKLOG
        )
        self._server = await asyncio.get_running_loop().create_server(
            self._make_protocol, sock=self._socket, backlog=BACKLOG
        )

    async def stop_accepting(self):
        """Accept the connections that clients have established, then no more.

        Closing the socket would reset those that have not been accepted yet, although
        their requests may have been sent.
        """
        if self._server is None:
            return
        # The server closes its own descriptor, the connections wait at the duplicate.
        with contextlib.closing(self._socket.dup()) as pending:
            self._server.close()
            self._server = None
            pending.setblocking(False)
            while True:
                try:
                    connection, _ = pending.accept()
                except ConnectionAbortedError:
                    continue
                except OSError:
                    return  # none is left, or there are no descriptors for more
                connection.setblocking(False)
                await asyncio.get_running_loop().connect_accepted_socket(
                    self._make_protocol, connection
                )

    async def wait_for_first_requests(self, timeout):
        """Wait until all connections have had a request and none is in flight.

        :param timeout: seconds to wait at most.
        """
        with anyio.move_on_after(timeout):
            while self._state.tasks or any(
                connection.cycle is None for connection in self._state.connections
            ):
                await anyio.sleep(FIRST_REQUEST_POLL_INTERVAL)

    def close(self):
        """Close the listening socket, and each connection after its response."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self._state.connections):
            connection.shutdown()

    def _make_protocol(self):
        return BoundedHttpProtocol(
            self._config, self._state, {}, asyncio.get_running_loop()
        )
