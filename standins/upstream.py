"""Upstream targets: slots, service times, faults, and a journal of what ran."""

import random
from dataclasses import dataclass
from pathlib import Path

import anyio
import msgspec

from turmericrudder.errors import SettingsInvalid
from turmericrudder.ini import parse_ini
from turmericrudder.units import MS_PER_SECOND

from .journal import Journal
from .serving import answer, cancel_when_gone, cut, read_body

__all__ = ["UpstreamApplication", "read_upstreams"]

SHED_STATUS = 429
DRAIN_STATUS = 503
DEADLINE = b"turmericrudder-deadline-ms"
KEY = b"idempotency-key"
CHUNK_BYTES = 16 * 1024


class UpstreamFault(msgspec.Struct):
    """What goes wrong now at one target.

    :param slow: factor on all service times.
    :param drain: refuses new work as leaving; ``tell`` says whether the load
        report tells of it.
    :param lose_answers: that many requests run and their answer is cut.
    :param truncate: that many answers break off in the middle.
    :param silent: connections open now never answer again.
    :param lie: in-flight count to report instead of the true one, -1 for none.
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
    """Service times in seconds by the first part of the path."""

    slots: int
    times: dict[str, float]
    cold_seconds: float
    cold_factor: float


class UpstreamApplication:
    """One target."""

    def __init__(self, name, profile, seed):
        self.name = name
        self._profile = profile
        self._random = random.Random(f"{seed} {name}")
        self._fault = UpstreamFault()
        self._journal = Journal()
        self._started = None
        self._connections = set()
        self._silent = set()
        self._reports = []

    async def __call__(self, scope, receive, send):
        """Handle one HTTP request."""
        if self._started is None:
            self._started = anyio.current_time()
        path = scope["path"]
        if path == "/admin/fault":
            await self._set_fault(receive, send)
        elif path == "/admin/journal":
            await answer(send, 200, self._journal.describe(self.name))
        elif path == "/admin/spans":
            await answer(send, 200, self._journal.get_spans())
        elif path == "/load":
            await answer(send, 200, self._report())
        elif path.startswith("/ran/"):
            finished = self._journal.is_finished(path.removeprefix("/ran/"))
            await answer(send, 200 if finished else 404)
        else:
            await self._work(scope, receive, send)

    async def _set_fault(self, receive, send):
        self._fault = msgspec.json.decode(await read_body(receive), type=UpstreamFault)
        self._silent = set(self._connections) if self._fault.silent else set()
        await answer(send, 200)

    def _report(self):
        now = anyio.current_time()
        in_flight = self._journal.in_flight
        if self._fault.lie >= 0:
            in_flight = self._fault.lie
        draining = self._fault.drain and self._fault.tell
        self._reports.append((now, {"in_flight": in_flight, "draining": draining}))
        due = now - self._fault.report_lag
        while len(self._reports) > 1 and self._reports[1][0] <= due:
            self._reports.pop(0)
        return self._reports[0][1]

    async def _work(self, scope, receive, send):
        connection = tuple(scope["client"])
        self._connections.add(connection)
        if connection in self._silent:
            await anyio.sleep_forever()
        headers = dict(scope["headers"])
        key = headers.get(KEY, b"").decode("latin-1")
        if self._fault.drain:
            self._journal.refuse(scope["path"], "drain")
            await answer(send, DRAIN_STATUS)
            return
        if self._journal.in_flight >= self._profile.slots:
            self._journal.refuse(scope["path"], "full")
            await answer(send, SHED_STATUS)
            return
        entry = self._journal.start(key, scope["path"])
        try:
            await self._run(scope, headers, receive, send, entry)
        finally:
            self._journal.end(entry)

    async def _run(self, scope, headers, receive, send, entry):
        body = await read_body(receive)
        if body is None:
            return
        seconds = self._get_seconds(scope["path"])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cancel_when_gone, receive, tasks.cancel_scope)
            with anyio.move_on_after(_get_patience(headers)):
                await anyio.sleep(seconds)
                entry.finished = True
            tasks.cancel_scope.cancel()
        if entry.finished:
            await self._answer(scope, body, send)

    async def _answer(self, scope, body, send):
        if self._fault.lose_answers > 0:
            self._fault.lose_answers -= 1
            cut(send)
            return
        text = scope["path"].encode() + b"?" + scope["query_string"]
        size = _get_size(scope["query_string"])
        content = text + b"\n" + str(len(body)).encode() + b"\n"
        content += b"x" * max(0, size - len(content))
        if self._fault.truncate > 0:
            self._fault.truncate -= 1
            await _truncate(send, content)
            return
        await answer(send, 200, content)

    def _get_seconds(self, path):
        name = path.strip("/").partition("/")[0]
        seconds = self._profile.times.get(name, self._profile.times["default"])
        seconds *= self._fault.slow * self._random.uniform(0.8, 1.2)
        if anyio.current_time() - self._started < self._profile.cold_seconds:
            seconds *= self._profile.cold_factor
        return seconds


def read_upstreams(path):
    """Return (application, ``IP:PORT``) of all targets in an INI profile."""
    sections = parse_ini(Path(path).read_text(), str(path), SettingsInvalid)
    section = sections["upstream"]
    seed = section.get_text("seed", "1")
    profile = Profile(
        slots=section.get_int("slots", low=1),
        times={
            key.removeprefix("time."): section.get_duration(key)
            for key in list(section)
            if key.startswith("time.")
        },
        cold_seconds=section.get_duration("cold_seconds", "0s"),
        cold_factor=section.get_float("cold_factor", 1.0),
    )
    profile.times.setdefault("default", 0.02)
    section.reject_unknown_keys()
    targets = sections["targets"]
    return [
        (UpstreamApplication(name, profile, seed), targets.get_text(name))
        for name in list(targets)
    ]


async def _truncate(send, content):
    length = (b"content-length", str(len(content)).encode())
    await send({"type": "http.response.start", "status": 200, "headers": [length]})
    half = content[: len(content) // 2]
    await send({"type": "http.response.body", "body": half, "more_body": True})


def _get_patience(headers):
    value = headers.get(DEADLINE)
    return None if value is None else int(value) / MS_PER_SECOND


def _get_size(query):
    for part in query.split(b"&"):
        name, _, value = part.partition(b"=")
        if name == b"size" and value.isdigit():
            return int(value)
    return 0
