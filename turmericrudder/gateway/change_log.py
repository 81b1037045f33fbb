"""A bounded log of the store's changes, served to other instances."""

from collections import deque

import anyio

from ..platform import Deletion

__all__ = ["ChangeLog"]

MAX_EVENTS = 4096  # changes kept; an instance that missed more gets a snapshot


class ChangeLog:
    """The current store entries, and the latest changes in the order of revisions.

    A withheld deletion (its lease may have expired only because the store was
    unreachable) is not published, nor are the deletions after it. Entries written after
    it are, ahead of their place in the order.

    :ivar era: the store's era, in which its revisions count.
    :ivar revision: the store's revision up to which all changes are known.
    """

    __slots__ = (
        "_changed",
        "_compacted_revision",
        "_entries",
        "_events",
        "_withheld_revisions",
        "era",
        "revision",
    )

    def __init__(self):
        self.era = 0
        self.revision = 0
        self._entries = {}
        self._events = deque()
        self._compacted_revision = 0
        self._withheld_revisions = set()
        self._changed = anyio.Event()

    def reset(self, entries, revision, era=0):
        """Replace the log by a snapshot.

        :param entries: :class:`~turmericrudder.platform.StoreEntry` objects by key.
        """
        self._entries = dict(entries)
        self._events.clear()
        self._withheld_revisions.clear()
        self._compacted_revision = self.revision = revision
        self.era = era
        self._notify_waiters()

    def append(self, event):
        """Add a change, whose revision :meth:`advance` has still to reach.

        Changes are added in the order of their revisions, but for entries that a peer
        published ahead.
        """
        if isinstance(event, Deletion):
            self._entries.pop(event.key, None)
        else:
            self._entries[event.key] = event
        self._events.append(event)
        if len(self._events) > MAX_EVENTS:
            removed = self._events.popleft()
            self._compacted_revision = max(self._compacted_revision, removed.revision)
        self._notify_waiters()

    def advance(self, revision):
        """Record that all changes up to a revision are known."""
        if revision > self.revision:
            self.revision = revision
            self._notify_waiters()

    def withhold(self, event):
        """Publish neither a deletion nor later ones until :meth:`release`."""
        self._withheld_revisions.add(event.revision)

    def release(self, event):
        """Undo :meth:`withhold`."""
        self._withheld_revisions.discard(event.revision)
        self._notify_waiters()

    async def wait_newer(self, revision, timeout):
        """Wait until changes after ``revision`` are published or another era begins.

        While a deletion is withheld, wait for any change, since entries published ahead
        do not raise the published revision.

        :param timeout: seconds to wait at most.
        """
        era = self.era
        with anyio.move_on_after(timeout):
            while self.get_published_revision() <= revision and self.era == era:
                await self._changed.wait()
                if self._withheld_revisions:
                    break

    def _notify_waiters(self):
        self._changed.set()
        self._changed = anyio.Event()

    def get_published_revision(self):
        """Return the revision up to which all changes are published."""
        return (
            min(self._withheld_revisions) - 1
            if self._withheld_revisions
            else self.revision
        )

    def get_since(self, after):
        """Return the published changes after a revision.

        :returns: ``None`` if some of them are no longer kept.
        """
        if after < self._compacted_revision:
            return None
        published_revision = self.get_published_revision()
        return [
            event
            for event in self._events
            if after < event.revision <= published_revision
            or self._is_published_ahead(event, published_revision)
        ]

    def _is_published_ahead(self, event, published_revision):
        return (
            bool(self._withheld_revisions)
            and event.revision > published_revision
            and self._entries.get(event.key) is event
        )

    def get_snapshot(self):
        """Return all current store entries, ``None`` while a deletion is withheld."""
        return None if self._withheld_revisions else list(self._entries.values())
