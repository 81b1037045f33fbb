"""Exchange of the store's changes and of loads between entry instances.

It uses HTTP because the instance has HTTP listeners anyway, and pynng would add to
the memory of every process for a few calls in an outage.
"""

from typing import Annotated

import httpcore
import msgspec

from ..clock import get_boot_time
from ..errors import PeerUnreachable
from ..http_client import TRANSPORT_ERRORS, make_timeout_extensions, send_bounded
from ..platform import Deletion, StoreEntry
from ..ranges import (
    MAX_REVISION,
    MAX_SECONDS,
    NonNegativeInteger,
    Revision,
    Seconds,
    parse_integer,
)
from ..units import MS_PER_SECOND
from .auxiliary_applications import SimpleApplication, write_response
from .load_exchange import LoadSummary, LoadUpdate

__all__ = ["PeerApplication", "PeerClient", "PeerUpdate", "decode_message"]

PATH = "/beliefs"
LOADS_PATH = "/loads"
MAX_SUMMARY_BYTES = 256 * 1024
LOADS_TIMEOUT = 0.5  # seconds; an exchange that takes longer is out of date
# Seconds to connect, and for the response beyond the wait that the poll asks for;
# several round trips between regions.
TIMEOUT_MARGIN = 0.5
MAX_WAIT_MS = 5000  # upper limit of the wait for a change that a poll asks for
MAX_CONNECTIONS = 4  # of a PeerClient to all peers
MAX_RESPONSE_BYTES = 16 * 1024 * 1024  # several times a snapshot at the target's size
TRANSFER_TIMEOUT = 2.0  # seconds for the body, after the wait for the head


ViewAge = Annotated[
    float, msgspec.Meta(ge=-MAX_WAIT_MS / MS_PER_SECOND, le=MAX_SECONDS)
]


class _Entry(msgspec.Struct, array_like=True):
    """A change of a key; a ``value`` of ``None`` is a deletion."""

    key: str
    revision: Revision
    value: bytes | None


class PeerUpdate(msgspec.Struct):
    """The response of an instance to a poll.

    :param revision: the store's revision to continue from.
    :param is_whole: whether ``entries`` is a snapshot of all store entries rather than
        the changes since the requested revision.
    :param era: the store's era, in which the revisions count.
    :param contact_age: seconds since the store last responded to the instance, or
        ``None`` if it has not yet or the instance does not watch the store itself.
    :param view_age: seconds from the time when the store's content was as the instance
        knows it to the arrival of the poll, negative if it was later; ``None`` if it
        has not read it.
    """

    revision: Revision
    is_whole: bool
    entries: list[_Entry]
    contact_age: Seconds | None = None
    era: NonNegativeInteger | None = None
    view_age: ViewAge | None = None

    def get_events(self):
        """Return the entries as :class:`StoreEntry` and :class:`Deletion` objects."""
        return [
            Deletion(entry.key, entry.revision)
            if entry.value is None
            else StoreEntry(entry.key, entry.value, entry.revision)
            for entry in self.entries
        ]


class PeerApplication(SimpleApplication):
    """ASGI application that serves the change log and loads to other instances."""

    __slots__ = ()

    async def __call__(self, scope, receive, send):
        """Handle one HTTP request."""
        if scope["path"] == LOADS_PATH:
            await write_response(send, *await self._exchange_loads(receive))
        else:
            await super().__call__(scope, receive, send)

    async def _exchange_loads(self, receive):
        body, has_more = b"", True
        while has_more:
            message = await receive()
            body += message.get("body", b"")
            has_more = message.get("more_body", False)
            if len(body) > MAX_SUMMARY_BYTES:
                return 413, b"text/plain", b""
        try:
            summary = decode_message(body, LoadSummary)
        except PeerUnreachable:
            return 400, b"text/plain", b""
        update = self._instance.load_exchange.handle_summary(summary)
        return 200, b"application/msgpack", msgspec.msgpack.encode(update)

    async def respond(self, path, query):
        """Return (status, content type, body)."""
        arrived_at = get_boot_time()
        fields = dict(part.partition(b"=")[::2] for part in query.split(b"&"))
        after, wait, era = (
            parse_integer(fields.get(name, default), MAX_REVISION)
            for name, default in ((b"after", b""), (b"wait_ms", b"0"), (b"era", b"0"))
        )
        if path != PATH or None in (after, wait, era):
            return 404, b"text/plain", b""
        store_sync = self._instance.store_sync
        change_log = store_sync.change_log
        # A peer that names no era counts as one of the same era.
        era = era or change_log.era
        if era == change_log.era:
            seconds = min(wait, MAX_WAIT_MS) / MS_PER_SECOND
            await change_log.wait_newer(after, seconds)
        update = _make_update(change_log, era, after)
        if update is None:
            return 503, b"text/plain", b""
        update.contact_age = _limit_age(store_sync.get_store_contact_age())
        update.view_age = _limit_age(store_sync.get_view_age(arrived_at))
        return 200, b"application/msgpack", msgspec.msgpack.encode(update)


class PeerClient:
    """HTTP client that polls other instances for changes."""

    __slots__ = ("_pool",)

    def __init__(self):
        self._pool = httpcore.AsyncConnectionPool(max_connections=MAX_CONNECTIONS)

    async def aclose(self):
        """Close all connections."""
        await self._pool.aclose()

    async def exchange_loads(self, address, summary):
        """Send a :class:`LoadSummary` to the reader and return its :class:`LoadUpdate`.

        :raises PeerUnreachable: if no valid response arrived.
        """
        return await self._call(
            "POST",
            f"http://{address}{LOADS_PATH}",
            LOADS_TIMEOUT,
            make_timeout_extensions(LOADS_TIMEOUT),
            LoadUpdate,
            msgspec.msgpack.encode(summary),
        )

    async def get_update(self, address, after, wait, era=0):
        """Return the :class:`PeerUpdate` of an instance since a revision.

        :param after: the revision.
        :param wait: seconds that the instance may wait for a change.
        :param era: the store's era known to the caller, 0 for none.
        :raises PeerUnreachable: if no valid response arrived.
        """
        wait_ms = int(wait * MS_PER_SECOND)
        return await self._call(
            "GET",
            f"http://{address}{PATH}?era={era}&after={after}&wait_ms={wait_ms}",
            wait + TIMEOUT_MARGIN + TRANSFER_TIMEOUT,
            make_timeout_extensions(TIMEOUT_MARGIN, read=wait + TIMEOUT_MARGIN),
            PeerUpdate,
        )

    async def _call(self, method, url, timeout, extensions, message_type, content=None):
        try:
            response = await send_bounded(
                self._pool,
                method,
                url,
                max_bytes=MAX_RESPONSE_BYTES,
                timeout=timeout,
                content=content,
                extensions=extensions,
            )
        except TRANSPORT_ERRORS as exc:
            raise PeerUnreachable(f"{url}: {exc!r}") from None
        if response.status != 200:
            raise PeerUnreachable(f"{url}: status {response.status}")
        return decode_message(response.content, message_type)


def decode_message(packed, message_type):
    """Return a message of another instance.

    :raises PeerUnreachable: if it cannot be decoded.
    """
    try:
        return msgspec.msgpack.decode(packed, type=message_type)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise PeerUnreachable(f"message of a peer: {exc}") from None


def _make_update(change_log, era, after):
    """Return a :class:`PeerUpdate`, or ``None`` if there is nothing to send.

    It has the changes since ``after`` if the log still has them, else a snapshot, which
    cannot be made while a deletion is withheld or before the store was first read.
    Nothing is sent to a peer that knows a later era.
    """
    if era > change_log.era:
        return None
    events = change_log.get_since(after) if era == change_log.era else None
    if events is not None:
        return PeerUpdate(
            change_log.get_published_revision(),
            False,
            list(map(_to_entry, events)),
            era=change_log.era,
        )
    snapshot = change_log.get_snapshot()
    if snapshot is None or not change_log.revision:
        return None
    return PeerUpdate(
        change_log.revision, True, list(map(_to_entry, snapshot)), era=change_log.era
    )


def _limit_age(seconds):
    """Return an age within the range that the receiver accepts."""
    if seconds is None:
        return None
    return max(-MAX_WAIT_MS / MS_PER_SECOND, min(seconds, float(MAX_SECONDS)))


def _to_entry(event):
    value = None if isinstance(event, Deletion) else event.value
    return _Entry(event.key, event.revision, value)
