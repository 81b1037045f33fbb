"""The store's latest changes, kept to be told to other instances."""

from collections import deque

import anyio

from ..platform import Deletion

__all__ = ["ChangeLog"]

MAX_EVENTS = 4096  # changes kept; an instance that missed more gets everything


class ChangeLog:
    """All current items, and the changes that led to them.

    A deletion that is not believed yet (it may be a lease that ran out while
    the store was away) is not told, nor is anything after it.
    """

    __slots__ = ("_changed", "_events", "_first_kept", "_held", "_items", "revision")

    def __init__(self):
        self.revision = 0
        self._items = {}
        self._events = deque()
        self._first_kept = 0
        self._held = set()
        self._changed = anyio.Event()

    def reset(self, items, revision):
        """Take the whole content of the store."""
        self._items = dict(items)
        self._events.clear()
        self._held.clear()
        self._first_kept = self.revision = revision
        self._wake()

    def append(self, event):
        """Take one change in the order of revisions."""
        if isinstance(event, Deletion):
            self._items.pop(event.key, None)
        else:
            self._items[event.key] = event
        self._events.append(event)
        if len(self._events) > MAX_EVENTS:
            self._first_kept = self._events.popleft().revision
        self.advance(event.revision)
        self._wake()

    def advance(self, revision):
        """Note that nothing else has changed up to a revision."""
        self.revision = max(self.revision, revision)

    def withhold(self, event):
        """Tell nothing from this deletion on until :meth:`release`."""
        self._held.add(event.revision)

    def release(self, event):
        """Take back :meth:`withhold`."""
        self._held.discard(event.revision)
        self._wake()

    async def wait_newer(self, revision, limit):
        """Wait until more than ``revision`` may be told, ``limit`` seconds at most."""
        with anyio.move_on_after(limit):
            while self.get_published_revision() <= revision:
                await self._changed.wait()

    def _wake(self):
        self._changed.set()
        self._changed = anyio.Event()

    def get_published_revision(self):
        """Return the revision up to which all may be told."""
        return min(self._held) - 1 if self._held else self.revision

    def get_since(self, after):
        """Return the changes after a revision, or ``None`` if not all are kept."""
        if after < self._first_kept:
            return None
        last = self.get_published_revision()
        return [event for event in self._events if after < event.revision <= last]

    def get_snapshot(self):
        """Return all current items, or ``None`` while something is held."""
        return None if self._held else list(self._items.values())
