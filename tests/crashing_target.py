"""A target that ends when it begins to run a deadly request, and starts again."""

import asyncio

from .platform_documents import HOST, make_registration

RESTART_TIME = 0.4  # seconds from the end of a target to its next start


class CrashingTarget:
    """One address at which each start of a target has a new id.

    :param put: coroutine function that writes entries to the store.
    :param service_time: seconds that a request takes.
    :ivar deadly_paths: paths of requests that end the target.
    :ivar runs: (path, status) of the requests that it began to run, 0 for one that it
        did not complete.
    :ivar ends: monotonic times at which it ended under a deadly request.
    """

    def __init__(self, name, port, put, service_time=0.03):
        self.deadly_paths = set()
        self.runs = []
        self.ends = []
        self._name = name
        self._port = port
        self._put = put
        self._service_time = service_time
        self._starts = 0
        self._server = None
        self._transports = set()
        self._tasks = set()

    async def start(self):
        """Listen and register under a new id."""
        self._starts += 1
        self._server = await asyncio.start_server(self._serve, HOST, self._port)
        entry = make_registration(self._port, seq=1, born=self._starts)
        await self._put({self._get_key(): entry})

    async def stop(self):
        """Stop for good."""
        for task in self._tasks:
            task.cancel()
        self._close()
        await self._put({self._get_key(): None})

    def crash(self):
        """End at once, and start again after a while."""
        if self._server is None:
            return
        self._close()
        task = asyncio.ensure_future(self._restart())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart(self):
        await asyncio.sleep(RESTART_TIME)
        await self._put({self._get_key(): None})
        await self.start()

    def _close(self):
        if self._server is not None:
            self._server.close()
        self._server = None
        for transport in list(self._transports):
            transport.abort()

    def _get_key(self):
        return f"servers/{self._name}-{self._starts}"

    async def _serve(self, reader, writer):
        self._transports.add(writer.transport)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                headers = dict(line.lower().split(": ", 1) for line in lines[1:-2])
                await reader.readexactly(int(headers.get("content-length", 0)))
                if not await self._run(lines[0].split()[1], headers, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._transports.discard(writer.transport)
            writer.close()

    async def _run(self, path, headers, writer):
        if self._server is None:
            return False
        if path == "/health":
            writer.write(
                b"HTTP/1.1 200 OK\r\nx-instance-id: %s\r\nx-cold-ms: 0\r\n"
                b"content-length: 0\r\n\r\n" % f"{self._name}-{self._starts}".encode()
            )
            return True
        if headers["x-expect-instance"] != f"{self._name}-{self._starts}":
            writer.write(b"HTTP/1.1 421 M\r\ncontent-length: 0\r\n\r\n")
            return True
        if path in self.deadly_paths:
            self.runs.append((path, 0))
            await asyncio.sleep(0.02)
            if self._server is not None:
                self.ends.append(asyncio.get_running_loop().time())
                self.crash()
            return False
        await asyncio.sleep(self._service_time)
        self.runs.append((path, 200))
        writer.write(
            b"HTTP/1.1 200 OK\r\nx-response-signature: s\r\ncontent-length: 2\r\n"
            b"x-attempt-id: %s\r\n\r\nok" % headers["x-attempt-id"].encode()
        )
        return True
