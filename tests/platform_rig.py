"""A gateway process with a store and targets that run in the test's process."""

import contextlib
import itertools
import signal

import anyio
import httpcore
import msgspec

from standins.asgi import serve
from standins.gateway import SHUTDOWN_GRACE, start_gateway, write_settings
from standins.store import StoreApplication
from standins.target import TargetApplication
from turmericrudder.platform import protocol

from .platform_documents import HOST, make_configuration, make_registration, make_route

_attempt_ids = itertools.count(1)


class Rig:
    """Store and targets in this process, and a gateway in its own process.

    :param base: first of the ports that are used.
    :param directory: directory for the settings and the log of the gateway.
    :param targets: number of targets.
    :param service_time: seconds that a target needs to process a request.
    :param grace: seconds from SIGTERM to SIGKILL.
    """

    def __init__(
        self, base, directory, targets=2, service_time=0.01, grace=SHUTDOWN_GRACE
    ):
        self.base = base
        self.grace = grace
        self.directory = directory
        self.store = StoreApplication(0.0)
        self.targets = [
            TargetApplication(f"t{number}", service_time=service_time)
            for number in range(targets)
        ]
        self.process = None
        self.log = directory / "gateway.log"

    def get_port(self, offset):
        return self.base + offset

    async def __aenter__(self):
        applications_by_address = [(self.store, f"{HOST}:{self.get_port(0)}")]
        for number, target in enumerate(self.targets):
            applications_by_address.append(
                (target, f"{HOST}:{self.get_target_port(number)}")
            )
        self._stack = contextlib.AsyncExitStack()
        tasks = await self._stack.enter_async_context(anyio.create_task_group())
        self._scope = tasks.cancel_scope
        tasks.start_soon(serve, applications_by_address)
        await self.wait_open(self.get_port(0))
        await self.put(
            {
                protocol.CONFIGURATION_KEY: make_configuration(
                    1,
                    [
                        make_route(),
                        make_route("r2", "/write/", "non_idempotent"),
                        make_route("r3", "/slow/", timeout_ms=300),
                        make_route("r4", "/long/", "non_idempotent", timeout_ms=9000),
                    ],
                ),
                **{
                    f"servers/{target.target_id}": make_registration(
                        self.get_target_port(number)
                    )
                    for number, target in enumerate(self.targets)
                },
            }
        )
        self.start()
        try:
            await self.wait_ready()
        except BaseException:
            # Otherwise the process would keep the ports of later runs.
            self.process.kill()
            self.process.wait()
            raise
        return self

    async def __aexit__(self, *exc):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._scope.cancel()
        await self._stack.aclose()

    def get_target_port(self, number):
        return self.get_port(20 + number)

    def start(self):
        self.process = self.start_instance()

    def start_instance(self, port_offset=0, store_port_offset=0, seeds=()):
        """Start a gateway and return its process.

        :param port_offset: offset from ``base``; the gateway's five ports begin at
            the port after it.
        :param store_port_offset: offset of the store's port from ``base``.
        :param seeds: peer ports of other gateways.
        """
        path = self.directory / f"gateway{port_offset}.ini"
        name = f"g{self.base + port_offset}"
        first_port, store_port = (
            self.get_port(port_offset + 1),
            self.get_port(store_port_offset),
        )
        write_settings(
            path, name, HOST, first_port, store_port, seeds=seeds, grace=self.grace
        )
        return start_gateway(path, self.log)

    def stop(self):
        self.process.send_signal(signal.SIGTERM)

    async def put(self, entries):
        async with httpcore.AsyncConnectionPool() as pool:
            await pool.request(
                "POST",
                f"http://{HOST}:{self.get_port(0)}/admin/put",
                content=msgspec.json.encode(entries),
            )

    async def count_calls(self, call):
        """Return how often an operation of the store has been called.

        :param call: last part of the operation's path, such as ``kv-watch``.
        """
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                "POST",
                f"http://{HOST}:{self.get_port(0)}/admin/put",
                content=b"{}",
            )
        return msgspec.json.decode(response.content).get(call, 0)

    async def has_key(self, key):
        """Return whether the store has a key."""
        response = await self.get(0, f"{protocol.STORE_KEY_PATH}?key={key}")
        return response.status == 200

    async def get_metric(self, port_offset, name):
        """Return the value of a metric, ``None`` if the gateway does not return it.

        :param port_offset: as in :meth:`start_instance`.
        """
        try:
            response = await self.get(port_offset + 5, "/metrics")
        except httpcore.ConnectError:
            return None
        for line in response.content.decode().splitlines():
            series, _, value = line.rpartition(" ")
            if series == f"turmericrudder_{name}":
                return float(value)
        return None

    async def set_fault(self, **fault):
        async with httpcore.AsyncConnectionPool() as pool:
            await pool.request(
                "POST",
                f"http://{HOST}:{self.get_port(0)}/admin/fault",
                content=msgspec.json.encode(fault),
            )

    async def send_request(
        self, path="/read/x", method="GET", headers=(), content=None, **options
    ):
        """Send a client's request and return the response.

        :param options: ``attempt_id``, ``deadline_ms`` and ``port_offset``.
        """
        attempt_id = options.get("attempt_id", f"id{next(_attempt_ids)}")
        request_headers = {
            "Host": "h.example",
            "X-Attempt-Id": attempt_id,
            "X-Deadline-Ms": str(options.get("deadline_ms", 3000)),
            **dict(headers),
        }
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                method,
                f"http://{HOST}:{self.get_port(options.get('port_offset', 0) + 1)}"
                f"{path}",
                headers=request_headers,
                content=content,
            )

    async def get(self, offset, path):
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                "GET", f"http://{HOST}:{self.get_port(offset)}{path}"
            )

    async def is_ready(self, port_offset=0):
        try:
            response = await self.get(port_offset + 2, protocol.READINESS_PATH)
        except httpcore.ConnectError:
            return False
        return response.status == 200

    async def wait_ready(self):
        with anyio.fail_after(10):
            while not await self.is_ready():
                await anyio.sleep(0.05)
            while (await self.send_request()).status != 200:
                await anyio.sleep(0.05)
        for target in self.targets:
            target.runs.clear()
            target.deadlines.clear()

    async def wait_open(self, port):
        with anyio.fail_after(5):
            while True:
                try:
                    stream = await anyio.connect_tcp(HOST, port)
                except OSError:
                    await anyio.sleep(0.02)
                else:
                    await stream.aclose()
                    return

    def get_runs(self):
        return [run for target in self.targets for run in target.runs]


async def wait_for(condition, limit):
    """Wait until an async condition holds, ``limit`` seconds at most."""
    with anyio.fail_after(limit):
        while not await condition():
            await anyio.sleep(0.05)
