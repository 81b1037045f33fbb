"""The table in which the home of operation keys decides which of them may run."""

from dataclasses import dataclass
from enum import Enum

from ..control.messages import OperationOutcome
from .epoch_table import EpochTable

__all__ = [
    "AlreadyFinished",
    "AlreadyRunning",
    "HomeTable",
    "KeyState",
    "NewKey",
    "OutcomeUnknown",
]

KEPT_EPOCHS = 8
NOT_RUN = OperationOutcome(ran=False)  # of a void key: it did not run and never will


class KeyState(Enum):
    """States of a key that has no known outcome."""

    RUNNING = "running"
    UNKNOWN = "unknown"  # the attempt ended, and the request may have run


@dataclass(frozen=True, slots=True)
class NewKey:
    """The key was new; its request has to be run now, once."""


@dataclass(frozen=True, slots=True)
class AlreadyRunning:
    """The request of the key is in flight, and its end has to be awaited."""


@dataclass(frozen=True, slots=True)
class AlreadyFinished:
    """The key has ended with this outcome."""

    outcome: OperationOutcome


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request of the key may have run; it is never run again."""


class HomeTable:
    """The states of the keys in the epochs of this incarnation of the home.

    An epoch is the set of all keys with the same prefix. In all methods, ``epoch`` is
    a key prefix and ``key`` the suffix of a key, both as text.
    """

    __slots__ = ("_key_limit", "_sealed_epochs", "_table")

    def __init__(self, limits):
        """Initialize an empty table.

        :param limits: the :class:`~turmericrudder.settings.LimitSettings`.
        """
        self._key_limit = limits.operation_keys
        self._table = EpochTable(limits.operation_keys, limits.operation_bytes)
        self._sealed_epochs = set()

    def open(self, epoch):
        """Add an epoch, and remove the oldest ones beyond :data:`KEPT_EPOCHS`.

        An epoch with a running key is kept until a later call.
        """
        self._table.open(epoch)
        for old_epoch in self._table.get_epochs()[:-KEPT_EPOCHS]:
            if not self._has_running_key(old_epoch):
                self._table.drop(old_epoch)
                self._sealed_epochs.discard(old_epoch)

    def is_exhausted(self, epoch):
        """Return whether new keys have to be issued from another epoch.

        That is so if the epoch has more than its share of the table, or is sealed.
        """
        share = self._key_limit // (KEPT_EPOCHS + 1)
        return epoch in self._sealed_epochs or self._table.get_count(epoch) > share

    def start(self, epoch, key):
        """Start a key if it is new, and return the state in which it was.

        If the table is full, the epoch is *sealed*: no new key of it starts from then
        on.

        :returns: :class:`NewKey`, :class:`AlreadyRunning`, :class:`AlreadyFinished` or
            :class:`OutcomeUnknown`, the last also if the table does not have the epoch.
        """
        if epoch not in self._table:
            return OutcomeUnknown()
        match self._table.get(epoch, key):
            case None if epoch in self._sealed_epochs or self._table.is_full():
                # The key is reported as not run but cannot be stored as void, so
                # neither it nor any other new key of the epoch may start later.
                self._sealed_epochs.add(epoch)
                return AlreadyFinished(NOT_RUN)
            case None:
                self._table.set(epoch, key, KeyState.RUNNING)
                return NewKey()
            case KeyState.RUNNING:
                return AlreadyRunning()
            case KeyState.UNKNOWN:
                return OutcomeUnknown()
            case outcome:
                return AlreadyFinished(outcome)

    def finish(self, epoch, key, outcome):
        """Store the outcome of a running or unknown key and return it as stored.

        If the table has no room for the response, only its status is stored.
        """
        if epoch not in self._table:
            return outcome
        size = len(outcome.body)
        if not self._table.has_room(size):
            outcome, size = (
                OperationOutcome(outcome.ran, outcome.status, is_complete=False),
                0,
            )
        self._table.set(epoch, key, outcome, size)
        return outcome

    def void(self, epoch, key):
        """Record that a key did not run and never will."""
        self.finish(epoch, key, NOT_RUN)

    def set_unknown(self, epoch, key):
        """Record that it is unknown whether a key ran."""
        if epoch in self._table:
            self._table.set(epoch, key, KeyState.UNKNOWN)

    def get_key_count(self):
        """Return the number of keys in the table."""
        return self._table.entries

    def _has_running_key(self, epoch):
        return any(
            state is KeyState.RUNNING for _, state in self._table.iter_items(epoch)
        )
