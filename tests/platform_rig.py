"""One gateway process with a store and targets in the test's own process."""

import contextlib
import itertools
import os
import signal
import subprocess
import sys

import anyio
import httpcore
import msgspec

from standins.serving import serve
from standins.store import StoreApplication
from standins.target import TargetApplication
from turmericrudder.platform import names

HOST = "127.0.20.1"
LIMITS = {
    "max_header_bytes": 2048,
    "max_body_bytes": 1_000_000,
    "header_timeout_ms": 500,
    "idle_timeout_ms": 5000,
}
_ids = itertools.count(1)

SETTINGS = """[instance]
name = {name}
failure_domain = a1
region = a

[listen]
clients = {host}:{port}
readiness = {host}:{readiness}
directory = {host}:{directory}
peers = {host}:{peers}
metrics = {host}:{metrics}
{seeds}

[store]
address = {host}:{store}
lease_min = 1000ms

[regions]
a1 = a
b1 = b

[bounds]
grace = 4s
lookup_ttl = 2s
retry_ratio = 0.2
retry_extra = 64
retry_window = 10s
cold_overage = 1.5
cold_slack = 5
max_shift = 0.15
"""


def make_route(name="r1", prefix="/read/", kind="idempotent", **more):
    return {
        "name": name,
        "host": "h.example",
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 2000,
        "slo_ms": 500,
        "priority": 1,
        "service": "s1",
        "max_attempts": 2,
        "affinity": False,
        "home_regions": [],
        "backends": None,
        **more,
    }


def make_configuration(version, routes, limits=None):
    columns = list(make_route())
    service_columns = ["name", "health_path", "max_conns", "cold_start_s", "cold_per_s"]
    return {
        "version": f"r{version}",
        "routes": {
            "columns": columns,
            "rows": [[route[column] for column in columns] for route in routes],
        },
        "services": {
            "columns": service_columns,
            "rows": [
                ["s1", "/health", 50, 1.0, 5.0],
                ["s2", "/health", 50, 1.0, 5.0],
            ],
        },
        "limits": {**LIMITS, **(limits or {})},
    }


def make_registration(port, zone="a1", state="ready", seq=1, **more):
    return {
        "service": "s1",
        "address": f"{HOST}:{port}",
        "zone": zone,
        "version": "v1",
        "slots": 4,
        "state": state,
        "cold_left_ms": 0,
        "seq": seq,
        **more,
    }


class Rig:
    """Store and targets in this process, the gateway in one of its own."""

    def __init__(self, base, directory, targets=2, work=0.01):
        self.base = base
        self.directory = directory
        self.store = StoreApplication(0.0)
        self.targets = [
            TargetApplication(f"t{number}", work=work) for number in range(targets)
        ]
        self.process = None
        self.log = directory / "gateway.log"

    def get_port(self, offset):
        return self.base + offset

    async def __aenter__(self):
        served = [(self.store, f"{HOST}:{self.get_port(0)}")]
        for number, target in enumerate(self.targets):
            served.append((target, f"{HOST}:{self.get_target_port(number)}"))
        self._stack = contextlib.AsyncExitStack()
        tasks = await self._stack.enter_async_context(anyio.create_task_group())
        self._scope = tasks.cancel_scope
        tasks.start_soon(serve, served)
        await self.wait_open(self.get_port(0))
        await self.put(
            {
                names.CONFIGURATION_KEY: make_configuration(
                    1,
                    [
                        make_route(),
                        make_route("r2", "/write/", "non_idempotent"),
                        make_route("r3", "/slow/", timeout_ms=300),
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
        await self.wait_ready()
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

    def start_instance(self, first=0, store=0, seeds=""):
        """Start a gateway and return its process.

        :param first: offset of its ports.
        :param store: offset of the store's port.
        """
        path = self.directory / f"gateway{first}.ini"
        path.write_text(
            SETTINGS.format(
                name=f"g{self.base + first}",
                host=HOST,
                port=self.get_port(first + 1),
                readiness=self.get_port(first + 2),
                directory=self.get_port(first + 3),
                peers=self.get_port(first + 4),
                metrics=self.get_port(first + 5),
                store=self.get_port(store),
                seeds=seeds,
            )
        )
        with self.log.open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "turmericrudder.gateway"],
                env={**os.environ, "TURMERICRUDDER_CONFIG": str(path)},
                stdout=log,
                stderr=log,
            )

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
        """Return how often a call of the store has been made."""
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                "POST",
                f"http://{HOST}:{self.get_port(0)}/admin/put",
                content=b"{}",
            )
        return msgspec.json.decode(response.content).get(call, 0)

    async def has_key(self, key):
        """Return whether the store has a key."""
        answer = await self.get(0, f"{names.CALL_KEY}?key={key}")
        return answer.status == 200

    async def get_metric(self, first, name):
        """Return the value of a gauge of an instance, ``None`` without it."""
        try:
            answer = await self.get(first + 5, "/metrics")
        except httpcore.ConnectError:
            return None
        for line in answer.content.decode().splitlines():
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

    async def ask(self, path="/read/x", method="GET", headers=(), content=None, **more):
        """Return the answer to one request of a client."""
        attempt_id = more.get("attempt_id", f"id{next(_ids)}")
        sent = {
            "Host": "h.example",
            "X-Attempt-Id": attempt_id,
            "X-Deadline-Ms": str(more.get("deadline_ms", 3000)),
            **dict(headers),
        }
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                method,
                f"http://{HOST}:{self.get_port(more.get('first', 0) + 1)}{path}",
                headers=sent,
                content=content,
            )

    async def get(self, offset, path):
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                "GET", f"http://{HOST}:{self.get_port(offset)}{path}"
            )

    async def is_ready(self, first=0):
        try:
            answer = await self.get(first + 2, names.CALL_READY)
        except httpcore.ConnectError:
            return False
        return answer.status == 200

    async def wait_ready(self):
        with anyio.fail_after(10):
            while not await self.is_ready():
                await anyio.sleep(0.05)
            while (await self.ask()).status != 200:
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


def get_header(answer, name):
    for key, value in answer.headers:
        if key.lower() == name:
            return value
    return None
