"""The client of the platform's metadata store."""

import base64
import binascii
import socket
from urllib.parse import quote

import httpcore
import msgspec

from ..errors import (
    CompareFailed,
    HistoryCompacted,
    LeaseExpired,
    StoreOverloaded,
    StoreUnavailable,
    ValueTooLarge,
)
from ..http_client import TRANSPORT_ERRORS, make_timeout_extensions
from ..keepalive import make_keepalive_options
from ..units import MS_PER_SECOND
from . import protocol
from .store_entries import Deletion, Page, StoreEntry, WatchResponse

__all__ = ["MetadataStoreClient"]

TIMEOUT = 2.0  # seconds; the store answers in milliseconds, if slowly in tenths
WATCH_MARGIN = 2.0  # seconds beyond the wait that a watch asks for
MAX_CONNECTIONS = 4
# A connection that went silent shows only by probes of our own.
KEEPALIVE_IDLE = 1  # seconds
KEEPALIVE_INTERVAL = 1  # seconds
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_MS = 3000
_SOCKET_OPTIONS = (
    *make_keepalive_options(KEEPALIVE_IDLE, KEEPALIVE_INTERVAL, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)


class _ItemDocument(msgspec.Struct):
    key: str
    rev: int
    value: str = ""
    deleted: bool = False


class _PageDocument(msgspec.Struct):
    items: list[_ItemDocument]
    store_revision: int
    has_more: bool = False


class _ChangesDocument(msgspec.Struct):
    events: list[_ItemDocument]
    store_revision: int


class _LeaseDocument(msgspec.Struct):
    lease: int
    ttl_ms: int


class _WrittenDocument(msgspec.Struct):
    rev: int


class MetadataStoreClient:
    """Reads, watches, conditional writes and leases."""

    __slots__ = ("_pool", "_url", "call_count")

    def __init__(self, address):
        self._url = f"http://{address}"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, socket_options=_SOCKET_OPTIONS
        )
        self.call_count = 0

    async def aclose(self):
        """Close all connections."""
        await self._pool.aclose()

    async def get(self, key):
        """Return the :class:`StoreEntry` of a key, or ``None``.

        :raises StoreUnavailable: if no useful answer came.
        """
        path = f"{protocol.STORE_KEY_PATH}?key={quote(key, safe='/')}"
        response = await self._call("GET", path)
        if response.status == 404:
            return None
        self._check(response, path)
        return _to_item(self._decode(response, _ItemDocument))

    async def get_range(self, prefix, after=""):
        """Return a :class:`Page` of the keys with a prefix.

        :param after: last key of the page before.
        """
        path = f"{protocol.STORE_RANGE_PATH}?prefix={quote(prefix, safe='/')}"
        if after:
            path += f"&after={quote(after, safe='/')}"
        response = await self._call("GET", path)
        self._check(response, path)
        page = self._decode(response, _PageDocument)
        return Page(
            tuple(map(_to_item, page.items)), page.store_revision, page.has_more
        )

    async def get_all(self, prefix):
        """Return a :class:`Page` of all keys with a prefix, read page by page.

        :returns: its revision is that of the first page; what changed since may
            or may not be in it.
        """
        items, revision, after = {}, None, ""
        while True:
            page = await self.get_range(prefix, after)
            revision = page.revision if revision is None else revision
            items |= {item.key: item for item in page.items}
            if not page.has_more or not page.items:
                return Page(tuple(items.values()), revision, False)
            after = page.items[-1].key

    async def watch(self, prefix, after, wait):
        """Return the :class:`WatchResponse` after a revision, waiting for the first.

        :param wait: seconds after which an empty answer comes.
        :raises HistoryCompacted: if the store no longer has all changes since.
        """
        path = (
            f"{protocol.STORE_WATCH_PATH}?prefix={quote(prefix, safe='/')}"
            f"&after={after}&wait_ms={int(wait * MS_PER_SECOND)}"
        )
        response = await self._call("GET", path, timeout=wait + WATCH_MARGIN)
        if response.status == 410:
            raise HistoryCompacted(f"no history after revision {after}")
        self._check(response, path)
        changes = self._decode(response, _ChangesDocument)
        return WatchResponse(
            tuple(map(_to_event, changes.events)), changes.store_revision
        )

    async def write(self, key, value, expected_revision=None, lease=0):
        """Write a key and return its revision.

        :param expected_revision: revision it must have now, 0 for none, ``None``
            for any.
        :raises CompareFailed: if it has another revision.
        :raises LeaseExpired: if the lease does not exist.
        :raises ValueTooLarge: if the store refuses the size.
        :raises StoreUnavailable: if it is unknown whether it took effect.
        """
        put = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}
        conditions = (
            []
            if expected_revision is None
            else [{"key": key, "rev": expected_revision}]
        )
        body = {"expected_rev": conditions, "puts": [put], "remove": []}
        response = await self._call("POST", protocol.STORE_TRANSACTION_PATH, body)
        if response.status == 412:
            raise CompareFailed(f"{key} is not at revision {expected_revision}")
        if response.status == 404:
            raise LeaseExpired(f"lease {lease} does not exist")
        if response.status == 413:
            raise ValueTooLarge(f"{key}: {len(value)} bytes refused")
        self._check(response, protocol.STORE_TRANSACTION_PATH)
        return self._decode(response, _WrittenDocument).rev

    async def grant_lease(self, ttl):
        """Return the id of a new lease that lives for ``ttl`` seconds."""
        body = {"ttl_ms": int(ttl * MS_PER_SECOND)}
        response = await self._call("POST", protocol.STORE_LEASE_PATH, body)
        self._check(response, protocol.STORE_LEASE_PATH)
        return self._decode(response, _LeaseDocument).lease

    async def renew_lease(self, lease):
        """Let a lease live for its whole time from now.

        :raises LeaseExpired: if it does not exist any more.
        """
        path = f"{protocol.STORE_LEASE_RENEW_PATH}/{lease}"
        response = await self._call("POST", path)
        if response.status == 404:
            raise LeaseExpired(f"lease {lease} does not exist")
        self._check(response, path)

    async def revoke_lease(self, lease):
        """End a lease; its keys are removed."""
        path = f"{protocol.STORE_LEASE_REVOKE_PATH}/{lease}"
        response = await self._call("DELETE", path)
        if response.status != 404:
            self._check(response, path)

    async def _call(self, method, path, body=None, timeout=TIMEOUT):
        self.call_count += 1
        headers, content = [], None
        if body is not None:
            headers = [(b"content-type", b"application/json")]
            content = msgspec.json.encode(body)
        try:
            return await self._pool.request(
                method,
                self._url + path,
                headers=headers,
                content=content,
                extensions=make_timeout_extensions(
                    TIMEOUT, read=timeout, write=timeout
                ),
            )
        except TRANSPORT_ERRORS as exc:
            raise StoreUnavailable(f"{method} {path}: {exc!r}") from exc

    def _check(self, response, path):
        if response.status == 429:
            raise StoreOverloaded(f"{path}: status 429")
        if response.status != 200:
            raise StoreUnavailable(f"{path}: status {response.status}")

    def _decode(self, response, kind):
        try:
            return msgspec.json.decode(response.content, type=kind)
        except msgspec.DecodeError as exc:
            raise StoreUnavailable(f"an answer that cannot be read: {exc}") from exc


def _to_item(document):
    try:
        value = base64.b64decode(document.value, validate=True)
    except binascii.Error:
        value = b""  # no reader accepts an empty value, so each logs the key
    return StoreEntry(document.key, value, document.rev)


def _to_event(document):
    if document.deleted:
        return Deletion(document.key, document.rev)
    return _to_item(document)
