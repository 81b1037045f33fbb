"""The store entries that an instance knows, across restores of the store."""

__all__ = ["KnownEntries"]

MAX_REMOVED = 4096  # removed entries that are remembered, the oldest are dropped


class KnownEntries:
    """The latest entry known of each key, and those removed lately.

    The store may be restored from an older copy and give out revisions again, in a new
    era. Revisions of different eras cannot be compared: an entry known from an earlier
    era counts as older than any entry of the current one.

    :ivar era: the current era, 0 if the store has named none.
    """

    __slots__ = ("_current", "_earlier", "_removed", "era")

    def __init__(self):
        self._current = {}  # key -> StoreEntry of the current era
        self._earlier = {}  # key -> StoreEntry known only from an earlier era
        self._removed = {}  # key -> last StoreEntry before its removal
        self.era = 0

    def __len__(self):
        return len(self._current) + len(self._earlier)

    def begin_era(self, era):
        """Count everything known as older than any entry of a new era."""
        self._earlier |= self._current
        self._current = {}
        self.era = era

    def get_revision(self, key):
        """Return the latest revision of a key in the current era, 0 without one."""
        entry = self._current.get(key)
        return entry.revision if entry is not None else 0

    def get_missing(self, entries, revision):
        """Return the known keys that a snapshot shows to be removed.

        :param entries: the keys of the snapshot.
        :param revision: the snapshot's revision in the current era; keys written later
            are not removed.
        """
        return [
            key
            for key in (*self._current, *self._earlier)
            if key not in entries and self.get_revision(key) <= revision
        ]

    def is_lost(self, key):
        """Return whether a key was known in an earlier era only."""
        return key in self._earlier

    def is_unchanged(self, entry):
        """Return whether an entry was known in an earlier era already."""
        return self._earlier.get(entry.key) == entry

    def is_removed(self, entry):
        """Return whether an entry was known and removed, and is not a later one.

        A restored store has entries again whose removal it has lost.
        """
        return self._removed.get(entry.key) == entry

    def put(self, entry):
        """Add an entry of the current era."""
        self._earlier.pop(entry.key, None)
        self._current[entry.key] = entry
        self._removed.pop(entry.key, None)

    def remove(self, key):
        """Remove a key that is no longer in the store."""
        self._earlier.pop(key, None)
        entry = self._current.pop(key, None)
        if entry is None:
            return
        self._removed.pop(key, None)
        self._removed[key] = entry
        if len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]
