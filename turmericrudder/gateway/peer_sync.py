"""Tell other instances what the store said, and ask them while it is away.

HTTP is used, as the instance has listeners for it anyway and pynng would add to
the memory of every process for a few calls in an outage.
"""

import httpcore
import msgspec

from ..errors import PeerUnreachable
from ..http_client import TRANSPORT_ERRORS, make_timeout_extensions
from ..platform import Deletion, StoreEntry
from ..units import MS_PER_SECOND
from .auxiliary_applications import SimpleApplication

__all__ = ["PeerApplication", "PeerClient", "PeerUpdate"]

PATH = "/beliefs"
MARGIN = 0.5  # seconds beyond the wait; several round trips between regions
MAX_WAIT_MS = 5000
MAX_CONNECTIONS = 4


class _Entry(msgspec.Struct, array_like=True):
    """A change: without a value, the key was removed."""

    key: str
    revision: int
    value: bytes | None


class PeerUpdate(msgspec.Struct):
    """What an instance tells.

    :param is_whole: whether ``entries`` are all items there are, rather than
        the changes since the revision that was asked for.
    :param contact_age: seconds since the store last answered the instance, or
        ``None`` if it does not watch the store itself.
    """

    revision: int
    is_whole: bool
    entries: list[_Entry]
    contact_age: float | None = None

    def get_events(self):
        """Return the entries as events of the store."""
        return [
            Deletion(entry.key, entry.revision)
            if entry.value is None
            else StoreEntry(entry.key, entry.value, entry.revision)
            for entry in self.entries
        ]


class PeerApplication(SimpleApplication):
    """Answers other instances from the change log."""

    __slots__ = ()

    async def respond(self, path, query):
        """Return (status, content type, body)."""
        fields = dict(part.partition(b"=")[::2] for part in query.split(b"&"))
        after, wait = fields.get(b"after", b""), fields.get(b"wait_ms", b"0")
        if path != PATH or not after.isdigit() or not wait.isdigit():
            return 404, b"text/plain", b""
        store_sync = self._instance.store_sync
        seconds = min(int(wait), MAX_WAIT_MS) / MS_PER_SECOND
        await store_sync.change_log.wait_newer(int(after), seconds)
        update = _make_news(store_sync.change_log, int(after))
        if update is None:
            return 503, b"text/plain", b""
        update.contact_age = store_sync.get_store_contact_age()
        return 200, b"application/msgpack", msgspec.msgpack.encode(update)


class PeerClient:
    """Asks one instance after the other."""

    __slots__ = ("_pool",)

    def __init__(self):
        self._pool = httpcore.AsyncConnectionPool(max_connections=MAX_CONNECTIONS)

    async def aclose(self):
        """Close all connections."""
        await self._pool.aclose()

    async def get_update(self, address, after, wait):
        """Return the :class:`PeerUpdate` of an instance since a revision.

        :param wait: seconds to wait for news.
        :raises PeerUnreachable: if no useful answer came.
        """
        wait_ms = int(wait * MS_PER_SECOND)
        try:
            response = await self._pool.request(
                "GET",
                f"http://{address}{PATH}?after={after}&wait_ms={wait_ms}",
                extensions=make_timeout_extensions(MARGIN, read=wait + MARGIN),
            )
        except TRANSPORT_ERRORS as exc:
            raise PeerUnreachable(f"{address}: {exc!r}") from None
        if response.status != 200:
            raise PeerUnreachable(f"{address}: status {response.status}")
        try:
            return msgspec.msgpack.decode(response.content, type=PeerUpdate)
        except msgspec.DecodeError as exc:
            raise PeerUnreachable(f"{address}: {exc}") from None


def _make_news(log, after):
    """Return what to tell, or ``None`` if nothing is known for sure."""
    events = log.get_since(after)
    if events is not None:
        return PeerUpdate(
            log.get_published_revision(), False, list(map(_to_entry, events))
        )
    items = log.get_snapshot()
    if items is None or not log.revision:
        return None
    return PeerUpdate(log.revision, True, list(map(_to_entry, items)))


def _to_entry(event):
    value = None if isinstance(event, Deletion) else event.value
    return _Entry(event.key, event.revision, value)
