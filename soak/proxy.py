"""TCP proxy on loopback that injects faults into its connections."""

import asyncio
from enum import Enum

import anyio

from standins.asgi import reset_transport

__all__ = ["Proxy", "ProxyFault"]

CHUNK_BYTES = 64 * 1024
# Seconds added to each chunk, and between checks whether a blocking fault has ended.
FAULT_DELAY = 0.15


class ProxyFault(Enum):
    """What a proxy does to the bytes of open and new connections."""

    NONE = "none"
    DELAY = "delay"  # each chunk is delayed
    SILENT = "silent"  # no bytes pass, no connection is closed
    ONE_WAY = "one_way"  # requests pass, responses do not
    REFUSE = "refuse"  # new connections are closed at once


class Proxy:
    """Forwards connections on one port to another port of the same host.

    The end of a body may be the end of its connection. So a connection that was reset
    on one side, or by a fault, is reset on the other, and never closed.

    :ivar fault: the :class:`ProxyFault` in force.
    """

    def __init__(self, host, port, target_port):
        self.host = host
        self.port = port
        self.fault = ProxyFault.NONE
        self._target_port = target_port
        self._transports = set()

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Accept connections until cancelled."""
        server = await asyncio.start_server(self._handle, self.host, self.port)
        task_status.started()
        try:
            await anyio.sleep_forever()
        finally:
            server.close()
            self.reset_connections()

    def reset_connections(self):
        """Reset all open connections."""
        for transport in self._transports:
            reset_transport(transport)

    async def _handle(self, client_reader, client_writer):
        if self.fault is ProxyFault.REFUSE:
            client_writer.close()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.host, self._target_port
            )
        except OSError:
            client_writer.close()
            return
        transports = {client_writer.transport, target_writer.transport}
        self._transports |= transports
        try:
            async with anyio.create_task_group() as tasks:
                for direction in (
                    (client_reader, target_writer, False),
                    (target_reader, client_writer, True),
                ):
                    tasks.start_soon(self._forward, *direction, tasks.cancel_scope)
        except* OSError:
            for transport in transports:
                reset_transport(transport)
        finally:
            self._transports -= transports
            for transport in transports:
                transport.close()

    async def _forward(self, reader, writer, is_response, scope):
        while chunk := await reader.read(CHUNK_BYTES):
            await self._apply_fault(is_response)
            writer.write(chunk)
            await writer.drain()
        scope.cancel()

    async def _apply_fault(self, is_response):
        if self.fault is ProxyFault.DELAY:
            await anyio.sleep(FAULT_DELAY)
        while self.fault is ProxyFault.SILENT or (
            self.fault is ProxyFault.ONE_WAY and is_response
        ):
            await anyio.sleep(FAULT_DELAY)
