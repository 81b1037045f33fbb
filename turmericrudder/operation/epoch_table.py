"""A table of key states that is bounded in size and removes whole epochs only.

An epoch is the set of all operation keys with the same prefix.
"""

from collections import OrderedDict

__all__ = ["EpochTable"]


class EpochTable:
    """Maps an epoch and a key to a state.

    An entry is never removed while its epoch is kept. Instead, new keys have to be
    rejected once :meth:`is_full` is true. ``entries`` is the number of keys.
    """

    __slots__ = (
        "_byte_limit",
        "_bytes",
        "_entry_limit",
        "_epochs",
        "_sizes",
        "entries",
    )

    def __init__(self, entry_limit, byte_limit):
        """Initialize an empty table.

        :param entry_limit: number of keys from which the table is full.
        :param byte_limit: bytes of all states from which the table is full.
        """
        self._entry_limit = entry_limit
        self._byte_limit = byte_limit
        self._epochs = OrderedDict()
        self._sizes = {}
        self._bytes = 0
        self.entries = 0

    def __contains__(self, epoch):
        return epoch in self._epochs

    def get_epochs(self):
        """Return the kept epochs, oldest first."""
        return list(self._epochs)

    def open(self, epoch):
        """Add an epoch, unless the table has it already."""
        self._epochs.setdefault(epoch, {})
        self._sizes.setdefault(epoch, 0)

    def drop(self, epoch):
        """Remove an epoch with all its keys."""
        states = self._epochs.pop(epoch, None)
        if states is not None:
            self.entries -= len(states)
            self._bytes -= self._sizes.pop(epoch)

    def get_count(self, epoch):
        """Return the number of keys of an epoch."""
        return len(self._epochs.get(epoch, ()))

    def get(self, epoch, key):
        """Return the state of a key, ``None`` if there is none."""
        return self._epochs.get(epoch, {}).get(key)

    def is_full(self):
        """Return whether no new key may be added."""
        return self.entries >= self._entry_limit or self._bytes >= self._byte_limit

    def has_room(self, size):
        """Return whether the states may grow by ``size`` bytes."""
        return self._bytes + size <= self._byte_limit

    def set(self, epoch, key, state, size=0):
        """Set the state of a key; the table must have the epoch.

        :param size: bytes that the state adds to the size of all states.
        """
        states = self._epochs[epoch]
        self.entries += key not in states
        states[key] = state
        self._sizes[epoch] += size
        self._bytes += size

    def iter_items(self, epoch):
        """Yield (key, state) for each key of an epoch."""
        yield from self._epochs.get(epoch, {}).items()
