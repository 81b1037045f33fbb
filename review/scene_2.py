"""Stand-ins of the store, of targets and of clients, and real gateway processes.

It uses the standard library only. The stand-ins run in the process of the script; the
gateways are started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

REPOSITORY = Path(__file__).resolve().parent.parent
ZONES = {"north-a": "north", "north-b": "north", "south-a": "south", "south-b": "south"}
BOUNDS = {"drain_ms": 2500, "stable_window_ms": 4000, "config_apply_ms": 2500}
HEARTBEAT = 1.5  # seconds
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SETTINGS = """[instance]
name = {name}
failure_domain = {zone}
region = {region}

[listen]
clients = {host}:{ports[0]}
readiness = {host}:{ports[1]}
directory = {host}:{ports[2]}
peers = {host}:{ports[3]}
metrics = {host}:{ports[4]}
seeds = {seeds}

[store]
address = {store}
lease_min = 1000ms

[regions]
{regions}

[bounds]
grace = 6s
lookup_ttl = 5s
retry_ratio = 0.2
retry_extra = 64
retry_window = 10s
cold_overage = 1.5
cold_slack = 5
max_shift = 0.15

[machine]
cpu_share = 0.86
cores = 1
link_mbps = 1000.0
"""
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 8_000_000,
    "header_timeout_ms": 5000,
    "idle_timeout_ms": 20_000,
}


class Record:
    """Writes what happens to the file ``record.txt`` of a case."""

    def __init__(self, directory):
        self._file = (Path(directory) / "record.txt").open("w")
        self._began_at = time.monotonic()

    def write(self, text):
        self._file.write(f"{time.monotonic() - self._began_at:8.3f} {text}\n")
        self._file.flush()


def find_ports(host, count):
    """Return free ports of an address."""
    with contextlib.ExitStack() as stack:
        sockets = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind((host, 0))
            sockets.append(sock)
        return [sock.getsockname()[1] for sock in sockets]


async def read_head(reader):
    """Return (first line, [(name in lower case, value)]), ``None`` at the end."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    pairs = [line.partition(":")[::2] for line in lines[1:] if line]
    return lines[0], [(name.lower(), value.strip()) for name, value in pairs]


async def read_body(reader, headers):
    """Return the body of a request or of a response with a length or in chunks."""
    fields = dict(headers)
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
        return body
    return await reader.readexactly(int(fields.get("content-length", 0)))


def make_response(status, body=b"", headers=()):
    """Return a complete response as bytes."""
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Accepts connections; a subclass handles one request at a time on each.

    :ivar connections: writers of the open connections.
    """

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.connections = set()
        self._server = None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def open(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20
        )

    def close(self):
        """Stop accepting and end all connections as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.connections):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                await self.handle(head, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass  # the script ends
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, head, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store, in one process and without faults."""

    def __init__(self, host, port):
        super().__init__(host, port)
        self.entries = {}
        self.revision = 1
        self.events = []
        self.leases = {}
        self._lease_ids = itertools.count(1)
        self._changed = asyncio.Event()
        self._watching = set()

    def cut_watches(self):
        """Close the connections of the watches that wait, without an answer."""
        for writer in list(self._watching):
            writer.close()

    def put(self, key, value, lease=0):
        """Write a key.

        :param value: bytes, or a document that is written as JSON.
        """
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.entries.get(key, {}).get("created", self.revision)
        self.entries[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "created": created,
            "lease": lease,
        }
        self._append(self.entries[key])

    def remove(self, key):
        if self.entries.pop(key, None) is not None:
            self.revision += 1
            self._append({"key": key, "rev": self.revision, "deleted": True})

    def get_document(self, key):
        entry = self.entries.get(key)
        if entry is None:
            return None
        return json.loads(base64.b64decode(entry["value"]))

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [n for n, (end, _) in self.leases.items() if end <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        for key, entry in list(self.entries.items()):
            if entry["lease"] == lease:
                self.remove(key)

    def _append(self, event):
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, head, reader, writer):
        method, target, _ = head[0].split(" ")
        body = await read_body(reader, head[1])
        await asyncio.sleep(0.004)
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        call = unquote(parts.path).removeprefix("/turmericrudder/")
        if call == "kv-watch":
            self._watching.add(writer)
        try:
            status, document = await self._run(call, query, body)
        finally:
            self._watching.discard(writer)
        if writer.is_closing():
            return
        content = json.dumps(document).encode()
        writer.write(
            make_response(status, content, [("content-type", "application/json")])
        )
        await writer.drain()

    async def _run(self, call, query, body):
        name, _, number = call.partition("/")
        match name:
            case "kv-key":
                entry = self.entries.get(query["key"])
                if entry is None:
                    return 404, {}
                return 200, entry | {"store_revision": self.revision}
            case "kv-range":
                prefix, after = query.get("prefix", ""), query.get("after", "")
                keys = [k for k in self.entries if k.startswith(prefix) and k > after]
                return 200, {
                    "items": [self.entries[key] for key in sorted(keys)],
                    "has_more": False,
                    "store_revision": self.revision,
                }
            case "kv-watch":
                return await self._watch(query)
            case "kv-txn":
                return self._commit(json.loads(body))
            case "kv-lease":
                lease, ttl = next(self._lease_ids), json.loads(body)["ttl_ms"] / 1000
                self.leases[lease] = (time.monotonic() + ttl, ttl)
                return 200, {"lease": lease, "ttl_ms": int(ttl * 1000)}
        lease = int(number)
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][1]
        if name == "kv-keep":
            self.leases[lease] = (time.monotonic() + ttl, ttl)
        else:
            self._end_lease(lease)
        return 200, {"ttl_ms": int(ttl * 1000)}

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self.events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _commit(self, transaction):
        for row in transaction.get("expected_rev", ()):
            entry = self.entries.get(row["key"])
            if row["rev"] != (entry["rev"] if entry else 0):
                items = [
                    self.entries[r["key"]]
                    for r in transaction["expected_rev"]
                    if r["key"] in self.entries
                ]
                return 412, {"items": items}
        puts = transaction.get("puts", ())
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        for put in puts:
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, put.get("lease", 0))
        for key in transaction.get("remove", ()):
            self.remove(key)
        return 200, {"rev": self.revision}


class Target(Server):
    """A target that runs what names its id and registers itself in the store.

    :ivar runs: (time, attempt id, path) of what it began to run.
    """

    def __init__(self, scene, name, service, zone, host, port, work=0.05, slots=6):
        super().__init__(host, port)
        self.scene, self.name, self.service, self.zone = scene, name, service, zone
        self.work, self.slots = work, slots
        self.state, self.cold_ms = "ready", 0
        self.running = 0
        self.runs = []
        self.is_registered = True
        self._start()

    def _start(self):
        self.born = int(time.time() * 1000)
        self.sequence = 0

    @property
    def key(self):
        return f"servers/{self.name}"

    def make_entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": self.cold_ms,
            "seq": self.sequence,
            "born": self.born,
        }

    def beat(self):
        """Write the entry, unless the one in the store differs in ``seq`` only."""
        self.sequence += 1
        entry = self.make_entry()
        stored = self.scene.store.get_document(self.key)
        if stored is None or stored | {"seq": 0} != entry | {"seq": 0}:
            self.scene.store.put(self.key, entry)

    async def keep_registered(self):
        while True:
            if self.is_registered:
                self.beat()
            await asyncio.sleep(HEARTBEAT)

    async def crash(self, seconds):
        """End as a killed process does, and start again after some seconds."""
        self.scene.record.write(f"target {self.name} crashed")
        self.is_registered = False
        self.close()
        await asyncio.sleep(seconds)
        self._start()
        self.running = 0
        await self.open()
        self.is_registered = True
        self.beat()
        self.scene.record.write(f"target {self.name} is back")

    def make_headers(self, fields):
        headers = [
            ("X-Instance-Id", self.name),
            ("X-Server-Load", f"{self.running},0,{self.slots}"),
        ]
        if "x-attempt-id" in fields:
            headers.append(("X-Attempt-Id", fields["x-attempt-id"]))
        return headers

    async def handle(self, head, reader, writer):
        method, path, _ = head[0].split(" ")
        fields = dict(head[1])
        body = await read_body(reader, head[1])
        headers = self.make_headers(fields)
        if path == "/health":
            writer.write(make_response(200, b"", headers))
            return
        if fields.get("x-expect-instance") != self.name:
            not_executed = [*headers, ("X-Not-Executed", "1")]
            writer.write(make_response(421, b"", not_executed))
            return
        self.runs.append((time.monotonic(), fields["x-attempt-id"], path))
        self.scene.record.write(
            f"run at {self.name} ({self.service}): {fields['x-attempt-id']}"
            f" {method} {path}"
        )
        self.running += 1
        try:
            await self.run(method, path, fields, body, writer)
        finally:
            self.running -= 1

    async def run(self, method, path, fields, body, writer):
        await asyncio.sleep(self.work)
        headers = [*self.make_headers(fields), ("X-Response-Signature", "sig")]
        writer.write(make_response(200, f"{self.service} {path}".encode(), headers))
        await writer.drain()


class Gateway:
    """A gateway process."""

    def __init__(self, scene, name, zone, host, ports):
        self.scene, self.name, self.zone = scene, name, zone
        self.host, self.ports = host, ports
        self.process = None

    @property
    def peer_address(self):
        return f"{self.host}:{self.ports[3]}"

    def start(self):
        scene = self.scene
        path = scene.directory / f"{self.name}.ini"
        path.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                region=ZONES[self.zone],
                host=self.host,
                ports=self.ports,
                store=scene.store_address,
                seeds=",".join(g.peer_address for g in scene.gateways[:3]),
                regions="\n".join(f"{zone} = {name}" for zone, name in ZONES.items()),
            )
        )
        variables = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        variables["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        variables["PYTHONDONTWRITEBYTECODE"] = "1"
        variables["TURMERICRUDDER_CONFIG"] = str(path)
        with (scene.directory / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "turmericrudder.gateway"],
                cwd=REPOSITORY,
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        self.scene.record.write(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        result = await call(self.host, self.ports[1], "GET", "/turmericrudder/ready")
        return result.status == 200


class Result:
    """What a client saw: ``status`` is 0 without a complete answer."""

    def __init__(self, status=0, headers=(), body=b"", error=""):
        self.status, self.headers, self.body = status, dict(headers), body
        self.error = error


async def call(host, port, method, path, headers=(), body=b"", timeout=10.0):
    """Send one request on a connection of its own and return the :class:`Result`."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port, limit=1 << 20)
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = await read_head(reader)
            if head is None:
                return Result(error="closed without an answer")
            status = int(head[0].split(" ")[1])
            content = await read_body(reader, head[1])
            return Result(status, head[1], content)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as exc:
        return Result(error=repr(exc))
    finally:
        if writer is not None:
            writer.transport.abort()


class Scene:
    """A small deployment: one store, some targets and gateways.

    :param directory: of the case, for the record.
    """

    def __init__(self, directory):
        self.record = Record(directory)
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.host = "127.0.77.1"
        self.store = Store(self.host, find_ports(self.host, 1)[0])
        self.store_address = self.store.address
        self.targets = []
        self.gateways = []
        self._tasks = []
        self._ids = itertools.count(1)

    def add_target(self, name, service, zone, kind=Target, **options):
        host = f"127.0.78.{len(self.targets) + 1}"
        port = find_ports(host, 1)[0]
        target = kind(self, name, service, zone, host, port, **options)
        self.targets.append(target)
        return target

    def add_gateway(self, name, zone):
        host = f"127.0.79.{len(self.gateways) + 1}"
        gateway = Gateway(self, name, zone, host, find_ports(host, 5))
        self.gateways.append(gateway)
        return gateway

    def put_configuration(self, version, routes, services):
        """Write the operator's configuration.

        :param routes: (name, prefix, kind, service, timeout in ms, objective in ms).
        :param services: (name, cold start in s, cold requests per s).
        """
        columns = ["name", "host", "prefix", "kind", "service", "timeout_ms", "slo_ms"]
        columns += ["priority", "max_attempts", "affinity"]
        rows = [
            [name, "h.example", prefix, kind, service, timeout, objective, 1, 2, False]
            for name, prefix, kind, service, timeout, objective in routes
        ]
        service_columns = ["name", "health_path", "max_conns"]
        service_columns += ["cold_start_s", "cold_per_s"]
        self.store.put(
            "op/config",
            {
                "version": f"r{version}",
                "routes": {"columns": columns, "rows": rows},
                "services": {
                    "columns": service_columns,
                    "rows": [
                        [name, "/health", 390, cold, rate]
                        for name, cold, rate in services
                    ],
                },
                "limits": LIMITS,
            },
        )

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.append(task)
        return task

    async def start(self, warm_up=10.0):
        """Start all, and wait for as long as traffic stays away after a start."""
        await self.store.open()
        self.spawn(self.store.expire_leases())
        for target in self.targets:
            await target.open()
            self.spawn(target.keep_registered())
        for gateway in self.gateways:
            gateway.start()
        async with asyncio.timeout(15):
            for gateway in self.gateways:
                while not await gateway.is_ready():
                    await asyncio.sleep(0.1)
        await asyncio.sleep(warm_up)

    async def close(self):
        for gateway in self.gateways:
            gateway.end()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in [self.store, *self.targets]:
            server.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.directory}")
        else:
            shutil.rmtree(self.directory, ignore_errors=True)

    async def send(self, gateway, method, path, body=b"", deadline=3.0, headers=()):
        """Send a client's request to a gateway and record it."""
        attempt_id = f"c{next(self._ids)}"
        result = await call(
            gateway.host,
            gateway.ports[0],
            method,
            path,
            [
                ("Host", "h.example"),
                ("X-Attempt-Id", attempt_id),
                ("X-Deadline-Ms", int(deadline * 1000)),
                *headers,
            ],
            body,
            timeout=deadline + 1.0,
        )
        self.record.write(
            f"sent {attempt_id} {method} {path} to {gateway.name}: {result.status}"
            f" {result.error}"
        )
        result.attempt_id = attempt_id
        return result


def run(main, directory):
    """Run a case and exit with its verdict: 0 held, 1 broken, 2 could not run.

    :param main: coroutine function of a scene and whether there is the disruption that
        returns the broken rules as a list of texts.
    """

    async def run_case():
        scene = Scene(directory)
        try:
            async with asyncio.timeout(115):
                broken = await main(scene, os.environ.get("TROUBLE") != "0")
        finally:
            await scene.close()
        for text in broken:
            scene.record.write(f"BROKEN {text}")
        scene.record.write("verdict: " + ("broken" if broken else "held"))
        print("\n".join(broken) or "held")
        return 1 if broken else 0

    try:
        status = asyncio.run(run_case())
    except Exception as exc:
        print(f"could not run: {exc!r}")
        raise SystemExit(2) from exc
    raise SystemExit(status)
