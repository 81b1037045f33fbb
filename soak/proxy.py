"""A loopback proxy whose connections can be harmed."""

from enum import Enum

import anyio

__all__ = ["Harm", "Proxy"]

CHUNK_BYTES = 64 * 1024
_ENDS = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)
DELAY = 0.15  # seconds added to each chunk


class Harm(Enum):
    """What happens to the bytes of open and new connections."""

    NONE = "none"
    DELAY = "delay"
    SILENT = "silent"  # nothing passes, nothing is closed
    ONE_WAY = "one_way"  # requests pass, answers do not
    REFUSE = "refuse"  # new connections are closed at once


class Proxy:
    """Passes connections from one address to another.

    :ivar harm: the :class:`Harm` in force.
    """

    def __init__(self, host, port, target_port):
        self.host = host
        self.port = port
        self.harm = Harm.NONE
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

    async def reset(self):
        """Close all open connections."""
        for stream in list(self._streams):
            await stream.aclose()

    async def _handle(self, stream):
        if self.harm is Harm.REFUSE:
            await stream.aclose()
            return
        try:
            other = await anyio.connect_tcp(self.host, self._target_port)
        except OSError:
            await stream.aclose()
            return
        self._streams |= {stream, other}
        try:
            async with stream, other, anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump, stream, other, False, tasks.cancel_scope)
                tasks.start_soon(self._pump, other, stream, True, tasks.cancel_scope)
        finally:
            self._streams -= {stream, other}

    async def _pump(self, source, sink, is_answer, scope):
        try:
            while True:
                chunk = await source.receive(CHUNK_BYTES)
                await self._suffer(is_answer)
                await sink.send(chunk)
        except _ENDS:
            scope.cancel()

    async def _suffer(self, is_answer):
        if self.harm is Harm.DELAY:
            await anyio.sleep(DELAY)
        while self.harm is Harm.SILENT or (self.harm is Harm.ONE_WAY and is_answer):
            await anyio.sleep(DELAY)
