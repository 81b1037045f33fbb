"""TCP proxy on loopback that injects faults into its connections."""

from enum import Enum

import anyio

__all__ = ["Proxy", "ProxyFault"]

CHUNK_BYTES = 64 * 1024
_CLOSED_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
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

    :ivar fault: the :class:`ProxyFault` in force.
    """

    def __init__(self, host, port, target_port):
        self.host = host
        self.port = port
        self.fault = ProxyFault.NONE
        self._target_port = target_port
        self._streams = set()

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Accept connections until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self.host, local_port=self.port
        )
        task_status.started()
        async with listener:
            await listener.serve(self._handle)

    async def close_connections(self):
        """Close all open connections."""
        for stream in list(self._streams):
            await stream.aclose()

    async def _handle(self, client_stream):
        if self.fault is ProxyFault.REFUSE:
            await client_stream.aclose()
            return
        try:
            target_stream = await anyio.connect_tcp(self.host, self._target_port)
        except OSError:
            await client_stream.aclose()
            return
        self._streams |= {client_stream, target_stream}
        try:
            async with client_stream, target_stream, anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._forward,
                    client_stream,
                    target_stream,
                    False,
                    tasks.cancel_scope,
                )
                tasks.start_soon(
                    self._forward,
                    target_stream,
                    client_stream,
                    True,
                    tasks.cancel_scope,
                )
        finally:
            self._streams -= {client_stream, target_stream}

    async def _forward(self, source, sink, is_response, scope):
        try:
            while True:
                chunk = await source.receive(CHUNK_BYTES)
                await self._apply_fault(is_response)
                await sink.send(chunk)
        except _CLOSED_ERRORS:
            scope.cancel()

    async def _apply_fault(self, is_response):
        if self.fault is ProxyFault.DELAY:
            await anyio.sleep(FAULT_DELAY)
        while self.fault is ProxyFault.SILENT or (
            self.fault is ProxyFault.ONE_WAY and is_response
        ):
            await anyio.sleep(FAULT_DELAY)
