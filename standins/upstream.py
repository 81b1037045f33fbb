"""Stand-ins of upstream targets with slots, service times, faults and a journal."""

import random
from dataclasses import dataclass
from pathlib import Path

import anyio
import msgspec

from turmericrudder.errors import SettingsInvalid
from turmericrudder.ini import parse_ini
from turmericrudder.units import MS_PER_SECOND

from .asgi import (
    abort_connection,
    cancel_on_disconnect,
    parse_query,
    read_body,
    send_response,
)
from .journal import Journal

__all__ = ["UpstreamApplication", "read_upstreams"]

SHED_STATUS = 429
DRAIN_STATUS = 503
DEADLINE_HEADER = b"turmericrudder-deadline-ms"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
CHUNK_BYTES = 16 * 1024


class UpstreamFault(msgspec.Struct):
    """Faults of one target.

    :param slow: factor on all service times.
    :param drain: new requests are rejected with 503, as during a shutdown.
    :param tell: whether load reports show that the target drains.
    :param lose_answers: number of next requests that are executed and whose
        connection is then closed without a response.
    :param truncate: number of next responses that end after half of their body.
    :param silent: connections that had a request before the fault was set get no
        further responses.
    :param lie: in-flight count in load reports, or -1 for the actual count.
    :param report_lag: age of the load reports, in seconds.
    """

    slow: float = 1.0
    drain: bool = False
    tell: bool = True
    lose_answers: int = 0
    truncate: int = 0
    silent: bool = False
    lie: int = -1
    report_lag: float = 0.5


@dataclass(frozen=True, slots=True)
class Profile:
    """Properties of all targets of a profile.

    :param slots: most requests in flight; further ones are rejected.
    :param service_times: seconds by first segment of the path, or ``default``.
    :param cold_seconds: seconds from the first HTTP request, whatever its path,
        during which the target is cold, as if its caches were empty.
    :param cold_factor: factor on the service times of a cold target.
    """

    slots: int
    service_times: dict[str, float]
    cold_seconds: float
    cold_factor: float


class UpstreamApplication:
    """One target, as an ASGI application.

    ``/load`` returns the load report, ``/ran/KEY`` whether a request with this
    idempotency key was completed, and ``/admin/`` gives access to the fault, the
    journal and its spans. All other paths are requests that take service time.

    :param seed: seed of the random variation of its service times.
    """

    def __init__(self, name, profile, seed):
        self.name = name
        self._profile = profile
        self._random = random.Random(f"{seed} {name}")
        self._fault = UpstreamFault()
        self._journal = Journal()
        self._first_request_time = None
        self._connections = set()
        self._silent_connections = set()
        self._load_reports = []  # (time, report)

    async def __call__(self, scope, receive, send):
        """Handle one HTTP request."""
        if self._first_request_time is None:
            self._first_request_time = anyio.current_time()
        path = scope["path"]
        if path == "/admin/fault":
            await self._set_fault(receive, send)
        elif path == "/admin/journal":
            await send_response(send, 200, self._journal.make_document(self.name))
        elif path == "/admin/spans":
            await send_response(send, 200, self._journal.get_spans())
        elif path == "/load":
            await send_response(send, 200, self._get_load_report())
        elif path.startswith("/ran/"):
            has_completed = self._journal.has_completed(path.removeprefix("/ran/"))
            await send_response(send, 200 if has_completed else 404)
        else:
            await self._handle_request(scope, receive, send)

    async def _set_fault(self, receive, send):
        self._fault = msgspec.json.decode(await read_body(receive), type=UpstreamFault)
        self._silent_connections = (
            set(self._connections) if self._fault.silent else set()
        )
        await send_response(send, 200)

    def _get_load_report(self):
        """Add a load report and return the newest one that is old enough."""
        now = anyio.current_time()
        in_flight = self._journal.in_flight
        if self._fault.lie >= 0:
            in_flight = self._fault.lie
        draining = self._fault.drain and self._fault.tell
        self._load_reports.append((now, {"in_flight": in_flight, "draining": draining}))
        due = now - self._fault.report_lag
        while len(self._load_reports) > 1 and self._load_reports[1][0] <= due:
            self._load_reports.pop(0)
        return self._load_reports[0][1]

    async def _handle_request(self, scope, receive, send):
        connection = tuple(scope["client"])
        self._connections.add(connection)
        if connection in self._silent_connections:
            await anyio.sleep_forever()
        headers = dict(scope["headers"])
        key = headers.get(IDEMPOTENCY_KEY_HEADER, b"").decode("latin-1")
        if self._fault.drain:
            self._journal.record_rejection(scope["path"], "drain")
            await send_response(send, DRAIN_STATUS)
            return
        if self._journal.in_flight >= self._profile.slots:
            self._journal.record_rejection(scope["path"], "full")
            await send_response(send, SHED_STATUS)
            return
        entry = self._journal.record_start(key, scope["path"])
        try:
            await self._process(scope, headers, receive, send, entry)
        finally:
            self._journal.record_end(entry)

    async def _process(self, scope, headers, receive, send, entry):
        """Respond after the service time, unless cancelled or past the deadline."""
        body = await read_body(receive)
        if body is None:
            return
        seconds = self._draw_service_time(scope["path"])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cancel_on_disconnect, receive, tasks.cancel_scope)
            with anyio.move_on_after(_get_timeout(headers)):
                await anyio.sleep(seconds)
                entry.is_complete = True
            tasks.cancel_scope.cancel()
        if entry.is_complete:
            await self._respond(scope, body, send)

    async def _respond(self, scope, body, send):
        if self._fault.lose_answers > 0:
            self._fault.lose_answers -= 1
            abort_connection(send)
            return
        prefix = scope["path"].encode() + b"?" + scope["query_string"]
        size = int(parse_query(scope).get("size", 0))
        content = prefix + b"\n" + str(len(body)).encode() + b"\n"
        content += b"x" * max(0, size - len(content))
        if self._fault.truncate > 0:
            self._fault.truncate -= 1
            await _send_truncated(send, content)
            return
        await send_response(send, 200, content)

    def _draw_service_time(self, path):
        name = path.strip("/").partition("/")[0]
        seconds = self._profile.service_times.get(
            name, self._profile.service_times["default"]
        )
        seconds *= self._fault.slow * self._random.uniform(0.8, 1.2)
        if anyio.current_time() - self._first_request_time < self._profile.cold_seconds:
            seconds *= self._profile.cold_factor
        return seconds


def read_upstreams(path):
    """Return pairs of application and ``IP:PORT`` for the targets of an INI profile.

    :param path: path of the profile.
    :raises SettingsInvalid: if a key is missing or not valid.
    """
    sections = parse_ini(Path(path).read_text(), str(path), SettingsInvalid)
    section = sections["upstream"]
    seed = section.get_text("seed", "1")
    profile = Profile(
        slots=section.get_int("slots", low=1),
        service_times={
            key.removeprefix("time."): section.get_duration(key)
            for key in list(section)
            if key.startswith("time.")
        },
        cold_seconds=section.get_duration("cold_seconds", "0s"),
        cold_factor=section.get_float("cold_factor", 1.0),
    )
    profile.service_times.setdefault("default", 0.02)
    section.reject_unknown_keys()
    addresses = sections["targets"]
    return [
        (UpstreamApplication(name, profile, seed), addresses.get_text(name))
        for name in list(addresses)
    ]


async def _send_truncated(send, content):
    """Send half of a response; uvicorn then closes the connection."""
    length = (b"content-length", str(len(content)).encode())
    await send({"type": "http.response.start", "status": 200, "headers": [length]})
    half = content[: len(content) // 2]
    await send({"type": "http.response.body", "body": half, "more_body": True})


def _get_timeout(headers):
    """Return the seconds until the request's deadline, or ``None`` without one."""
    value = headers.get(DEADLINE_HEADER)
    return None if value is None else int(value) / MS_PER_SECOND
