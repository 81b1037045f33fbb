"""The platform: metadata store with watches and leases, list of instances."""

import base64
import itertools
from collections import Counter
from urllib.parse import parse_qs

import anyio
import msgspec

from turmericrudder.discovery import InstanceRecord
from turmericrudder.platform import protocol
from turmericrudder.routing import TokenBucket
from turmericrudder.units import MS_PER_SECOND

from .serving import answer, read_body

__all__ = ["StoreApplication"]

MAX_VALUE_BYTES = 1_048_576
READS_PER_SECOND = 2000
WRITES_PER_SECOND = 400
PAGE_ITEMS = 500
HISTORY = 10_000  # changes kept for watches
_WRITES = (protocol.STORE_TRANSACTION_PATH, protocol.STORE_LEASE_PATH)


class StoreFault(msgspec.Struct):
    """What goes wrong now.

    :param outage: no call is answered usefully.
    :param delay: seconds added to each call.
    :param lose_answers: that many writes take effect without a useful answer.
    :param forget: watches find no history.
    """

    outage: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    forget: bool = False


class _Condition(msgspec.Struct):
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


class StoreApplication:
    """All state is in memory; each call is counted."""

    def __init__(self, lag):
        """Start empty.

        :param lag: seconds by which the list of instances lags.
        """
        self._lag = lag
        self._items = {}
        self._revision = 1
        self._events = []
        self._first_kept = 1
        self._changed = anyio.Event()
        self._lists = []
        self._leases = {}
        self._lease_ids = itertools.count(1)
        self._fault = StoreFault()
        self._counts = Counter()
        self._reads = self._writes = None

    async def __call__(self, scope, receive, send):
        """Handle one HTTP request."""
        body = await read_body(receive)
        if body is None:
            return
        path = scope["path"]
        if path.startswith("/admin/"):
            await self._administer(path, body, send)
            return
        self._counts[path.rsplit("/", 1)[-1]] += 1
        await anyio.sleep(self._fault.delay)
        if self._fault.outage:
            await answer(send, 503)
            return
        if not self._is_within_rate(path in _WRITES):
            await answer(send, 429)
            return
        self._expire_leases()
        self._show_due_lists()
        query = {
            key: values[0]
            for key, values in parse_qs(scope["query_string"].decode()).items()
        }
        await self._answer(path, query, body, send)

    def set_fault(self, fault):
        """Bring a :class:`StoreFault` about."""
        self._fault = fault
        self._wake()

    def put_document(self, key, value):
        """Write a key as JSON, as the operator or a target; ``None`` removes it."""
        if value is None:
            self._remove(key)
            return
        self._put(key, base64.b64encode(msgspec.json.encode(value)).decode())

    async def _answer(self, path, query, body, send):
        match path:
            case protocol.STORE_KEY_PATH:
                item = self._items.get(query["key"])
                await answer(send, 200 if item else 404, self._with_revision(item))
            case protocol.STORE_RANGE_PATH:
                await answer(send, 200, self._get_page(query))
            case protocol.STORE_WATCH_PATH:
                await self._watch(query, send)
            case protocol.STORE_TRANSACTION_PATH:
                await self._write(msgspec.json.decode(body, type=_Transaction), send)
            case protocol.STORE_LEASE_PATH:
                await self._grant(msgspec.json.decode(body)["ttl_ms"], send)
            case _:
                await self._use_lease(path, send)

    def _is_within_rate(self, is_write):
        now = anyio.current_time()
        if self._reads is None:
            self._reads = TokenBucket(READS_PER_SECOND, 1.0, now)
            self._writes = TokenBucket(WRITES_PER_SECOND, 1.0, now)
        bucket = self._writes if is_write else self._reads
        if not bucket.has_tokens(now):
            return False
        bucket.take(1, now)
        return True

    def _with_revision(self, item):
        return {**item, "store_revision": self._revision} if item else {}

    def _get_page(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        return {
            "items": [self._items[key] for key in keys[:PAGE_ITEMS]],
            "has_more": len(keys) > PAGE_ITEMS,
            "store_revision": self._revision,
        }

    async def _watch(self, query, send):
        prefix, after = query.get("prefix", ""), int(query["after"])
        events = []
        with anyio.move_on_after(int(query["wait_ms"]) / MS_PER_SECOND):
            while not (events := self._get_events(prefix, after)):
                if self._fault.outage or self._fault.forget:
                    break
                await self._changed.wait()
        if self._fault.outage:
            await answer(send, 503)
        elif self._fault.forget or after + 1 < self._first_kept:
            await answer(send, 410)
        else:
            body = {"events": events, "store_revision": self._revision}
            await answer(send, 200, body)

    def _get_events(self, prefix, after):
        return [
            event
            for event in self._events
            if event["rev"] > after and event["key"].startswith(prefix)
        ]

    async def _write(self, transaction, send):
        current = [(row, self._items.get(row.key)) for row in transaction.expected_rev]
        if any(row.rev != (item["rev"] if item else 0) for row, item in current):
            items = [item for _, item in current if item]
            await answer(send, 412, {"items": items})
            return
        if any(put.lease and put.lease not in self._leases for put in transaction.puts):
            await answer(send, 404)
            return
        if any(
            len(base64.b64decode(put.value)) > MAX_VALUE_BYTES
            for put in transaction.puts
        ):
            await answer(send, 413)
            return
        for put in transaction.puts:
            self._put(put.key, put.value, put.lease)
        for key in transaction.remove:
            self._remove(key)
        if self._fault.lose_answers > 0:
            self._fault.lose_answers -= 1
            await answer(send, 503)
            return
        await answer(send, 200, {"rev": self._revision})

    def _put(self, key, value, lease=0):
        self._revision += 1
        created = self._items.get(key, {}).get("created", self._revision)
        self._items[key] = {
            "key": key,
            "value": value,
            "rev": self._revision,
            "created": created,
            "lease": lease,
        }
        self._note(self._items[key])

    def _remove(self, key):
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._note({"key": key, "rev": self._revision, "deleted": True})

    def _note(self, event):
        self._events.append(event)
        if len(self._events) > HISTORY:
            self._first_kept = self._events.pop(0)["rev"] + 1
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = anyio.Event()

    async def _grant(self, ttl_ms, send):
        lease = next(self._lease_ids)
        ttl = ttl_ms / MS_PER_SECOND
        self._leases[lease] = (anyio.current_time() + ttl, ttl)
        await answer(send, 200, {"lease": lease, "ttl_ms": ttl_ms})

    async def _use_lease(self, path, send):
        call, _, text = path.rpartition("/")
        lease = int(text) if text.isdigit() else 0
        if lease not in self._leases:
            await answer(send, 404)
            return
        now = anyio.current_time()
        ttl = self._leases[lease][1]
        if call == protocol.STORE_LEASE_RENEW_PATH:
            self._leases[lease] = (now + ttl, ttl)
        else:
            self._leases[lease] = (now, 0.0)
            self._expire_leases()
        await answer(send, 200, {"ttl_ms": int(ttl * MS_PER_SECOND)})

    def _expire_leases(self):
        now = anyio.current_time()
        ended = {lease for lease, (end, _) in self._leases.items() if end <= now}
        for lease in ended:
            del self._leases[lease]
        for key, item in list(self._items.items()):
            if item["lease"] in ended:
                self._remove(key)

    def _show_due_lists(self):
        due = anyio.current_time() - self._lag
        while self._lists and self._lists[0][0] <= due:
            records = {record.name: record for record in self._lists.pop(0)[1]}
            for key in list(self._items):
                if key.startswith(protocol.INSTANCE_PREFIX):
                    self._remove(key)
            for name, record in records.items():
                value = base64.b64encode(msgspec.json.encode(record)).decode()
                self._put(protocol.INSTANCE_PREFIX + name, value)

    async def _administer(self, path, body, send):
        if path == "/admin/fault":
            self.set_fault(msgspec.json.decode(body, type=StoreFault))
        elif path == "/admin/instances":
            records = msgspec.json.decode(body, type=list[InstanceRecord])
            self._lists.append((anyio.current_time(), records))
        elif path == "/admin/put":
            for key, value in msgspec.json.decode(body).items():
                self.put_document(key, value)
        await answer(send, 200, dict(self._counts))
