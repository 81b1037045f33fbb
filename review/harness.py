"""Stand-ins and process control that the scripts of the cases share.

Only the standard library is used. The store and the targets run in the script's own
process, the entry instances as processes of their own, started as the deploy file
says. All addresses are loopback addresses and all ports free ones.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import deque
from functools import partial
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
ZONES = {"gulf-mobile": "gulf", "gulf-biloxi": "gulf", "piedmont-durham": "piedmont"}
BOUNDS = {
    "grace_s": 6,
    "ttl_max_s": 5,
    "retry_budget_ratio": 0.2,
    "budget_extra": 64,
    "budget_window_s": 10,
    "cold_overage": 1.5,
    "cold_slack": 5,
    "max_shift": 0.15,
}
PORTS = range(12000, 30000)  # below those of outgoing connections
HEARTBEAT_INTERVAL = 1.5  # seconds between two entries of a target
RECONNECT_DELAY = 0.1  # seconds of a client from a lost connection to the next
QUEUE_FACTOR = 3  # requests that a target queues for each of its slots
OBJECTS = 96  # that the requests of the clients concern
RESTART_DELAY = 0.5  # seconds from the end of a process to its next start
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 8_000_000,
    "header_timeout_ms": 2000,
    "idle_timeout_ms": 20000,
}


class CannotRun(Exception):
    """The case could not be set up, so that it says nothing about the rule."""


def has_trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def get_free_ports(count):
    """Return ports that are free now, and that no outgoing connection is given."""
    ports = []
    for port in random.sample(PORTS, len(PORTS)):
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((HOST, port))
            ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRun(f"fewer than {count} free ports")


class Record:
    """The lines of ``record.txt``, with the seconds since the script's start."""

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._path.write_text("")
        self._began_at = time.monotonic()

    def write(self, text):
        """Add a line."""
        line = f"{time.monotonic() - self._began_at:8.3f} {text}"
        with self._path.open("a") as file:
            file.write(line + "\n")


def run_case(main, script):
    """Run a case, write its record beside the script and exit with its verdict.

    :param main: coroutine function of the :class:`Record` that returns
        :data:`HELD` or :data:`BROKEN`.
    """
    record = Record(pathlib.Path(script).resolve().parent / "record.txt")
    record.write(f"disruption {'played' if has_trouble() else 'left out'}")
    try:
        verdict = asyncio.run(asyncio.wait_for(main(record), 115))
    except (CannotRun, OSError, TimeoutError) as exc:
        record.write(f"could not run: {exc!r}")
        verdict = COULD_NOT_RUN
    names = {HELD: "rule held", BROKEN: "rule broken", COULD_NOT_RUN: "could not run"}
    record.write(names[verdict])
    print(names[verdict])
    sys.exit(verdict)


async def wait_until(condition, seconds, what):
    """Wait until a condition holds.

    :raises CannotRun: if it does not in time.
    """
    end = time.monotonic() + seconds
    while True:
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return
        if time.monotonic() > end:
            raise CannotRun(f"{what} not reached in {seconds} s")
        await asyncio.sleep(0.05)


async def read_message(reader):
    """Return the first line, headers and body of an HTTP message with a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


def make_head(first, headers):
    """Return the head of an HTTP message as bytes."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Store:
    """The platform's metadata store, as the users' pages describe it.

    Each caller has a port of its own, which tells the store who calls.

    :ivar is_down: whether all calls are answered 503 and nothing is done.
    :ivar behave: coroutine function of (caller, method, path), called before a call is
        executed; it may delay it, or return a status and a document to answer at once.
    """

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1
        self.era = 1
        self.leases = {}  # id -> [time of expiry, seconds]
        self.behave = None
        self.is_down = False
        self._changed = asyncio.Event()
        self._last_lease = 0
        self._expiry = asyncio.create_task(self._expire())

    async def listen(self, caller):
        """Listen on a free port for one caller and return the port."""
        (port,) = get_free_ports(1)
        await asyncio.start_server(partial(self._serve, caller), HOST, port)
        return port

    def put(self, key, value, lease=0):
        """Write a key; an object is written as JSON."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._add_event(item)

    def remove(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add_event({"key": key, "rev": self.revision, "deleted": True})

    def _add_event(self, event):
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [k for k, v in self.leases.items() if v[0] <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, v in self.items.items() if v["lease"] == lease]:
            self.remove(key)

    async def _serve(self, caller, reader, writer):
        try:
            while True:
                first, _, body = await read_message(reader)
                method, target, _ = first.split(" ")
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                answer = (503, {}) if self.is_down else None
                if answer is None and self.behave is not None:
                    answer = await self.behave(caller, method, url.path)
                if answer is None:
                    answer = await self._handle(method, url.path, query, body)
                status, document = answer
                content = json.dumps(document).encode()
                writer.write(
                    make_head(
                        f"HTTP/1.1 {status} OK",
                        {
                            "Content-Type": "application/json",
                            "Content-Length": len(content),
                            "Store-Era": self.era,
                        },
                    )
                    + content
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, method, path, query, body):
        call = path.removeprefix("/turmericrudder/").split("/")
        match method, call[0]:
            case "GET", "kv-key":
                item = self.items.get(query["key"])
                return (
                    (200, item | {"store_revision": self.revision})
                    if item
                    else (
                        404,
                        {},
                    )
                )
            case "GET", "kv-range":
                return 200, self._get_range(query)
            case "GET", "kv-watch":
                return await self._watch(query)
            case "POST", "kv-txn":
                return self._commit(json.loads(body))
            case "POST", "kv-lease":
                self._last_lease += 1
                seconds = json.loads(body)["ttl_ms"] / 1000
                self.leases[self._last_lease] = [time.monotonic() + seconds, seconds]
                return 200, {"lease": self._last_lease, "ttl_ms": int(seconds * 1000)}
            case "POST", "kv-keep":
                lease = self.leases.get(int(call[1]))
                if lease is None:
                    return 404, {}
                lease[0] = time.monotonic() + lease[1]
                return 200, {"ttl_ms": int(lease[1] * 1000)}
            case "DELETE", "kv-lease-end":
                if int(call[1]) not in self.leases:
                    return 404, {}
                self._end_lease(int(call[1]))
                return 200, {}
        return 404, {}

    def _get_range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return {
            "items": [self.items[key] for key in keys[:500]],
            "has_more": len(keys) > 500,
            "store_revision": self.revision,
        }

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        if after > self.revision:
            return 410, {}
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self.events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _commit(self, transaction):
        for row in transaction.get("expected_rev", []):
            if self.items.get(row["key"], {"rev": 0})["rev"] != row["rev"]:
                rows = transaction["expected_rev"]
                items = [self.items[r["key"]] for r in rows if r["key"] in self.items]
                return 412, {"items": items}
        puts = transaction.get("puts", [])
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        for put in puts:
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, put.get("lease", 0))
        for key in transaction.get("remove", []):
            self.remove(key)
        return 200, {"rev": self.revision}


class Target:
    """A sound target: it runs requests, as many at once as it has slots.

    :ivar runs: (time, first line, headers, body) of each request it began to run.
    :ivar service_time: seconds that a request takes.
    :ivar cold_until: monotonic time until which the target is cold.
    :ivar tolerated_rate: requests of one second beyond which it crashes while it is
        cold, ``None`` if it does not.
    :ivar crashes: times at which it has crashed in that way.
    """

    def __init__(
        self, store, name, zone="gulf-mobile", service="s1", slots=6, service_time=0.02
    ):
        self.store = store
        self.name = name
        self.zone = zone
        self.service = service
        self.slots = slots
        self.service_time = service_time
        self.port = None
        self.runs = []
        self.active = 0
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.cold_until = 0.0
        self.tolerated_rate = None
        self.crashes = []
        self._waiting = deque()
        self._server = None
        self._writers = set()

    async def start(self, cold_s=0.0):
        """Listen and register.

        :param cold_s: seconds for which it is cold.
        """
        self.cold_until = time.monotonic() + cold_s
        if self.port is None:
            (self.port,) = get_free_ports(1)
        self._server = await asyncio.start_server(self.serve, HOST, self.port)
        self._heartbeat = asyncio.create_task(self._send_heartbeats())

    async def _send_heartbeats(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_INTERVAL)

    async def restart(self, after, cold_s):
        """Crash, and start again with the same id and address.

        :param after: seconds until the new incarnation starts.
        """
        await self.stop()
        await asyncio.sleep(after)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.start(cold_s)

    async def stop(self):
        """Stop to listen and break off all connections, like a crash."""
        if self._server is not None:
            self._heartbeat.cancel()
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def get_cold_ms(self):
        """Return the milliseconds for which the target stays cold."""
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def register(self):
        """Write the entry in the store, unless the store is down."""
        self.sequence += 1
        if not self.store.is_down:
            self.store.put(f"servers/{self.name}", self.make_entry())

    def make_entry(self):
        """Return the entry of this target."""
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": self.get_cold_ms(),
            "seq": self.sequence,
            "born": self.born,
        }

    async def serve(self, reader, writer):
        """Serve one connection."""
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                if first.split(" ")[1] == "/health":
                    fields = {
                        "X-Instance-Id": self.name,
                        "X-Cold-Ms": self.get_cold_ms(),
                        "Content-Length": 0,
                    }
                    writer.write(make_head("HTTP/1.1 200 OK", fields))
                    continue
                await self.answer(first, headers, body, reader, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, first, headers, body, reader, writer):
        """Run a request and write the response."""
        if headers.get("x-expect-instance", self.name) != self.name:
            self.write_response(writer, headers, 421, b"", signed=False)
            return
        if not await self.wait_slot():
            self.write_response(
                writer, headers, 503, b"", signed=False, X_Not_Executed="full"
            )
            return
        now = time.monotonic()
        self.runs.append((now, first, headers, body))
        if self.tolerated_rate is not None and now < self.cold_until:
            recent = sum(at > now - 1.0 for at, *_ in self.runs)
            if recent > self.tolerated_rate:
                self.crashes.append(now)
                await self.stop()
                raise ConnectionResetError
        self.active += 1
        try:
            await asyncio.sleep(self.service_time)
        finally:
            self.active -= 1
            self._pass_slot_on()
        self.write_response(writer, headers, 200, self.make_body(headers))

    async def wait_slot(self):
        """Return whether a slot was free, or became free while there was a queue."""
        if self.active < self.slots:
            return True
        if len(self._waiting) >= QUEUE_FACTOR * self.slots:
            return False
        slot = asyncio.get_running_loop().create_future()
        self._waiting.append(slot)
        await slot
        return True

    def _pass_slot_on(self):
        while self._waiting:
            slot = self._waiting.popleft()
            if not slot.done():
                slot.set_result(None)
                return

    def make_body(self, headers):
        """Return the body of the response to a request."""
        return f"{self.name} {headers['x-attempt-id']}".encode()

    def write_response(self, writer, headers, status, body, signed=True, **more):
        """Write a response with the headers that the pages name."""
        fields = {
            "X-Attempt-Id": headers.get("x-attempt-id", ""),
            "X-Instance-Id": self.name,
            "X-Server-Load": f"{self.active},{len(self._waiting)},{self.slots}",
        }
        if signed:
            fields["X-Response-Signature"] = f"{self.name}.{headers['x-attempt-id']}"
        fields |= {name.replace("_", "-"): value for name, value in more.items()}
        fields["Content-Length"] = len(body)
        writer.write(make_head(f"HTTP/1.1 {status} Status", fields) + body)


def make_route(name, prefix, kind="idempotent", service="s1", **fields):
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": "h.example",
        "prefix": prefix,
        "service": service,
        "backends": None,
        "kind": kind,
        "timeout_ms": 3000,
        "slo_ms": 500,
        "max_attempts": 2,
        "priority": 1,
        "affinity": False,
        "home_regions": None,
        **fields,
    }


def make_configuration(version, routes, services=("s1",), cold_start_s=3.0, cold=7.3):
    """Return the operator's configuration."""
    columns = list(routes[0])
    return {
        "version": f"r{version}",
        "routes": {
            "columns": columns,
            "rows": [[route[column] for column in columns] for route in routes],
        },
        "services": {
            "columns": [
                "name", "health_path", "max_conns", "cold_start_s", "cold_per_s",
            ],
            "rows": [[name, "/health", 390, cold_start_s, cold] for name in services],
        },
        "limits": LIMITS,
    }  # fmt: skip


class Gateway:
    """An entry instance: a process with its settings and log.

    :ivar own_ends: (time, exit status) of each end of a supervised process.
    """

    def __init__(self, directory, store_address, name, zone="gulf-mobile"):
        self.name = name
        self.zone = zone
        self.directory = pathlib.Path(directory)
        self.settings_path = self.directory / f"{name}.ini"
        self.log_path = self.directory / f"{name}.log"
        self.store_address = store_address
        self.seeds = []
        self.process = None
        self.own_ends = []
        self._supervisor = None
        names = ("front", "readiness", "directory", "control", "metrics")
        self.ports = dict(zip(names, get_free_ports(len(names)), strict=True))

    async def start(self):
        """Render the settings and start the process with the deploy file's command."""
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        text = (ROOT / role["template"]).read_text()
        self.settings_path.write_text(self._render(text))
        words = shlex.split(role["run"])
        words[0] = sys.executable if words[0] == "python3" else words[0]
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["TURMERICRUDDER_CONFIG"] = str(self.settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def supervise(self, record):
        """Start the process again whenever it ends by itself, as the platform does."""

        async def restart():
            while True:
                status = await self.process.wait()
                self.own_ends.append((time.monotonic(), status))
                record.write(f"{self.name} ended by itself, exit status {status}")
                await asyncio.sleep(RESTART_DELAY)
                await self.start()

        self._supervisor = asyncio.create_task(restart())

    def _render(self, text):
        """Fill in the template; only the metrics port differs, as HOST is shared."""
        listen = {key: f"{HOST}:{port}" for key, port in self.ports.items()}
        values = {
            "node_name": self.name,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "seeds": ",".join(self.seeds),
            "ip": HOST,
            "platform.address": self.store_address,
            "platform.ttl_min_ms": 1000,
            "limits.cpu_share": 0.86,
            "limits.cores": 1,
            "limits.link_mbps": 1000.0,
            **{f"listen.{key}": value for key, value in listen.items()},
            **{f"bounds.{key}": value for key, value in BOUNDS.items()},
        }
        zones = "".join(f"{zone} = {region}\n" for zone, region in ZONES.items())
        text = re.sub(r"\{\{#zones\}\}.*?\{\{/zones\}\}", zones, text, flags=re.DOTALL)
        text = text.replace("{{ip}}:9464", listen["metrics"])
        return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(values[match[1]]), text)

    async def is_ready(self):
        """Return whether the readiness address answers 200."""
        try:
            status, _, _ = await call(self.ports["readiness"], "/turmericrudder/ready")
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return False
        return status == 200

    async def get_metric(self, name):
        """Return the value of a metric, ``None`` without it."""
        try:
            _, _, body = await call(self.ports["metrics"], "/metrics")
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return None
        for line in body.decode().splitlines():
            series, _, value = line.rpartition(" ")
            if series == f"turmericrudder_{name}":
                return float(value)
        return None

    def send_signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def stop(self):
        """Kill the process if it still runs."""
        if self._supervisor is not None:
            self._supervisor.cancel()
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


async def call(port, path, timeout=2.0):
    """Return status, headers and body of a GET."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(make_head(f"GET {path} HTTP/1.1", {"Host": "x"}))
        first, headers, body = await asyncio.wait_for(read_message(reader), timeout)
        return int(first.split(" ")[1]), headers, body
    finally:
        writer.close()


def find_busiest_second(arrivals):
    """Return the arrivals of the busiest second.

    :param arrivals: tuples whose first item is the time, in order.
    """
    busiest = []
    for first, *_ in arrivals:
        window = [each for each in arrivals if first <= each[0] < first + 1.0]
        busiest = max(busiest, window, key=len)
    return busiest


async def send_steadily(gateways, interval, path, method, results):
    """Send requests to entry instances until cancelled, each on a new connection.

    They concern a few objects in turn, which the affinity header names.

    :param interval: seconds between two requests to one instance.
    :param results: dict of the statuses by attempt id.
    """

    async def send_one(gateway, attempt_id, number):
        results[attempt_id] = None
        body = b"pair" if method == "POST" else b""
        status, _, _ = await send(
            gateway.ports["front"],
            attempt_id,
            path,
            method,
            body,
            headers={"X-Affinity-Key": number % OBJECTS},
        )
        results[attempt_id] = status

    async with asyncio.TaskGroup() as tasks:
        number = 0
        while True:
            for gateway in gateways:
                attempt_id = f"{gateway.name}.{number}"
                tasks.create_task(send_one(gateway, attempt_id, number))
                await asyncio.sleep(interval / len(gateways))
            number += 1


async def keep_sending(gateway, number, path, method, results):
    """Send requests on one kept connection, one after the other, until cancelled.

    :param number: of the connection, among those to this instance.
    :param results: dict of (status, whether the connection was used before) by attempt
        id; the status is 0 if the connection ended instead of an answer.
    """
    sent = 0
    while True:
        writer, requests = None, 0
        try:
            reader, writer = await asyncio.open_connection(HOST, gateway.ports["front"])
            while True:
                attempt_id = f"{gateway.name}.{number}.{sent}"
                results[attempt_id] = None, requests > 0
                headers = {
                    "Host": "h.example",
                    "X-Attempt-Id": attempt_id,
                    "X-Deadline-Ms": 3000,
                    "X-Affinity-Key": (number + 7 * sent) % OBJECTS,
                    "Content-Length": 0,
                }
                sent += 1
                writer.write(make_head(f"{method} {path} HTTP/1.1", headers))
                first, _, _ = await read_message(reader)
                results[attempt_id] = int(first.split(" ")[1]), requests > 0
                requests += 1
        except (OSError, asyncio.IncompleteReadError):
            if requests:
                results[attempt_id] = 0, True
            await asyncio.sleep(RECONNECT_DELAY)
        finally:
            if writer is not None:
                writer.close()


def count_statuses(results):
    """Return the number of requests by status as text."""
    counts = {}
    for status in results.values():
        counts[status] = counts.get(status, 0) + 1
    return ", ".join(f"{status}: {count}" for status, count in counts.items())


async def send(port, attempt_id, path="/read/x", method="GET", body=b"", **options):
    """Send a client's request on a new connection; return (status, headers, body).

    The status is 0 if the connection ends without a complete response, and -1 if the
    client's own deadline passes.

    :param options: ``deadline_ms`` and ``headers``.
    """
    deadline_ms = options.get("deadline_ms", 3000)
    headers = {
        "Host": "h.example",
        "X-Attempt-Id": attempt_id,
        "X-Deadline-Ms": deadline_ms,
        **options.get("headers", {}),
    }
    if body or method != "GET":
        headers["Content-Length"] = len(body)
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(make_head(f"{method} {path} HTTP/1.1", headers) + body)
            first, answer_headers, answer = await read_message(reader)
            return int(first.split(" ")[1]), answer_headers, answer
    except TimeoutError:
        return -1, {}, b""
    except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


@contextlib.asynccontextmanager
async def run_deployment(
    record, targets, gateways, routes, services=("s1",), **options
):
    """Run a store, targets and entry instances until the block ends.

    :param targets: function of the :class:`Store` that returns the targets.
    :param gateways: zones of the entry instances.
    :param options: of :func:`make_configuration`.
    """
    store = Store()
    store.put("op/config", make_configuration(1, routes, services, **options))
    with tempfile.TemporaryDirectory() as directory:
        made = targets(store)
        for target in made:
            await target.start()
        running = []
        for number, zone in enumerate(gateways, 1):
            name = f"edge-{zone}-{number}"
            address = f"{HOST}:{await store.listen(name)}"
            running.append(Gateway(directory, address, name, zone))
        seeds = [f"{HOST}:{gateway.ports['control']}" for gateway in running[:3]]
        try:
            for gateway in running:
                gateway.seeds = seeds
                await gateway.start()
            for gateway in running:
                await wait_until(gateway.is_ready, 15, f"{gateway.name} ready")

                async def is_complete(gateway=gateway):
                    return await gateway.get_metric("members") == len(
                        running
                    ) and await gateway.get_metric("targets") == len(made)

                await wait_until(is_complete, 15, f"{gateway.name} knows all others")
            record.write(f"{len(running)} entry instances ready, {len(made)} targets")
            yield store, made, running
        finally:
            for gateway in running:
                await gateway.stop()
            if kept := os.environ.get("KEEP_LOGS"):
                for gateway in running:
                    pathlib.Path(kept, gateway.log_path.name).write_bytes(
                        gateway.log_path.read_bytes()
                    )
            for target in made:
                await target.stop()
