"""The home's table: the only place that may start a key."""

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
NOT_RUN = OperationOutcome(ran=False)


class KeyState(Enum):
    """States of a key besides its outcome."""

    RUNNING = "running"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class NewKey:
    """The key is new: it may be run now, once."""


@dataclass(frozen=True, slots=True)
class AlreadyRunning:
    """The key runs already; its end has to be waited for."""


@dataclass(frozen=True, slots=True)
class AlreadyFinished:
    """The key ended like this."""

    outcome: OperationOutcome


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The key may have run; it is never run again."""


class HomeTable:
    """Keys of this incarnation's epochs."""

    __slots__ = ("_limit", "_sealed", "_table")

    def __init__(self, limits):
        self._limit = limits.operation_keys
        self._table = EpochTable(limits.operation_keys, limits.operation_bytes)
        self._sealed = set()

    def open(self, epoch):
        """Issue keys of an epoch; the oldest kept one may be dropped."""
        self._table.open(epoch)
        for old in self._table.get_epochs()[:-KEPT_EPOCHS]:
            if not self._is_busy(old):
                self._table.drop(old)
                self._sealed.discard(old)

    def is_exhausted(self, epoch):
        """Return whether it is time to issue keys of another epoch."""
        share = self._limit // (KEPT_EPOCHS + 1)
        return epoch in self._sealed or self._table.get_count(epoch) > share

    def start(self, epoch, key):
        """Return what to do with a key that was asked for."""
        if epoch not in self._table:
            return OutcomeUnknown()
        match self._table.get(epoch, key):
            case None if epoch in self._sealed or self._table.is_full():
                # The key cannot be kept as void, so no further key of the
                # epoch may ever start.
                self._sealed.add(epoch)
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
        """Keep the outcome of a running or undecided key; return what is kept."""
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
        """Note that a key did not run and never will."""
        self.finish(epoch, key, NOT_RUN)

    def set_unknown(self, epoch, key):
        """Note that a key may have run."""
        if epoch in self._table:
            self._table.set(epoch, key, KeyState.UNKNOWN)

    def get_entry_count(self):
        """Return the number of keys kept."""
        return self._table.entries

    def _is_busy(self, epoch):
        return any(
            state is KeyState.RUNNING for _, state in self._table.iter_items(epoch)
        )
