"""The HTTP client of the platform's metadata store."""

import base64
import socket
from urllib.parse import quote

import httpcore
import msgspec

from ..errors import (
    CompareFailed,
    HistoryCompacted,
    LeaseExpired,
    StoreOverloaded,
    StoreResponseTooLarge,
    StoreUnavailable,
    ValueTooLarge,
)
from ..http_client import (
    TRANSPORT_ERRORS,
    ResponseTooLarge,
    make_timeout_extensions,
    send_bounded,
)
from ..keepalive import make_keepalive_options
from ..ranges import MAX_INTEGER, Revision, parse_integer
from ..units import MS_PER_SECOND
from . import protocol
from .store_entries import Deletion, Page, StoreEntry, WatchResponse

__all__ = ["MetadataStoreClient"]

# Seconds. The store responds within milliseconds, or tenths of a second if slow.
CALL_TIMEOUT = 2.0
WATCH_MARGIN = 2.0  # seconds added to the requested wait of a watch
MAX_CONNECTIONS = 4
# Bytes of one response; several times a page or the largest value in base64.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
MAX_SNAPSHOT_BYTES = 16 * 1024 * 1024  # bytes of all values that get_all returns
# During a watch the client sends nothing, so only keepalive probes detect a dead
# connection.
KEEPALIVE_IDLE = 1  # seconds without traffic until the first probe
KEEPALIVE_INTERVAL = 1  # seconds between probes
KEEPALIVE_PROBES = 2
MAX_UNACKNOWLEDGED_MS = (
    3000  # milliseconds until unacknowledged data closes a connection
)
_SOCKET_OPTIONS = (
    *make_keepalive_options(KEEPALIVE_IDLE, KEEPALIVE_INTERVAL, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, MAX_UNACKNOWLEDGED_MS),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)


class _EntryDocument(msgspec.Struct):
    key: str
    rev: Revision
    value: str = ""
    deleted: bool = False


class _PageDocument(msgspec.Struct):
    items: list[_EntryDocument]
    store_revision: Revision
    has_more: bool = False


class _WatchDocument(msgspec.Struct):
    events: list[_EntryDocument]
    store_revision: Revision


class _LeaseDocument(msgspec.Struct):
    lease: Revision


class _WriteDocument(msgspec.Struct):
    rev: Revision


class MetadataStoreClient:
    """Client for reads, watches, conditional writes and leases.

    A method raises :exc:`StoreUnavailable` if the store is unreachable or gives
    no usable response, and :exc:`StoreOverloaded` if it rejects the call above
    its rate limit. ``call_count`` is the number of calls made so far.

    :ivar era: the latest era that a response has named, 0 for none. It rises each time
        the store is restored from an older copy. Responses of earlier eras, which were
        on their way meanwhile, are not usable.
    """

    __slots__ = ("_pool", "_url", "call_count", "era")

    def __init__(self, address):
        self._url = f"http://{address}"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, socket_options=_SOCKET_OPTIONS
        )
        self.call_count = 0
        self.era = 0

    async def aclose(self):
        """Close all connections."""
        await self._pool.aclose()

    async def get(self, key):
        """Return the :class:`StoreEntry` of a key, or ``None`` if it has none."""
        path = f"{protocol.STORE_KEY_PATH}?key={quote(key, safe='/')}"
        response = await self._call("GET", path)
        if response.status == 404:
            return None
        self._check_status(response, path)
        return _to_entry(self._decode(response, _EntryDocument))

    async def get_range(self, prefix, after=""):
        """Return one :class:`Page` of the entries whose keys have a prefix.

        :param after: last key of the previous page, ``""`` for the first page.
        """
        path = f"{protocol.STORE_RANGE_PATH}?prefix={quote(prefix, safe='/')}"
        if after:
            path += f"&after={quote(after, safe='/')}"
        response = await self._call("GET", path)
        self._check_status(response, path)
        page = self._decode(response, _PageDocument)
        return Page(
            tuple(map(_to_entry, page.items)),
            page.store_revision,
            page.has_more,
            _get_era(response),
        )

    async def get_all(self, prefix):
        """Return one :class:`Page` of all entries whose keys have a prefix.

        The entries are read page by page. The revision returned is that of the
        first page; later changes may or may not be included, so a watch should
        start there.

        :raises StoreResponseTooLarge: if the values exceed ``MAX_SNAPSHOT_BYTES``.
        """
        entries, size, revision, era, after = {}, 0, None, None, ""
        while True:
            page = await self.get_range(prefix, after)
            if revision is None:
                revision, era = page.revision, page.era
            entries |= {entry.key: entry for entry in page.entries}
            size += sum(len(entry.key) + len(entry.value) for entry in page.entries)
            if size > MAX_SNAPSHOT_BYTES:
                raise StoreResponseTooLarge(
                    f"entries with prefix {prefix!r} exceed {MAX_SNAPSHOT_BYTES} bytes"
                )
            if page.era != era:
                raise StoreUnavailable(
                    f"store began era {page.era} while entries of era {era} were read"
                )
            if not page.has_more:
                return Page(tuple(entries.values()), revision, False, page.era)
            if not page.entries or page.entries[-1].key <= after:
                raise StoreUnavailable(f"page after {after!r} ends without a later key")
            after = page.entries[-1].key

    async def watch(self, prefix, after, wait):
        """Wait for changes of keys with a prefix and return a :class:`WatchResponse`.

        :param after: revision after which changes are returned.
        :param wait: seconds after which the response is empty if none occurred.
        :raises HistoryCompacted: if the store no longer keeps all changes since, or
            they are too long for one response.
        """
        path = (
            f"{protocol.STORE_WATCH_PATH}?prefix={quote(prefix, safe='/')}"
            f"&after={after}&wait_ms={int(wait * MS_PER_SECOND)}"
        )
        try:
            response = await self._call("GET", path, timeout=wait + WATCH_MARGIN)
        except StoreResponseTooLarge as exc:
            # The changes would be as long at the next try; pages are bounded.
            raise HistoryCompacted(str(exc)) from exc
        if response.status == 410:
            raise HistoryCompacted(
                f"the store no longer keeps the changes after revision {after}"
            )
        self._check_status(response, path)
        changes = self._decode(response, _WatchDocument)
        return WatchResponse(
            tuple(map(_to_event, changes.events)),
            changes.store_revision,
            _get_era(response),
        )

    async def write(
        self, key, value, expected_revision=None, lease=0, other_revisions=None
    ):
        """Write a key and return its new revision.

        :param expected_revision: revision the key must have now, 0 if it must not
            exist, ``None`` for no condition.
        :param lease: id of the lease the key belongs to, 0 for none.
        :param other_revisions: {other key: revision it must have now}, or ``None``.
        :raises CompareFailed: if a key has another revision.
        :raises LeaseExpired: if the lease does not exist.
        :raises ValueTooLarge: if the value exceeds the size limit of the store.
        :raises StoreUnavailable: if it is unknown whether the write took effect.
        """
        put = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}
        expected_revisions = dict(other_revisions or {})
        if expected_revision is not None:
            expected_revisions[key] = expected_revision
        conditions = [
            {"key": name, "rev": revision}
            for name, revision in expected_revisions.items()
        ]
        body = {"expected_rev": conditions, "puts": [put], "remove": []}
        response = await self._call("POST", protocol.STORE_TRANSACTION_PATH, body)
        if response.status == 412:
            raise CompareFailed(f"not all keys are at revisions {expected_revisions}")
        if response.status == 404:
            raise LeaseExpired(f"lease {lease} does not exist")
        if response.status == 413:
            raise ValueTooLarge(
                f"the store rejected the value of {key}: {len(value)} bytes"
            )
        self._check_status(response, protocol.STORE_TRANSACTION_PATH)
        return self._decode(response, _WriteDocument).rev

    async def commit(self, puts, removals, lease=0):
        """Write and remove keys in one transaction.

        :param puts: {key: value}, of a lease.
        :param removals: keys; those that do not exist are ignored.
        :raises LeaseExpired: if the lease does not exist.
        :raises StoreUnavailable: if it is unknown whether the write took effect.
        """
        body = {
            "expected_rev": [],
            "puts": [
                {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}
                for key, value in puts.items()
            ],
            "remove": list(removals),
        }
        response = await self._call("POST", protocol.STORE_TRANSACTION_PATH, body)
        if response.status == 404:
            raise LeaseExpired(f"lease {lease} does not exist")
        self._check_status(response, protocol.STORE_TRANSACTION_PATH)

    async def grant_lease(self, ttl):
        """Return the id of a new lease with a TTL in seconds."""
        body = {"ttl_ms": int(ttl * MS_PER_SECOND)}
        response = await self._call("POST", protocol.STORE_LEASE_PATH, body)
        self._check_status(response, protocol.STORE_LEASE_PATH)
        return self._decode(response, _LeaseDocument).lease

    async def renew_lease(self, lease):
        """Start the TTL of a lease anew.

        :raises LeaseExpired: if the lease no longer exists.
        """
        path = f"{protocol.STORE_LEASE_RENEW_PATH}/{lease}"
        response = await self._call("POST", path)
        if response.status == 404:
            raise LeaseExpired(f"lease {lease} does not exist")
        self._check_status(response, path)

    async def revoke_lease(self, lease):
        """End a lease and remove its keys; a lease that no longer exists is ignored."""
        path = f"{protocol.STORE_LEASE_REVOKE_PATH}/{lease}"
        response = await self._call("DELETE", path)
        if response.status != 404:
            self._check_status(response, path)

    async def _call(self, method, path, body=None, timeout=CALL_TIMEOUT):
        self.call_count += 1
        headers, content = [], None
        if body is not None:
            headers = [(b"content-type", b"application/json")]
            content = msgspec.json.encode(body)
        try:
            response = await send_bounded(
                self._pool,
                method,
                self._url + path,
                max_bytes=MAX_RESPONSE_BYTES,
                timeout=CALL_TIMEOUT + timeout,
                headers=headers,
                content=content,
                extensions=make_timeout_extensions(
                    CALL_TIMEOUT, read=timeout, write=timeout
                ),
            )
        except ResponseTooLarge as exc:
            raise StoreResponseTooLarge(f"store call {method} {path}: {exc}") from exc
        except TRANSPORT_ERRORS as exc:
            raise StoreUnavailable(f"store call {method} {path}: {exc!r}") from exc
        era = _get_era(response)
        if era is not None and era < self.era:
            raise StoreUnavailable(
                f"store call {method} {path}: response has era {era}, older than"
                f" {self.era}"
            )
        self.era = era or self.era
        return response

    def _check_status(self, response, path):
        if response.status == 429:
            raise StoreOverloaded(f"store call {path} rejected: status 429")
        if response.status != 200:
            raise StoreUnavailable(f"store call {path}: status {response.status}")

    def _decode(self, response, document_type):
        try:
            return msgspec.json.decode(response.content, type=document_type)
        except (msgspec.DecodeError, RecursionError) as exc:
            raise StoreUnavailable(f"store response is not valid: {exc}") from exc


def _get_era(response):
    """Return the era that a response names, ``None`` without a usable one."""
    text = dict(_lower_names(response.headers)).get(protocol.STORE_ERA_HEADER, b"")
    return parse_integer(text, MAX_INTEGER)


def _lower_names(headers):
    return ((name.lower(), value) for name, value in headers)


def _to_entry(document):
    try:
        value = base64.b64decode(document.value, validate=True)
    except ValueError:
        # Decoding an empty value fails, so the reader logs the key as malformed.
        value = b""
    return StoreEntry(document.key, value, document.rev)


def _to_event(document):
    if document.deleted:
        return Deletion(document.key, document.rev)
    return _to_entry(document)
