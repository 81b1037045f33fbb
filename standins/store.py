"""The platform: key-value service, leases, watches, list of instances."""

import itertools
from collections import Counter
from urllib.parse import parse_qs

import anyio
import msgspec

from turmericrudder.routing import TokenBucket
from turmericrudder.store import InstanceRecord

from .serving import answer, read_body

__all__ = ["StoreApplication"]

MAX_VALUE_BYTES = 1_000_000
READS_PER_SECOND = 2000
WRITES_PER_SECOND = 400


class StoreFault(msgspec.Struct):
    """What goes wrong now.

    :param outage: no call is answered usefully.
    :param delay: seconds added to each call.
    :param lose_answers: that many writes take effect without a useful answer.
    """

    outage: bool = False
    delay: float = 0.0
    lose_answers: int = 0


class StoreApplication:
    """All state is in memory; each call is counted."""

    def __init__(self, lag):
        """Start empty.

        :param lag: seconds by which the list of instances lags.
        """
        self._lag = lag
        self._keys = {}
        self._changed = {}
        self._lists = [(0.0, [])]
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
        path, method = scope["path"], scope["method"]
        if path.startswith("/admin/"):
            await self._administer(path, method, body, send)
            return
        self._counts[method] += 1
        await anyio.sleep(self._fault.delay)
        if self._fault.outage or not self._is_within_rate(method):
            await answer(send, 503)
            return
        self._expire_leases()
        query = parse_qs(scope["query_string"].decode())
        if path == "/v1/instances":
            await answer(send, 200, self._get_list())
        elif path.startswith("/v1/leases"):
            await self._lease(path, method, query, send)
        elif method == "GET":
            await self._get(path, query, send)
        else:
            headers = dict(scope["headers"])
            await self._put(path, headers, query, body, send)

    def _is_within_rate(self, method):
        now = anyio.current_time()
        if self._reads is None:
            self._reads = TokenBucket(READS_PER_SECOND, 1.0, now)
            self._writes = TokenBucket(WRITES_PER_SECOND, 1.0, now)
        bucket = self._reads if method == "GET" else self._writes
        if not bucket.is_open(now):
            return False
        bucket.take(1, now)
        return True

    async def _get(self, path, query, send):
        if "version" in query:
            await self._wait(path, int(query["version"][0]), float(query["wait"][0]))
        value, version, _ = self._keys.get(path, (None, 0, None))
        if self._fault.outage:
            await answer(send, 503)
        elif value is None:
            await answer(send, 404)
        else:
            await answer(send, 200, value, [(b"version", str(version).encode())])

    async def _wait(self, path, version, seconds):
        with anyio.move_on_after(seconds):
            while self._keys.get(path, (None, 0, None))[1] == version:
                await self._changed.setdefault(path, anyio.Event()).wait()

    async def _put(self, path, headers, query, body, send):
        _, version, _ = self._keys.get(path, (None, 0, None))
        if len(body) > MAX_VALUE_BYTES:
            await answer(send, 413)
            return
        if int(headers.get(b"if-version", version)) != version:
            await answer(send, 409)
            return
        lease = query.get("lease", [None])[0]
        self._keys[path] = (body, version + 1, lease)
        self._notify(path)
        if self._fault.lose_answers > 0:
            self._fault.lose_answers -= 1
            await answer(send, 503)
            return
        await answer(send, 200, b"", [(b"version", str(version + 1).encode())])

    async def _lease(self, path, method, query, send):
        lease = path.removeprefix("/v1/leases").strip("/")
        now = anyio.current_time()
        if method == "POST":
            lease = str(next(self._lease_ids))
            ttl = float(query["ttl"][0])
            self._leases[lease] = (now + ttl, ttl)
            await answer(send, 200, {"lease": lease})
        elif lease not in self._leases:
            await answer(send, 404)
        elif method == "PUT":
            ttl = self._leases[lease][1]
            self._leases[lease] = (now + ttl, ttl)
            await answer(send, 200)
        else:
            self._leases[lease] = (now, 0.0)
            self._expire_leases()
            await answer(send, 200)

    def _expire_leases(self):
        now = anyio.current_time()
        ended = {lease for lease, (end, _) in self._leases.items() if end <= now}
        for lease in ended:
            del self._leases[lease]
        for path, (_, _, lease) in list(self._keys.items()):
            if lease in ended:
                del self._keys[path]
                self._notify(path)

    def _notify(self, path):
        event = self._changed.pop(path, None)
        if event is not None:
            event.set()

    def _get_list(self):
        due = anyio.current_time() - self._lag
        shown = [records for since, records in self._lists if since <= due]
        return shown[-1] if shown else []

    async def _administer(self, path, method, body, send):
        if path == "/admin/fault":
            self._fault = msgspec.json.decode(body, type=StoreFault)
            if self._fault.outage:
                for key in list(self._changed):
                    self._notify(key)
        elif path == "/admin/instances":
            records = msgspec.json.decode(body, type=list[InstanceRecord])
            self._lists.append((anyio.current_time(), records))
            del self._lists[:-16]
        await answer(send, 200, dict(self._counts))
