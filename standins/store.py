"""Stand-in of the platform's metadata store, which also lists the instances."""

import base64
import itertools
from collections import Counter
from functools import partial
from typing import NamedTuple
from urllib.parse import parse_qs

import anyio
import msgspec

from turmericrudder.discovery import InstanceRecord
from turmericrudder.platform import protocol
from turmericrudder.routing import TokenBucket
from turmericrudder.units import MS_PER_SECOND

from .asgi import read_body, send_response, wait_disconnected

__all__ = ["StoreApplication"]

MAX_VALUE_BYTES = 1_048_576
READS_PER_SECOND = 2000
WRITES_PER_SECOND = 400
PAGE_ITEMS = 500  # most entries of one page of a range
MAX_EVENTS = 10_000  # change events kept for watches
_WRITE_PATHS = (protocol.STORE_TRANSACTION_PATH, protocol.STORE_LEASE_PATH)


class StoreFault(msgspec.Struct):
    """Faults of the store.

    :param outage: every call is answered with 503.
    :param delay: seconds added to each call.
    :param lose_answers: number of next transactions that take effect although they
        are answered with 503.
    :param forget: watches are answered with 410, as after a compaction.
    :param silent: calls that arrive are never answered, and watches that wait already
        are answered only afterwards.
    """

    outage: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    forget: bool = False
    silent: bool = False


class _Condition(msgspec.Struct):
    """Revision that a key must have, or 0 if it must not exist."""

    key: str
    rev: int


class _Put(msgspec.Struct):
    key: str
    value: str
    lease: int = 0


class _Transaction(msgspec.Struct):
    expected_rev: list[_Condition] = []
    puts: list[_Put] = []
    remove: list[str] = []


class _Copy(NamedTuple):
    """The content of the store at a moment."""

    entries: dict[str, dict]
    revision: int
    events: list[dict]
    leases: dict[int, tuple[float, float]]


class StoreApplication:
    """The store with all its state in memory, as an ASGI application.

    Calls under ``/admin/`` set faults, entries and the list of instances. They
    return how often each call of the store has been made, by the last part of its
    path.
    """

    def __init__(self, lag):
        """Make an empty store.

        :param lag: seconds until a new list of instances becomes visible.
        """
        self._lag = lag
        self._entries = {}
        self._revision = 1
        self._events = []
        self._oldest_revision = 1
        self._changed = anyio.Event()
        self._pending_lists = []  # (time of the call, records)
        self._leases = {}  # (time of expiry, TTL in seconds) by lease
        self._lease_ids = itertools.count(1)
        self._fault = StoreFault()
        self._counts = Counter()
        self._era = 1
        self._read_bucket = self._write_bucket = None

    async def __call__(self, scope, receive, send):
        """Handle one HTTP request."""
        body = await read_body(receive)
        if body is None:
            return
        send = partial(self._send_with_era, send)
        path = scope["path"]
        if path.startswith("/admin/"):
            await self._handle_admin_call(path, body, send)
            return
        self._counts[path.rsplit("/", 1)[-1]] += 1
        await anyio.sleep(self._fault.delay)
        if self._fault.silent:
            await wait_disconnected(receive)
            return
        if self._fault.outage:
            await send_response(send, 503)
            return
        if not self._take_token(path in _WRITE_PATHS):
            await send_response(send, 429)
            return
        self._expire_leases()
        self._publish_due_lists()
        query = {
            key: values[0]
            for key, values in parse_qs(scope["query_string"].decode()).items()
        }
        await self._dispatch(path, query, body, send)

    def set_fault(self, fault):
        """Replace the :class:`StoreFault` in force."""
        self._fault = fault
        self._wake_watches()

    def put_document(self, key, value):
        """Write a key as JSON, or remove it if the value is ``None``."""
        if value is None:
            self._remove(key)
            return
        self._put(key, base64.b64encode(msgspec.json.encode(value)).decode())

    def take_copy(self):
        """Return a copy of the content, for :meth:`restore`."""
        return _Copy(
            dict(self._entries), self._revision, list(self._events), dict(self._leases)
        )

    def restore(self, copy):
        """Go back to a copy: entries, revisions, history and leases."""
        now = anyio.current_time()
        self._entries = dict(copy.entries)
        self._revision = copy.revision
        self._events = list(copy.events)
        self._leases = {
            lease: (now + ttl, ttl) for lease, (_, ttl) in copy.leases.items()
        }
        self._era += 1
        self._wake_watches()

    async def _send_with_era(self, send, message):
        if message["type"] == "http.response.start":
            header = (protocol.STORE_ERA_HEADER, b"%d" % self._era)
            message = message | {"headers": [*message["headers"], header]}
        await send(message)

    async def _dispatch(self, path, query, body, send):
        match path:
            case protocol.STORE_KEY_PATH:
                entry = self._entries.get(query["key"])
                await send_response(
                    send, 200 if entry else 404, self._add_revision(entry)
                )
            case protocol.STORE_RANGE_PATH:
                await send_response(send, 200, self._get_page(query))
            case protocol.STORE_WATCH_PATH:
                await self._watch(query, send)
            case protocol.STORE_TRANSACTION_PATH:
                await self._commit(msgspec.json.decode(body, type=_Transaction), send)
            case protocol.STORE_LEASE_PATH:
                await self._grant_lease(msgspec.json.decode(body)["ttl_ms"], send)
            case _:
                await self._renew_or_revoke_lease(path, send)

    def _take_token(self, is_write):
        now = anyio.current_time()
        if self._read_bucket is None:
            self._read_bucket = TokenBucket(READS_PER_SECOND, 1.0, now)
            self._write_bucket = TokenBucket(WRITES_PER_SECOND, 1.0, now)
        bucket = self._write_bucket if is_write else self._read_bucket
        if not bucket.has_tokens(now):
            return False
        bucket.take(1, now)
        return True

    def _add_revision(self, entry):
        return {**entry, "store_revision": self._revision} if entry else {}

    def _get_page(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(
            key for key in self._entries if key.startswith(prefix) and key > after
        )
        return {
            "items": [self._entries[key] for key in keys[:PAGE_ITEMS]],
            "has_more": len(keys) > PAGE_ITEMS,
            "store_revision": self._revision,
        }

    async def _watch(self, query, send):
        prefix, after = query.get("prefix", ""), int(query["after"])
        events = []
        with anyio.move_on_after(int(query["wait_ms"]) / MS_PER_SECOND):
            while not (events := self._get_events(prefix, after)):
                if self._fault.outage or self._fault.forget or after > self._revision:
                    break
                await self._changed.wait()
        while self._fault.silent:
            await self._changed.wait()
        if self._fault.outage:
            await send_response(send, 503)
        elif (
            self._fault.forget
            or after + 1 < self._oldest_revision
            or after > self._revision
        ):
            await send_response(send, 410)
        else:
            body = {"events": events, "store_revision": self._revision}
            await send_response(send, 200, body)

    def _get_events(self, prefix, after):
        return [
            event
            for event in self._events
            if event["rev"] > after and event["key"].startswith(prefix)
        ]

    async def _commit(self, transaction, send):
        current = [
            (condition, self._entries.get(condition.key))
            for condition in transaction.expected_rev
        ]
        if any(
            condition.rev != (entry["rev"] if entry else 0)
            for condition, entry in current
        ):
            entries = [entry for _, entry in current if entry]
            await send_response(send, 412, {"items": entries})
            return
        if any(put.lease and put.lease not in self._leases for put in transaction.puts):
            await send_response(send, 404)
            return
        if any(
            len(base64.b64decode(put.value)) > MAX_VALUE_BYTES
            for put in transaction.puts
        ):
            await send_response(send, 413)
            return
        for put in transaction.puts:
            self._put(put.key, put.value, put.lease)
        for key in transaction.remove:
            self._remove(key)
        if self._fault.lose_answers > 0:
            self._fault.lose_answers -= 1
            await send_response(send, 503)
            return
        await send_response(send, 200, {"rev": self._revision})

    def _put(self, key, value, lease=0):
        self._revision += 1
        created = self._entries.get(key, {}).get("created", self._revision)
        self._entries[key] = {
            "key": key,
            "value": value,
            "rev": self._revision,
            "created": created,
            "lease": lease,
        }
        self._append_event(self._entries[key])

    def _remove(self, key):
        if self._entries.pop(key, None) is not None:
            self._revision += 1
            self._append_event({"key": key, "rev": self._revision, "deleted": True})

    def _append_event(self, event):
        self._events.append(event)
        if len(self._events) > MAX_EVENTS:
            self._oldest_revision = self._events.pop(0)["rev"] + 1
        self._wake_watches()

    def _wake_watches(self):
        self._changed.set()
        self._changed = anyio.Event()

    async def _grant_lease(self, ttl_ms, send):
        lease = next(self._lease_ids)
        ttl = ttl_ms / MS_PER_SECOND
        self._leases[lease] = (anyio.current_time() + ttl, ttl)
        await send_response(send, 200, {"lease": lease, "ttl_ms": ttl_ms})

    async def _renew_or_revoke_lease(self, path, send):
        call, _, text = path.rpartition("/")
        lease = int(text) if text.isdigit() else 0
        if lease not in self._leases:
            await send_response(send, 404)
            return
        now = anyio.current_time()
        ttl = self._leases[lease][1]
        if call == protocol.STORE_LEASE_RENEW_PATH:
            self._leases[lease] = (now + ttl, ttl)
        else:
            self._leases[lease] = (now, 0.0)
            self._expire_leases()
        await send_response(send, 200, {"ttl_ms": int(ttl * MS_PER_SECOND)})

    def _expire_leases(self):
        now = anyio.current_time()
        expired = {lease for lease, (end, _) in self._leases.items() if end <= now}
        for lease in expired:
            del self._leases[lease]
        for key, entry in list(self._entries.items()):
            if entry["lease"] in expired:
                self._remove(key)

    def _publish_due_lists(self):
        due = anyio.current_time() - self._lag
        while self._pending_lists and self._pending_lists[0][0] <= due:
            records = {record.name: record for record in self._pending_lists.pop(0)[1]}
            for key in list(self._entries):
                if key.startswith(protocol.INSTANCE_PREFIX):
                    self._remove(key)
            for name, record in records.items():
                value = base64.b64encode(msgspec.json.encode(record)).decode()
                self._put(protocol.INSTANCE_PREFIX + name, value)

    async def _handle_admin_call(self, path, body, send):
        if path == "/admin/fault":
            self.set_fault(msgspec.json.decode(body, type=StoreFault))
        elif path == "/admin/instances":
            records = msgspec.json.decode(body, type=list[InstanceRecord])
            self._pending_lists.append((anyio.current_time(), records))
        elif path == "/admin/put":
            for key, value in msgspec.json.decode(body).items():
                self.put_document(key, value)
        await send_response(send, 200, dict(self._counts))
