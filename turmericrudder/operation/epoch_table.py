"""States of keys by epoch, bounded, dropped by whole epochs only."""

from collections import OrderedDict

__all__ = ["EpochTable"]


class EpochTable:
    """Maps (epoch, key) to a state.

    An entry is never forgotten while its epoch is kept: what is full refuses
    new entries instead.
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
        """Keep an epoch from now on."""
        self._epochs.setdefault(epoch, {})
        self._sizes.setdefault(epoch, 0)

    def drop(self, epoch):
        """Forget an epoch with all its keys."""
        states = self._epochs.pop(epoch, None)
        if states is not None:
            self.entries -= len(states)
            self._bytes -= self._sizes.pop(epoch)

    def get_count(self, epoch):
        """Return the number of keys of an epoch."""
        return len(self._epochs.get(epoch, ()))

    def get(self, epoch, key):
        """Return the state of a key, or ``None``."""
        return self._epochs.get(epoch, {}).get(key)

    def is_full(self):
        """Return whether a new key has to be refused."""
        return self.entries >= self._entry_limit or self._bytes >= self._byte_limit

    def has_room(self, size):
        """Return whether ``size`` more bytes can be kept."""
        return self._bytes + size <= self._byte_limit

    def set(self, epoch, key, state, size=0):
        """Set the state of a key of a kept epoch.

        :param size: bytes the state adds to the table.
        """
        states = self._epochs[epoch]
        self.entries += key not in states
        states[key] = state
        self._sizes[epoch] += size
        self._bytes += size

    def iter_items(self, epoch):
        """Yield (key, state) of an epoch."""
        yield from self._epochs.get(epoch, {}).items()
